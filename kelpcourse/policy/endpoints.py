"""Ready endpoints, with their list entries and the results of reports."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from kelpcourse.policy.arithmetic import clamp
from kelpcourse.policy.events import Endpoint, EndpointReport
from kelpcourse.policy.settings import EndpointId, RequestClass, Settings

REPORT_DECAY = 0.5  # factor by which the sums decay in a report period
MIN_SPAN_US = 1  # lower bound of the window of a report, which avoids division by zero
# Bounds of listed weights, of which sums and means can be computed.
MIN_LISTED_WEIGHT = 1e-300
MAX_LISTED_WEIGHT = 1e300
# Bounds of the capacity of an endpoint that is listed, relative to the mean endpoint.
MIN_LISTED_CAPACITY = 1e-6
MAX_LISTED_CAPACITY = 1e6


@dataclass
class EndpointState:
    """The state of one endpoint.

    Attempts, failures, successes and response times are sums that decay with each report.
    """

    endpoint: Endpoint
    last_recovery_us: int
    relative_capacity: float = 1.0
    health_factor: float = 1.0
    partitioned: bool = False
    last_ejection_us: int = 0
    attempts: float = 0.0
    failures: float = 0.0
    successes: float = 0.0
    response_time_us: float = 0.0
    last_report_us: int = 0
    report_count: int = 0
    load: dict[str, float] = field(default_factory=dict)

    def record(self, now_us: int, report: EndpointReport) -> None:
        """Adds a report to the sums.

        The sums decay by the time since the last report, because on large fleets the reports on an endpoint are
        spread over the report period.
        """
        periods = (now_us - self.last_report_us) / max(MIN_SPAN_US, report.window_us)
        kept = REPORT_DECAY ** min(1.0, periods)
        successes = report.attempts - report.failed
        self.attempts = self.attempts * kept + report.attempts
        self.failures = self.failures * kept + report.failed
        self.successes = self.successes * kept + successes
        self.response_time_us = self.response_time_us * kept + successes * report.mean_success_us
        self.last_report_us = now_us
        self.report_count += 1
        self.load.update(report.load)


@dataclass(frozen=True)
class EndpointSelector:
    """Selects the endpoints that may serve a request class; an empty field allows all."""

    zones: frozenset[str]
    kinds: frozenset[str]
    bound_zone: str

    @classmethod
    def of_class(cls, request_class: RequestClass, bound_zone: str = "") -> EndpointSelector:
        """Returns the selector of a request class, or of its part that is bound to a zone."""
        return cls(request_class.allowed_zones, request_class.allowed_kinds, bound_zone)

    @property
    def is_unrestricted(self) -> bool:
        """Whether every endpoint matches."""
        return not self.zones and not self.kinds and not self.bound_zone

    def matches(self, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint may serve the class."""
        if self.zones and endpoint.zone not in self.zones:
            return False
        if self.kinds and endpoint.kind not in self.kinds:
            return False
        return not self.bound_zone or endpoint.zone == self.bound_zone


class EndpointRegistry:
    """The ready endpoints by id, in the order in which they became ready."""

    def __init__(self, settings: Settings) -> None:
        """Starts without endpoints."""
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self._initial_warm_up_factor = settings.warm_up_min_capacity
        self._warm_up_us = settings.warm_up_us
        self._mean_weight = 1.0

    def __contains__(self, number: EndpointId) -> bool:
        """Returns whether the endpoint is ready."""
        return number in self.endpoints

    def __len__(self) -> int:
        """Returns the number of ready endpoints."""
        return len(self.endpoints)

    def states(self) -> Iterable[EndpointState]:
        """Returns the state of every ready endpoint."""
        return self.endpoints.values()

    def missing_from(self, endpoints: Sequence[Endpoint]) -> list[EndpointId]:
        """Returns the ready endpoints that a complete list no longer contains, in ascending order."""
        listed = {endpoint.id for endpoint in endpoints}
        return sorted(self.endpoints.keys() - listed)

    def update(self, now_us: int, endpoint: Endpoint) -> bool:
        """Adds or updates a ready endpoint; returns whether it is new or has restarted."""
        known = self.endpoints.get(endpoint.id)
        if known is not None and known.endpoint.started_us == endpoint.started_us:
            known.endpoint = endpoint
            return False
        self.endpoints[endpoint.id] = EndpointState(endpoint, now_us)
        return True

    def remove(self, number: EndpointId) -> None:
        """Removes an endpoint that is draining or no longer listed."""
        self.endpoints.pop(number, None)

    def update_mean_weight(self) -> None:
        """Computes the mean of the listed weights, to which nominal capacities are relative."""
        listed = [
            min(state.endpoint.weight, MAX_LISTED_WEIGHT)
            for state in self.endpoints.values()
            if state.endpoint.weight > 0
        ]
        self._mean_weight = sum(listed) / len(listed) if listed else 1.0
        self._mean_weight = max(self._mean_weight, MIN_LISTED_WEIGHT)

    def select(self, selector: EndpointSelector) -> list[EndpointState]:
        """Returns the endpoints that match."""
        if selector.is_unrestricted:
            return list(self.endpoints.values())
        return [state for state in self.endpoints.values() if selector.matches(state.endpoint)]

    def warm_up_factor(self, state: EndpointState, now_us: int) -> float:
        """Returns the part of its capacity that an endpoint has at least, which rises during warm-up (slow start)."""
        started_us = state.endpoint.started_us
        age_us = now_us - started_us
        if started_us <= 0 or self._warm_up_us <= 0 or age_us >= self._warm_up_us:
            return 1.0
        initial = self._initial_warm_up_factor
        return initial + (1 - initial) * max(0, age_us) / self._warm_up_us

    def is_warming_up(self, state: EndpointState, now_us: int) -> bool:
        """Returns whether the endpoint has less than its full capacity because of its warm-up."""
        return self.warm_up_factor(state, now_us) < 1

    def nominal_capacity(self, state: EndpointState) -> float:
        """Returns the capacity of the endpoint when healthy and warmed up, relative to the mean endpoint."""
        weight = state.endpoint.weight
        listed = weight / self._mean_weight if weight > 0 else 1.0
        listed = clamp(listed, MIN_LISTED_CAPACITY, MAX_LISTED_CAPACITY)
        return listed * state.relative_capacity

    def current_capacity(self, state: EndpointState, now_us: int) -> float:
        """Returns the nominal capacity, reduced by faults and by slow start."""
        warm_up_factor = self.warm_up_factor(state, now_us)
        return self.nominal_capacity(state) * state.health_factor * warm_up_factor

    def reachable_capacity(self, now_us: int) -> float:
        """Returns the sum of current capacities, in which partitioned endpoints count as healthy."""
        return sum(self._reachable_capacity_of(state, now_us) for state in self.states())

    def _reachable_capacity_of(self, state: EndpointState, now_us: int) -> float:
        capacity = self.current_capacity(state, now_us)
        return capacity / state.health_factor if state.partitioned else capacity

"""Admission ratios: the part of each request class that proxies admit."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from kelpcourse.policy.arithmetic import US_PER_S
from kelpcourse.policy.endpoints import EndpointRegistry, EndpointSelector
from kelpcourse.policy.fill import equal_fraction_fill, priority_lower_bounds
from kelpcourse.policy.settings import AdmissionMode, Settings

MIN_ADMISSION_RATIO = 0.05
MIN_CAPACITY_SHARE = 0.3  # least part of the capacity estimate that remains for new requests
# Maximum ratio of admitted load to estimated capacity of the endpoints of a class, while some of them warm up.
WARM_UP_CAPACITY_SHARE = 2.0
# Part of the latency objective that the backlog may take to serve; a lower one would leave endpoints idle.
MAX_BACKLOG_OBJECTIVE_SHARE = 0.4
BACKLOG_DRAIN_US = 3_000_000  # time in which the part of a backlog above its limit is to drain
HISTORY_LENGTH = 20
FORECAST_STEPS = 8  # samples of the feedback delay from which unreported requests are estimated


@dataclass(frozen=True)
class _OrderedRatios:
    time_us: int
    ratios: list[float]


class AdmissionHistory:
    """The admission ratios of the latest orders."""

    def __init__(self, class_count: int) -> None:
        """Starts with every class admitted in full."""
        self._orders: deque[_OrderedRatios] = deque(maxlen=HISTORY_LENGTH)
        self._orders.append(_OrderedRatios(0, [1.0] * class_count))

    def record(self, now_us: int, ratios: Sequence[float]) -> None:
        """Records the ratios that are in force from now on."""
        self._orders.append(_OrderedRatios(now_us, list(ratios)))

    def admitted(self, offered: Sequence[float], time_us: int) -> float:
        """Returns the offered requests that are admitted by the ratios in force at the given time."""
        ratios = self._ratios_at(time_us)
        return sum(rate * ratio for rate, ratio in zip(offered, ratios, strict=True))

    def _ratios_at(self, time_us: int) -> list[float]:
        for ordered in reversed(self._orders):
            if ordered.time_us <= time_us:
                return ordered.ratios
        return self._orders[0].ratios


@dataclass(frozen=True)
class AdmissionInputs:
    """The load that admission ratios are computed from.

    Attributes:
        offered_per_s: Offered load of each class, in requests per second.
        capacity_per_s: Capacity estimate, in requests per second.
        backlog: Requests in flight beyond the usual number.
        latency_objective_us: Mean latency objective of the offered requests, in microseconds.
        feedback_delay_us: Time, in microseconds, from an order until reports show its effect.
    """

    offered_per_s: Sequence[float]
    capacity_per_s: float
    backlog: float
    latency_objective_us: float
    feedback_delay_us: int


class AdmissionControl:
    """The admission ratio of each request class, and the ratios of the latest orders."""

    def __init__(self, settings: Settings, registry: EndpointRegistry) -> None:
        """Starts with every class admitted in full."""
        self._registry = registry
        self._enabled = settings.admission_mode is not AdmissionMode.NONE
        self._priority_weights = [
            request_class.priority_weight for request_class in settings.classes
        ]
        self._selectors = [
            EndpointSelector.of_class(request_class) for request_class in settings.classes
        ]
        self.ratios = [1.0] * len(settings.classes)
        # Maximum ratio of each class during warm-up at tables with all their entries.
        self._warm_up_ratios = [float("inf")] * len(settings.classes)
        self.history = AdmissionHistory(len(settings.classes))

    def update(self, now_us: int, inputs: AdmissionInputs, shedding_load: bool) -> None:
        """Computes the ratios for the present load."""
        if not self._enabled:
            return
        limits = self._warm_up_limits(now_us, inputs.capacity_per_s)
        self._warm_up_ratios = [
            limit / offered if offered > 0 else float("inf")
            for limit, offered in zip(limits, inputs.offered_per_s, strict=True)
        ]
        if shedding_load:
            admitted = self._shed_load(now_us, inputs, limits)
        else:
            admitted = [
                min(rate, limit) for rate, limit in zip(inputs.offered_per_s, limits, strict=True)
            ]
        self.ratios = [
            max(MIN_ADMISSION_RATIO, rate / offered) if offered > 0 else 1.0
            for rate, offered in zip(admitted, inputs.offered_per_s, strict=True)
        ]

    def ratio_at_fill(self, position: int, fill: float) -> float:
        """Returns the ratio of a class at a table that has only a part of its intended weights.

        The endpoints in the table receive the requests of those that it lacks, which may be more than they can serve
        while they warm up.
        """
        reduced = max(MIN_ADMISSION_RATIO, self._warm_up_ratios[position] * fill)
        return min(self.ratios[position], reduced)

    def _shed_load(self, now_us: int, inputs: AdmissionInputs, limits: list[float]) -> list[float]:
        capacity = self._capacity_for_new_requests(now_us, inputs)
        lower_bounds = priority_lower_bounds(inputs.offered_per_s, self._priority_weights, capacity)
        upper_bounds = [min(1.0, limit / capacity) for limit in limits]
        return equal_fraction_fill(inputs.offered_per_s, capacity, lower_bounds, upper_bounds)

    def _capacity_for_new_requests(self, now_us: int, inputs: AdmissionInputs) -> float:
        """Returns the capacity that remains for new requests while the backlog drains."""
        estimate = inputs.capacity_per_s
        max_backlog_us = estimate * MAX_BACKLOG_OBJECTIVE_SHARE * inputs.latency_objective_us
        unreported = self._unreported_us(now_us, inputs)
        backlog = inputs.backlog + (unreported - max_backlog_us) / US_PER_S
        reduced = estimate - max(0.0, backlog) * US_PER_S / BACKLOG_DRAIN_US
        return max(MIN_CAPACITY_SHARE * estimate, reduced)

    def _unreported_us(self, now_us: int, inputs: AdmissionInputs) -> float:
        """Returns the requests that were admitted beyond the capacity and are not reported yet.

        The unit is requests per second times microseconds.
        """
        delay_us = inputs.feedback_delay_us
        served = min(inputs.capacity_per_s, sum(inputs.offered_per_s))
        excess = sum(
            self.history.admitted(inputs.offered_per_s, now_us - delay_us * step // FORECAST_STEPS)
            - served
            for step in range(FORECAST_STEPS)
        )
        return excess * delay_us / FORECAST_STEPS

    def _warm_up_limits(self, now_us: int, capacity_per_s: float) -> list[float]:
        """Returns the maximum rate of each class; it is infinite unless endpoints of the class are warming up."""
        capacities = {
            number: self._registry.current_capacity(state, now_us)
            for number, state in self._registry.endpoints.items()
        }
        total = sum(capacities.values())
        limits = []
        for selector in self._selectors:
            states = self._registry.select(selector)
            is_limited = (
                total > 0
                and capacity_per_s > 0
                and any(self._registry.is_warming_up(state, now_us) for state in states)
            )
            if is_limited:
                share = sum(capacities[state.endpoint.id] for state in states) / total
                limits.append(WARM_UP_CAPACITY_SHARE * capacity_per_s * share)
            else:
                limits.append(float("inf"))
        return limits

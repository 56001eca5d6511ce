"""The capacity estimate: requests per second that the endpoints can complete."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.policy.arithmetic import US_PER_S

MIN_CAPACITY_PER_S = 1.0
SMOOTHING_TIME_US = 3_000_000  # in which the estimate follows what fully used endpoints complete
MIN_GROWTH_COMPLETED_SHARE = 0.75  # of the estimate that must complete before it grows
GROWTH_FACTOR_PER_S = 1.18


@dataclass(frozen=True)
class CapacitySample:
    """What an evaluation of reports shows."""

    completed_per_s: float
    unanswered_per_s: float
    span_s: float
    busy_ratio: float  # of the mean time to the time at which endpoints are fully used
    is_busy: bool
    is_settled: bool


class CapacityEstimate:
    """The capacity estimate, the paper's V, in requests per second.

    It is the best rate of completed requests lately, scaled as endpoints and proxies come and go.
    """

    def __init__(self) -> None:
        """Starts without an estimate."""
        self.requests_per_s = 0.0
        self._fleet_size = 0.0

    def scale_to_fleet(self, endpoint_capacity: float, proxy_rate: float) -> None:
        """Scales the estimate: it was measured with other endpoints and proxies.

        Args:
            endpoint_capacity: sum of the current capacities of all endpoints.
            proxy_rate: sum of the usual request rates of the joined proxies.
        """
        fleet_size = endpoint_capacity * proxy_rate
        if fleet_size > 0 and self._fleet_size > 0:
            self.requests_per_s *= fleet_size / self._fleet_size
        self._fleet_size = fleet_size

    def update(self, sample: CapacitySample, shedding_load: bool) -> None:
        """Follows an evaluation of reports."""
        completed = sample.completed_per_s
        if sample.is_busy and sample.is_settled:
            served = completed + sample.unanswered_per_s / 2
            gain = min(1.0, sample.span_s * US_PER_S / SMOOTHING_TIME_US)
            self.requests_per_s += (served - self.requests_per_s) * gain
        elif completed > self.requests_per_s:
            self.requests_per_s = completed
        elif shedding_load and completed > MIN_GROWTH_COMPLETED_SHARE * self.requests_per_s:
            self.requests_per_s *= GROWTH_FACTOR_PER_S ** (sample.span_s * (1 - sample.busy_ratio))
        self.requests_per_s = max(self.requests_per_s, MIN_CAPACITY_PER_S)

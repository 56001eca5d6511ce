"""The capacity estimate: the requests per second that the endpoints can complete."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.policy.arithmetic import US_PER_S, clamp

MIN_CAPACITY_PER_S = 1.0
MAX_CAPACITY_PER_S = 1e15
SMOOTHING_TIME_US = 3_000_000  # time constant of the estimate while endpoints are busy
MIN_GROWTH_COMPLETED_SHARE = 0.75  # part of the estimate that must be completed for it to grow
GROWTH_FACTOR_PER_S = 1.18  # growth of the estimate in a second while endpoints are idle


@dataclass(frozen=True)
class CapacitySample:
    """The result of an evaluation of reports.

    Attributes:
        completed_per_s: Successful requests per second.
        unanswered_per_s: Requests per second that proxies left unanswered.
        span_s: Time since the last evaluation, in seconds.
        busy_ratio: Ratio of the mean response time to the one at which endpoints are fully used.
        is_busy: Whether endpoints are fully used or fail because of overload.
        is_settled: Whether the rates cover a whole report span.
    """

    completed_per_s: float
    unanswered_per_s: float
    span_s: float
    busy_ratio: float
    is_busy: bool
    is_settled: bool


class CapacityEstimate:
    """The capacity estimate, in requests per second: V in the paper that `kelpcourse.policy.fill` cites.

    It is the highest recent rate of completed requests, scaled with the number of endpoints and proxies.
    """

    def __init__(self) -> None:
        """Starts without an estimate."""
        self.requests_per_s = 0.0
        self._fleet_size = 0.0

    def scale_to_fleet(self, endpoint_capacity: float, proxy_rate: float) -> None:
        """Scales the estimate from the fleet in which it was measured to the present one.

        Args:
            endpoint_capacity: Sum of the current capacities of all endpoints, relative to the mean endpoint.
            proxy_rate: Sum of the usual request rates of the joined proxies, in requests per second.
        """
        fleet_size = endpoint_capacity * proxy_rate
        if fleet_size > 0 and self._fleet_size > 0 and self.requests_per_s > 0:
            scaled = self.requests_per_s * (fleet_size / self._fleet_size)
            self.requests_per_s = clamp(scaled, MIN_CAPACITY_PER_S, MAX_CAPACITY_PER_S)
        self._fleet_size = fleet_size

    def update(self, sample: CapacitySample, shedding_load: bool) -> None:
        """Adjusts the estimate to an evaluation of reports."""
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

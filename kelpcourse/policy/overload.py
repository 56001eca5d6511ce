"""Overload detection.

Signs of an overload are failures at all endpoints, response times near the latency objective, and, as the earliest
sign, more requests admitted than ended.
"""

from __future__ import annotations

from kelpcourse.policy.arithmetic import US_PER_S
from kelpcourse.policy.capacity import CapacityEstimate, CapacitySample
from kelpcourse.policy.load import BUSY_OBJECTIVE_SHARE, LoadEstimate

MAX_FAILURE_RATIO = 0.05
MIN_FAILURE_OBJECTIVE_SHARE = 0.4  # faster failures are due to packet loss, not to overload
LATE_OBJECTIVE_SHARE = 0.55  # part of the latency objective above which expected times are too long


class OverloadDetector:
    """Decides whether load is shed, and keeps the capacity estimate up to date."""

    def __init__(self, load: LoadEstimate, capacity: CapacityEstimate) -> None:
        """Starts without load shedding."""
        self._load = load
        self._capacity = capacity
        self.shedding_load = False

    def evaluate(self, now_us: int, failure_ratio: float, span_s: float) -> str | None:
        """Evaluates the load of a window; returns a log line if load shedding begins or ends."""
        load = self._load
        capacity = self._capacity
        objective_us = load.mean_latency_objective_us()
        mean_us = load.mean_response_time_us
        busy_us = BUSY_OBJECTIVE_SHARE * objective_us
        is_failing = (
            failure_ratio > MAX_FAILURE_RATIO
            and mean_us > MIN_FAILURE_OBJECTIVE_SHARE * objective_us
        )
        is_busy = mean_us > busy_us or is_failing
        is_settled = load.is_settled(now_us)
        sample = CapacitySample(
            load.completed_per_s,
            load.unanswered_per_s,
            span_s,
            mean_us / busy_us,
            is_busy,
            is_settled,
        )
        capacity.update(sample, self.shedding_load)
        expected_us = self._expected_time_us(is_settled)
        is_late = expected_us > LATE_OBJECTIVE_SHARE * objective_us
        if is_settled and (is_failing or is_late):
            return self._begin(failure_ratio, expected_us)
        if not is_busy and sum(load.offered_per_s) <= capacity.requests_per_s:
            return self._end()
        return None

    def _expected_time_us(self, is_settled: bool) -> float:
        """Returns the expected response time, which includes the time to serve the backlog."""
        mean_us = self._load.mean_response_time_us
        if not is_settled:
            return mean_us
        return max(mean_us, self._load.backlog / self._capacity.requests_per_s * US_PER_S)

    def _begin(self, failure_ratio: float, expected_us: float) -> str | None:
        if self.shedding_load:
            return None
        self.shedding_load = True
        return (
            f"overload: failed {failure_ratio:.2f}, expected {expected_us / US_PER_S:.2f} s,"
            f" V {self._capacity.requests_per_s:.0f}"
        )

    def _end(self) -> str | None:
        if not self.shedding_load:
            return None
        self.shedding_load = False
        return f"overload over, V {self._capacity.requests_per_s:.0f}/s"

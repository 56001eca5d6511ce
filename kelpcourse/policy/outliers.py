"""Outlier ejection, gradual recovery of ejected endpoints, and network partitions.

Errors of a few endpoints are attributed to these endpoints; errors spread evenly over all of them, to an overload.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.policy.endpoints import EndpointRegistry, EndpointState
from kelpcourse.policy.reports import ReportWindow

OUTLIER_MIN_FAILURE_RATIO = 0.05
OUTLIER_MIN_FAILURES = 4
OUTLIER_MIN_ODDS = 10.0  # failures per success, relative to those at the other endpoints
MAX_EJECTED_SHARE = 0.4
# A partition is assumed if the part of all endpoints that fail without any success is in this range.
PARTITION_MIN_SHARE = 0.25
PARTITION_MAX_SHARE = 0.6
MIN_HEALTH_FACTOR = 0.04
MAX_EJECTION_FACTOR = 0.5
RECOVERY_INTERVAL_US = 2_000_000
RECOVERY_FACTOR = 3.0


@dataclass(frozen=True)
class OutlierResult:
    """The result of an evaluation of all endpoints.

    Attributes:
        failure_ratio: Ratio of failures to attempts at the endpoints that are not ejected.
        ejected: Whether an endpoint was ejected, so that weights must be decreased without delay.
    """

    failure_ratio: float
    ejected: bool


@dataclass(frozen=True)
class _Totals:
    attempts: float
    failures: float

    def failure_odds_without(self, state: EndpointState) -> float:
        """Returns the failures per success at the other endpoints."""
        failures = self.failures - state.failures
        successes = self.attempts - state.attempts - self.failures + state.failures
        return failures / max(1.0, successes)


class OutlierDetector:
    """Ejects outliers and lets them recover in steps."""

    def __init__(self, registry: EndpointRegistry) -> None:
        """Initializes the detector for the endpoints of a registry."""
        self._registry = registry

    def evaluate(self, now_us: int, window: ReportWindow, settling_time_us: int) -> OutlierResult:
        """Evaluates every endpoint by its decaying sums.

        Args:
            now_us: Time of the step, in microseconds.
            window: Reports since the last evaluation.
            settling_time_us: Time, in microseconds, after an ejection in which reports may still cover earlier
                requests.
        """
        partitioned = self._partitioned(window)
        ejected = any(state.health_factor > MIN_HEALTH_FACTOR for state in partitioned)
        for state in partitioned:
            state.health_factor = MIN_HEALTH_FACTOR
            state.partitioned = True
            state.last_ejection_us = now_us
        excluded = {state.endpoint.id for state in partitioned}
        candidates = [
            state for number, state in self._registry.endpoints.items() if number not in excluded
        ]
        if self._eject_outliers(now_us, candidates, settling_time_us):
            ejected = True
        return OutlierResult(self._failure_ratio(), ejected)

    def _partitioned(self, window: ReportWindow) -> list[EndpointState]:
        """Returns the endpoints cut off by a network partition.

        Many endpoints without a success, while the others have some, are a partition. Their failures are excluded
        from the totals that the other endpoints are compared with.
        """
        unresponsive = [
            state
            for state in self._registry.states()
            if state.failures >= OUTLIER_MIN_FAILURES and window.has_no_success(state.endpoint.id)
        ]
        share = len(unresponsive) / max(1, len(self._registry))
        return unresponsive if PARTITION_MIN_SHARE <= share <= PARTITION_MAX_SHARE else []

    def _eject_outliers(
        self, now_us: int, candidates: list[EndpointState], settling_time_us: int
    ) -> bool:
        totals = _Totals(
            sum(state.attempts for state in candidates), sum(state.failures for state in candidates)
        )
        max_ejected = MAX_EJECTED_SHARE * len(self._registry)
        ejected_count = sum(1 for state in self._registry.states() if state.health_factor < 1)
        any_ejected = False
        for state in candidates:
            is_ejected = state.health_factor < 1
            settled = state.last_report_us - state.last_ejection_us >= settling_time_us
            may_eject = is_ejected or ejected_count < max_ejected
            if settled and may_eject and _is_outlier(state, totals):
                if not is_ejected:
                    ejected_count += 1
                _eject(now_us, state)
                any_ejected = True
            elif is_ejected:
                _recover(now_us, state)
        return any_ejected

    def _failure_ratio(self) -> float:
        healthy = [state for state in self._registry.states() if state.health_factor >= 1]
        failures = sum(state.failures for state in healthy)
        return failures / max(1.0, sum(state.attempts for state in healthy))


def _is_outlier(state: EndpointState, totals: _Totals) -> bool:
    expected = OUTLIER_MIN_ODDS * totals.failure_odds_without(state) * (state.successes + 1)
    return _failure_ratio_of(state) > OUTLIER_MIN_FAILURE_RATIO and state.failures >= max(
        OUTLIER_MIN_FAILURES, expected
    )


def _failure_ratio_of(state: EndpointState) -> float:
    return state.failures / max(1.0, state.attempts)


def _eject(now_us: int, state: EndpointState) -> None:
    factor = min(MAX_EJECTION_FACTOR, (1 - _failure_ratio_of(state)) ** 2)
    state.health_factor = max(MIN_HEALTH_FACTOR, state.health_factor * factor)
    state.last_ejection_us = now_us


def _recover(now_us: int, state: EndpointState) -> None:
    changed_us = max(state.last_ejection_us, state.last_recovery_us)
    if now_us - changed_us < RECOVERY_INTERVAL_US:
        return
    state.health_factor = min(1.0, state.health_factor * RECOVERY_FACTOR)
    state.last_recovery_us = now_us
    if state.health_factor >= 1:
        state.partitioned = False

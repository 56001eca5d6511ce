"""Relative capacity of endpoints, learned from response times, load reports and inherited tables."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from kelpcourse.policy.arithmetic import US_PER_S, clamp
from kelpcourse.policy.endpoints import EndpointRegistry, EndpointState
from kelpcourse.policy.reports import ReportWindow
from kelpcourse.policy.settings import EndpointId

MIN_RELATIVE_CAPACITY = 0.4
MAX_RELATIVE_CAPACITY = 2.5
MIN_SUCCESSES = 3  # successes below which an endpoint is not measured
AVERAGED_RESPONSES = 80.0  # responses of an endpoint over which corrections are averaged
FIRST_REPORT_COUNT = 1.0
PRIOR_RESPONSES = 4.0  # assumed responses that take the mean time of the endpoint's kind
MIN_UTILIZATION = 0.1  # utilization below which a load report is noise
# Throughputs of a fully used endpoint, in requests per second, outside of which a load report is ignored.
MIN_THROUGHPUT_PER_S = 1e-6
MAX_THROUGHPUT_PER_S = 1e12
# Odds of the response times at or below which load reports contradict them and are ignored.
MIN_CONSISTENT_ODDS = 0.4
MIN_LOAD_ODDS = 0.1
INHERITANCE_ATTEMPTS = 12.0  # mean attempts at an endpoint that reveal inherited weights


def _within_range(relative_capacity: float) -> float:
    return clamp(relative_capacity, MIN_RELATIVE_CAPACITY, MAX_RELATIVE_CAPACITY)


def shows_inherited_weights(registry: EndpointRegistry) -> bool:
    """Returns whether there are enough attempts to infer the weights of inherited tables from them."""
    attempts = sum(state.attempts for state in registry.states())
    return attempts >= INHERITANCE_ATTEMPTS * len(registry)


def learn_from_inherited_tables(registry: EndpointRegistry) -> None:
    """Adopts the relative capacities of the previous controller, inferred from attempts, which follow its weights."""
    attempts = sum(state.attempts for state in registry.states())
    for state in registry.states():
        nominal = registry.nominal_capacity(state)
        odds = state.attempts * len(registry) / attempts / nominal
        state.relative_capacity = _within_range(state.relative_capacity * odds)


def learn_from_reports(
    now_us: int,
    registry: EndpointRegistry,
    window: ReportWindow,
    completed_per_s: float,
    report_span_us: int,
) -> None:
    """Corrects the relative capacity of every endpoint that has reports in the window."""
    measured = [
        state
        for state in registry.states()
        if state.successes >= MIN_SUCCESSES and not registry.is_warming_up(state, now_us)
    ]
    reference = _Reference.of(measured)
    responses = max(1.0, completed_per_s * report_span_us)
    max_reports = AVERAGED_RESPONSES * len(registry) * US_PER_S / responses
    for state in measured:
        if state.endpoint.id in window.outcomes:
            report_count = min(state.report_count, max_reports)
            exponent = 1 / (FIRST_REPORT_COUNT + report_count)
            state.relative_capacity *= reference.odds(state) ** exponent
    scale = sum(state.relative_capacity for state in measured) / max(1, len(measured))
    for state in measured:
        state.relative_capacity = _within_range(state.relative_capacity / scale)


@dataclass(frozen=True)
class _Reference:
    """Means and totals of the measured endpoints, to which each of them is compared.

    Attributes:
        mean_time_us: Mean response time, in microseconds.
        prior_time_us: Total response time, in microseconds, of `PRIOR_RESPONSES` responses, by kind of endpoint.
        throughputs: Requests per second of each endpoint when fully used.
        total_throughput: Sum of the throughputs, in requests per second.
        has_all_loads: Whether the load reports of all measured endpoints give a throughput.
    """

    mean_time_us: float
    prior_time_us: dict[str, float]
    throughputs: dict[EndpointId, float]
    total_throughput: float
    has_all_loads: bool

    @classmethod
    def of(cls, measured: Sequence[EndpointState]) -> _Reference:
        """Computes the means of the measured endpoints."""
        total_time_us = max(1.0, sum(state.response_time_us for state in measured))
        total_successes = max(1.0, sum(state.successes for state in measured))
        kinds = {state.endpoint.kind for state in measured}
        throughputs = _throughputs(measured)
        return cls(
            mean_time_us=total_time_us / total_successes,
            prior_time_us={kind: _prior_time_us(kind, measured) for kind in kinds},
            throughputs=throughputs,
            total_throughput=sum(throughputs.values()),
            has_all_loads=len(throughputs) == len(measured),
        )

    def odds(self, state: EndpointState) -> float:
        """Returns the factor by which an endpoint performs better than its relative capacity suggests."""
        prior_us = self.prior_time_us[state.endpoint.kind]
        time_us = max(1.0, state.response_time_us + prior_us)
        odds = self.mean_time_us * (state.successes + PRIOR_RESPONSES) / time_us
        if not self.has_all_loads or odds <= MIN_CONSISTENT_ODDS:
            return odds
        throughput = self.throughputs[state.endpoint.id]
        relative = throughput * len(self.throughputs) / self.total_throughput
        return max(relative, MIN_LOAD_ODDS) / state.relative_capacity


def _prior_time_us(kind: str, measured: Sequence[EndpointState]) -> float:
    of_kind = [state for state in measured if state.endpoint.kind == kind]
    time_us = sum(state.response_time_us for state in of_kind)
    return PRIOR_RESPONSES * time_us / sum(state.successes for state in of_kind)


def _throughputs(measured: Sequence[EndpointState]) -> dict[EndpointId, float]:
    throughputs = {}
    for state in measured:
        utilization = state.load.get("util", 0)
        rate = state.load.get("qps", 0)
        if utilization <= MIN_UTILIZATION or rate <= 0:
            continue
        throughput = rate / utilization
        if MIN_THROUGHPUT_PER_S <= throughput <= MAX_THROUGHPUT_PER_S:
            throughputs[state.endpoint.id] = throughput
    return throughputs

"""Counts from the reports since the last evaluation."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.policy.events import DemandReport, EndpointReport
from kelpcourse.policy.settings import EndpointId


@dataclass
class Outcome:
    """The successes at an endpoint and the sum of their response times."""

    successes: float = 0.0
    response_time_us: float = 0.0


class ReportWindow:
    """The reports on endpoints and proxies between two evaluations."""

    def __init__(self, class_count: int) -> None:
        """Starts an empty window."""
        self.outcomes: dict[EndpointId, Outcome] = {}
        self.offered = [0.0] * class_count
        self.unanswered = 0.0
        self.spans_us: list[int] = []

    def add_endpoint_report(self, report: EndpointReport) -> None:
        """Adds the successes and response times that proxies measured at an endpoint."""
        successes = report.attempts - report.failed
        outcome = self.outcomes.get(report.endpoint)
        if outcome is None:
            outcome = Outcome()
            self.outcomes[report.endpoint] = outcome
        outcome.successes += successes
        outcome.response_time_us += successes * report.mean_success_us
        self.spans_us.append(report.window_us)

    def add_demand_report(self, report: DemandReport) -> None:
        """Adds the requests that reached a proxy and those that it left unanswered."""
        self.offered[report.class_index] += report.arrivals
        self.unanswered += report.unanswered

    def mean_span_us(self) -> int:
        """Returns the mean time, in microseconds, that a report covers."""
        return max(1, sum(self.spans_us) // len(self.spans_us))

    def successes(self) -> float:
        """Returns the number of successful requests."""
        return sum(outcome.successes for outcome in self.outcomes.values())

    def mean_response_time_us(self) -> float:
        """Returns the mean response time of the successes, in microseconds; 0 if there were none."""
        successes = self.successes()
        if successes <= 0:
            return 0.0
        total_us = sum(outcome.response_time_us for outcome in self.outcomes.values())
        return total_us / successes

    def has_no_success(self, number: EndpointId) -> bool:
        """Returns whether an endpoint has reports but no success."""
        outcome = self.outcomes.get(number)
        return outcome is not None and not outcome.successes

    def clear(self) -> None:
        """Starts the next window."""
        self.outcomes = {}
        self.offered = [0.0] * len(self.offered)
        self.unanswered = 0.0
        self.spans_us = []

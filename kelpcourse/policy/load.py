"""Offered load, completed requests and backlog, estimated from reports."""

from __future__ import annotations

from kelpcourse.policy.admission import AdmissionHistory
from kelpcourse.policy.arithmetic import US_PER_S, clamp
from kelpcourse.policy.reports import ReportWindow
from kelpcourse.policy.settings import Settings

EVALUATION_PERIOD_US = 1_000_000
REPORT_DELAY_US = 700_000  # delay of a report after the end of its window
MAX_EVALUATION_GAP_SPANS = 4.0  # report spans without an evaluation after which rates are reset
# Ratio of the mean response time of fully used endpoints to the latency objective.
BUSY_OBJECTIVE_SHARE = 0.5
MIN_UNIQUE_REQUEST_RATIO = 0.3
UNIQUE_RATIO_LEARNING_US = 5_000_000
BACKLOG_DECAY_US = 6_000_000


class LoadEstimate:
    """Request rates of all classes, requests in flight beyond the usual number, and mean times.

    Rates are computed from the counts of all reports in a time and averaged over a report span, because on large
    fleets the reports are spread over the report period.
    """

    def __init__(self, settings: Settings) -> None:
        """Starts without load."""
        self._classes = settings.classes
        self._transit_us = settings.mean_transit_us
        self._min_period_us = min(EVALUATION_PERIOD_US, settings.report_period_us) // 2
        self._evaluated_us = 0
        self._measured_since_us = 0
        self.offered_per_s = [0.0] * len(settings.classes)
        self.completed_per_s = 0.0
        self.unanswered_per_s = 0.0
        self.mean_response_time_us = 0.0
        self.backlog = 0.0
        self.unique_request_ratio = 1.0
        self.report_span_us = settings.report_period_us
        self.feedback_delay_us = 0

    def is_due(self, now_us: int, window: ReportWindow) -> bool:
        """Returns whether there are reports to evaluate and enough time has passed."""
        return bool(window.outcomes) and now_us - self._evaluated_us >= self._min_period_us

    def is_settled(self, now_us: int) -> bool:
        """Returns whether rates cover a report span; the first reports show more requests started than ended."""
        return now_us - self._measured_since_us >= self.report_span_us

    def settling_time_us(self) -> int:
        """Returns the time, in microseconds, after an order in which reports may cover requests before it."""
        return self.feedback_delay_us + self.report_span_us // 2

    def evaluate(self, now_us: int, window: ReportWindow, history: AdmissionHistory) -> float:
        """Updates the estimates from a window of reports; returns the time that it covers, in seconds."""
        self.report_span_us = window.mean_span_us()
        elapsed_us = self._elapsed_us(now_us)
        span_s = elapsed_us / US_PER_S
        self._update_rates(window, span_s, min(1.0, elapsed_us / self.report_span_us))
        self.feedback_delay_us = self._transit_us + REPORT_DELAY_US + self.report_span_us // 2
        self.mean_response_time_us = window.mean_response_time_us()
        self._update_backlog(now_us, window, history, span_s)
        return span_s

    def mean_latency_objective_us(self) -> float:
        """Returns the mean latency objective, in microseconds, of offered requests; infinite if there are none."""
        total = sum(
            offered * request_class.latency_objective_us
            for offered, request_class in zip(self.offered_per_s, self._classes, strict=True)
        )
        return total / sum(self.offered_per_s) if total > 0 else float("inf")

    def decay_backlog(self, span_s: float) -> None:
        """Moves the backlog towards the usual number of requests in flight, because the estimate is inaccurate."""
        usual = self.completed_per_s * self.mean_response_time_us / US_PER_S
        gain = min(1.0, span_s * US_PER_S / BACKLOG_DECAY_US)
        self.backlog = max(0.0, self.backlog + (usual - self.backlog) * gain)

    def remove_proxy(self, proxy_count: int) -> None:
        """Removes the share of one proxy from the backlog, because its requests are no longer reported.

        Args:
            proxy_count: Number of joined proxies, including the removed one.
        """
        self.backlog *= 1 - 1 / proxy_count

    def _elapsed_us(self, now_us: int) -> int:
        elapsed_us = now_us - self._evaluated_us
        self._evaluated_us = now_us
        if elapsed_us > MAX_EVALUATION_GAP_SPANS * self.report_span_us:
            self._measured_since_us = now_us
            return self.report_span_us
        return elapsed_us

    def _update_rates(self, window: ReportWindow, span_s: float, gain: float) -> None:
        self.completed_per_s += (window.successes() / span_s - self.completed_per_s) * gain
        self.unanswered_per_s += (window.unanswered / span_s - self.unanswered_per_s) * gain
        self.offered_per_s = [
            rate + (offered * self.unique_request_ratio / span_s - rate) * gain
            for rate, offered in zip(self.offered_per_s, window.offered, strict=True)
        ]

    def _update_backlog(
        self, now_us: int, window: ReportWindow, history: AdmissionHistory, span_s: float
    ) -> None:
        """Updates the backlog from admitted and ended requests; learns the unique ratio unless endpoints are busy."""
        ended = window.successes() + window.unanswered
        admitted_at_us = now_us - self.feedback_delay_us
        ratio = self.unique_request_ratio
        admitted = history.admitted(window.offered, admitted_at_us) * ratio
        rejected = sum(window.offered) * ratio - admitted
        busy_us = BUSY_OBJECTIVE_SHARE * self.mean_latency_objective_us()
        is_fast = self.mean_response_time_us < busy_us
        if is_fast:
            usual = self.completed_per_s * self.mean_response_time_us / US_PER_S
            self.backlog = min(self.backlog, usual)
        self.backlog += admitted - ended
        if is_fast and rejected > 0 and min(admitted, ended) > 0:
            self._learn_unique_ratio(admitted, rejected, ended, span_s)

    def _learn_unique_ratio(
        self, admitted: float, rejected: float, ended: float, span_s: float
    ) -> None:
        """Learns the share of requests that are not client retries.

        Client retries of rejected requests are not offered load; because of them fewer requests end than were
        admitted.
        """
        gain = min(1.0, span_s * US_PER_S / UNIQUE_RATIO_LEARNING_US)
        exponent = rejected / (rejected + admitted) * gain
        learned = self.unique_request_ratio * (ended / admitted) ** exponent
        self.unique_request_ratio = clamp(learned, MIN_UNIQUE_REQUEST_RATIO, 1.0)

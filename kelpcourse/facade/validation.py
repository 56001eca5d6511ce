"""Validation of reported values.

A single report with an invalid value could outweigh all others for as long as it affects the running means.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from kelpcourse.limits import Limits
from kelpcourse.policy.settings import Settings

Load = Sequence[tuple[str, float]]

MAX_COUNT = 1 << 53  # floats do not represent larger integers exactly
MAX_MS = 1e15
MICROSECONDS_PER_SECOND = 1e6


class InvalidReportError(ValueError):
    """Raised for a report that names something unknown to this controller or has a value that is out of range."""

    def __init__(self, subject: str, problem: str) -> None:
        """Initializes the error, whose text is the subject followed by the problem.

        Args:
            subject: What the report names, such as "zone 'x'".
            problem: What is wrong with the subject, such as "is not in the settings".
        """
        super().__init__(f"{subject} {problem}")
        self.subject = subject
        self.problem = problem


class ReportValidator:
    """Validates values against the settings and limits. Each method raises InvalidReportError."""

    def __init__(self, settings: Settings, limits: Limits) -> None:
        """Initializes a validator for the given settings and limits."""
        self._settings = settings
        self._limits = limits
        self._class_index = {
            request_class.name: index for index, request_class in enumerate(settings.classes)
        }
        max_deadline_us = max((each.deadline_us for each in settings.classes), default=0)
        self._max_mean_us = limits.max_mean_time_deadline_ratio * max_deadline_us

    def proxy(self, proxy: int) -> int:
        """Returns a proxy number that is below the number of proxies in the settings."""
        if not 0 <= proxy < self._settings.proxy_count:
            raise InvalidReportError(f"proxy {proxy}", f"is not below {self._settings.proxy_count}")
        return proxy

    def zone(self, zone: str) -> str:
        """Returns a zone that is in the settings."""
        if zone not in self._settings.zones:
            raise InvalidReportError(f"zone {zone!r:.60}", "is not in the settings")
        return zone

    def class_index(self, name: str) -> int:
        """Returns the position of a request class in the settings."""
        if name not in self._class_index:
            raise InvalidReportError(f"class {name!r:.60}", "is not in the settings")
        return self._class_index[name]

    def window_us(self, window_ms: float) -> int:
        """Converts the length of a report's window to microseconds."""
        window_us = to_microseconds(window_ms)
        if not 0 < window_us <= self._limits.max_report_window_us:
            raise InvalidReportError(f"window {window_ms} ms", "is out of range")
        return window_us

    def count_within(self, value: int, window_us: int) -> int:
        """Returns a count that is not larger than what one process can observe within a window."""
        window_s = window_us / MICROSECONDS_PER_SECOND
        if validate_count(value) > self._limits.max_report_attempts_per_s * max(1.0, window_s):
            raise InvalidReportError(f"count {value} in {window_s:.3f} s", "is out of range")
        return value

    def mean_us(self, mean_ms: float | None, successes: int) -> int:
        """Converts the mean time of successful attempts to microseconds; 0 if there are none."""
        if mean_ms is None and successes:
            raise InvalidReportError("mean time", f"is missing for {successes} successful attempts")
        mean_us = to_microseconds(mean_ms or 0.0)
        if mean_us > self._max_mean_us:
            raise InvalidReportError(f"mean time {mean_ms} ms", "exceeds every deadline")
        return mean_us


def validate_rate(value: float) -> float:
    """Returns a rate that is finite and at least 0."""
    if not math.isfinite(value) or value < 0:
        raise InvalidReportError(f"rate {value}", "is out of range")
    return value


def validate_count(value: int) -> int:
    """Returns a count that is at least 0 and small enough for a float to represent exactly."""
    if not 0 <= value < MAX_COUNT:
        raise InvalidReportError(f"count {value}", "is out of range")
    return value


def to_microseconds(time_ms: float) -> int:
    """Converts a time from milliseconds, at least 0, to whole microseconds."""
    if not math.isfinite(time_ms) or not 0 <= time_ms < MAX_MS:
        raise InvalidReportError(f"time {time_ms} ms", "is out of range")
    return round(time_ms * 1000)


def validate_load(load: Load) -> tuple[tuple[str, float], ...]:
    """Returns a load report, which has finite values by name."""
    if any(not math.isfinite(value) for _, value in load):
        raise InvalidReportError("load report", "has a value that is not finite")
    return tuple(load)

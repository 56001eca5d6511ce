"""Checks of reported figures: one spoilt report could outweigh all others for as long as means remember it."""

from __future__ import annotations

import math
from collections.abc import Sequence

from kelpcourse.limits import Limits
from kelpcourse.policy.settings import Settings

Load = Sequence[tuple[str, float]]

MAX_COUNT = 1 << 53  # beyond it a float is not exact
MAX_MS = 1e15
MICROSECONDS_PER_SECOND = 1e6


class InvalidReportError(ValueError):
    """A report names something that this controller does not know, or has a figure out of range."""

    def __init__(self, subject: str, problem: str) -> None:
        """The text is the subject, such as "zone 'x'", and the problem with it."""
        super().__init__(f"{subject} {problem}")
        self.subject = subject
        self.problem = problem


class ReportValidator:
    """Checks against the settings and limits. Each method raises InvalidReportError."""

    def __init__(self, settings: Settings, limits: Limits) -> None:
        """Takes what the checks depend on."""
        self._settings = settings
        self._limits = limits
        self._class_index = {
            request_class.name: index for index, request_class in enumerate(settings.classes)
        }
        max_deadline_us = max((each.deadline_us for each in settings.classes), default=0)
        self._max_mean_us = limits.max_mean_time_deadline_ratio * max_deadline_us

    def proxy(self, proxy: int) -> int:
        """A proxy that the settings allow for."""
        if not 0 <= proxy < self._settings.proxy_count:
            raise InvalidReportError(f"proxy {proxy}", f"is not below {self._settings.proxy_count}")
        return proxy

    def zone(self, zone: str) -> str:
        """A zone of the settings."""
        if zone not in self._settings.zones:
            raise InvalidReportError(f"zone {zone!r:.60}", "is not in the settings")
        return zone

    def class_index(self, name: str) -> int:
        """The position of a class in the settings."""
        if name not in self._class_index:
            raise InvalidReportError(f"class {name!r:.60}", "is not in the settings")
        return self._class_index[name]

    def window_us(self, window_ms: float) -> int:
        """The time that a report covers, in microseconds."""
        window_us = microseconds(window_ms)
        if not 0 < window_us <= self._limits.max_report_window_us:
            raise InvalidReportError(f"window {window_ms}", "is out of range")
        return window_us

    def count_within(self, value: int, window_us: int) -> int:
        """A count of what one process can have seen within a window."""
        window_s = window_us / MICROSECONDS_PER_SECOND
        if count(value) > self._limits.max_report_attempts_per_s * max(1.0, window_s):
            raise InvalidReportError(f"{value} in {window_s:.3f} s", "are out of range")
        return value

    def mean_us(self, mean_ms: float | None, successes: int) -> int:
        """The mean time of successful attempts in microseconds, 0 if there are none."""
        if mean_ms is None and successes:
            raise InvalidReportError("no mean time", f"of {successes} successful attempts")
        mean_us = microseconds(mean_ms or 0.0)
        if mean_us > self._max_mean_us:
            raise InvalidReportError(f"mean time {mean_ms}", "is beyond every deadline")
        return mean_us


def rate(value: float) -> float:
    """A rate from 0 up."""
    if not math.isfinite(value) or value < 0:
        raise InvalidReportError(f"rate {value}", "is out of range")
    return value


def count(value: int) -> int:
    """A count from 0 up."""
    if not 0 <= value < MAX_COUNT:
        raise InvalidReportError(f"count {value}", "is out of range")
    return value


def microseconds(time_ms: float) -> int:
    """Milliseconds from 0 up, in whole microseconds."""
    if not math.isfinite(time_ms) or not 0 <= time_ms < MAX_MS:
        raise InvalidReportError(f"time {time_ms}", "is out of range")
    return round(time_ms * 1000)


def load_report(load: Load) -> tuple[tuple[str, float], ...]:
    """Finite figures by name."""
    if any(not math.isfinite(value) for _, value in load):
        raise InvalidReportError("a load report", "is out of range")
    return tuple(load)

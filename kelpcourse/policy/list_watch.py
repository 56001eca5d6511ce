"""The watch of the endpoint list where discovery answers only when asked."""

from __future__ import annotations

from kelpcourse.policy.arithmetic import spread
from kelpcourse.policy.settings import Settings

FIRST_BACKOFF_US = 500_000
MAX_BACKOFF_DIVISOR = 4  # of the time within which the list must be asked for


class ListWatch:
    """Restarts a watch that failed, after a backoff that differs between controllers."""

    def __init__(self, settings: Settings) -> None:
        """Starts without a watch."""
        self._must_ask = settings.discovery_is_polled
        self._max_backoff_us = max(
            FIRST_BACKOFF_US, settings.discovery_poll_deadline_us // MAX_BACKOFF_DIVISOR
        )
        self._jitter = 1 + spread(settings.controller_index)
        self._backoff_us = FIRST_BACKOFF_US
        self._next_due_us = 0
        self._watching = False

    def failed(self, now_us: int) -> None:
        """The watch ended or the list could not be read."""
        self._watching = False
        self._next_due_us = now_us + int(self._backoff_us * self._jitter)
        self._backoff_us = min(self._backoff_us * 2, self._max_backoff_us)

    def succeeded(self) -> None:
        """A list arrived."""
        self._backoff_us = FIRST_BACKOFF_US

    def start_if_due(self, now_us: int) -> bool:
        """Whether the watch is to start in this step; it counts as started then."""
        if not self._must_ask or self._watching or now_us < self._next_due_us:
            return False
        self._watching = True
        return True

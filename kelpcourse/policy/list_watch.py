"""The watch of the endpoint list in deployments where discovery responds only to requests."""

from __future__ import annotations

from kelpcourse.policy.arithmetic import spread
from kelpcourse.policy.settings import Settings

FIRST_BACKOFF_US = 500_000
MAX_BACKOFF_DIVISOR = 4  # divisor of the discovery poll deadline that gives the maximum backoff


class ListWatch:
    """Restarts a failed watch after a backoff that differs between controllers."""

    def __init__(self, settings: Settings) -> None:
        """Starts without a watch."""
        self._is_polled = settings.discovery_is_polled
        self._max_backoff_us = max(
            FIRST_BACKOFF_US, settings.discovery_poll_deadline_us // MAX_BACKOFF_DIVISOR
        )
        self._jitter = 1 + spread(settings.controller_index)
        self._backoff_us = FIRST_BACKOFF_US
        self._next_due_us = 0
        self._watching = False

    def failed(self, now_us: int) -> None:
        """Schedules a restart because the watch ended or the list could not be read."""
        self._watching = False
        self._next_due_us = now_us + int(self._backoff_us * self._jitter)
        self._backoff_us = min(self._backoff_us * 2, self._max_backoff_us)

    def succeeded(self) -> None:
        """Resets the backoff because a list arrived."""
        self._backoff_us = FIRST_BACKOFF_US

    def start_if_due(self, now_us: int) -> bool:
        """Returns whether the watch must start in this step, and if so marks it as started."""
        if not self._is_polled or self._watching or now_us < self._next_due_us:
            return False
        self._watching = True
        return True

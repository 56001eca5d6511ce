"""Refresh, retry and expire timers of a secondary (RFC 1034, section 4.3.5; RFC 1996), without I/O.

Times are in microseconds on a monotonic clock. A round of queries is sent to one primary after the other until one
responds. The next round starts after the refresh time of the SOA record if one responded, otherwise after its retry
time.
"""

from __future__ import annotations

from collections.abc import Sequence

from kelpcourse.limits import Limits
from kelpcourse.zones.records import Soa

SECOND_US = 1_000_000


class RefreshTimer:
    """Computes when the primaries of one zone are queried and when the zone expires."""

    def __init__(self, limits: Limits, primaries: Sequence[str], now_us: int) -> None:
        """Initializes a timer without a version of the zone; the first round is due immediately."""
        self._limits = limits
        self._primaries = list(primaries)
        self._soa: Soa | None = None
        self._next_us = now_us
        self._expires_us: int | None = None  # None if the secondary has no version of the zone
        self._failed_count = 0  # number of primaries whose query failed in this round
        # Index of the primary that a round queries first, which is the last one that responded.
        self._first_index = 0
        self._notified_in_round = False
        self._round_running = False
        self._round_ended_us = now_us - limits.notify_batching_us

    def set_soa(self, soa: Soa, confirmed_us: int) -> None:
        """Sets the timers from the SOA record of the current version, last confirmed by a primary at `confirmed_us`."""
        self._soa = soa
        self._expires_us = confirmed_us + soa.expire * SECOND_US

    def next_due_us(self) -> int:
        """Returns the time at which the next round is due."""
        return self._next_us

    def expires_us(self) -> int | None:
        """Returns the time at which the zone expires; None if the secondary has no version of it."""
        return self._expires_us

    def is_expired(self, now_us: int) -> bool:
        """Returns whether no primary has confirmed the zone within the expire time of the SOA record."""
        return self._expires_us is not None and now_us >= self._expires_us

    def begin_query(self, now_us: int) -> str | None:
        """Returns the primary to query now, or None if no query is due; starts a round if one is due."""
        if not self._round_running:
            if now_us < self._next_us:
                return None
            self._round_running = True
            self._failed_count = 0
            self._notified_in_round = False
        return self._primaries[self._current_index()]

    def notify(self, now_us: int) -> None:
        """Handles a NOTIFY message; many of them in a short time lead to one round (RFC 1996, section 4.5)."""
        if self._round_running:
            self._notified_in_round = True
            return
        earliest_us = max(now_us, self._round_ended_us + self._limits.notify_batching_us)
        self._next_us = min(self._next_us, earliest_us)

    def query_succeeded(self, now_us: int, *, confirmed: bool) -> None:
        """Ends the round after a primary responded and its version, if newer, was transferred.

        Args:
            now_us: Current time in microseconds.
            confirmed: Whether the primary has the current version, which postpones the expiry.
        """
        self._first_index = self._current_index()
        if confirmed and self._soa is not None:
            self._expires_us = now_us + self._soa.expire * SECOND_US
        wait_s = self._soa.refresh if self._soa is not None else 0
        self._end_round(now_us, wait_s, self._limits.min_zone_refresh_us)

    def query_failed(self, now_us: int) -> bool:
        """Records that a primary did not respond, or that its response cannot be used or contradicts the zone.

        Returns whether another primary is to be queried immediately; if not, the round has ended.
        """
        self._failed_count += 1
        if self._failed_count < len(self._primaries):
            return True
        wait_s = self._soa.retry if self._soa is not None else 0
        self._end_round(now_us, wait_s, self._limits.min_zone_retry_us)
        return False

    def _current_index(self) -> int:
        return (self._first_index + self._failed_count) % len(self._primaries)

    def _end_round(self, now_us: int, wait_s: int, min_wait_us: int) -> None:
        """Ends a round and schedules the next one within the limits, whatever the times of the SOA record are."""
        self._round_running = False
        self._round_ended_us = now_us
        wait_us = min(max(wait_s * SECOND_US, min_wait_us), self._limits.max_zone_refresh_us)
        if self._notified_in_round:
            wait_us = self._limits.notify_batching_us
        self._next_us = now_us + wait_us

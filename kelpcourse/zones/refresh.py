"""When a secondary queries its primaries, and when a zone expires (RFC 1034, section 4.3.5; RFC 1996). Pure.

Times are in microseconds on a monotonic clock. A round queries one primary after the other until one answers; the
next round follows after the SOA's refresh time if one answered, and after its retry time if none did.
"""

from __future__ import annotations

from collections.abc import Sequence

from kelpcourse.limits import Limits
from kelpcourse.zones.records import Soa

SECOND_US = 1_000_000


class RefreshTimer:
    """The refresh, retry and expire times of one zone."""

    def __init__(self, limits: Limits, primaries: Sequence[str], now_us: int) -> None:
        """Starts without a version of the zone, with the first round due immediately."""
        self._limits = limits
        self._primaries = list(primaries)
        self._soa: Soa | None = None
        self._next_us = now_us
        self._expires_us: int | None = None  # None: there is no version
        self._queried_count = 0  # primaries queried in this round
        self._first_index = 0  # where a round begins: the primary that answered last
        self._notified_in_round = False
        self._round_running = False
        self._round_ended_us = now_us - limits.notify_batching_us

    def set_soa(self, soa: Soa, confirmed_us: int) -> None:
        """Takes the times from the current version, which a primary last confirmed then."""
        self._soa = soa
        self._expires_us = confirmed_us + soa.expire * SECOND_US

    def next_due_us(self) -> int:
        """Returns when the next round is due."""
        return self._next_us

    def expires_us(self) -> int | None:
        """Returns when the zone expires; None without a version of it."""
        return self._expires_us

    def is_expired(self, now_us: int) -> bool:
        """Whether nothing confirmed the zone for the SOA's expire time."""
        return self._expires_us is not None and now_us >= self._expires_us

    def begin_query(self, now_us: int) -> str | None:
        """Returns the primary to be queried now; None if no query is due."""
        if not self._round_running:
            if now_us < self._next_us:
                return None
            self._round_running = True
            self._queried_count = 0
            self._notified_in_round = False
        return self._primaries[self._current_index()]

    def notify(self, now_us: int) -> None:
        """Takes a NOTIFY in; many in a short time lead to one round (RFC 1996, section 4.5)."""
        if self._round_running:
            self._notified_in_round = True
            return
        earliest_us = max(now_us, self._round_ended_us + self._limits.notify_batching_us)
        self._next_us = min(self._next_us, earliest_us)

    def query_succeeded(self, now_us: int, *, confirmed: bool) -> None:
        """Ends the round: a primary answered, and a newer version has been fetched.

        Args:
            now_us: the time.
            confirmed: whether the primary has the current version.
        """
        self._first_index = self._current_index()
        if confirmed and self._soa is not None:
            self._expires_us = now_us + self._soa.expire * SECOND_US
        wait_s = self._soa.refresh if self._soa is not None else 0
        self._end_round(now_us, wait_s, self._limits.min_zone_refresh_us)

    def query_failed(self, now_us: int) -> bool:
        """Notes that a primary did not answer or sent what cannot be used.

        Returns whether another primary is to be queried immediately.
        """
        self._queried_count += 1
        if self._queried_count < len(self._primaries):
            return True
        wait_s = self._soa.retry if self._soa is not None else 0
        self._end_round(now_us, wait_s, self._limits.min_zone_retry_us)
        return False

    def _current_index(self) -> int:
        return (self._first_index + self._queried_count) % len(self._primaries)

    def _end_round(self, now_us: int, wait_s: int, min_wait_us: int) -> None:
        """The limits hold whatever the times of the SOA are."""
        self._round_running = False
        self._round_ended_us = now_us
        wait_us = min(max(wait_s * SECOND_US, min_wait_us), self._limits.max_zone_refresh_us)
        if self._notified_in_round:
            wait_us = self._limits.notify_batching_us
        self._next_us = now_us + wait_us

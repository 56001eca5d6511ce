"""When a secondary asks its primaries and when a zone has expired (RFC 1034, 4.3.5; RFC 1996). Pure.

Times in microseconds on a clock that never goes back. A round asks one primary after the other until one answers;
the SOA's refresh follows a round with an answer, its retry one without.
"""

from __future__ import annotations

from collections.abc import Sequence

from kelpcourse.limits import Limits
from kelpcourse.zones.content import Soa

SECOND_US = 1_000_000


class Refresh:
    def __init__(self, limits: Limits, primaries: Sequence[str], now_us: int) -> None:
        self._limits = limits
        self._primaries = list(primaries)
        self._soa: Soa | None = None
        self._next_us = now_us
        self._expires_us: int | None = None  # None: no zone is held
        self._asked = 0  # primaries asked in this round
        self._first = 0  # where the round begins: whoever answered last
        self._failures = 0  # rounds in a row without an answer
        self._again = False  # a NOTIFY came while a round was under way
        self._running = False
        self._ended_us = now_us - limits.notify_batching_us  # the last round

    def hold(self, soa: Soa, confirmed_us: int) -> None:
        """A zone is held that a primary last confirmed then, be it before this process started."""
        self._soa = soa
        self._expires_us = confirmed_us + soa.expire * SECOND_US

    @property
    def failures(self) -> int:
        return self._failures

    def due_us(self) -> int:
        return self._next_us

    def expires_us(self) -> int | None:
        return self._expires_us

    def expired(self, now_us: int) -> bool:
        return self._expires_us is not None and now_us >= self._expires_us

    def begin(self, now_us: int) -> str | None:
        """The primary to be asked now, if it is time."""
        if now_us < self._next_us and not self._running:
            return None
        if not self._running:
            self._running, self._asked, self._again = True, 0, False
        return self._primaries[(self._first + self._asked) % len(self._primaries)]

    def notified(self, now_us: int) -> None:
        """A primary tells of a change. A flood of it makes no flood of questions."""
        if self._running:
            self._again = True
        else:
            self._next_us = min(
                self._next_us, max(now_us, self._ended_us + self._limits.notify_batching_us)
            )

    def answered(self, now_us: int, confirms: bool) -> None:
        """The primary being asked gave an answer and, if there was something to fetch, it was fetched.
        `confirms`: the zone held is what it has."""
        self._first = (self._first + self._asked) % len(self._primaries)
        self._failures = 0
        if confirms and self._soa is not None:
            self._expires_us = now_us + self._soa.expire * SECOND_US
        self._end(
            now_us,
            self._soa.refresh if self._soa is not None else 0,
            self._limits.min_zone_refresh_us,
        )

    def failed(self, now_us: int) -> bool:
        """It did not answer, or its answer can't be used. Tells whether another one is to be asked at once."""
        self._asked += 1
        if self._asked < len(self._primaries):
            return True
        self._failures += 1
        self._end(
            now_us,
            self._soa.retry if self._soa is not None else 0,
            self._limits.min_zone_retry_us,
        )
        return False

    def _end(self, now_us: int, wait_s: int, least_us: int) -> None:
        """Without a zone it is tried again soon; a SOA with silly times must not make a flood of questions."""
        self._running = False
        self._ended_us = now_us
        wait_us = min(max(wait_s * SECOND_US, least_us), self._limits.max_zone_refresh_us)
        self._next_us = now_us + (self._limits.notify_batching_us if self._again else wait_us)

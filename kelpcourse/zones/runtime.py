"""The interface between the zone service and the process that hosts it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.wire.loop import Coroutine, Loop
from kelpcourse.wire.runtime import EventLog

US_PER_MS = 1_000

CoroutineFactory = Callable[[], Coroutine[None]]
StartCoroutine = Callable[[str, CoroutineFactory], object]


class EndpointListListener(Protocol):
    """Interface for changes of the merged endpoint list."""

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Handles the whole list if `complete`, otherwise the endpoints that changed or were removed."""

    def list_unavailable(self) -> None:
        """Handles the expiry of every zone; the endpoints stay in the list."""


@dataclass(frozen=True)
class ZoneRuntime:
    """The parts that the components of the service share.

    Attributes:
        loop: Event loop, whose clock is Unix time in microseconds.
        limits: Limits of the process.
        counters: Counters of the process.
        log: Event log.
        start_coroutine: Function that starts a named coroutine that must keep running, and restarts it after an error.
    """

    loop: Loop
    limits: Limits
    counters: Counters
    log: EventLog
    start_coroutine: StartCoroutine

    def now_us(self) -> int:
        """Returns the time of the loop's clock, which is Unix time and never goes back, in microseconds."""
        return self.loop.clock()

    def unix_ms(self) -> int:
        """Returns the Unix time, in milliseconds."""
        return self.loop.clock() // US_PER_MS

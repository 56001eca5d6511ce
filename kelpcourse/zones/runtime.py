"""What the service of zones is given by the process that hosts it."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.wire.loop import Coroutine, Loop
from kelpcourse.wire.runtime import EventLog

CoroutineFactory = Callable[[], Coroutine[None]]
StartCoroutine = Callable[[str, CoroutineFactory], object]


class EndpointListListener(Protocol):
    """Takes changes of the merged endpoint list."""

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Takes the whole list if `complete`, else the endpoints that changed or are gone."""

    def list_unavailable(self) -> None:
        """Takes in that every zone has expired; the endpoints stay."""


@dataclass(frozen=True)
class ZoneRuntime:
    """The parts that the components of the service share."""

    loop: Loop
    limits: Limits
    counters: Counters
    log: EventLog
    start_coroutine: StartCoroutine  # keeps a coroutine running that must not end

    def now_us(self) -> int:
        """Returns the time of the loop's monotonic clock."""
        return self.loop.clock()

    def unix_ms(self) -> int:
        """Returns the Unix time."""
        return time.time_ns() // 1_000_000

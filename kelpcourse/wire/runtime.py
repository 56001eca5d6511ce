"""What every counterpart is handed: the door to the module, limits, counters, log and the loop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kelpcourse.facade import Facade
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.loop import Loop


class EventLog(Protocol):
    def event(self, name: str, **fields: object) -> None: ...

    def always(self, name: str, **fields: object) -> None: ...


@dataclass(frozen=True)
class Runtime:
    facade: Facade
    limits: Limits
    counters: Counters
    log: EventLog
    loop: Loop

    @property
    def clock(self) -> Callable[[], int]:
        return self.loop.clock

    def bad_message(self, source: str, error: Exception) -> None:
        """A message that can't be used is counted, logged at a bounded rate and skipped."""
        self.counters.add(f"{source}_messages_rejected")
        self.log.event("message_rejected", source=source, reason=str(error))


class Backoff:
    """Waits that double from failure to failure, up to a limit. `spread`, below 1, is the part by which they are
    longer here: where all directors ask one service, each has its own, or they would come together for ever."""

    def __init__(self, limits: Limits, most_us: int = 0, spread: float = 0.0) -> None:
        self._limits = limits
        self._most_us = most_us or limits.max_backoff_us
        self._spread = spread
        self._next_us = limits.min_backoff_us

    def next_us(self) -> int:
        wait, self._next_us = self._next_us, min(self._next_us * 2, self._most_us)
        return round(wait * (1 + self._spread))

    def reset(self) -> None:
        self._next_us = self._limits.min_backoff_us

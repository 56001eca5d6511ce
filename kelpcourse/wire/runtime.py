"""What each component of a controller is handed: facade, limits, counters, log and loop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kelpcourse.facade import Facade
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.loop import Loop


class EventLog(Protocol):
    """A structured log."""

    def event(self, name: str, **fields: object) -> None:
        """Log an event, unless too many of its name were logged lately."""

    def always(self, name: str, **fields: object) -> None:
        """Log an event whatever was logged before."""


@dataclass(frozen=True)
class Runtime:
    """The parts that components share."""

    facade: Facade
    limits: Limits
    counters: Counters
    log: EventLog
    loop: Loop

    @property
    def clock(self) -> Callable[[], int]:
        """Gives the time in microseconds."""
        return self.loop.clock

    def reject_message(self, source: str, error: Exception) -> None:
        """Count and log a message that can't be used and is skipped."""
        self.counters.add(f"{source}_messages_rejected")
        self.log.event("message_rejected", source=source, reason=str(error))


class Backoff:
    """Exponential backoff: waits that double from failure to failure, up to a maximum."""

    def __init__(self, limits: Limits, max_us: int = 0, spread: float = 0.0) -> None:
        """Create a backoff that starts at its minimum.

        Args:
            limits: The first wait, and the default of the maximum.
            max_us: The longest wait; 0 means the default.
            spread: Fraction below 1 by which the waits are longer here. Where all controllers call
                one service each has its own, so that their retries don't stay synchronised.
        """
        self._limits = limits
        self._max_us = max_us or limits.max_backoff_us
        self._spread = spread
        self._next_us = limits.min_backoff_us

    def next_us(self) -> int:
        """Give the next wait in microseconds."""
        wait_us = self._next_us
        self._next_us = min(wait_us * 2, self._max_us)
        return round(wait_us * (1 + self._spread))

    def reset(self) -> None:
        """Start from the minimum again."""
        self._next_us = self._limits.min_backoff_us

"""The objects shared by the components of a controller: facade, limits, counters, log and loop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kelpcourse.facade import Facade
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.loop import Loop


class EventLog(Protocol):
    """Interface of a structured log."""

    def event(self, name: str, **fields: object) -> None:
        """Logs an event, unless too many events of this name were logged recently."""

    def always(self, name: str, **fields: object) -> None:
        """Logs an event regardless of the number of events logged before."""


@dataclass(frozen=True)
class Runtime:
    """The objects that all components of a controller share."""

    facade: Facade
    limits: Limits
    counters: Counters
    log: EventLog
    loop: Loop

    @property
    def clock(self) -> Callable[[], int]:
        """A function that returns the time in microseconds."""
        return self.loop.clock

    def send_deadline_us(self) -> int:
        """Returns the time of the clock, in microseconds, by which a request that is sent now must be written."""
        return self.clock() + self.limits.send_timeout_us

    def reject_message(self, source: str, error: Exception) -> None:
        """Counts and logs an invalid message that is skipped."""
        self.counters.add(f"{source}_messages_rejected")
        self.log.event("message_rejected", source=source, reason=str(error))


class Backoff:
    """Exponential backoff, with delays that double after each failure up to a maximum."""

    def __init__(self, limits: Limits, max_us: int = 0, spread: float = 0.0) -> None:
        """Initializes a backoff that starts with the minimum delay.

        Args:
            limits: Limits that contain the minimum delay and the default of the maximum delay.
            max_us: Maximum delay in microseconds, before `spread` is applied; 0 means the default.
            spread: Fraction below 1 by which all delays are longer. If all controllers call the same service, each uses
                a different fraction, so that their retries don't stay synchronised.
        """
        self._limits = limits
        self._max_us = max_us or limits.max_backoff_us
        self._spread = spread
        self._next_us = limits.min_backoff_us

    def next_us(self) -> int:
        """Returns the next delay in microseconds and doubles the one after it, up to the maximum."""
        wait_us = self._next_us
        self._next_us = min(wait_us * 2, self._max_us)
        return round(wait_us * (1 + self._spread))

    def reset(self) -> None:
        """Resets the next delay to the minimum."""
        self._next_us = self._limits.min_backoff_us

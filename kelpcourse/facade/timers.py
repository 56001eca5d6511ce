"""Queue of the timers that the policy has set."""

from __future__ import annotations

import heapq


class TimerQueue:
    """A bounded queue of timers, each of which fires once."""

    def __init__(self, max_timers: int) -> None:
        """Initializes an empty queue.

        Args:
            max_timers: Maximum number of pending timers.
        """
        self._max_timers = max_timers
        self._timers: list[tuple[int, int, str]] = []  # heap of due time, sequence number and name
        self._last_number = 0

    def add(self, name: str, due_us: int) -> bool:
        """Adds a timer. Returns False, and adds nothing, if the maximum number is pending."""
        if len(self._timers) >= self._max_timers:
            return False
        self._last_number += 1
        heapq.heappush(self._timers, (due_us, self._last_number, name))
        return True

    def next_due_us(self) -> int | None:
        """Returns the time in microseconds at which the next timer is due, or None if none is pending."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now_us: int) -> list[str]:
        """Removes the timers that are due and returns their names in the order of their due times."""
        fired = []
        while self._timers and self._timers[0][0] <= now_us:
            _, _, name = heapq.heappop(self._timers)
            fired.append(name)
        return fired

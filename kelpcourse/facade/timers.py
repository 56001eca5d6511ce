"""Timers that the policy has set."""

from __future__ import annotations

import heapq


class TimerQueue:
    """A bounded number of timers, each of which fires once."""

    def __init__(self, max_timers: int) -> None:
        """Starts empty."""
        self._max_timers = max_timers
        self._timers: list[tuple[int, int, str]] = []  # when it is due, its number, its name
        self._last_number = 0

    def add(self, name: str, due_us: int) -> bool:
        """Adds a timer; False if there are too many."""
        if len(self._timers) >= self._max_timers:
            return False
        self._last_number += 1
        heapq.heappush(self._timers, (due_us, self._last_number, name))
        return True

    def next_due_us(self) -> int | None:
        """When the next timer fires, or None."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now_us: int) -> list[str]:
        """Removes the timers that are due and returns their names, in the order of their times."""
        fired = []
        while self._timers and self._timers[0][0] <= now_us:
            _, _, name = heapq.heappop(self._timers)
            fired.append(name)
        return fired

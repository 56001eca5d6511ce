"""Named counters of messages, calls and errors."""

from __future__ import annotations


class Counters:
    """Named counters that never decrease, logged on SIGUSR1 and at the end of the process."""

    def __init__(self) -> None:
        """Initializes an empty set of counters; a counter that was never added to is 0."""
        self._counts: dict[str, int] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""
        self._counts[name] = self._counts.get(name, 0) + count

    def record_max(self, name: str, value: int) -> None:
        """Raises a counter to a value if its current value is lower."""
        self._counts[name] = max(value, self._counts.get(name, 0))

    def __getitem__(self, name: str) -> int:
        """Returns the value of a counter."""
        return self._counts.get(name, 0)

    def snapshot(self) -> dict[str, int]:
        """Returns the values of all counters, sorted by name."""
        return dict(sorted(self._counts.items()))

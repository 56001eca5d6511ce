"""Counters of what is received, sent and answered, by name."""

from __future__ import annotations


class Counters:
    """Figures that only grow, logged on request and at the end."""

    def __init__(self) -> None:
        """Starts with none; a counter that was never added to is 0."""
        self._counts: dict[str, int] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""
        self._counts[name] = self._counts.get(name, 0) + count

    def record_max(self, name: str, value: int) -> None:
        """Raises a counter to a value if it is below it."""
        self._counts[name] = max(value, self._counts.get(name, 0))

    def __getitem__(self, name: str) -> int:
        """The value of a counter."""
        return self._counts.get(name, 0)

    def snapshot(self) -> dict[str, int]:
        """All counters, sorted by name."""
        return dict(sorted(self._counts.items()))

"""Counters of what is taken in, sent and answered, by name."""

from __future__ import annotations


class Counters:
    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def add(self, name: str, count: int = 1) -> None:
        self._counts[name] = self._counts.get(name, 0) + count

    def most(self, name: str, value: int) -> None:
        self._counts[name] = max(value, self._counts.get(name, 0))

    def __getitem__(self, name: str) -> int:
        return self._counts.get(name, 0)

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self._counts.items()))

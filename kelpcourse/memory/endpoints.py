"""Endpoints by name: the number that the decisions know each by, and its address."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from kelpcourse.policy.events import EndpointStatus


@dataclass(frozen=True)
class ListedEndpoint:
    """An entry of discovery's endpoint list, by name."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    status: EndpointStatus
    weight: float
    started_ms: float  # Unix time, 0: long ago


class EndpointRegistry:
    """Names once listed keep their number, up to a limit; those longest gone are forgotten first."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._next = 1
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._addresses: dict[str, tuple[str, int]] = {}  # of those listed now
        self._gone: dict[str, None] = {}  # in the order they went

    def __len__(self) -> int:
        return len(self._numbers)

    def take(self, members: Sequence[ListedEndpoint], whole: bool) -> None:
        if whole:
            named = {member.name for member in members}
            for name in [name for name in self._addresses if name not in named]:
                self._leave(name)
        for member in members:
            if member.name not in self._numbers:
                self._numbers[member.name] = self._next
                self._names[self._next] = member.name
                self._next += 1
            if member.status is EndpointStatus.GONE:
                self._leave(member.name)
            else:
                self._addresses[member.name] = member.address
                self._gone.pop(member.name, None)
        self._forget()

    def _leave(self, name: str) -> None:
        self._addresses.pop(name, None)
        self._gone.pop(name, None)
        self._gone[name] = None

    def _forget(self) -> None:
        while len(self._numbers) > self._most and self._gone:
            name = next(iter(self._gone))
            del self._gone[name]
            del self._names[self._numbers.pop(name)]

    def number(self, name: str) -> int | None:
        return self._numbers.get(name)

    def name(self, number: int) -> str | None:
        return self._names.get(number)

    def address(self, name: str) -> tuple[str, int] | None:
        return self._addresses.get(name)

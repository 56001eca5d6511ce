"""The endpoint list: what it says of each endpoint, and the numbers that the policy knows them by."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from kelpcourse.policy.events import EndpointStatus


@dataclass(frozen=True)
class ListedEndpoint:
    """An entry of the endpoint list."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    status: EndpointStatus
    weight: float  # relative capacity
    started_ms: float  # Unix time, 0: long ago


class EndpointRegistry:
    """Numbers for the names of endpoints, kept after an endpoint has gone.

    Beyond a limit those that have been gone longest are forgotten.
    """

    def __init__(self, max_names: int) -> None:
        """Starts empty.

        Args:
            max_names: Names to remember; those that are listed always are.
        """
        self._max_names = max_names
        self._next_number = 1
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._addresses: dict[str, tuple[str, int]] = {}  # of those listed now
        self._gone: dict[str, None] = {}  # in the order they went

    def __len__(self) -> int:
        """Names remembered."""
        return len(self._numbers)

    def update(self, endpoints: Sequence[ListedEndpoint], full_list: bool) -> None:
        """Takes changes of the list or, if `full_list`, all of it: those not in it are gone."""
        if full_list:
            listed = {endpoint.name for endpoint in endpoints}
            for name in list(self._addresses):
                if name not in listed:
                    self._mark_gone(name)
        for endpoint in endpoints:
            self._assign_number(endpoint.name)
            if endpoint.status is EndpointStatus.GONE:
                self._mark_gone(endpoint.name)
            else:
                self._addresses[endpoint.name] = endpoint.address
                self._gone.pop(endpoint.name, None)
        self._forget_oldest()

    def _assign_number(self, name: str) -> None:
        if name in self._numbers:
            return
        self._numbers[name] = self._next_number
        self._names[self._next_number] = name
        self._next_number += 1

    def _mark_gone(self, name: str) -> None:
        self._addresses.pop(name, None)
        self._gone.pop(name, None)
        self._gone[name] = None

    def _forget_oldest(self) -> None:
        while len(self._numbers) > self._max_names and self._gone:
            name = next(iter(self._gone))
            del self._gone[name]
            del self._names[self._numbers.pop(name)]

    def number_of(self, name: str) -> int | None:
        """The number of a name, or None if it was never listed or is forgotten."""
        return self._numbers.get(name)

    def name_of(self, number: int) -> str | None:
        """The name with a number, or None if it is forgotten."""
        return self._names.get(number)

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Where an endpoint listens, or None if it is not listed now."""
        return self._addresses.get(name)

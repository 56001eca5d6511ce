"""The endpoint list: its entries, and the numbers by which the policy identifies endpoints."""

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
    started_ms: float  # Unix time of the start in milliseconds; 0 if the endpoint started long ago


class EndpointRegistry:
    """Assigns numbers to endpoint names and keeps them after an endpoint has left the list.

    Beyond a limit, the names that left the list longest ago are evicted.
    """

    def __init__(self, max_names: int) -> None:
        """Initializes an empty registry.

        Args:
            max_names: Maximum number of names to retain. Names of listed endpoints are always retained.
        """
        self._max_names = max_names
        self._next_number = 1
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._addresses: dict[str, tuple[str, int]] = {}  # addresses of listed endpoints, by name
        self._gone: dict[str, None] = {}  # names that left the list, oldest first

    def __len__(self) -> int:
        """Returns the number of retained names."""
        return len(self._numbers)

    def update(self, endpoints: Sequence[ListedEndpoint], full_list: bool) -> None:
        """Applies changes to the list.

        If `full_list` is true, the endpoints are the complete list, and all others are marked as gone.
        """
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
        self._evict_oldest()

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

    def _evict_oldest(self) -> None:
        while len(self._numbers) > self._max_names and self._gone:
            name = next(iter(self._gone))
            del self._gone[name]
            del self._names[self._numbers.pop(name)]

    def number_of(self, name: str) -> int | None:
        """Returns the number of a name, or None if the name was never listed or has been evicted."""
        return self._numbers.get(name)

    def name_of(self, number: int) -> str | None:
        """Returns the name with a number, or None if the name has been evicted."""
        return self._names.get(number)

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Returns the address at which an endpoint listens, or None if it is not listed."""
        return self._addresses.get(name)

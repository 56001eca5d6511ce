"""The source of the endpoint list, where it is not discovery."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kelpcourse.policy.settings import Settings
from kelpcourse.service.process import CoroutineFactory
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address

Supervise = Callable[[str, CoroutineFactory], None]


class EndpointSource(Protocol):
    """Reports the endpoint list to the facade that it was constructed with."""

    def start(self) -> None:
        """Reports what is known at the start and begins to follow changes."""
        ...

    def close(self) -> None:
        """Releases what the source holds open."""
        ...

    def reread(self) -> None:
        """Reads again what an operator has changed."""
        ...

    def watch(self, on: bool) -> None:
        """Begins or ends the watch of the list, as the policy asks."""
        ...

    def fetch(self) -> None:
        """Reports the complete list once more."""
        ...

    def reconnect_to(self, address: Address) -> None:
        """Follows discovery to a new address."""
        ...


EndpointSourceFactory = Callable[[Runtime, Settings, Supervise], EndpointSource]

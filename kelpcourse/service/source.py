"""Interface of an endpoint list source that replaces discovery."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kelpcourse.policy.settings import Settings
from kelpcourse.service.process import CoroutineFactory
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address

Supervise = Callable[[str, CoroutineFactory], None]


class EndpointSource(Protocol):
    """A source that reports the endpoint list to the facade of its runtime."""

    def start(self) -> None:
        """Reports the endpoint list as known at startup and begins to watch it for changes."""
        ...

    def close(self) -> None:
        """Releases the resources of the source."""
        ...

    def reread(self) -> None:
        """Reloads settings and files that an operator may have changed."""
        ...

    def watch(self, on: bool) -> None:
        """Begins or ends the watch of the list at the request of the policy."""
        ...

    def fetch(self) -> None:
        """Reports the complete list again."""
        ...

    def reconnect_to(self, address: Address) -> None:
        """Handles a new address of discovery."""
        ...


EndpointSourceFactory = Callable[[Runtime, Settings, Supervise], EndpointSource]

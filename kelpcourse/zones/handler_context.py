"""What the handlers of DNS requests need of the service around them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kelpcourse.zones.update_policy import EndpointClass
from kelpcourse.zones.versions import Difference
from kelpcourse.zones.zone_state import ZoneState


@dataclass(frozen=True)
class PendingUpdate:
    """An update that is part of the head of its zone and not yet durable."""

    zone: ZoneState
    difference: Difference
    on_settled: Callable[[bool], None]  # called once, with whether the update is durable


class HandlerContext(Protocol):
    """The service around the handlers."""

    @property
    def classes(self) -> tuple[EndpointClass, ...]:
        """The request classes that the removal limit of updates regards."""

    def now_us(self) -> int:
        """Returns the time of a monotonic clock."""

    def unix_ms(self) -> int:
        """Returns the Unix time."""

    def stage(self, update: PendingUpdate) -> bool:
        """Queues an update to be made durable; False if it cannot be taken now."""

    def notify_received(self, origin: str) -> None:
        """Takes in that a primary has a new version of a zone."""

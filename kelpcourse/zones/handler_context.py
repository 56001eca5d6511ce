"""Interface of the service that the handlers of DNS requests use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kelpcourse.zones.update_policy import EndpointClass
from kelpcourse.zones.versions import Difference
from kelpcourse.zones.zone_state import ZoneState


@dataclass(frozen=True)
class PendingUpdate:
    """An update that is part of the head of its zone and not yet durable.

    Attributes:
        zone: State of the updated zone.
        difference: The records that the update removes and adds.
        on_settled: Function that is called exactly once, with True if the update has become durable.
    """

    zone: ZoneState
    difference: Difference
    on_settled: Callable[[bool], None]


class HandlerContext(Protocol):
    """Interface of the service to which the handlers pass updates and NOTIFY messages."""

    @property
    def classes(self) -> tuple[EndpointClass, ...]:
        """The request classes for which the removal limit of updates is checked."""

    def now_us(self) -> int:
        """Returns the time of a monotonic clock in microseconds."""

    def unix_ms(self) -> int:
        """Returns the Unix time in milliseconds."""

    def stage(self, update: PendingUpdate) -> bool:
        """Queues an update to be made durable; returns False if it cannot be queued now."""

    def notify_received(self, origin: str) -> None:
        """Handles a NOTIFY message of a primary, which announces a new version of the zone with this origin."""

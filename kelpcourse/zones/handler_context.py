"""Interface of the service that the handlers of DNS requests use."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from kelpcourse.zones.applied_updates import AppliedUpdate
from kelpcourse.zones.update_policy import EndpointClass
from kelpcourse.zones.versions import Difference
from kelpcourse.zones.zone_state import ZoneState

OnSettled = Callable[[bool], None]


@dataclass(frozen=True)
class PendingUpdate:
    """An update that is part of the head of its zone and not yet durable.

    Attributes:
        zone: State of the updated zone.
        difference: The records that the update removes and adds.
        on_settled: Function that is called exactly once, with True if the update has become durable.
        mac: MAC of the signed message; empty if the update is not one.
        dependents: Functions that are called after `on_settled`, each exactly once and with the same argument: the
            outcomes that they report were derived from a head that contains the update.
    """

    zone: ZoneState
    difference: Difference
    on_settled: OnSettled
    mac: bytes = b""
    dependents: list[OnSettled] = field(default_factory=list)

    def settle(self, durable: bool) -> None:
        """Reports whether the update has become durable."""
        self.on_settled(durable)
        for on_settled in self.dependents:
            on_settled(durable)


class HandlerContext(Protocol):
    """Interface of the service to which the handlers pass updates and NOTIFY messages."""

    @property
    def classes(self) -> tuple[EndpointClass, ...]:
        """The request classes for which the removal limit of updates is checked."""

    def applied_updates(self) -> Iterable[AppliedUpdate]:
        """Returns the updates that were applied before the start and may be sent again, oldest first."""

    def now_us(self) -> int:
        """Returns the time of a monotonic clock in microseconds."""

    def unix_ms(self) -> int:
        """Returns the Unix time in milliseconds."""

    def stage(self, update: PendingUpdate) -> bool:
        """Queues an update to be made durable; returns False if it cannot be queued now."""

    def when_head_durable(self, zone: ZoneState, on_settled: OnSettled) -> bool:
        """Reports, once it is known, whether every update in the head of a zone has become durable.

        Args:
            zone: State of the zone.
            on_settled: Function that is called exactly once if this method returns True; immediately if no update of
                the zone is pending.

        Returns:
            False if too many callers wait; then `on_settled` is not called.
        """

    def notify_received(self, origin: str) -> None:
        """Handles a NOTIFY message of a primary, which announces a new version of the zone with this origin."""

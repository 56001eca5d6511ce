"""One zone as this process holds it: its versions, what is believed of it, and the hosts it announces. Pure.

Two versions stand side by side where updates are taken: the one that is durable, which is served and announced, and
the head, which the next update builds on. They are the same whenever nothing waits for the disk.
"""

from __future__ import annotations

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.zones.content import Difference, PendingVersion, Zone, difference_between
from kelpcourse.zones.endpoint_extraction import EndpointExtractor
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.history import History
from kelpcourse.zones.reconciliation import Version, VersionReconciler
from kelpcourse.zones.update_policy import (
    EndpointClass,
    RemovalHistory,
    UpdateGrant,
    rejection_reason,
)

Changes = dict[str, ListedEndpoint | None]


class ZoneState:
    def __init__(self, origin: str, service: str, limits: Limits) -> None:
        self.origin = origin
        self.zone = Zone(origin)
        self.history = History(limits.max_zone_history_records)
        self.meaning = EndpointExtractor(origin, service)
        self.belief = VersionReconciler(None)
        self.seen_ms = 0  # Unix time when its source last confirmed it
        self._limits = limits
        self._losses = RemovalHistory(limits.zone_removal_window_us)
        self._head: Zone | None = None  # None: the same as `zone`
        self._head_meaning: EndpointExtractor | None = None
        self._staged = 0
        self._service = service

    @property
    def head(self) -> Zone:
        return self._head if self._head is not None else self.zone

    def take(self, difference: Difference, now_us: int) -> Changes:
        """A version that is durable, or can be had again: from now on it is served and announced. Raises
        ZoneError, with nothing changed, if it does not follow on."""
        if self.zone.exists and difference.before != self.zone.serial:
            raise ZoneError(
                f"{self.origin}: a change from serial {difference.before} on {self.zone.serial}"
            )
        if (
            len(self.zone) + len(difference.added) - len(difference.removed)
            > self._limits.max_zone_records
        ):
            raise ZoneError(f"{self.origin}: more than {self._limits.max_zone_records} records")
        self.zone.apply(difference)
        self.history.add(difference)
        self.belief.take(Version(self.zone.serial, self.zone.soa_data))
        changes = self.meaning.take(difference, self.zone)
        self._losses.note(self.meaning.before, changes, now_us)
        return changes

    def replay(self, difference: Difference) -> None:
        """A version out of the store. What follows from it is worked out once, by `wake`."""
        if self.zone.exists and difference.before != self.zone.serial:
            raise ZoneError(
                f"{self.origin}: a change from serial {difference.before} on {self.zone.serial}"
            )
        self.zone.apply(difference)
        self.history.add(difference)

    def wake(self) -> None:
        if self.zone.exists:
            self.belief.take(Version(self.zone.serial, self.zone.soa_data))
            self.meaning.start(self.zone)

    def replace(self, new: Zone, at_ms: int) -> Difference:
        """What leads to another version that came whole."""
        return difference_between(self.zone, new, at_ms)

    # Updates

    def draft(self) -> PendingVersion:
        return PendingVersion(self.head)

    def judge(
        self,
        difference: Difference,
        grant: UpdateGrant,
        classes: tuple[EndpointClass, ...],
        now_us: int,
    ) -> str:
        """Why this key may not make this update on the head; empty: it may, and the head has made it: it is
        then staged or undone."""
        head, meaning = self._heads()
        hosts = dict(meaning.hosts) if grant.most < 1 else {}
        head.apply(difference)
        changes = meaning.take(difference, head)
        why = rejection_reason(grant, difference, hosts, changes, self._losses, classes, now_us)
        self._staged += 1
        if why:
            self.undo(difference)
        return why

    def _heads(self) -> tuple[Zone, EndpointExtractor]:
        """Made with the first update and kept: a copy costs the whole zone, an update only what it touches."""
        if self._head is None or self._head_meaning is None:
            self._head = self.zone.copy()
            self._head_meaning = EndpointExtractor(self.origin, self._service)
            self._head_meaning.start(self._head)
        return self._head, self._head_meaning

    def undo(self, difference: Difference) -> None:
        """The last difference that the head took in is not to be: it can't be made durable."""
        head, meaning = self._heads()
        back = difference.inverse(difference.at_ms)
        head.apply(back)
        meaning.take(back, head)
        self._staged -= 1

    def settle(self, difference: Difference, now_us: int) -> Changes:
        """A staged difference is durable."""
        self._staged -= 1
        return self.take(difference, now_us)

    @property
    def staged(self) -> int:
        return self._staged

    def drop_head(self) -> None:
        """The zone moved on by another way than updates."""
        assert not self._staged
        self._head = self._head_meaning = None

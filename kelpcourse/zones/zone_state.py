"""The state of one zone: its versions, its version reconciliation and the endpoints it announces. Pure.

Where updates are accepted there are two versions: the durable one, which is served and announced, and the head, which
the next update builds on. They are equal whenever no update waits for the disk.
"""

from __future__ import annotations

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.zones.endpoint_extraction import EndpointExtractor
from kelpcourse.zones.errors import TooManyRecordsError, VersionSequenceError
from kelpcourse.zones.history import History
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.reconciliation import Version, VersionReconciler
from kelpcourse.zones.update_policy import (
    EndpointClass,
    RemovalHistory,
    UpdateGrant,
    rejection_reason,
)
from kelpcourse.zones.versions import Difference, Zone, difference_between

EndpointChanges = dict[str, ListedEndpoint | None]


class ZoneState:
    """One zone with its history, its accepted version and its endpoints."""

    def __init__(self, origin: str, service: str, limits: Limits) -> None:
        """Starts without any version; `service` is the label prefix of the SRV records to read."""
        self.origin = origin
        self.zone = Zone(origin)
        self.history = History(limits.max_zone_history_records)
        self.extractor = EndpointExtractor(origin, service)
        self.reconciler = VersionReconciler(None)
        self.confirmed_ms = 0  # Unix time when its source last confirmed it
        self._limits = limits
        self._removals = RemovalHistory(limits.zone_removal_window_us)
        self._head: Zone | None = None  # None: the same as `zone`
        self._head_extractor: EndpointExtractor | None = None
        self._staged_updates = 0
        self._service = service

    @property
    def head(self) -> Zone:
        """The version that the next update builds on."""
        return self._head if self._head is not None else self.zone

    @property
    def staged_updates(self) -> int:
        """Updates that are part of the head and not yet durable."""
        return self._staged_updates

    def apply(self, difference: Difference, now_us: int) -> EndpointChanges:
        """Makes a version current that is durable or can be fetched again.

        Returns the endpoints that changed, by name; None for one that is gone.

        Raises:
            ZoneError: the difference does not follow on, or the zone would be too large; nothing
                has changed.
        """
        self._check_sequence(difference)
        record_count = len(self.zone) + len(difference.added) - len(difference.removed)
        if record_count > self._limits.max_zone_records:
            raise TooManyRecordsError(self._limits.max_zone_records, self.origin)
        self.zone.apply(difference)
        self.history.add(difference)
        self._accept_current()
        changes = self.extractor.apply(difference, self.zone)
        self._removals.record(self.extractor.previous, changes, now_us)
        return changes

    def replay(self, difference: Difference) -> None:
        """Applies a version from the store; `finish_replay` derives the rest once at the end.

        Raises:
            ZoneError: the difference does not follow on; nothing has changed.
        """
        self._check_sequence(difference)
        self.zone.apply(difference)
        self.history.add(difference)

    def finish_replay(self) -> None:
        """Derives the accepted version and the endpoints after the last replayed version."""
        if self.zone.exists:
            self._accept_current()
            self.extractor.start(self.zone)

    def difference_to(self, new: Zone, at_ms: int) -> Difference:
        """Returns the difference from the current version to one that was received in full."""
        return difference_between(self.zone, new, at_ms)

    def new_pending_version(self) -> PendingVersion:
        """Returns a pending version on top of the head, for one update to change."""
        return PendingVersion(self.head)

    def stage_update(
        self,
        difference: Difference,
        grant: UpdateGrant,
        classes: tuple[EndpointClass, ...],
        now_us: int,
    ) -> str:
        """Adds an update to the head if the update policy allows it.

        An update that was added must be followed by `commit_update` or `undo_update`.

        Returns:
            Why the policy rejects the update; empty if the update was added.

        Raises:
            ZoneError: the difference does not fit the head; nothing has changed.
        """
        head, extractor = self._open_head()
        endpoints = dict(extractor.endpoints) if grant.max_removed_fraction < 1 else {}
        head.apply(difference)
        changes = extractor.apply(difference, head)
        reason = rejection_reason(
            grant, difference, endpoints, changes, self._removals, classes, now_us
        )
        self._staged_updates += 1
        if reason:
            self.undo_update(difference)
        return reason

    def undo_update(self, difference: Difference) -> None:
        """Removes the last staged update from the head, as it cannot be made durable."""
        head, extractor = self._open_head()
        inverse = difference.inverse(difference.accepted_ms)
        head.apply(inverse)
        extractor.apply(inverse, head)
        self._staged_updates -= 1

    def commit_update(self, difference: Difference, now_us: int) -> EndpointChanges:
        """Makes the oldest staged update current, as it is durable now."""
        self._staged_updates -= 1
        return self.apply(difference, now_us)

    def discard_head(self) -> None:
        """Forgets the head after the zone changed by another way than updates."""
        assert not self._staged_updates
        self._head = None
        self._head_extractor = None

    def _accept_current(self) -> None:
        self.reconciler.accept(Version(self.zone.serial, self.zone.soa_data))

    def _check_sequence(self, difference: Difference) -> None:
        if self.zone.exists and difference.old_serial != self.zone.serial:
            raise VersionSequenceError(self.origin, difference.old_serial, self.zone.serial)

    def _open_head(self) -> tuple[Zone, EndpointExtractor]:
        """The head is copied at the first update and then kept: a copy costs the whole zone."""
        if self._head is None or self._head_extractor is None:
            self._head = self.zone.copy()
            self._head_extractor = EndpointExtractor(self.origin, self._service)
            self._head_extractor.start(self._head)
        return self._head, self._head_extractor

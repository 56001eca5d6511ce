"""The state of one zone: its versions, its version reconciliation and the endpoints that it announces.

A zone that accepts updates has two versions: the durable one, which is served and published, and the head, which the
next update is based on. They are equal whenever no update is waiting to become durable. This module does no input or
output.
"""

from __future__ import annotations

from collections import deque

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.zones.endpoint_extraction import EndpointExtractor
from kelpcourse.zones.errors import TooManyRecordsError, VersionSequenceError
from kelpcourse.zones.history import History
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.reconciliation import Version, VersionReconciler
from kelpcourse.zones.runtime import US_PER_MS
from kelpcourse.zones.update_policy import (
    EndpointClass,
    RemovalChanges,
    RemovalHistory,
    UpdateGrant,
    rejection_reason,
)
from kelpcourse.zones.versions import Difference, Zone, difference_between

EndpointChanges = dict[str, ListedEndpoint | None]


class ZoneState:
    """A zone with its history, its accepted version and its endpoints."""

    def __init__(self, origin: str, service: str, limits: Limits) -> None:
        """Initializes a zone without any version.

        Args:
            origin: Canonical name of the zone's origin.
            service: Label prefix of the owners of the SRV records that announce endpoints.
            limits: Limits of the records, the history and the removals.
        """
        self.origin = origin
        self.zone = Zone(origin)
        self.history = History(limits.max_zone_history_records)
        self.extractor = EndpointExtractor(origin, service)
        self.reconciler = VersionReconciler(None)
        # Unix time in milliseconds at which the source of the zone last confirmed the version.
        self.confirmed_ms = 0
        self._limits = limits
        self._removals = RemovalHistory(limits.zone_removal_window_us)
        self._head: Zone | None = None  # None if the head is the same as `zone`
        self._head_extractor: EndpointExtractor | None = None
        # What each staged update replaced in the history of removals, oldest first.
        self._staged_removals: deque[RemovalChanges] = deque()
        self._service = service

    @property
    def head(self) -> Zone:
        """The version that the next update is based on."""
        return self._head if self._head is not None else self.zone

    @property
    def staged_updates(self) -> int:
        """The number of updates that are part of the head and not yet durable."""
        return len(self._staged_removals)

    def apply(self, difference: Difference, now_us: int) -> EndpointChanges:
        """Makes a version current that is durable or can be fetched again.

        Returns:
            The endpoints that changed, by name; None for an endpoint that was removed.

        Raises:
            ZoneError: The difference does not start from the current version, or the zone would be too large;
                nothing was changed.
        """
        changes = self._apply(difference)
        self._removals.record(self.extractor.previous, changes, now_us)
        return changes

    def _apply(self, difference: Difference) -> EndpointChanges:
        self._check_sequence(difference)
        record_count = len(self.zone) + len(difference.added) - len(difference.removed)
        if record_count > self._limits.max_zone_records:
            raise TooManyRecordsError(self._limits.max_zone_records, self.origin)
        self.zone.apply(difference)
        self.history.add(difference)
        self._accept_current()
        return self.extractor.apply(difference, self.zone)

    def replay(self, difference: Difference) -> EndpointChanges:
        """Applies a stored difference. `finish_replay` must be called once after the last one.

        Returns:
            The endpoints that changed, by name; None for an endpoint that was removed.

        Raises:
            ZoneError: The difference does not start from the current version; nothing was changed.
        """
        self._check_sequence(difference)
        self.zone.apply(difference)
        self.history.add(difference)
        changes = self.extractor.apply(difference, self.zone)
        accepted_us = difference.accepted_ms * US_PER_MS
        self._removals.record(self.extractor.previous, changes, accepted_us)
        return changes

    def finish_replay(self) -> None:
        """Derives the accepted version from the last replayed version."""
        if self.zone.exists:
            self._accept_current()

    def difference_to(self, new: Zone, accepted_ms: int) -> Difference:
        """Returns the difference from the current version to a version that was received in full."""
        return difference_between(self.zone, new, accepted_ms)

    def new_pending_version(self) -> PendingVersion:
        """Returns a pending version on top of the head, for the changes of one update."""
        return PendingVersion(self.head)

    def stage_update(
        self,
        difference: Difference,
        grant: UpdateGrant,
        classes: tuple[EndpointClass, ...],
        now_us: int,
    ) -> str:
        """Adds an update to the head if the update policy allows it.

        The caller must later pass an update that was added to `commit_update` or `undo_update`.

        Returns:
            Why the policy rejects the update; empty if the update was added.

        Raises:
            ZoneError: The difference does not start from the head; nothing was changed.
        """
        head, extractor = self._ensure_head()
        endpoints = dict(extractor.endpoints) if grant.max_removed_fraction < 1 else {}
        head.apply(difference)
        changes = extractor.apply(difference, head)
        reason = rejection_reason(
            grant, difference, endpoints, changes, self._removals, classes, now_us
        )
        self._staged_removals.append(self._removals.record(extractor.previous, changes, now_us))
        if reason:
            self.undo_update(difference)
        return reason

    def undo_update(self, difference: Difference) -> None:
        """Removes the last staged update from the head after it was rejected or could not be made durable."""
        head, extractor = self._ensure_head()
        inverse = difference.inverse(difference.accepted_ms)
        head.apply(inverse)
        extractor.apply(inverse, head)
        self._removals.restore(self._staged_removals.pop())

    def commit_update(self, difference: Difference) -> EndpointChanges:
        """Makes the oldest staged update current after it has become durable; its removals are recorded already."""
        self._staged_removals.popleft()
        return self._apply(difference)

    def discard_head(self) -> None:
        """Discards the head after the zone has changed by other means than an update."""
        assert not self._staged_removals
        self._head = None
        self._head_extractor = None

    def _accept_current(self) -> None:
        self.reconciler.accept(Version(self.zone.serial, self.zone.soa_data))

    def _check_sequence(self, difference: Difference) -> None:
        if self.zone.exists and difference.old_serial != self.zone.serial:
            raise VersionSequenceError(self.origin, difference.old_serial, self.zone.serial)

    def _ensure_head(self) -> tuple[Zone, EndpointExtractor]:
        """Returns the head and its extractor, and creates them at the first update.

        They are kept afterwards, because the cost of copying is proportional to the size of the zone.
        """
        if self._head is None or self._head_extractor is None:
            self._head = self.zone.copy()
            self._head_extractor = EndpointExtractor(self.origin, self._service)
            self._head_extractor.start(self._head)
        return self._head, self._head_extractor

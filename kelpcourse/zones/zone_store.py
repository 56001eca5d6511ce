"""The store of the zones: replays them at startup, and makes new versions durable.

A dynamic update is committed once it is durable. A version from a primary or a file is already current when it is
saved, because it can be fetched again. If saving such a version fails, later differences do not start from the stored
version, so the zone counts as unsaved until the whole zone is saved.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from kelpcourse.store.commit import Settled
from kelpcourse.store.folder import Folder
from kelpcourse.store.journal import Journal
from kelpcourse.wire.storage import DurableWriter, StorageThread
from kelpcourse.zones.applied_updates import RETENTION_MS, AppliedUpdate
from kelpcourse.zones.handler_context import OnSettled, PendingUpdate
from kelpcourse.zones.persistence import (
    Entry,
    OnReplayed,
    ZoneChanged,
    ZoneReplay,
    ZoneUpdated,
    encode_entry,
    encode_snapshot,
    garbage_collection_paused,
    stored_zone,
)
from kelpcourse.zones.runtime import StartCoroutine, ZoneRuntime
from kelpcourse.zones.settings import ZonesSettings
from kelpcourse.zones.zone_state import EndpointChanges, ZoneState

OnCommitted = Callable[[ZoneState, EndpointChanges, int], None]


@dataclass(frozen=True)
class SavedVersion:
    """The ticket of a version that is already current."""

    origin: str


class ZoneStore:
    """Keeps the zones in the state folder, or only in memory if the settings name no folder."""

    def __init__(
        self,
        settings: ZonesSettings,
        runtime: ZoneRuntime,
        on_committed: OnCommitted,
        on_replayed: OnReplayed,
    ) -> None:
        """Opens the state folder and replays its contents.

        Args:
            settings: Settings that name the zones and the state folder.
            runtime: Parts that the components of the service share.
            on_committed: Function that is called with each zone that an update changed, with the changed endpoints and
                with the Unix time at which the update was accepted, in milliseconds, once the update is durable.
            on_replayed: Function that is called during construction with the origin of each zone of the settings that
                a stored version changes, with the changed endpoints and with the time at which it was accepted.

        Raises:
            FolderInUseError: Another process has the folder open.
            OSError: The folder cannot be read or written.
        """
        self._runtime = runtime
        self._on_committed = on_committed
        self._unsaved_origins: set[str] = set()
        # The latest staged update of each zone that has any, by origin.
        self._last_staged: dict[str, PendingUpdate] = {}
        self._waiting_dependents = 0
        # Unsaved zones that are part of the snapshot that is being written.
        self._origins_in_snapshot: set[str] = set()
        replay = ZoneReplay(
            [zone.origin for zone in settings.zones], settings.service, runtime.limits, on_replayed
        )
        self._writer: DurableWriter[PendingUpdate | SavedVersion] | None = None
        if settings.state is not None:
            self._writer = self._open(settings.state, replay)
        self.zone_states = replay.zones
        self.applied_updates = replay.applied_updates
        self.applied_updates.forget_before(runtime.unix_ms() - RETENTION_MS)
        self._unconfigured_zones = replay.unconfigured_zones()

    @property
    def writer(self) -> DurableWriter[PendingUpdate | SavedVersion] | None:
        """The writer to the state folder; None if there is no folder."""
        return self._writer

    @property
    def is_recovering(self) -> bool:
        """Whether the store does not accept changes yet, although no write has failed."""
        return (
            self._writer is not None
            and self._writer.broken
            and not self._runtime.counters["store_failures"]
        )

    def start(self, start_coroutine: StartCoroutine) -> None:
        """Starts the coroutine that writes changes."""
        if self._writer is not None:
            start_coroutine("store", self._writer.run)

    def close(self) -> None:
        """Waits for the running write and closes the files."""
        if self._writer is not None:
            self._writer.close()

    def stage(self, update: PendingUpdate) -> bool:
        """Queues an update to be made durable; returns False if the update cannot be queued now."""
        max_pending = self._runtime.limits.max_pending_dns_updates
        if self._writer is None or self._writer.pending_changes >= max_pending:
            return False
        origin = update.zone.origin
        if origin in self._unsaved_origins:
            self.save(update.zone, stored_zone(update.zone))
            if origin in self._unsaved_origins:
                return False
        if not self._writer.stage(encode_entry(_entry_of(update)), update):
            return False
        self._last_staged[origin] = update
        return True

    def when_head_durable(self, zone: ZoneState, on_settled: OnSettled) -> bool:
        """Reports, once it is known, whether every update in the head of a zone has become durable.

        A failed write undoes all updates that were staged after the first one in it, so the outcome of the last staged
        update is that of the head. Returns False if too many callers wait.
        """
        last_staged = self._last_staged.get(zone.origin)
        if last_staged is None:
            on_settled(True)
            return True
        if self._waiting_dependents >= self._runtime.limits.max_pending_dns_updates:
            return False
        self._waiting_dependents += 1
        last_staged.dependents.append(on_settled)
        return True

    def save(self, zone: ZoneState, entry: Entry) -> None:
        """Queues an entry for a version that is already current, or the whole zone if the zone is unsaved."""
        if self._writer is None:
            return
        origin = zone.origin
        if origin in self._unsaved_origins:
            entry = stored_zone(zone)
        self._mark_unsaved(origin)
        if self._writer.stage(encode_entry(entry), SavedVersion(origin)):
            self._unsaved_origins.discard(origin)

    def _open(self, path: Path, replay: ZoneReplay) -> DurableWriter[PendingUpdate | SavedVersion]:
        runtime = self._runtime
        journal = Journal(Folder(path))
        started_s = time.monotonic()
        with garbage_collection_paused():
            found = journal.open()
            replay.run(found.snapshot, (record.payload for record in found.records))
        journal.ensure_generation(
            found,
            encode_snapshot(
                replay.zones.values(), replay.unconfigured_zones(), replay.applied_updates
            ),
        )
        for warning in found.warnings:
            runtime.log.always(
                "store_warning",
                file=warning.file,
                problem=warning.problem,
                lost_bytes=warning.lost_bytes,
                alarming=warning.alarming,
            )
        for problem in replay.warnings:
            runtime.log.always(
                "store_warning", file="", problem=problem, lost_bytes=0, alarming=True
            )
        runtime.log.always(
            "store_opened",
            changes=len(found.records),
            took_ms=round((time.monotonic() - started_s) * 1e3),
        )
        return DurableWriter(
            runtime.loop,
            runtime.limits,
            journal,
            found,
            StorageThread(),
            self._encode_snapshot,
            self._on_settled,
            self._on_failed,
        )

    def _encode_snapshot(self) -> bytes:
        self._origins_in_snapshot = set(self._unsaved_origins)
        return encode_snapshot(
            self.zone_states.values(), self._unconfigured_zones, self.applied_updates
        )

    def _on_settled(self, settled: Settled[PendingUpdate | SavedVersion]) -> None:
        if settled.compacted:
            self._unsaved_origins -= self._origins_in_snapshot
        for ticket in settled.durable:
            if isinstance(ticket, PendingUpdate):
                self._commit(ticket)
        for ticket in reversed(settled.undone):
            if isinstance(ticket, PendingUpdate):
                ticket.zone.undo_update(ticket.difference)
                self._settle(ticket, False)
            else:
                self._mark_unsaved(ticket.origin)

    def _commit(self, update: PendingUpdate) -> None:
        changes = update.zone.commit_update(update.difference)
        if update.mac:
            self.applied_updates.add(AppliedUpdate(update.mac, update.difference.accepted_ms))
        self._on_committed(update.zone, changes, update.difference.accepted_ms)
        self._settle(update, True)

    def _settle(self, update: PendingUpdate, durable: bool) -> None:
        origin = update.zone.origin
        if self._last_staged.get(origin) is update:
            del self._last_staged[origin]
        self._waiting_dependents -= len(update.dependents)
        update.settle(durable)

    def _on_failed(self, reason: str, broken: bool) -> None:
        self._runtime.counters.add("store_failures")
        self._runtime.log.event("store_failed", reason=reason, rejects_changes=broken)

    def _mark_unsaved(self, origin: str) -> None:
        self._unsaved_origins.add(origin)
        self._origins_in_snapshot.discard(origin)


def _entry_of(update: PendingUpdate) -> Entry:
    """Returns the entry of an update, which has the MAC of its message, so that both are durable together."""
    if not update.mac:
        return ZoneChanged(update.zone.origin, update.difference)
    return ZoneUpdated(update.zone.origin, update.difference, update.mac)

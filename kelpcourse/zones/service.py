"""Zones as a running part: store, server, followers and files round the zones held, and one list out of them."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Protocol

import msgspec

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.store.commit import Settled
from kelpcourse.store.folder import Folder
from kelpcourse.store.journal import Journal
from kelpcourse.store.spool import take_commands, write_atomically
from kelpcourse.wire.loop import Coroutine, Loop, Signal, Wait
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.storage import DurableWriter, StorageThread
from kelpcourse.wire.worker import run_in_thread
from kelpcourse.zones.desk import Desk, Ticket
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.follower import Asker, Follower, Notifier, same
from kelpcourse.zones.history import restore_version, version_at
from kelpcourse.zones.merged_list import EndpointConflict, MergedEndpointList
from kelpcourse.zones.persistence import (
    Entry,
    ZoneChanged,
    ZoneConfirmed,
    ZoneReplay,
    encode_entry,
    encode_snapshot,
    garbage_collection_paused,
    stored_zone,
)
from kelpcourse.zones.reconciliation import Verdict, Version
from kelpcourse.zones.server import Server, pair
from kelpcourse.zones.settings import ZoneSettings, ZonesSettings, format_address
from kelpcourse.zones.update_policy import EndpointClass, UpdateGrant, classes_without_endpoints
from kelpcourse.zones.versions import Difference, Zone
from kelpcourse.zones.zone_state import EndpointChanges, ZoneState
from kelpcourse.zones.zonefile import read_zone_file


class Sink(Protocol):
    """Who is steered by the list."""

    def listed(self, members: Sequence[ListedEndpoint], version: int, whole: bool) -> None: ...

    def lost(self) -> None: ...


@dataclass(frozen=True)
class Around:
    """What the part is handed."""

    loop: Loop
    limits: Limits
    counters: Counters
    log: EventLog
    keep: Callable[[str, Callable[[], Coroutine[None]]], None]  # runs a routine that may not end


class Zones:
    """Made and started by whoever hosts it. Raises BadSettings, FolderInUseError, ZoneError or OSError at the
    start; later trouble is logged and lived with."""

    def __init__(
        self,
        settings: ZonesSettings,
        around: Around,
        sink: Sink,
        classes: tuple[EndpointClass, ...] = (),
        grace_us: int = 0,
    ) -> None:
        self.settings = settings
        self.classes = classes
        self._around = around
        self._sink = sink
        self._by_origin = {zone.origin: zone for zone in settings.zones}
        self._writer: DurableWriter[Ticket | Saved] | None = None
        replay = self._open_store()
        self.zone_states = replay.zones
        self._others = replay.unconfigured_zones()
        self.merged_list = MergedEndpointList(
            list(self.zone_states), grace_us, around.limits.max_endpoint_names
        )
        self._bare: set[str] = set()
        self._unsaved: set[str] = set()  # zones whose last version the store does not have
        self._covered: set[str] = set()  # those of them that the snapshot being written holds
        self._seen_us: dict[str, int] = {}
        self._followers: dict[str, Follower] = {}
        self._notifiers: dict[str, list[Notifier]] = {origin: [] for origin in self.zone_states}
        self._files: dict[str, tuple[int, ...]] = {}  # as a file last was
        self._look = Signal()
        self.server: Server | None = None

    # Start

    def _open_store(self) -> ZoneReplay:
        around, settings = self._around, self.settings
        replay = ZoneReplay(
            [zone.origin for zone in settings.zones], settings.service, around.limits
        )
        if settings.state is None:
            return replay
        journal = Journal(Folder(settings.state))
        began = time.monotonic()
        with garbage_collection_paused():
            found = journal.open()
            replay.run(found.snapshot, (record.payload for record in found.records))
        journal.begin(found, encode_snapshot(replay.zones.values(), replay.unconfigured_zones()))
        for warning in found.warnings:
            around.log.always(
                "store_warning",
                file=warning.file,
                problem=warning.problem,
                lost_bytes=warning.lost_bytes,
                alarming=warning.alarming,
            )
        for text in replay.warnings:
            around.log.always("store_warning", file="", problem=text, lost_bytes=0, alarming=True)
        around.log.always(
            "store_opened",
            changes=len(found.records),
            took_ms=round((time.monotonic() - began) * 1e3),
        )
        self._writer = DurableWriter(
            around.loop,
            around.limits,
            journal,
            found,
            StorageThread(),
            self._snapshot,
            self._settled,
            self._store_failed,
        )
        return replay

    def start(self) -> None:
        """What the store and the files hold is announced before anybody is answered."""
        around = self._around
        for origin, zone in self._by_origin.items():
            for peer in zone.notify:
                notifier = Notifier(self._asker(), self.zone_states[origin], peer)
                self._notifiers[origin].append(notifier)
                around.keep("zone notify", notifier.run)
        for held in self.zone_states.values():
            if held.zone.exists:
                self._announce(held, dict(held.extractor.endpoints))
        for origin, zone in self._by_origin.items():
            if zone.file is not None:
                self._read_file(zone, zone.file)
            if zone.primaries:
                self._follow(origin, zone)
        self.start_store(around.keep)
        if self._writer is not None:
            around.keep("zone commands", self._run_commands)
        if any(zone.file is not None for zone in self._by_origin.values()):
            around.keep("zone files", self._run_files)
        if self.settings.listen is not None:
            self._serve()

    def start_store(self, keep: Callable[[str, Callable[[], Coroutine[None]]], object]) -> None:
        if self._writer is not None:
            keep("store", self._writer.run)

    @property
    def settling(self) -> bool:
        """Whether the store can't take a change yet, though it may soon."""
        return (
            self._writer is not None
            and self._writer.broken
            and not self._around.counters["store_failures"]
        )

    def _asker(self) -> Asker:
        return Asker(
            self._around.loop, self._around.limits, self._around.counters, self._around.log
        )

    def _serve(self) -> None:
        around = self._around
        assert self.settings.listen is not None
        desk = Desk(
            self.zone_states,
            self._by_origin,
            self.settings.keys,
            around.limits,
            around.counters,
            around.log,
            self,
        )
        self.server = Server(
            around.loop,
            around.limits,
            around.counters,
            around.log,
            desk,
            pair(self.settings.listen, around.limits.listen_backlog),
        )
        around.keep("dns udp", self.server.run_udp)
        around.keep("dns tcp", self.server.run_tcp)
        around.log.always("dns_ready", listen=format_address(self.server.address))

    def _follow(self, origin: str, zone: ZoneSettings) -> None:
        held, around = self.zone_states[origin], self._around
        confirmed_us = around.loop.clock() - max(0, self.unix_ms() - held.confirmed_ms) * 1000
        follower = Follower(
            self._asker(),
            held,
            zone.primaries,
            confirmed_us,
            self._adopt,
            self._confirmed,
            self._expired,
        )
        self._followers[origin] = follower
        around.keep("zone follow", follower.run)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        if self._writer is not None:
            self._writer.close()

    # What the desk asks

    def clock(self) -> int:
        return self._around.loop.clock()

    def unix_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def stage(self, ticket: Ticket) -> bool:
        if (
            self._writer is None
            or self._writer.waiting >= self._around.limits.max_pending_dns_updates
        ):
            return False
        if ticket.zone.origin in self._unsaved:
            self._save(ticket.zone, stored_zone(ticket.zone))
            if ticket.zone.origin in self._unsaved:
                return False
        return self._writer.stage(
            encode_entry(ZoneChanged(ticket.zone.origin, ticket.difference)), ticket
        )

    def notified(self, origin: str) -> None:
        self._followers[origin].notified()

    # Changes

    def _settled(self, settled: Settled[Ticket | Saved]) -> None:
        if settled.compacted:
            self._unsaved -= self._covered
        for ticket in settled.durable:
            if isinstance(ticket, Ticket):
                self._announce(
                    ticket.zone, ticket.zone.commit_update(ticket.difference, self.clock())
                )
                ticket.settle(True)
        for ticket in reversed(settled.undone):
            if isinstance(ticket, Ticket):
                ticket.zone.undo_update(ticket.difference)
                ticket.settle(False)
            else:
                self._miss(ticket.origin)

    def _store_failed(self, reason: str, broken: bool) -> None:
        self._around.counters.add("store_failures")
        self._around.log.event("store_failed", reason=reason, rejects_changes=broken)

    def _snapshot(self) -> bytes:
        self._covered = set(self._unsaved)
        return encode_snapshot(self.zone_states.values(), self._others)

    def _adopt(self, held: ZoneState, difference: Difference, source: str) -> None:
        """A version that came whole from its source and can be had there again: announced at once, and kept as
        soon as the disk takes it."""
        difference = msgspec.structs.replace(difference, accepted_ms=self.unix_ms())
        changes = held.apply(difference, self.clock())
        held.discard_head()
        held.confirmed_ms = self.unix_ms()
        self._around.log.always(
            "zone_updated",
            zone=held.origin,
            serial=held.zone.serial,
            source=source,
            records=len(held.zone),
            hosts=len(held.extractor.endpoints),
        )
        self._announce(held, changes)
        self._save(held, ZoneChanged(held.origin, difference))

    def _save(self, held: ZoneState, entry: Entry) -> None:
        """Keeps a version that is announced already. Once that has failed, only the whole zone follows on from
        what the store has."""
        if self._writer is None:
            return
        origin = held.origin
        if origin in self._unsaved:
            entry = stored_zone(held)
        self._miss(origin)
        if self._writer.stage(encode_entry(entry), Saved(origin)):
            self._unsaved.discard(origin)

    def _miss(self, origin: str) -> None:
        self._unsaved.add(origin)
        self._covered.discard(origin)

    def _announce(self, held: ZoneState, changes: EndpointChanges) -> None:
        """One change of the list, however many hosts it concerns."""
        origin, around = held.origin, self._around
        members, conflicts = self.merged_list.update(origin, changes, self.clock(), self.unix_ms())
        became_whole = self.merged_list.zone_loaded(origin)
        self._tell_conflicts(conflicts)
        self._tell_problems(held)
        for notifier in self._notifiers[origin]:
            notifier.changed()
        around.counters.add("zone_changes")
        if became_whole:
            self._sink.listed(
                list(self.merged_list.endpoints.values()), self.merged_list.version, True
            )
        elif members:
            self._sink.listed(members, self.merged_list.version, False)
        self._check_bare()

    def _tell_conflicts(self, conflicts: Iterable[EndpointConflict]) -> None:
        for conflict in conflicts:
            self._around.log.event(
                "zone_conflict" if conflict.begins else "zone_conflict_resolved",
                endpoint=conflict.endpoint,
                zones=conflict.zones,
            )

    def _tell_problems(self, held: ZoneState) -> None:
        problems = held.extractor.problems()
        if problems:
            most = self._around.limits.max_logged_zone_problems
            self._around.log.event(
                "zone_records_skipped",
                zone=held.origin,
                count=len(problems),
                problems=[str(p) for p in problems[:most]],
            )

    def _check_bare(self) -> None:
        """Nothing is held back for it, but somebody must be told."""
        now = set(classes_without_endpoints(self.classes, self.merged_list.endpoints.values()))
        if now != self._bare:
            self._around.log.always(
                "zone_classes_without_endpoints", classes=sorted(now), were=sorted(self._bare)
            )
            self._bare = now

    def _confirmed(self, held: ZoneState) -> None:
        now_us = self.clock()
        held.confirmed_ms = self.unix_ms()
        was_available = self.merged_list.is_available
        self.merged_list.zone_loaded(held.origin)
        if not was_available:
            self._sink.listed(
                list(self.merged_list.endpoints.values()),
                self.merged_list.version,
                self.merged_list.is_complete,
            )
        if (
            now_us - self._seen_us.get(held.origin, -1 << 62)
            >= self._around.limits.zone_confirmation_interval_us
        ):
            self._seen_us[held.origin] = now_us
            self._save(held, ZoneConfirmed(held.origin, held.confirmed_ms))

    def _expired(self, held: ZoneState) -> None:
        self._around.counters.add("zone_expiries")
        self._around.log.always(
            "zone_expired",
            zone=held.origin,
            serial=held.zone.serial,
            endpoints=len(held.extractor.endpoints),
        )
        was = self.merged_list.is_available
        self.merged_list.zone_expired(held.origin)
        if was and not self.merged_list.is_available:
            self._sink.lost()

    # Files

    def reread(self) -> None:
        """Files are looked at now, changed or not: an operator asked for it."""
        self._files.clear()
        self._look.set()

    def _run_files(self) -> Coroutine[None]:
        while True:
            yield Wait(self.clock() + self._around.limits.zone_file_poll_us, signal=self._look)
            self._look.clear()
            for zone in self._by_origin.values():
                if zone.file is not None:
                    yield from self._reread_file(zone, zone.file)

    def _reread_file(self, zone: ZoneSettings, path: Path) -> Coroutine[None]:
        if not self._moved(zone, path):
            return
        read = partial(read_zone_file, path, zone.origin, self._around.limits)
        try:
            new = yield from run_in_thread(read)
        except ZoneError as error:
            self._bad_file(zone, error)
            return
        while self.zone_states[
            zone.origin
        ].staged_updates:  # updates that wait for the disk come first
            yield Wait(self.clock() + self._around.limits.zone_command_poll_us)
        self._take_file(zone, path, new)

    def _moved(self, zone: ZoneSettings, path: Path) -> bool:
        """Whether the file is another one than when it was last read."""
        state = _state_of(path)
        moved = state != self._files.get(zone.origin)
        self._files[zone.origin] = state
        return moved

    def _read_file(self, zone: ZoneSettings, path: Path) -> None:
        """At the start, when nobody waits for anything else."""
        self._moved(zone, path)
        try:
            new = read_zone_file(path, zone.origin, self._around.limits)
        except ZoneError as error:
            self._bad_file(zone, error)
            return
        self._take_file(zone, path, new)

    def _bad_file(self, zone: ZoneSettings, error: ZoneError) -> None:
        """The zone that stands serves on."""
        self._around.counters.add("zone_files_rejected")
        self._around.log.always("zone_file_rejected", zone=zone.origin, reason=str(error))

    def _take_file(self, zone: ZoneSettings, path: Path, new: Zone) -> None:
        held = self.zone_states[zone.origin]
        verdict, contradictions = held.reconciler.offer("file", Version(new.serial, new.soa_data))
        if verdict is Verdict.NEWER:
            self._adopt(held, held.difference_to(new, 0), str(path))
            return
        if verdict is Verdict.SAME and same(held.zone, new):
            return
        # Updates have moved a zone on since its file was written: that is how it is, and needs no word.
        former = (
            version_at(held.zone, held.history, new.serial) if verdict is Verdict.BEHIND else None
        )
        if former is not None and same(former, new):
            return
        if contradictions or verdict is Verdict.SAME:
            text = (
                "other records under the serial held" if verdict is Verdict.SAME else verdict.value
            )
            self._bad_file(
                zone,
                ZoneError(
                    f"{path}: serial {new.serial} is not believed beside {held.zone.serial}: {text}"
                ),
            )

    # Commands

    def _run_commands(self) -> Coroutine[None]:
        """Orders of somebody who may write into the folder of the state, which is its owner's alone."""
        assert self.settings.state is not None
        while True:
            yield Wait(self.clock() + self._around.limits.zone_command_poll_us)
            for path, data in take_commands(self.settings.state):
                self._command(path, data)

    def _command(self, path: Path, data: bytes) -> None:
        def answer(restored: Restored) -> None:
            write_atomically(path, msgspec.json.encode(restored))

        try:
            command = msgspec.json.decode(data, type=Restore)
        except msgspec.DecodeError as error:
            answer(Restored(error=f"a command that can't be read: {error}"))
            return
        self.restore(command, answer)

    def restore(self, command: Restore, answer: Callable[[Restored], None]) -> None:
        """Puts a zone back as it was, as its next version; `answer` hears once that is durable or can't be."""
        held = self.zone_states.get(command.origin)
        if held is None:
            answer(Restored(error=f"no zone {command.origin} is in the settings"))
            return
        if self._by_origin[command.origin].primaries:
            answer(Restored(error=f"{command.origin} follows a primary: put it back there"))
            return
        if held.staged_updates:
            answer(Restored(error="updates are under way: try again"))
            return
        try:
            difference = restore_version(held.zone, held.history, command.serial, self.unix_ms())
        except ZoneError as error:
            answer(Restored(error=str(error)))
            return

        def settle(durable: bool) -> None:
            if durable:
                self._around.counters.add("zone_restores")
                self._around.log.always(
                    "zone_restored",
                    zone=held.origin,
                    restored_serial=command.serial,
                    serial=held.zone.serial,
                    endpoints=len(held.extractor.endpoints),
                )
            answer(
                Restored(held.zone.serial, len(held.extractor.endpoints))
                if durable
                else Restored(error="the state can't be written")
            )

        held.stage_update(difference, UpdateGrant(""), (), self.clock())
        if not self.stage(Ticket(held, difference, settle)):
            held.undo_update(difference)
            settle(False)


@dataclass(frozen=True)
class Saved:
    """The ticket of a version that is announced already."""

    origin: str


class Restore(msgspec.Struct, frozen=True):
    origin: str
    serial: int


class Restored(msgspec.Struct, frozen=True):
    """What came of it; `error` is empty if it was done."""

    serial: int = 0
    hosts: int = 0
    error: str = ""


def _state_of(path: Path) -> tuple[int, ...]:
    """What tells one content of a file from another; empty: it is not there."""
    try:
        stat = path.stat()
    except OSError:
        return ()
    return stat.st_mtime_ns, stat.st_size, stat.st_ino

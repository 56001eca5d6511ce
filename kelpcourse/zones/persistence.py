"""Persistence: encodes and decodes stored zone entries, and replays them. This module does no input or output.

An entry is a msgpack array of a tag and the fields in order. Tags and order are the stored format:

    changed   ZoneChanged
    updated   ZoneUpdated
    seen      ZoneConfirmed
    kept      StoredZone
    snapshot  ZoneSnapshot, written while no applied update is remembered
    snapshot2 ZoneSnapshotWithUpdates
"""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from kelpcourse.limits import Limits
from kelpcourse.zones.applied_updates import AppliedUpdate, AppliedUpdates
from kelpcourse.zones.errors import StoredEntryError, ZoneError
from kelpcourse.zones.records import Record
from kelpcourse.zones.versions import Difference, build_zone
from kelpcourse.zones.zone_state import EndpointChanges, ZoneState


class ZoneChanged(msgspec.Struct, tag="changed", array_like=True, frozen=True):
    """An entry for the change of a zone from one version to the next."""

    origin: str
    difference: Difference


class ZoneUpdated(msgspec.Struct, tag="updated", array_like=True, frozen=True):
    """An entry for the change of a zone by a signed update.

    Attributes:
        origin: Origin of the zone.
        difference: The records that the update removes and adds.
        mac: MAC of the update's message.
    """

    origin: str
    difference: Difference
    mac: bytes


class ZoneConfirmed(msgspec.Struct, tag="seen", array_like=True, frozen=True):
    """An entry for the confirmation of the current version by the source of the zone.

    Attributes:
        origin: Origin of the zone.
        confirmed_ms: Unix time of the confirmation, in milliseconds.
    """

    origin: str
    confirmed_ms: int


class StoredZone(msgspec.Struct, tag="kept", array_like=True, frozen=True):
    """An entry for a whole zone with the differences that led to its current version.

    Attributes:
        origin: Origin of the zone.
        records: All records of the current version.
        history: Differences that led to the current version, oldest first.
        confirmed_ms: Unix time of the last confirmation by the source of the zone, in milliseconds.
    """

    origin: str
    records: tuple[Record, ...]
    history: tuple[Difference, ...]
    confirmed_ms: int


class ZoneSnapshot(msgspec.Struct, tag="snapshot", array_like=True, frozen=True):
    """An entry for all zones of a store."""

    zones: tuple[StoredZone, ...]


class ZoneSnapshotWithUpdates(msgspec.Struct, tag="snapshot2", array_like=True, frozen=True):
    """An entry for all zones of a store, and the signed updates that may be sent again."""

    zones: tuple[StoredZone, ...]
    updates: tuple[AppliedUpdate, ...]


# Called with the origin of a zone, the endpoints that a version changes, and its Unix time of acceptance in ms.
OnReplayed = Callable[[str, EndpointChanges, int], object]
Entry = (
    ZoneChanged | ZoneUpdated | ZoneConfirmed | StoredZone | ZoneSnapshot | ZoneSnapshotWithUpdates
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    """Returns the stored form of an entry."""
    return _encoder.encode(entry)


def decode_entry(payload: bytes) -> Entry:
    """Decodes a stored entry.

    Raises:
        StoredEntryError: The entry is malformed.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise StoredEntryError(str(error)) from error


def encode_snapshot(
    zones: Iterable[ZoneState],
    unconfigured: Iterable[StoredZone],
    updates: Iterable[AppliedUpdate] = (),
) -> bytes:
    """Returns the stored form of a snapshot.

    Args:
        zones: Zones that the settings name.
        unconfigured: Stored zones that the settings do not name; they are kept in the store.
        updates: Applied updates that are remembered, oldest first.
    """
    configured = [stored_zone(zone) for zone in zones if zone.zone.exists]
    stored = (*configured, *unconfigured)
    applied = tuple(updates)
    if not applied:
        return encode_entry(ZoneSnapshot(stored))
    return encode_entry(ZoneSnapshotWithUpdates(stored, applied))


def stored_zone(zone: ZoneState) -> StoredZone:
    """Returns the whole zone as an entry."""
    return StoredZone(
        zone.origin, tuple(zone.zone.records()), tuple(zone.history), zone.confirmed_ms
    )


@contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Pauses cyclic garbage collection, because a replay creates many objects and no garbage."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


@dataclass(frozen=True)
class _ReplayedVersion:
    """A replayed version: its place in the history, when it was accepted, and the endpoints that it changed."""

    is_later: bool  # whether there is an older version
    accepted_ms: int
    origin: str
    changes: EndpointChanges

    def order(self) -> tuple[bool, int]:
        """Returns the sort key: the order of acceptance."""
        return self.is_later, self.accepted_ms


class ZoneReplay:
    """Replays stored entries; zones that the settings do not name are kept unchanged."""

    def __init__(
        self,
        origins: Sequence[str],
        service: str,
        limits: Limits,
        on_replayed: OnReplayed = lambda *_: None,
    ) -> None:
        """Initializes an empty state for each zone.

        Args:
            origins: Origins of the zones that the settings name.
            service: Label prefix of the owners of the SRV records that announce endpoints.
            limits: Limits of each zone.
            on_replayed: Function that is called for each version of a zone of the settings, in the order of replay.
        """
        self._on_replayed = on_replayed
        self._unordered: list[_ReplayedVersion] | None = None  # versions that are not reported yet
        self.zones = {origin: ZoneState(origin, service, limits) for origin in origins}
        self.applied_updates = AppliedUpdates(limits.max_remembered_dns_updates)
        self.warnings: list[str] = []  # problems of the entries that could not be replayed
        self._unconfigured: dict[str, ZoneState] = {}
        self._service = service
        self._limits = limits

    def unconfigured_zones(self) -> tuple[StoredZone, ...]:
        """Returns the stored zones that the settings do not name."""
        return tuple(stored_zone(zone) for zone in self._unconfigured.values() if zone.zone.exists)

    def run(self, snapshot_payload: bytes | None, payloads: Iterable[bytes]) -> None:
        """Replays a snapshot, if there is one, and the entries after it."""
        if snapshot_payload:
            self._replay_payload(snapshot_payload)
        for payload in payloads:
            self._replay_payload(payload)
        for zone in self.zones.values():
            zone.finish_replay()

    def _replay_payload(self, payload: bytes) -> None:
        """Replays one encoded entry; an unusable entry leaves the zone unchanged and adds a warning."""
        try:
            self._replay_entry(decode_entry(payload))
        except ZoneError as error:
            self.warnings.append(str(error))

    def _replay_entry(self, entry: Entry) -> None:
        match entry:
            case ZoneSnapshot(zones):
                self._replay_zones(zones)
            case ZoneSnapshotWithUpdates(zones, updates):
                for update in updates:
                    self.applied_updates.add(update)
                self._replay_zones(zones)
            case StoredZone():
                self._replay_zone(entry)
            case ZoneChanged(origin, difference):
                self._replay_change(origin, difference)
            case ZoneUpdated(origin, difference, mac):
                self._replay_change(origin, difference)
                self.applied_updates.add(AppliedUpdate(mac, difference.accepted_ms))
            case ZoneConfirmed(origin, confirmed_ms):
                zone = self._zone(origin)
                zone.confirmed_ms = max(zone.confirmed_ms, confirmed_ms)

    def _replay_change(self, origin: str, difference: Difference) -> None:
        zone = self._zone(origin)
        self._replay_difference(zone, difference)
        zone.confirmed_ms = max(zone.confirmed_ms, difference.accepted_ms)

    def _replay_zones(self, zones: Iterable[StoredZone]) -> None:
        with self._in_order_of_acceptance():
            for stored in zones:
                self._replay_zone(stored)

    def _replay_zone(self, stored: StoredZone) -> None:
        zone = self._zone(stored.origin)
        if zone.zone.exists:
            self._replay_rest(zone, stored)
        else:
            self._replay_history(zone, stored)
        zone.confirmed_ms = stored.confirmed_ms

    def _replay_history(self, zone: ZoneState, stored: StoredZone) -> None:
        """Replays the oldest version that the history reaches, and the differences that lead to the last one.

        A history that doesn't fit the records is left out, and the last version is replayed at once.
        """
        oldest = build_zone(stored.origin, stored.records)
        accepted_ms = stored.confirmed_ms
        history = stored.history
        try:
            for difference in reversed(history):
                oldest.apply(difference.inverse(difference.accepted_ms))
                accepted_ms = difference.accepted_ms
        except ZoneError as error:
            self.warnings.append(str(error))
            oldest = build_zone(stored.origin, stored.records)
            history = ()
        self._replay_difference(zone, zone.difference_to(oldest, accepted_ms))
        for difference in history:
            self._replay_difference(zone, difference)

    def _replay_rest(self, zone: ZoneState, stored: StoredZone) -> None:
        """Replays what leads from the current version to the last one, which was stored as a whole."""
        for difference in _differences_from(zone, stored.history):
            self._replay_difference(zone, difference)
        last = build_zone(stored.origin, stored.records)
        self._replay_difference(zone, zone.difference_to(last, stored.confirmed_ms))
        for difference in stored.history:
            zone.history.add(difference)

    def _replay_difference(self, zone: ZoneState, difference: Difference) -> None:
        changes = zone.replay(difference)
        if zone.origin not in self.zones:
            return
        if self._unordered is None:
            self._on_replayed(zone.origin, changes, difference.accepted_ms)
        else:
            is_later = difference.old_serial is not None
            self._unordered.append(
                _ReplayedVersion(is_later, difference.accepted_ms, zone.origin, changes)
            )

    @contextmanager
    def _in_order_of_acceptance(self) -> Iterator[None]:
        """Reports the versions of several zones that are replayed one zone after the other in order of acceptance.

        The time since which the oldest stored version of a zone was in force is not stored; those versions come first.
        """
        versions: list[_ReplayedVersion] = []
        self._unordered = versions
        try:
            yield
        finally:
            self._unordered = None
        for version in sorted(versions, key=_ReplayedVersion.order):
            self._on_replayed(version.origin, version.changes, version.accepted_ms)

    def _zone(self, origin: str) -> ZoneState:
        if origin in self.zones:
            return self.zones[origin]
        if origin not in self._unconfigured:
            self._unconfigured[origin] = ZoneState(origin, self._service, self._limits)
        return self._unconfigured[origin]


def _differences_from(zone: ZoneState, history: Sequence[Difference]) -> Sequence[Difference]:
    """Returns the differences of a stored history that follow the current version of a zone."""
    for position, difference in enumerate(history):
        if difference.old_serial == zone.zone.serial:
            return history[position:]
    return ()

"""Zones as entries of the store: what a change is in bytes, and how entries become zones again. Pure."""

from __future__ import annotations

import gc
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager

import msgspec

from kelpcourse.limits import Limits
from kelpcourse.zones.errors import StoredEntryError, ZoneError
from kelpcourse.zones.records import Record
from kelpcourse.zones.versions import Difference, build_zone, difference_between
from kelpcourse.zones.zone_state import ZoneState


class ZoneChanged(msgspec.Struct, tag="changed", array_like=True, frozen=True):
    """A zone went from one version to the next."""

    origin: str
    difference: Difference


class ZoneConfirmed(msgspec.Struct, tag="seen", array_like=True, frozen=True):
    """The source of a zone confirmed the version held."""

    origin: str
    at_ms: int


class StoredZone(msgspec.Struct, tag="kept", array_like=True, frozen=True):
    """A whole zone in a snapshot, with the differences that led to it."""

    origin: str
    records: tuple[Record, ...]
    history: tuple[Difference, ...]
    confirmed_ms: int


class ZoneSnapshot(msgspec.Struct, tag="snapshot", array_like=True, frozen=True):
    zones: tuple[StoredZone, ...]


Entry = ZoneChanged | ZoneConfirmed | StoredZone | ZoneSnapshot
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    return _encoder.encode(entry)


def decode_entry(payload: bytes) -> Entry:
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise StoredEntryError(str(error)) from error


def encode_snapshot(zones: Iterable[ZoneState], others: Iterable[StoredZone]) -> bytes:
    """`others`: zones that the store holds and the settings do not name; they are kept."""
    return encode_entry(
        ZoneSnapshot((*(stored_zone(zone) for zone in zones if zone.zone.exists), *others))
    )


def stored_zone(zone: ZoneState) -> StoredZone:
    return StoredZone(
        zone.origin, tuple(zone.zone.records()), tuple(zone.history), zone.confirmed_ms
    )


@contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Nothing of what a restart makes is garbage, and looking for it costs half of the time."""
    collects = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if collects:
            gc.enable()


class ZoneReplay:
    """Entries into zones. Those of zones that are not in the settings are kept as they stand."""

    def __init__(self, origins: Sequence[str], service: str, limits: Limits) -> None:
        self.zones = {origin: ZoneState(origin, service, limits) for origin in origins}
        self._others: dict[str, ZoneState] = {}
        self._service = service
        self._limits = limits
        self.warnings: list[str] = []

    def unconfigured_zones(self) -> tuple[StoredZone, ...]:
        entry = decode_entry(encode_snapshot(self._others.values(), ()))
        assert isinstance(entry, ZoneSnapshot)
        return entry.zones

    def run(self, snapshot_payload: bytes | None, payloads: Iterable[bytes]) -> None:
        for payload in (*([snapshot_payload] if snapshot_payload else []), *payloads):
            self._run_one(payload)
        for zone in self.zones.values():
            zone.finish_replay()

    def _run_one(self, payload: bytes) -> None:
        try:
            self._take(decode_entry(payload))
        except ZoneError as error:  # told; the version that stands is a whole one
            self.warnings.append(str(error))

    def _take(self, entry: Entry) -> None:
        match entry:
            case ZoneSnapshot(zones):
                for kept in zones:
                    self._keep(kept)
            case StoredZone():
                self._keep(entry)
            case ZoneChanged():
                zone = self._zone(entry.origin)
                zone.replay(entry.difference)
                zone.confirmed_ms = max(zone.confirmed_ms, entry.difference.accepted_ms)
            case ZoneConfirmed(origin, at_ms):
                zone = self._zone(origin)
                zone.confirmed_ms = max(zone.confirmed_ms, at_ms)

    def _keep(self, kept: StoredZone) -> None:
        zone = self._zone(kept.origin)
        zone.replay(
            difference_between(zone.zone, build_zone(kept.origin, kept.records), kept.confirmed_ms)
        )
        for each in kept.history:
            zone.history.add(each)
        zone.confirmed_ms = kept.confirmed_ms

    def _zone(self, origin: str) -> ZoneState:
        if origin in self.zones:
            return self.zones[origin]
        return self._others.setdefault(origin, ZoneState(origin, self._service, self._limits))

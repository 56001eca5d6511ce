"""What a zone holds, version by version: records by owner and type, drafts over them, differences. Pure.

Record data is kept in the canonical wire form (RFC 4034, section 6.2), which is small, hashes fast and goes into
the journal as it is; dnspython reads it where its fields are needed. A change costs what it touches, not the zone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import dns.rdata
import dns.rdataclass
import dns.rdatatype
import msgspec

from kelpcourse.zones.errors import MissingRecordError, MissingSoaError
from kelpcourse.zones.serials import next_serial

SOA = int(dns.rdatatype.SOA)
NS = int(dns.rdatatype.NS)
CNAME = int(dns.rdatatype.CNAME)


class Record(NamedTuple):
    owner: str  # absolute, lower case
    type: int
    ttl: int  # seconds
    data: bytes  # canonical wire form


@dataclass(frozen=True)
class Soa:
    """Times in seconds, as the record has them."""

    serial: int
    refresh: int
    retry: int
    expire: int
    minimum: int


@dataclass(slots=True)
class RecordSet:
    """All records of an owner and type; they share a TTL (RFC 2181, section 5.2)."""

    ttl: int
    data: dict[bytes, None]


def parse_record_data(type_: int, data: bytes) -> dns.rdata.Rdata:
    return dns.rdata.from_wire(
        dns.rdataclass.IN, dns.rdatatype.RdataType.make(type_), data, 0, len(data)
    )


def canonical_data(rdata: dns.rdata.Rdata) -> bytes:
    wire = rdata.to_digestable()
    assert wire is not None
    return wire


def parse_soa(data: bytes) -> Soa:
    at = len(data) - 20  # five figures end it, whatever the names before them are
    figures = [int.from_bytes(data[at + k : at + k + 4], "big") for k in range(0, 20, 4)]
    return Soa(*figures)


def with_serial(data: bytes, serial: int) -> bytes:
    at = len(data) - 20
    return data[:at] + serial.to_bytes(4, "big") + data[at + 4 :]


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """From one version of a zone to another, both SOA records included. It goes into the store as it is."""

    old_serial: int | None  # None: there was no zone
    new_serial: int
    removed: tuple[Record, ...]
    added: tuple[Record, ...]
    accepted_ms: int  # Unix time

    def inverse(self, at_ms: int) -> Difference:
        assert self.old_serial is not None
        return Difference(self.new_serial, self.old_serial, self.added, self.removed, at_ms)

    @property
    def size(self) -> int:
        """Records."""
        return len(self.removed) + len(self.added)


class Zone:
    """The records of one version."""

    def __init__(self, origin: str) -> None:
        self.origin = origin
        self._owners: dict[str, dict[int, RecordSet]] = {}
        self._inner: dict[
            str, int
        ] = {}  # names without records that have names below them (RFC 4592): how many
        self._count = 0
        self._soa: bytes | None = None  # asked for with every change

    def __len__(self) -> int:
        return self._count

    def copy(self) -> Zone:
        other = Zone(self.origin)
        other._owners = {
            owner: {t: RecordSet(s.ttl, dict(s.data)) for t, s in sets.items()}
            for owner, sets in self._owners.items()
        }
        other._inner, other._count, other._soa = dict(self._inner), self._count, self._soa
        return other

    @property
    def exists(self) -> bool:
        return self._soa is not None

    @property
    def soa_data(self) -> bytes:
        if self._soa is None:
            raise MissingSoaError(self.origin)
        return self._soa

    @property
    def soa(self) -> Soa:
        return parse_soa(self.soa_data)

    @property
    def serial(self) -> int:
        return int.from_bytes(self.soa_data[-20:-16], "big")

    def record_set(self, owner: str, type_: int) -> RecordSet | None:
        return self._owners.get(owner, {}).get(type_)

    def types(self, owner: str) -> Iterable[int]:
        return self._owners.get(owner, {}).keys()

    def owns(self, owner: str) -> bool:
        """Whether any record stands at the name."""
        return owner in self._owners

    def reaches(self, owner: str) -> bool:
        """Whether the name exists, be it only by names below it."""
        return owner in self._owners or owner in self._inner

    def owners(self) -> Iterable[str]:
        return self._owners.keys()

    def records(self) -> Iterator[Record]:
        for owner, sets in self._owners.items():
            for type_, held in sets.items():
                for data in held.data:
                    yield Record(owner, type_, held.ttl, data)

    def put(self, record: Record) -> None:
        sets = self._owners.get(record.owner)
        if sets is None:
            sets = self._owners[record.owner] = {}
            self._count_inner(record.owner, 1)
        held = sets.get(record.type)
        if held is None:
            held = sets[record.type] = RecordSet(record.ttl, {})
        held.ttl = record.ttl
        if record.type == SOA and record.owner == self.origin:
            self._soa = record.data
        self._count += record.data not in held.data
        held.data[record.data] = None

    def take(self, record: Record) -> bool:
        """Removes a record; false: it was not there."""
        sets = self._owners.get(record.owner, {})
        held = sets.get(record.type)
        if held is None or record.data not in held.data:
            return False
        del held.data[record.data]
        self._count -= 1
        if record.type == SOA and record.owner == self.origin:
            self._soa = next(iter(held.data), None)
        if not held.data:
            del sets[record.type]
        if not sets:
            del self._owners[record.owner]
            self._count_inner(record.owner, -1)
        return True

    def _count_inner(self, owner: str, by: int) -> None:
        while owner != self.origin and (dot := owner.find(".")) >= 0:
            owner = owner[dot + 1 :]
            count = self._inner.get(owner, 0) + by
            if count:
                self._inner[owner] = count
            else:
                self._inner.pop(owner, None)

    def apply(self, difference: Difference) -> None:
        """Raises ZoneError, with nothing changed, if the difference does not start from this version."""
        owners = self._owners
        for owner, type_, _, data in difference.removed:
            sets = owners.get(owner)
            held = sets.get(type_) if sets is not None else None
            if held is None or data not in held.data:
                raise MissingRecordError(owner, type_name(type_))
        for record in difference.removed:
            self.take(record)
        for record in difference.added:
            self.put(record)


def type_name(type_: int) -> str:
    return dns.rdatatype.to_text(dns.rdatatype.RdataType.make(type_))


def build_zone(origin: str, records: Iterable[Record]) -> Zone:
    zone = Zone(origin)
    for record in records:
        zone.put(record)
    return zone


def difference_between(old: Zone, new: Zone, at_ms: int) -> Difference:
    """What leads from one version to another."""
    removed, added = [], []
    for owner in {**dict.fromkeys(old.owners()), **dict.fromkeys(new.owners())}:
        for type_ in {*old.types(owner), *new.types(owner)}:
            was, now = old.record_set(owner, type_), new.record_set(owner, type_)
            gone, come = _between(was, now)
            if was is not None:
                removed += [Record(owner, type_, was.ttl, data) for data in gone]
            if now is not None:
                added += [Record(owner, type_, now.ttl, data) for data in come]
    return Difference(
        old.serial if old.exists else None, new.serial, tuple(removed), tuple(added), at_ms
    )


def _between(
    was: RecordSet | None, now: RecordSet | None
) -> tuple[Iterable[bytes], Iterable[bytes]]:
    before = was.data if was is not None else {}
    after_ = now.data if now is not None else {}
    if was is not None and now is not None and was.ttl != now.ttl:
        return before, after_
    return ([d for d in before if d not in after_], [d for d in after_ if d not in before])


@dataclass
class _Change:
    """What a draft has done to a set of records."""

    ttl: int | None = None  # where it is another
    added: dict[bytes, None] = field(default_factory=dict)
    removed: dict[bytes, None] = field(default_factory=dict)


class PendingVersion:
    """A version to be, over one that stays as it is. It costs what was changed."""

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.origin = zone.origin
        self._changes: dict[tuple[str, int], _Change] = {}

    def add(self, record: Record) -> None:
        """A record that is there already only takes on the TTL."""
        held = self.zone.record_set(record.owner, record.type)
        change = self._changes.setdefault((record.owner, record.type), _Change())
        if held is not None and record.data in held.data:
            change.removed.pop(record.data, None)
        else:
            change.added[record.data] = None
        change.ttl = record.ttl

    def remove(self, owner: str, type_: int, data: bytes) -> bool:
        if not self.holds(owner, type_, data):
            return False
        change = self._changes.setdefault((owner, type_), _Change())
        if data in change.added:
            del change.added[data]
        else:
            change.removed[data] = None
        return True

    def remove_set(self, owner: str, type_: int) -> None:
        for data in list(self.data(owner, type_)):
            self.remove(owner, type_, data)

    def holds(self, owner: str, type_: int, data: bytes) -> bool:
        change = self._changes.get((owner, type_))
        if change is not None and (data in change.added or data in change.removed):
            return data in change.added
        held = self.zone.record_set(owner, type_)
        return held is not None and data in held.data

    def data(self, owner: str, type_: int) -> Iterator[bytes]:
        change = self._changes.get((owner, type_), _Change())
        held = self.zone.record_set(owner, type_)
        for data in held.data if held is not None else ():
            if data not in change.removed:
                yield data
        yield from change.added

    def size(self, owner: str, type_: int) -> int:
        change = self._changes.get((owner, type_), _Change())
        held = self.zone.record_set(owner, type_)
        return (len(held.data) if held is not None else 0) + len(change.added) - len(change.removed)

    def ttl(self, owner: str, type_: int) -> int:
        change = self._changes.get((owner, type_))
        held = self.zone.record_set(owner, type_)
        if change is not None and change.ttl is not None:
            return change.ttl
        return held.ttl if held is not None else 0

    def types(self, owner: str) -> list[int]:
        known = {*self.zone.types(owner), *(t for o, t in self._changes if o == owner)}
        return [type_ for type_ in sorted(known) if self.size(owner, type_)]

    @property
    def soa_data(self) -> bytes:
        return next(self.data(self.origin, SOA), b"")

    def set_soa(self, data: bytes) -> None:
        ttl = self.ttl(self.origin, SOA)
        self.remove_set(self.origin, SOA)
        self.add(Record(self.origin, SOA, ttl, data))

    def changed(self) -> bool:
        return any(True for _ in self._removed()) or any(True for _ in self._added())

    def advance(self) -> None:
        """Moves the serial on by one if it has not been moved."""
        if self.soa_data and self.soa_data == self.zone.soa_data:
            self.set_soa(with_serial(self.soa_data, next_serial(self.zone.serial)))

    def difference(self, at_ms: int) -> Difference:
        """Raises ZoneError if the version to be has no SOA."""
        if not self.soa_data:
            raise MissingSoaError(self.origin)
        before = self.zone.serial if self.zone.exists else None
        return Difference(
            before,
            parse_soa(self.soa_data).serial,
            tuple(self._removed()),
            tuple(self._added()),
            at_ms,
        )

    def _new_ttl(self, owner: str, type_: int, change: _Change) -> bool:
        held = self.zone.record_set(owner, type_)
        return held is not None and change.ttl is not None and change.ttl != held.ttl

    def _removed(self) -> Iterator[Record]:
        for (owner, type_), change in self._changes.items():
            held = self.zone.record_set(owner, type_)
            if held is None:
                continue
            gone: Iterable[bytes] = (
                held.data if self._new_ttl(owner, type_, change) else change.removed
            )
            for data in gone:
                yield Record(owner, type_, held.ttl, data)

    def _added(self) -> Iterator[Record]:
        for (owner, type_), change in self._changes.items():
            ttl = self.ttl(owner, type_)
            come = (
                self.data(owner, type_)
                if self._new_ttl(owner, type_, change)
                else iter(change.added)
            )
            for data in come:
                yield Record(owner, type_, ttl, data)

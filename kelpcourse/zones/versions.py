"""Versions of a zone and the differences between them. Pure.

A version holds its records by owner and type. Applying a difference costs what it touches, not the whole zone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from kelpcourse.zones.errors import MissingRecordError, MissingSoaError
from kelpcourse.zones.records import SOA, Record, RecordSet, Soa, parse_soa, soa_serial, type_name


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """The step from one version of a zone to another, both SOA records included (RFC 1995).

    It is stored as it is, with its fields in this order.
    """

    old_serial: int | None  # None: there was no zone
    new_serial: int
    removed: tuple[Record, ...]
    added: tuple[Record, ...]
    accepted_ms: int  # Unix time

    def inverse(self, accepted_ms: int) -> Difference:
        """Returns the step back; there must have been a version before."""
        assert self.old_serial is not None
        return Difference(self.new_serial, self.old_serial, self.added, self.removed, accepted_ms)

    @property
    def record_count(self) -> int:
        """Records removed and added."""
        return len(self.removed) + len(self.added)


class Zone:
    """The records of one version."""

    def __init__(self, origin: str) -> None:
        """Starts without any record."""
        self.origin = origin
        self._owners: dict[str, dict[int, RecordSet]] = {}
        # Names with names below them (RFC 4592, section 2.2.2), and how many owners these are.
        self._ancestors: dict[str, int] = {}
        self._count = 0
        self._soa: bytes | None = None  # needed at every change

    def __len__(self) -> int:
        """Returns the number of records."""
        return self._count

    def copy(self) -> Zone:
        """Returns an independent copy, at the cost of the whole zone."""
        copied = Zone(self.origin)
        copied._owners = {
            owner: {
                type_: RecordSet(records.ttl, dict(records.data))
                for type_, records in record_sets.items()
            }
            for owner, record_sets in self._owners.items()
        }
        copied._ancestors = dict(self._ancestors)
        copied._count = self._count
        copied._soa = self._soa
        return copied

    @property
    def exists(self) -> bool:
        """Whether there is an SOA record."""
        return self._soa is not None

    @property
    def soa_data(self) -> bytes:
        """The data of the SOA record.

        Raises:
            MissingSoaError: there is none.
        """
        if self._soa is None:
            raise MissingSoaError(self.origin)
        return self._soa

    @property
    def soa(self) -> Soa:
        """The numbers of the SOA record; raises MissingSoaError if there is none."""
        return parse_soa(self.soa_data)

    @property
    def serial(self) -> int:
        """The serial of the version; raises MissingSoaError if there is no SOA record."""
        return soa_serial(self.soa_data)

    def record_set(self, owner: str, type_: int) -> RecordSet | None:
        """Returns the records of an owner and type; None if there are none."""
        return self._owners.get(owner, {}).get(type_)

    def types(self, owner: str) -> Iterable[int]:
        """Returns the types of the records that a name has."""
        return self._owners.get(owner, {}).keys()

    def has_records(self, owner: str) -> bool:
        """Whether a name has any record."""
        return owner in self._owners

    def name_exists(self, owner: str) -> bool:
        """Whether a name exists, if only through names below it (RFC 4592, section 2.2.2)."""
        return owner in self._owners or owner in self._ancestors

    def owners(self) -> Iterable[str]:
        """Returns every name that has records."""
        return self._owners.keys()

    def records(self) -> Iterator[Record]:
        """Yields every record."""
        for owner, record_sets in self._owners.items():
            for type_, records in record_sets.items():
                for data in records.data:
                    yield Record(owner, type_, records.ttl, data)

    def add(self, record: Record) -> None:
        """Adds a record; its set takes on the TTL."""
        record_sets = self._owners.get(record.owner)
        if record_sets is None:
            record_sets = self._owners[record.owner] = {}
            self._count_ancestors(record.owner, 1)
        records = record_sets.get(record.type)
        if records is None:
            records = record_sets[record.type] = RecordSet(record.ttl, {})
        records.ttl = record.ttl
        if record.type == SOA and record.owner == self.origin:
            self._soa = record.data
        if record.data not in records.data:
            records.data[record.data] = None
            self._count += 1

    def remove(self, record: Record) -> bool:
        """Removes a record, whatever its TTL; returns whether it was there."""
        record_sets = self._owners.get(record.owner, {})
        records = record_sets.get(record.type)
        if records is None or record.data not in records.data:
            return False
        del records.data[record.data]
        self._count -= 1
        if record.type == SOA and record.owner == self.origin:
            self._soa = next(iter(records.data), None)
        if not records.data:
            del record_sets[record.type]
        if not record_sets:
            del self._owners[record.owner]
            self._count_ancestors(record.owner, -1)
        return True

    def apply(self, difference: Difference) -> None:
        """Moves on to the version that a difference leads to.

        Raises:
            MissingRecordError: it does not start from this version; nothing has changed.
        """
        owners = self._owners
        for owner, type_, _, data in difference.removed:
            record_sets = owners.get(owner)
            records = record_sets.get(type_) if record_sets is not None else None
            if records is None or data not in records.data:
                raise MissingRecordError(owner, type_name(type_))
        for record in difference.removed:
            self.remove(record)
        for record in difference.added:
            self.add(record)

    def _count_ancestors(self, owner: str, change: int) -> None:
        """Counts an owner, or no longer, at the names between it and the origin."""
        name = owner
        while name != self.origin:
            dot = name.find(".")
            if dot < 0:
                return
            name = name[dot + 1 :]
            count = self._ancestors.get(name, 0) + change
            if count:
                self._ancestors[name] = count
            else:
                self._ancestors.pop(name, None)


def build_zone(origin: str, records: Iterable[Record]) -> Zone:
    """Returns a version with these records."""
    zone = Zone(origin)
    for record in records:
        zone.add(record)
    return zone


def difference_between(old: Zone, new: Zone, accepted_ms: int) -> Difference:
    """Returns the step from one version to another.

    Raises:
        MissingSoaError: the new version has no SOA record.
    """
    removed: list[Record] = []
    added: list[Record] = []
    for owner in {**dict.fromkeys(old.owners()), **dict.fromkeys(new.owners())}:
        for type_ in {*old.types(owner), *new.types(owner)}:
            before = old.record_set(owner, type_)
            after = new.record_set(owner, type_)
            if before is not None:
                data = _missing_data(before, after)
                removed += [Record(owner, type_, before.ttl, each) for each in data]
            if after is not None:
                data = _missing_data(after, before)
                added += [Record(owner, type_, after.ttl, each) for each in data]
    old_serial = old.serial if old.exists else None
    return Difference(old_serial, new.serial, tuple(removed), tuple(added), accepted_ms)


def _missing_data(records: RecordSet, other: RecordSet | None) -> Iterable[bytes]:
    """Returns the data that another set lacks: all of it if the TTL differs."""
    if other is None or records.ttl != other.ttl:
        return records.data
    return [data for data in records.data if data not in other.data]

"""Versions of a zone and the differences between them. This module does no input or output.

A version stores its records by owner and type, so the cost of applying a difference depends on the number of records
in the difference, not on the size of the zone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from kelpcourse.zones.errors import MissingRecordError, MissingSoaError
from kelpcourse.zones.records import SOA, Record, RecordSet, Soa, parse_soa, soa_serial, type_name


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """The difference between two versions of a zone, including both SOA records (RFC 1995).

    The order of the fields is the stored format.

    Attributes:
        old_serial: Serial of the old version; None if there was no version.
        new_serial: Serial of the new version.
        removed: Records that only the old version has.
        added: Records that only the new version has.
        accepted_ms: Unix time at which the new version was accepted, in milliseconds.
    """

    old_serial: int | None
    new_serial: int
    removed: tuple[Record, ...]
    added: tuple[Record, ...]
    accepted_ms: int

    def inverse(self, accepted_ms: int) -> Difference:
        """Returns the difference in the opposite direction. There must be an old version."""
        assert self.old_serial is not None
        return Difference(self.new_serial, self.old_serial, self.added, self.removed, accepted_ms)

    @property
    def record_count(self) -> int:
        """The number of records that are removed or added."""
        return len(self.removed) + len(self.added)


class Zone:
    """The records of one version of a zone."""

    def __init__(self, origin: str) -> None:
        """Initializes a version without records."""
        self.origin = origin
        self._owners: dict[str, dict[int, RecordSet]] = {}
        # Number of owners below each name that has owners below it (RFC 4592, section 2.2.2).
        self._ancestors: dict[str, int] = {}
        self._count = 0
        # Data of the SOA record, cached because every change needs it; None if there is no SOA record.
        self._soa: bytes | None = None

    def __len__(self) -> int:
        """Returns the number of records."""
        return self._count

    def copy(self) -> Zone:
        """Returns an independent copy; the cost is proportional to the size of the zone."""
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
        """Whether the version has an SOA record."""
        return self._soa is not None

    @property
    def soa_data(self) -> bytes:
        """The data of the SOA record.

        Raises:
            MissingSoaError: The version has no SOA record.
        """
        if self._soa is None:
            raise MissingSoaError(self.origin)
        return self._soa

    @property
    def soa(self) -> Soa:
        """The numbers of the SOA record.

        Raises:
            MissingSoaError: The version has no SOA record.
        """
        return parse_soa(self.soa_data)

    @property
    def serial(self) -> int:
        """The serial of the version.

        Raises:
            MissingSoaError: The version has no SOA record.
        """
        return soa_serial(self.soa_data)

    def record_set(self, owner: str, type_: int) -> RecordSet | None:
        """Returns the set of records of an owner and type; None if there is no such record."""
        return self._owners.get(owner, {}).get(type_)

    def types(self, owner: str) -> Iterable[int]:
        """Returns the types of the records of an owner."""
        return self._owners.get(owner, {}).keys()

    def has_records(self, owner: str) -> bool:
        """Reports whether a name has any record."""
        return owner in self._owners

    def name_exists(self, owner: str) -> bool:
        """Reports whether a name exists: it has records, or a name below it has (RFC 4592, section 2.2.2)."""
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
        """Adds a record; its TTL becomes the TTL of the whole record set."""
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
        """Removes a record regardless of its TTL; returns whether the version had the record."""
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
        """Applies a difference, which turns this version into the new one.

        Raises:
            MissingRecordError: The difference removes a record that this version does not have; nothing was changed.
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
        """Adds `change` to the number of owners below each ancestor of `owner`, up to the origin."""
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
    """Returns a version with the given records."""
    zone = Zone(origin)
    for record in records:
        zone.add(record)
    return zone


def difference_between(old: Zone, new: Zone, accepted_ms: int) -> Difference:
    """Returns the difference between two versions.

    Raises:
        MissingSoaError: The new version has no SOA record.
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
    """Returns the record data that the other set does not have, or all data if the TTLs differ."""
    if other is None or records.ttl != other.ttl:
        return records.data
    return [data for data in records.data if data not in other.data]

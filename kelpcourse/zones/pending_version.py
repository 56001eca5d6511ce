"""A pending version of a zone: changes on top of a version that remains unmodified. No input or output."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from kelpcourse.zones.errors import MissingSoaError
from kelpcourse.zones.records import SOA, Record, soa_serial, with_serial
from kelpcourse.zones.serials import next_serial
from kelpcourse.zones.versions import Difference, Zone


@dataclass
class _SetChange:
    """The changes to the records of one owner and type."""

    ttl: int | None = None  # None if the TTL is unchanged
    added: dict[bytes, None] = field(default_factory=dict)
    removed: dict[bytes, None] = field(default_factory=dict)


class PendingVersion:
    """The next version of a zone while it is prepared; its cost depends on the number of changed records."""

    def __init__(self, zone: Zone) -> None:
        """Initializes a pending version on top of `zone` without changes."""
        self.zone = zone
        self.origin = zone.origin
        self._changes: dict[tuple[str, int], _SetChange] = {}

    def add(self, record: Record) -> None:
        """Adds a record; if the version already has it, only the TTL of its record set changes."""
        records = self.zone.record_set(record.owner, record.type)
        change = self._changes.setdefault((record.owner, record.type), _SetChange())
        if records is not None and record.data in records.data:
            change.removed.pop(record.data, None)
        else:
            change.added[record.data] = None
        change.ttl = record.ttl

    def remove(self, owner: str, type_: int, data: bytes) -> bool:
        """Removes a record; returns whether the version had the record."""
        if not self.has_record(owner, type_, data):
            return False
        change = self._changes.setdefault((owner, type_), _SetChange())
        if data in change.added:
            del change.added[data]
        else:
            change.removed[data] = None
        return True

    def remove_set(self, owner: str, type_: int) -> None:
        """Removes all records of an owner and type."""
        for data in list(self.record_data(owner, type_)):
            self.remove(owner, type_, data)

    def has_record(self, owner: str, type_: int, data: bytes) -> bool:
        """Reports whether the version has the record, regardless of its TTL."""
        change = self._changes.get((owner, type_))
        if change is not None and (data in change.added or data in change.removed):
            return data in change.added
        records = self.zone.record_set(owner, type_)
        return records is not None and data in records.data

    def record_data(self, owner: str, type_: int) -> Iterator[bytes]:
        """Yields the data of all records of an owner and type."""
        change = self._changes.get((owner, type_), _SetChange())
        records = self.zone.record_set(owner, type_)
        if records is not None:
            for data in records.data:
                if data not in change.removed:
                    yield data
        yield from change.added

    def record_count(self, owner: str, type_: int) -> int:
        """Returns the number of records of an owner and type."""
        change = self._changes.get((owner, type_), _SetChange())
        records = self.zone.record_set(owner, type_)
        count = len(records.data) if records is not None else 0
        return count + len(change.added) - len(change.removed)

    def ttl(self, owner: str, type_: int) -> int:
        """Returns the TTL of a record set in seconds; 0 if there is no such record set."""
        change = self._changes.get((owner, type_))
        if change is not None and change.ttl is not None:
            return change.ttl
        records = self.zone.record_set(owner, type_)
        return records.ttl if records is not None else 0

    def types(self, owner: str) -> list[int]:
        """Returns the types of the records of an owner, in ascending order."""
        changed_types = {type_ for name, type_ in self._changes if name == owner}
        known_types = {*self.zone.types(owner), *changed_types}
        return [type_ for type_ in sorted(known_types) if self.record_count(owner, type_)]

    @property
    def soa_data(self) -> bytes:
        """The data of the SOA record; empty if the version has no SOA record."""
        return next(self.record_data(self.origin, SOA), b"")

    def set_soa(self, data: bytes) -> None:
        """Replaces the SOA record and keeps its TTL."""
        ttl = self.ttl(self.origin, SOA)
        self.remove_set(self.origin, SOA)
        self.add(Record(self.origin, SOA, ttl, data))

    def is_changed(self) -> bool:
        """Reports whether the pending version differs from the version that it is based on."""
        return any(True for _ in self._removed()) or any(True for _ in self._added())

    def advance_serial(self) -> None:
        """Increments the serial unless the pending changes include the SOA record (RFC 2136, section 3.6)."""
        if self.soa_data and self.soa_data == self.zone.soa_data:
            self.set_soa(with_serial(self.soa_data, next_serial(self.zone.serial)))

    def difference(self, accepted_ms: int) -> Difference:
        """Returns the difference from the version that this one is based on.

        Raises:
            MissingSoaError: The pending version has no SOA record.
        """
        if not self.soa_data:
            raise MissingSoaError(self.origin)
        return Difference(
            self.zone.serial if self.zone.exists else None,
            soa_serial(self.soa_data),
            tuple(self._removed()),
            tuple(self._added()),
            accepted_ms,
        )

    def _has_new_ttl(self, owner: str, type_: int, change: _SetChange) -> bool:
        records = self.zone.record_set(owner, type_)
        return records is not None and change.ttl is not None and change.ttl != records.ttl

    def _removed(self) -> Iterator[Record]:
        for (owner, type_), change in self._changes.items():
            records = self.zone.record_set(owner, type_)
            if records is None:
                continue
            removed: Iterable[bytes] = change.removed
            if self._has_new_ttl(owner, type_, change):
                removed = records.data
            for data in removed:
                yield Record(owner, type_, records.ttl, data)

    def _added(self) -> Iterator[Record]:
        for (owner, type_), change in self._changes.items():
            ttl = self.ttl(owner, type_)
            added: Iterable[bytes] = change.added
            if self._has_new_ttl(owner, type_, change):
                added = self.record_data(owner, type_)
            for data in added:
                yield Record(owner, type_, ttl, data)

"""The differences that led to the current version, for IXFR (RFC 1995) and for restoring a former version.

This module does no input or output.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from kelpcourse.zones.errors import UnknownVersionError
from kelpcourse.zones.records import SOA, Record, with_serial
from kelpcourse.zones.serials import next_serial
from kelpcourse.zones.versions import Difference, Zone, difference_between


class History:
    """The latest differences of a zone, limited by the total number of records in them."""

    def __init__(self, max_records: int) -> None:
        """Initializes an empty history.

        Args:
            max_records: Maximum total number of records; the oldest differences beyond it are removed.
        """
        self._max_records = max_records
        self._differences: deque[Difference] = deque()
        self._record_count = 0

    def __iter__(self) -> Iterator[Difference]:
        """Yields the differences, oldest first."""
        return iter(self._differences)

    def __len__(self) -> int:
        """Returns the number of differences."""
        return len(self._differences)

    def serials(self) -> list[int]:
        """Returns the serials of the former versions that can be restored, oldest first."""
        return [
            difference.old_serial
            for difference in self._differences
            if difference.old_serial is not None
        ]

    def add(self, difference: Difference) -> None:
        """Adds the latest difference; if it does not start from the last version, all earlier ones are removed."""
        if difference.old_serial is None:
            self._clear()
            return
        if self._differences and self._differences[-1].new_serial != difference.old_serial:
            self._clear()
        self._differences.append(difference)
        self._record_count += difference.record_count
        while self._record_count > self._max_records and self._differences:
            self._record_count -= self._differences.popleft().record_count

    def differences_since(self, serial: int) -> list[Difference] | None:
        """Returns the differences from a former version to the current one; None if the history does not reach it."""
        differences: list[Difference] = []
        for difference in reversed(self._differences):
            differences.append(difference)
            if difference.old_serial == serial:
                differences.reverse()
                return differences
        return None

    def _clear(self) -> None:
        self._differences.clear()
        self._record_count = 0


def version_at(zone: Zone, history: History, serial: int) -> Zone | None:
    """Returns the former version with the given serial; None if the history does not reach it."""
    differences = history.differences_since(serial)
    if differences is None:
        return None
    former = zone.copy()
    for difference in reversed(differences):
        former.apply(difference.inverse(0))
    return former


def restore_version(zone: Zone, history: History, serial: int, accepted_ms: int) -> Difference:
    """Returns the difference to a new version that has the records of a former version and the next serial.

    Raises:
        UnknownVersionError: The history does not reach the former version.
    """
    restored = version_at(zone, history, serial)
    if restored is None:
        raise UnknownVersionError(zone.origin, serial, history.serials())
    soa_records = restored.record_set(zone.origin, SOA)
    assert soa_records is not None  # every version in the history has an SOA record
    soa = Record(zone.origin, SOA, soa_records.ttl, next(iter(soa_records.data)))
    restored.remove(soa)
    restored.add(soa._replace(data=with_serial(soa.data, next_serial(zone.serial))))
    return difference_between(zone, restored, accepted_ms)

"""The differences that led to the version held: for IXFR (RFC 1995) and for putting a zone back. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from kelpcourse.zones.content import SOA, Difference, Record, Zone, difference_between, with_serial
from kelpcourse.zones.errors import UnknownVersionError
from kelpcourse.zones.serials import next_serial


class History:
    """Bounded by records, not by versions: a whole-zone change weighs as much as it is."""

    def __init__(self, most_records: int) -> None:
        self._most = most_records
        self._differences: deque[Difference] = deque()
        self._records = 0

    def __iter__(self) -> Iterator[Difference]:
        return iter(self._differences)

    def __len__(self) -> int:
        return len(self._differences)

    def serials(self) -> list[int]:
        """Versions that can be told of, oldest first, without the one held."""
        return [d.old_serial for d in self._differences if d.old_serial is not None]

    def add(self, difference: Difference) -> None:
        if difference.old_serial is None or (
            self._differences and self._differences[-1].new_serial != difference.old_serial
        ):
            self._differences.clear()
            self._records = 0
            if difference.old_serial is None:
                return
        self._differences.append(difference)
        self._records += difference.size
        while self._records > self._most and self._differences:
            self._records -= self._differences.popleft().size

    def since(self, serial: int) -> list[Difference] | None:
        """What leads from that version to the one held; None: that is no longer known."""
        out: list[Difference] = []
        for difference in reversed(self._differences):
            out.append(difference)
            if difference.old_serial == serial:
                return out[::-1]
        return None


def version_at(zone: Zone, history: History, serial: int) -> Zone | None:
    """The version with that serial; None: it is no longer known."""
    steps = history.since(serial)
    if steps is None:
        return None
    former = zone.copy()
    for step in reversed(steps):
        former.apply(step.inverse(0))
    return former


def restore_version(zone: Zone, history: History, serial: int, at_ms: int) -> Difference:
    """The zone as it was at `serial`, as the version after the one held. Raises ZoneError with what is known."""
    former = version_at(zone, history, serial)
    if former is None:
        raise UnknownVersionError(zone.origin, serial, history.serials())
    soa = former.record_set(zone.origin, SOA)
    assert soa is not None
    ttl, data = soa.ttl, next(iter(soa.data))
    former.take(Record(zone.origin, SOA, ttl, data))
    former.put(Record(zone.origin, SOA, ttl, with_serial(data, next_serial(zone.serial))))
    return difference_between(zone, former, at_ms)

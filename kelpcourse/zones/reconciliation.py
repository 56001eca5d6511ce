"""Which version of a zone is believed, when sources contradict what is held or each other. Pure.

A version ahead of the one held (RFC 1982) is believed. One behind it is not: it is what a stale or restored
primary says, and a director that followed it would call back hosts that are gone. It is told once, and as long as it
lasts nothing counts as confirmed, so that the zone expires as if its primary were silent; a zone that has expired is
held no more, and then whatever its primary has is believed. An operator who wants it earlier moves the serial ahead.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcourse.zones.serials import SerialOrder, compare_serials


class Verdict(Enum):
    NEWER = "newer"  # to be fetched and believed
    SAME = "same"  # confirms what is held
    BEHIND = "behind"
    UNDEFINED = "undefined"  # half round: which is newer can't be told
    DIFFERS = "differs"  # the serial held with another SOA: two histories

    @property
    def contradicts(self) -> bool:
        return self in (Verdict.BEHIND, Verdict.UNDEFINED, Verdict.DIFFERS)


VERDICTS = {
    SerialOrder.SAME: Verdict.SAME,
    SerialOrder.AHEAD: Verdict.NEWER,
    SerialOrder.BEHIND: Verdict.BEHIND,
    SerialOrder.UNDEFINED: Verdict.UNDEFINED,
}


@dataclass(frozen=True)
class Version:
    serial: int
    soa: bytes  # canonical data, compared where serials are the same


def compare_versions(held: Version | None, offered: Version) -> Verdict:
    if held is None:
        return Verdict.NEWER
    verdict = VERDICTS[compare_serials(offered.serial, held.serial)]
    if verdict is Verdict.SAME and offered.soa != held.soa:
        return Verdict.DIFFERS
    return verdict


@dataclass(frozen=True)
class Contradiction:
    """Something to be told to the operators, once when it begins and once when it ends."""

    source: str
    verdict: Verdict
    held: int
    offered: int
    begins: bool


class VersionReconciler:
    """One zone's: what is held, and which of its sources contradict it."""

    def __init__(self, held: Version | None) -> None:
        self.accepted = held
        self.expired = False
        self._against: dict[str, tuple[Verdict, int]] = {}  # by source

    @property
    def contradicted(self) -> bool:
        return bool(self._against)

    def offer(self, source: str, offered: Version) -> tuple[Verdict, list[Contradiction]]:
        """What to make of a version that a source tells of."""
        verdict = compare_versions(None if self.expired else self.accepted, offered)
        return verdict, self._note(source, verdict, offered.serial)

    def take(self, version: Version) -> None:
        """This version is held from now on."""
        self.accepted, self.expired = version, False

    def expire(self) -> None:
        """Nothing confirmed the zone for as long as its SOA allows."""
        self.expired = True

    def forget(self, source: str) -> list[Contradiction]:
        """A source is silent: what it said before is no contradiction now."""
        return self._end(source)

    def _note(self, source: str, verdict: Verdict, serial: int) -> list[Contradiction]:
        if not verdict.contradicts:
            return self._end(source)
        if self._against.get(source) == (verdict, serial):
            return []
        self._against[source] = verdict, serial
        return [self._told(source, verdict, serial, True)]

    def _end(self, source: str) -> list[Contradiction]:
        if source not in self._against:
            return []
        verdict, serial = self._against.pop(source)
        return [self._told(source, verdict, serial, False)]

    def _told(self, source: str, verdict: Verdict, serial: int, begins: bool) -> Contradiction:
        return Contradiction(
            source,
            verdict,
            self.accepted.serial if self.accepted is not None else 0,
            serial,
            begins,
        )

"""Version reconciliation: which version of a zone is accepted when its sources disagree. Pure.

A version with a serial ahead of the accepted one (RFC 1982) is accepted. A version behind it is not: a stale primary,
or one that was restored from a backup, offers such a version, and accepting it would bring back endpoints that are
gone. The contradiction is reported once; while it lasts, the source confirms nothing, so the zone expires as if its
primary were silent. Once a zone has expired, any version is accepted. An operator who wants it earlier raises the
serial at the primary.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcourse.zones.serials import SerialOrder, compare_serials


class Verdict(Enum):
    """How an offered version compares with the accepted one."""

    NEWER = "newer"  # to be fetched and accepted
    SAME = "same"  # confirms the accepted version
    BEHIND = "behind"
    UNDEFINED = "undefined"  # half the serial space apart: neither is newer
    DIFFERS = "differs"  # the same serial with another SOA record: two histories

    @property
    def contradicts(self) -> bool:
        """Whether the source of the version contradicts the accepted one."""
        return self in (Verdict.BEHIND, Verdict.UNDEFINED, Verdict.DIFFERS)


VERDICTS = {
    SerialOrder.SAME: Verdict.SAME,
    SerialOrder.AHEAD: Verdict.NEWER,
    SerialOrder.BEHIND: Verdict.BEHIND,
    SerialOrder.UNDEFINED: Verdict.UNDEFINED,
}


@dataclass(frozen=True)
class Version:
    """A version of a zone, identified by its serial and its SOA record."""

    serial: int
    soa: bytes  # canonical data, compared where serials are the same


def compare_versions(accepted: Version | None, offered: Version) -> Verdict:
    """Compares an offered version with the accepted one, if there is one."""
    if accepted is None:
        return Verdict.NEWER
    verdict = VERDICTS[compare_serials(offered.serial, accepted.serial)]
    if verdict is Verdict.SAME and offered.soa != accepted.soa:
        return Verdict.DIFFERS
    return verdict


@dataclass(frozen=True)
class Contradiction:
    """The beginning or the end of a contradiction, to be reported to the operators."""

    source: str
    verdict: Verdict
    accepted_serial: int
    offered_serial: int
    begins: bool


class VersionReconciler:
    """The accepted version of one zone, and the sources that contradict it."""

    def __init__(self, accepted: Version | None) -> None:
        """Starts with no contradiction; `accepted` is None while there is no version."""
        self.accepted = accepted
        self.expired = False
        self._contradictions: dict[str, tuple[Verdict, int]] = {}  # by source

    @property
    def contradicted(self) -> bool:
        """Whether any source contradicts the accepted version."""
        return bool(self._contradictions)

    def offer(self, source: str, offered: Version) -> tuple[Verdict, list[Contradiction]]:
        """Judges a version that a source has, and tells which contradiction begins or ends."""
        verdict = compare_versions(None if self.expired else self.accepted, offered)
        return verdict, self._note(source, verdict, offered.serial)

    def accept(self, version: Version) -> None:
        """Makes this version the accepted one; the zone is no longer expired."""
        self.accepted = version
        self.expired = False

    def expire(self) -> None:
        """Notes that no source confirmed the zone within the SOA's expire time (RFC 1035, 3.3.13)."""
        self.expired = True

    def source_timed_out(self, source: str) -> list[Contradiction]:
        """Ends the contradiction of a source that does not answer any more."""
        return self._end(source)

    def _note(self, source: str, verdict: Verdict, serial: int) -> list[Contradiction]:
        if not verdict.contradicts:
            return self._end(source)
        if self._contradictions.get(source) == (verdict, serial):
            return []
        self._contradictions[source] = verdict, serial
        return [self._contradiction(source, verdict, serial, begins=True)]

    def _end(self, source: str) -> list[Contradiction]:
        if source not in self._contradictions:
            return []
        verdict, serial = self._contradictions.pop(source)
        return [self._contradiction(source, verdict, serial, begins=False)]

    def _contradiction(
        self, source: str, verdict: Verdict, serial: int, *, begins: bool
    ) -> Contradiction:
        accepted_serial = self.accepted.serial if self.accepted is not None else 0
        return Contradiction(source, verdict, accepted_serial, serial, begins)

"""Version reconciliation: decides which version of a zone is accepted when its sources disagree.

A version with a serial ahead of the accepted one (RFC 1982) is accepted. A version with a serial behind it is
rejected: it comes from a stale primary, or from one that was restored from a backup, and accepting it would list
endpoints that have been removed. The contradiction is reported once. While it lasts, the source does not count as
confirming the accepted version, so the zone expires as if the primary did not respond. Once a zone has expired, any
version is accepted. To have the version accepted earlier, an operator raises the serial at the primary.
This module does no input or output.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcourse.zones.serials import SerialOrder, compare_serials


class Verdict(Enum):
    """The result of comparing an offered version with the accepted one."""

    NEWER = "newer"  # the offered version is fetched and accepted
    SAME = "same"  # the source confirms the accepted version
    BEHIND = "behind"  # the serial is behind the accepted one
    UNDEFINED = "undefined"  # the serials are half the serial space apart, so neither is newer
    DIFFERS = "differs"  # same serial but another SOA record, so the histories have diverged

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
    """A version of a zone, identified by its serial and its SOA record.

    Attributes:
        serial: Serial of the version.
        soa: Canonical data of the SOA record, which is compared if the serials are equal.
    """

    serial: int
    soa: bytes


def compare_versions(accepted: Version | None, offered: Version) -> Verdict:
    """Compares an offered version with the accepted version; without an accepted version it is newer."""
    if accepted is None:
        return Verdict.NEWER
    verdict = VERDICTS[compare_serials(offered.serial, accepted.serial)]
    if verdict is Verdict.SAME and offered.soa != accepted.soa:
        return Verdict.DIFFERS
    return verdict


@dataclass(frozen=True)
class Contradiction:
    """The beginning or the end of a contradiction, to be reported to the operators.

    Attributes:
        source: Name of the source.
        verdict: Result of the comparison that began the contradiction.
        accepted_serial: Serial of the accepted version; 0 if there is none.
        offered_serial: Serial of the version that the source offered.
        begins: Whether the contradiction begins; otherwise it ends.
    """

    source: str
    verdict: Verdict
    accepted_serial: int
    offered_serial: int
    begins: bool


class VersionReconciler:
    """Tracks the accepted version of one zone and the sources that contradict it."""

    def __init__(self, accepted: Version | None) -> None:
        """Initializes the state without contradictions; `accepted` is None if there is no version yet."""
        self.accepted = accepted
        self.expired = False
        # Result of the comparison and offered serial of each source that contradicts the accepted version.
        self._contradictions: dict[str, tuple[Verdict, int]] = {}

    @property
    def contradicted(self) -> bool:
        """Whether any source contradicts the accepted version."""
        return bool(self._contradictions)

    def offer(self, source: str, offered: Version) -> tuple[Verdict, list[Contradiction]]:
        """Compares a version that a source offers with the accepted one.

        Returns:
            The result of the comparison, and the contradictions that begin or end.
        """
        verdict = compare_versions(None if self.expired else self.accepted, offered)
        return verdict, self._update_contradiction(source, verdict, offered.serial)

    def accept(self, version: Version) -> None:
        """Makes a version the accepted one; the zone is then no longer expired."""
        self.accepted = version
        self.expired = False

    def expire(self) -> None:
        """Marks the zone as expired, as no source confirmed it within the SOA's expire time (RFC 1035, 3.3.13)."""
        self.expired = True

    def source_timed_out(self, source: str) -> list[Contradiction]:
        """Ends the contradiction of a source that no longer responds."""
        return self._end_contradiction(source)

    def _update_contradiction(
        self, source: str, verdict: Verdict, serial: int
    ) -> list[Contradiction]:
        if not verdict.contradicts:
            return self._end_contradiction(source)
        if self._contradictions.get(source) == (verdict, serial):
            return []
        self._contradictions[source] = verdict, serial
        return [self._contradiction(source, verdict, serial, begins=True)]

    def _end_contradiction(self, source: str) -> list[Contradiction]:
        if source not in self._contradictions:
            return []
        verdict, serial = self._contradictions.pop(source)
        return [self._contradiction(source, verdict, serial, begins=False)]

    def _contradiction(
        self, source: str, verdict: Verdict, serial: int, *, begins: bool
    ) -> Contradiction:
        accepted_serial = self.accepted.serial if self.accepted is not None else 0
        return Contradiction(source, verdict, accepted_serial, serial, begins)

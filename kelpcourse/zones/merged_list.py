"""The merged endpoint list of several zones, and its changes.

An endpoint is identified by its name relative to the origin, so that a zone and its copy under another origin announce
the same endpoints. An endpoint is listed while any zone announces it. If zones disagree, the address, zone, kind, cell
and weight are those of the first zone in the order of the settings; the endpoint is draining if any zone announces it
as draining; and its start is the latest start that a zone announces. The endpoints of an unreachable zone stay in the
list. This module does no input or output.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.runtime import US_PER_MS


@dataclass(frozen=True)
class EndpointConflict:
    """The beginning or the end of a disagreement of zones on attributes other than status and start.

    Attributes:
        endpoint: Name of the endpoint.
        zones: Origins of the zones that announce the endpoint; for the end of a conflict, as last reported.
        begins: Whether the conflict begins, or concerns other zones than before; otherwise it ends.
    """

    endpoint: str
    zones: tuple[str, ...]
    begins: bool


class MergedEndpointList:
    """The merged list, with a version number that is incremented with each change.

    An endpoint that is listed again after a longer absence than the grace period has done no work in between. Its
    start is then the time at which it was listed again, whatever its record says, so that it is warming up. Within the
    grace period proxies may still be using the endpoint, so its start is unchanged.

    All times are those at which versions were accepted, which are stored with them. The same versions therefore lead to
    the same list, whether a process has received them or has replayed them after a restart.
    """

    def __init__(self, zones: Sequence[str], grace_us: int, max_remembered: int) -> None:
        """Initializes an empty list with no zone loaded.

        Args:
            zones: Origins of the zones, in descending order of precedence.
            grace_us: Maximum time, in microseconds, for which an endpoint may be absent without counting as restarted.
            max_remembered: Maximum number of removed endpoints whose removal time is remembered.
        """
        self._zones = list(zones)
        self._grace_ms = grace_us / US_PER_MS
        self._max_remembered = max_remembered
        self._announced: dict[str, dict[str, ListedEndpoint]] = {zone: {} for zone in zones}
        self.endpoints: dict[str, ListedEndpoint] = {}
        # Unix time in milliseconds at which each absent endpoint was removed, by name; oldest first.
        self._removed_ms: dict[str, int] = {}
        # Unix time in milliseconds at which an endpoint was listed again after the grace period, by name.
        self._returned_ms: dict[str, int] = {}
        self._conflicts: dict[str, tuple[str, ...]] = {}
        self._loaded: set[str] = set()
        self._unavailable: set[str] = set(zones)
        self.version = 0

    @property
    def is_complete(self) -> bool:
        """Whether every zone has been loaded at least once.

        Until then the list adds endpoints but removes none, because a zone that has never been loaded may announce
        the endpoints that are missing.
        """
        return len(self._loaded) == len(self._zones)

    @property
    def is_available(self) -> bool:
        """Whether any zone is loaded and not expired."""
        return len(self._unavailable) < len(self._zones)

    def conflicts(self) -> list[EndpointConflict]:
        """Returns the conflicts that have begun and not ended."""
        return [
            EndpointConflict(name, zones, begins=True) for name, zones in self._conflicts.items()
        ]

    def zone_loaded(self, zone: str) -> bool:
        """Records that a version of a zone is accepted and confirmed.

        Returns:
            Whether this completed the list.
        """
        self._unavailable.discard(zone)
        if zone in self._loaded:
            return False
        self._loaded.add(zone)
        return self.is_complete

    def zone_expired(self, zone: str) -> None:
        """Records that a zone has expired; its endpoints stay in the list."""
        self._unavailable.add(zone)

    def update(
        self, zone: str, changes: Mapping[str, ListedEndpoint | None], accepted_ms: int
    ) -> tuple[list[ListedEndpoint], list[EndpointConflict]]:
        """Merges the changes of one zone into the list, as one change of the list.

        Args:
            zone: Origin of the zone.
            changes: Changed endpoints by name; None for an endpoint that was removed.
            accepted_ms: Unix time at which the version with these changes was accepted, in milliseconds.

        Returns:
            The entries of the list that changed, with the status GONE for removed ones, and the conflicts that began
            or ended.
        """
        announced = self._announced[zone]
        for name, endpoint in changes.items():
            if endpoint is None:
                announced.pop(name, None)
            else:
                announced[name] = endpoint
        changed: list[ListedEndpoint] = []
        conflicts: list[EndpointConflict] = []
        for name in changes:
            changed += self._merge(name, accepted_ms, conflicts)
        if changed:
            self.version += 1
        return changed, conflicts

    def _merge(
        self, name: str, accepted_ms: int, conflicts: list[EndpointConflict]
    ) -> Iterable[ListedEndpoint]:
        """Updates one entry of the list and returns it if it changed."""
        announcements = {
            zone: announced[name]
            for zone, announced in self._announced.items()
            if name in announced
        }
        self._check_conflict(name, announcements, conflicts)
        previous = self.endpoints.get(name)
        if not announcements:
            if previous is None:
                return ()
            del self.endpoints[name]
            self._record_removal(name, accepted_ms)
            return (replace(previous, status=EndpointStatus.GONE),)
        if previous is None:
            self._record_arrival(name, accepted_ms)
        merged = self._merged(name, list(announcements.values()))
        if merged == previous:
            return ()
        self.endpoints[name] = merged
        return (merged,)

    def _merged(self, name: str, announcements: Sequence[ListedEndpoint]) -> ListedEndpoint:
        first = announcements[0]
        returned_ms = self._returned_ms.get(name, 0)
        if len(announcements) == 1 and returned_ms <= first.started_ms:
            return first
        draining = any(each.status is EndpointStatus.DRAINING for each in announcements)
        latest_start_ms = max(each.started_ms for each in announcements)
        return replace(
            first,
            status=EndpointStatus.DRAINING if draining else EndpointStatus.READY,
            started_ms=max(latest_start_ms, returned_ms),
        )

    def _record_removal(self, name: str, accepted_ms: int) -> None:
        self._removed_ms[name] = accepted_ms
        while len(self._removed_ms) > self._max_remembered:
            oldest = next(iter(self._removed_ms))
            del self._removed_ms[oldest]
            self._returned_ms.pop(oldest, None)

    def _record_arrival(self, name: str, accepted_ms: int) -> None:
        removed_ms = self._removed_ms.pop(name, None)
        if removed_ms is None:
            return
        # If the clock was set back, the length of the absence is not known.
        if not 0 <= accepted_ms - removed_ms <= self._grace_ms:
            self._returned_ms[name] = accepted_ms

    def _check_conflict(
        self,
        name: str,
        announcements: Mapping[str, ListedEndpoint],
        conflicts: list[EndpointConflict],
    ) -> None:
        """Appends to `conflicts` if a conflict on this endpoint begins, ends or concerns other zones than before."""
        zones = tuple(announcements) if _differ(announcements.values()) else ()
        if zones == self._conflicts.get(name, ()):
            return
        if zones:
            self._conflicts[name] = zones
            conflicts.append(EndpointConflict(name, zones, begins=True))
        else:
            former_zones = self._conflicts.pop(name)
            conflicts.append(EndpointConflict(name, former_zones, begins=False))


def _differ(announcements: Collection[ListedEndpoint]) -> bool:
    """Returns whether announcements of an endpoint disagree on other attributes than status and start."""
    if len(announcements) < 2:
        return False
    distinct = {
        replace(each, status=EndpointStatus.READY, started_ms=0.0) for each in announcements
    }
    return len(distinct) > 1

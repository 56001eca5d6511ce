"""The merged endpoint list of several zones, and its changes. Pure.

An endpoint is identified by its name relative to the origin, so that a zone and its copy under another origin announce
the same endpoints. It is in the list while any zone announces it. Where zones disagree, the first in the order of the
settings decides on address, zone, kind, cell and weight; the endpoint is draining if any zone says so; and it started
when the latest of them says. A zone that cannot be reached keeps its endpoints.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus


@dataclass(frozen=True)
class EndpointConflict:
    """The beginning or the end of a disagreement on more than an endpoint's status and start."""

    endpoint: str
    zones: tuple[str, ...]
    begins: bool


class MergedEndpointList:
    """The merged list, with a version that grows with each change.

    An endpoint that comes back after it was gone for longer than the grace did no work meanwhile:
    it counts as started when it came back, whatever its record says, so that it warms up. Within
    the grace proxies may still be using it, and its start stays as it was.
    """

    def __init__(self, zones: Sequence[str], grace_us: int, max_remembered: int) -> None:
        """Starts empty, with no zone loaded.

        Args:
            zones: the origins, the one that decides first.
            grace_us: how long an endpoint may be gone without counting as started anew.
            max_remembered: how many endpoints that are gone are remembered.
        """
        self._zones = list(zones)
        self._grace_us = grace_us
        self._max_remembered = max_remembered
        self._announced: dict[str, dict[str, ListedEndpoint]] = {zone: {} for zone in zones}
        self.endpoints: dict[str, ListedEndpoint] = {}
        self._gone_us: dict[str, int] = {}  # in the order they went
        self._returned_ms: dict[str, int] = {}
        self._conflicts: dict[str, tuple[str, ...]] = {}
        self._loaded: set[str] = set()
        self._unavailable: set[str] = set(zones)
        self.version = 0

    @property
    def is_complete(self) -> bool:
        """Whether every zone has been loaded once.

        Until then the list may add endpoints but removes none: what a zone that was never loaded
        announces is not known to be gone.
        """
        return len(self._loaded) == len(self._zones)

    @property
    def is_available(self) -> bool:
        """Whether any zone is loaded and not expired."""
        return len(self._unavailable) < len(self._zones)

    def zone_loaded(self, zone: str) -> bool:
        """Notes that a version of a zone is accepted and confirmed.

        Returns whether the list became complete by it.
        """
        self._unavailable.discard(zone)
        if zone in self._loaded:
            return False
        self._loaded.add(zone)
        return self.is_complete

    def zone_expired(self, zone: str) -> None:
        """Notes that a zone has expired; its endpoints stay in the list."""
        self._unavailable.add(zone)

    def update(
        self, zone: str, changes: Mapping[str, ListedEndpoint | None], now_us: int, unix_ms: int
    ) -> tuple[list[ListedEndpoint], list[EndpointConflict]]:
        """Merges the changes of one zone: endpoints by name, None for one that is gone.

        Returns the entries of the list that changed, as one change, with the status GONE for those
        that were removed; and the conflicts that began or ended.
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
            changed += self._merge(name, now_us, unix_ms, conflicts)
        if changed:
            self.version += 1
        return changed, conflicts

    def _merge(
        self, name: str, now_us: int, unix_ms: int, conflicts: list[EndpointConflict]
    ) -> Iterable[ListedEndpoint]:
        """Updates one entry of the list; returns it if it changed."""
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
            self._note_removal(name, now_us)
            return (replace(previous, status=EndpointStatus.GONE),)
        if previous is None:
            self._note_arrival(name, now_us, unix_ms)
        merged = self._merged(name, list(announcements.values()))
        if merged == previous:
            return ()
        self.endpoints[name] = merged
        return (merged,)

    def _merged(self, name: str, announcements: Sequence[ListedEndpoint]) -> ListedEndpoint:
        draining = any(each.status is EndpointStatus.DRAINING for each in announcements)
        latest_start_ms = max(each.started_ms for each in announcements)
        return replace(
            announcements[0],
            status=EndpointStatus.DRAINING if draining else EndpointStatus.READY,
            started_ms=max(latest_start_ms, self._returned_ms.get(name, 0)),
        )

    def _note_removal(self, name: str, now_us: int) -> None:
        self._gone_us[name] = now_us
        while len(self._gone_us) > self._max_remembered:
            oldest = next(iter(self._gone_us))
            del self._gone_us[oldest]
            self._returned_ms.pop(oldest, None)

    def _note_arrival(self, name: str, now_us: int, unix_ms: int) -> None:
        gone_us = self._gone_us.pop(name, None)
        if gone_us is not None and now_us - gone_us > self._grace_us:
            self._returned_ms[name] = unix_ms

    def _check_conflict(
        self,
        name: str,
        announcements: Mapping[str, ListedEndpoint],
        conflicts: list[EndpointConflict],
    ) -> None:
        """Appends to `conflicts` if one on this endpoint begins, ends or concerns other zones."""
        distinct = {
            replace(each, status=EndpointStatus.READY, started_ms=0.0)
            for each in announcements.values()
        }
        zones = tuple(announcements) if len(distinct) > 1 else ()
        if zones == self._conflicts.get(name, ()):
            return
        if zones:
            self._conflicts[name] = zones
            conflicts.append(EndpointConflict(name, zones, begins=True))
        else:
            former_zones = self._conflicts.pop(name)
            conflicts.append(EndpointConflict(name, former_zones, begins=False))

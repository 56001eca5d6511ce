"""One host list out of several zones, and what is told of it as it changes. Pure.

A host is known by its id, the target without the origin, so that a zone and its double elsewhere name the same
hosts. It is in the list while any zone announces it. Where zones differ, the first in the order of the settings tells
address, zone, kind, cell and size; it drains if any of them says so, as a drain must be kept; and it started
when the latest of them says. A zone that can't be reached keeps its hosts: silence takes nothing away.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus


@dataclass(frozen=True)
class EndpointConflict:
    """Zones that differ on a host in more than its phase and start."""

    host: str
    sources: tuple[str, ...]
    begins: bool


class MergedEndpointList:
    """The merged list. A host that comes back after it was gone for longer than the grace did no work meanwhile
    and carries none now: it counts as started when it came back, whatever its record says, so that the rule on
    cold hosts covers it. Within the grace proxies may still be using it, and it is what it was."""

    def __init__(self, sources: Sequence[str], grace_us: int, remember: int) -> None:
        self._sources = list(sources)
        self._grace_us = grace_us
        self._remember = remember
        self._told: dict[str, dict[str, ListedEndpoint]] = {source: {} for source in sources}
        self.members: dict[str, ListedEndpoint] = {}
        self._gone_us: dict[str, int] = {}  # in the order they went
        self._returned_ms: dict[str, int] = {}
        self._conflicts: dict[str, tuple[str, ...]] = {}
        self._loaded: set[str] = set()
        self._unavailable: set[str] = set(sources)
        self.version = 0

    @property
    def whole(self) -> bool:
        """Whether every zone has been had once. Until then the list may add hosts and takes none away: what a
        zone that was never had would name is not known to be gone."""
        return len(self._loaded) == len(self._sources)

    @property
    def available(self) -> bool:
        """Whether any zone is there to be followed. One that is lost leaves the others' news as they are."""
        return len(self._unavailable) < len(self._sources)

    def loaded(self, source: str) -> bool:
        """A version of the zone is held and confirmed. Tells whether the list became whole by it."""
        self._unavailable.discard(source)
        if source in self._loaded:
            return False
        self._loaded.add(source)
        return self.whole

    def lost(self, source: str) -> None:
        """The zone has expired. Its hosts stay: silence takes nothing away."""
        self._unavailable.add(source)

    def take(
        self, source: str, changes: Mapping[str, ListedEndpoint | None], now_us: int, unix_ms: int
    ) -> tuple[list[ListedEndpoint], list[EndpointConflict]]:
        """What the list's readers are told, as one change: entries as they are now, or as gone."""
        told = self._told[source]
        for name, member in changes.items():
            if member is None:
                told.pop(name, None)
            else:
                told[name] = member
        out: list[ListedEndpoint] = []
        conflicts: list[EndpointConflict] = []
        for name in changes:
            out += self._settle(name, now_us, unix_ms, conflicts)
        self.version += bool(out)
        return out, conflicts

    def _settle(
        self, name: str, now_us: int, unix_ms: int, conflicts: list[EndpointConflict]
    ) -> Iterable[ListedEndpoint]:
        views = [(source, told[name]) for source, told in self._told.items() if name in told]
        self._note_conflict(name, views, conflicts)
        was = self.members.get(name)
        if not views:
            if was is None:
                return ()
            del self.members[name]
            self._went(name, now_us)
            return (replace(was, status=EndpointStatus.GONE),)
        if was is None:
            self._came(name, now_us, unix_ms)
        merged = self._merged(name, [member for _, member in views])
        if merged == was:
            return ()
        self.members[name] = merged
        return (merged,)

    def _merged(self, name: str, views: Sequence[ListedEndpoint]) -> ListedEndpoint:
        drains = any(view.status is EndpointStatus.DRAINING for view in views)
        started = max(max(view.started_ms for view in views), self._returned_ms.get(name, 0))
        return replace(
            views[0],
            status=EndpointStatus.DRAINING if drains else EndpointStatus.READY,
            started_ms=started,
        )

    def _went(self, name: str, now_us: int) -> None:
        self._gone_us[name] = now_us
        while len(self._gone_us) > self._remember:
            oldest = next(iter(self._gone_us))
            del self._gone_us[oldest]
            self._returned_ms.pop(oldest, None)

    def _came(self, name: str, now_us: int, unix_ms: int) -> None:
        gone_us = self._gone_us.pop(name, None)
        if gone_us is not None and now_us - gone_us > self._grace_us:
            self._returned_ms[name] = unix_ms

    def _note_conflict(
        self,
        name: str,
        views: Sequence[tuple[str, ListedEndpoint]],
        conflicts: list[EndpointConflict],
    ) -> None:
        alike = {
            replace(member, status=EndpointStatus.READY, started_ms=0.0) for _, member in views
        }
        sources = tuple(source for source, _ in views) if len(alike) > 1 else ()
        if sources == self._conflicts.get(name, ()):
            return
        if sources:
            self._conflicts[name] = sources
        else:
            sources_before = self._conflicts.pop(name)
            conflicts.append(EndpointConflict(name, sources_before, False))
            return
        conflicts.append(EndpointConflict(name, sources, True))

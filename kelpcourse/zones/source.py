"""Zones in place of discovery: the list that steers a director, told through the same door."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.settings import Settings
from kelpcourse.wire.loop import Coroutine
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address
from kelpcourse.zones.service import Around, Zones
from kelpcourse.zones.settings import ZonesSettings
from kelpcourse.zones.update_policy import EndpointClass


class ZoneSource:
    """Answers the module's calls for the list as discovery does. Changes are told as they come, asked for or not:
    nothing of the network lies between."""

    def __init__(
        self,
        parts: Runtime,
        settings: Settings,
        zones: ZonesSettings,
        keep: Callable[[str, Callable[[], Coroutine[None]]], None],
    ) -> None:
        self._parts = parts
        classes = tuple(
            EndpointClass(cls.name, cls.allowed_zones, cls.allowed_kinds)
            for cls in settings.classes
        )
        around = Around(parts.loop, parts.limits, parts.counters, parts.log, keep)
        self.zones = Zones(zones, around, self, classes, settings.drain_grace_us)

    def start(self) -> None:
        self.zones.start()

    def close(self) -> None:
        self.zones.close()

    def reread(self) -> None:
        self.zones.reread()

    def watch(self, enabled: bool) -> None:
        if enabled:
            self._tell()

    def fetch(self) -> None:
        self._tell()

    def reconnect_to(self, address: Address) -> None:
        """Discovery has moved, which is not asked here."""

    def _tell(self) -> None:
        union = self.zones.merged_list
        if union.is_available:
            self.listed(list(union.endpoints.values()), union.version, union.is_complete)
        else:
            self.lost()

    def listed(self, members: Sequence[ListedEndpoint], version: int, whole: bool) -> None:
        self._parts.log.event(
            "endpoints_updated", version=version, complete=whole, endpoints=len(members)
        )
        self._parts.facade.report_list(members, version, whole)

    def lost(self) -> None:
        self._parts.counters.add("discovery_lost")
        self._parts.log.event(
            "discovery_unavailable",
            call="zones",
            reason="no zone is there to be followed",
            version=self.zones.merged_list.version,
        )
        self._parts.facade.report_list_unavailable()

"""Zones instead of discovery: passes the merged endpoint list to the routing policy of a controller."""

from __future__ import annotations

from collections.abc import Sequence

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.settings import Settings
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address
from kelpcourse.zones.runtime import StartCoroutine, ZoneRuntime
from kelpcourse.zones.service import ZoneService
from kelpcourse.zones.settings import ZonesSettings
from kelpcourse.zones.update_policy import EndpointClass


class ZoneSource:
    """Provides the endpoint list with the interface of a discovery client.

    Changes are passed on immediately, whether the watch is enabled or not, because the list is in the same process.
    """

    def __init__(
        self,
        runtime: Runtime,
        settings: Settings,
        zones: ZonesSettings,
        start_coroutine: StartCoroutine,
    ) -> None:
        """Opens the store of the zones.

        Raises:
            FolderInUseError: Another process has the state folder open.
            OSError: The state folder cannot be read or written.
        """
        self._runtime = runtime
        classes = tuple(
            EndpointClass(
                request_class.name, request_class.allowed_zones, request_class.allowed_kinds
            )
            for request_class in settings.classes
        )
        zone_runtime = ZoneRuntime(
            runtime.loop, runtime.limits, runtime.counters, runtime.log, start_coroutine
        )
        self.zones = ZoneService(zones, zone_runtime, self, classes, settings.drain_grace_us)

    def start(self) -> None:
        """Starts the zone service."""
        self.zones.start()

    def close(self) -> None:
        """Closes the zone service."""
        self.zones.close()

    def reread(self) -> None:
        """Reads the zone files now."""
        self.zones.reload()

    def watch(self, enabled: bool) -> None:
        """Passes the whole list to the facade if the watch is enabled."""
        if enabled:
            self._pass_whole_list()

    def fetch(self) -> None:
        """Passes the whole list to the facade."""
        self._pass_whole_list()

    def reconnect_to(self, address: Address) -> None:
        """Does nothing, because there is no connection to a discovery service."""

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Reports a change of the list, or the whole list, to the facade."""
        self._runtime.log.event(
            "endpoints_updated", version=version, complete=complete, endpoints=len(endpoints)
        )
        self._runtime.facade.report_list(endpoints, version, complete)

    def list_unavailable(self) -> None:
        """Reports to the facade that no zone is available."""
        self._runtime.counters.add("discovery_lost")
        self._runtime.log.event(
            "discovery_unavailable",
            call="zones",
            reason="no zone is available",
            version=self.zones.merged_list.version,
        )
        self._runtime.facade.report_list_unavailable()

    def _pass_whole_list(self) -> None:
        merged = self.zones.merged_list
        if merged.is_available:
            self.list_changed(list(merged.endpoints.values()), merged.version, merged.is_complete)
        else:
            self.list_unavailable()

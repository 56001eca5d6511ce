"""Zones without a controller: a primary or secondary in its own process, which runs until SIGTERM."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.service.process import Process
from kelpcourse.zones.runtime import ZoneRuntime
from kelpcourse.zones.service import ZoneService
from kelpcourse.zones.settings import ZonesSettings

STDOUT_FD = 1


class StandaloneZones:
    """A process that runs the zone service and logs changes of the merged endpoint list."""

    def __init__(self, settings: ZonesSettings, limits: Limits, log_fd: int = STDOUT_FD) -> None:
        """Opens the store of the zones.

        Raises:
            FolderInUseError: Another process has the state folder open.
            OSError: The state folder cannot be read or written.
        """
        self._process = Process("zones", limits, log_fd)
        self.loop = self._process.loop
        self.log = self._process.log
        runtime = ZoneRuntime(
            self.loop, limits, self._process.counters, self.log, self._process.supervise
        )
        self.zones = ZoneService(settings, runtime, self)

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Logs a change of the list."""
        self.log.event(
            "endpoints_updated", version=version, complete=complete, endpoints=len(endpoints)
        )

    def list_unavailable(self) -> None:
        """Logs that every zone has expired."""
        self.log.always(
            "discovery_unavailable",
            call="zones",
            reason="every zone has expired",
            version=self.zones.merged_list.version,
        )

    def run(self) -> int:
        """Runs until a signal requests the end of the process, and returns the exit code."""
        return self._process.run(self.zones.start, self.zones.close, self.zones.reload)


def serve(settings: ZonesSettings) -> int:
    """Runs the zones of the settings and returns the exit code."""
    os.set_blocking(sys.stdout.fileno(), False)
    return StandaloneZones(settings, Limits()).run()

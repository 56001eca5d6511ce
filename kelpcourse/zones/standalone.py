"""Zones without a director: a primary or secondary of its own, from start to SIGTERM."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.service.process import Process
from kelpcourse.zones.service import Around, Zones
from kelpcourse.zones.settings import ZonesSettings


class Host:
    def __init__(self, settings: ZonesSettings, limits: Limits, fd: int = 1) -> None:
        self._process = Process("zones", limits, fd)
        self.loop, self.log = self._process.loop, self._process.log
        around = Around(
            self.loop, limits, self._process.counters, self.log, self._process.supervise
        )
        self.zones = Zones(settings, around, self)

    def listed(self, members: Sequence[ListedEndpoint], version: int, whole: bool) -> None:
        self.log.event("endpoints_updated", version=version, complete=whole, endpoints=len(members))

    def lost(self) -> None:
        self.log.always(
            "discovery_unavailable", call="zones", reason="every zone has expired", version=0
        )

    def run(self) -> int:
        return self._process.run(self.zones.start, self.zones.close, self.zones.reread)


def serve(settings: ZonesSettings) -> int:
    os.set_blocking(sys.stdout.fileno(), False)
    return Host(settings, Limits()).run()

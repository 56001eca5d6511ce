"""Zones without a director: a primary or secondary of its own, from start to SIGTERM."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from collections.abc import Callable, Sequence

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.hosts import Member
from kelpcourse.service.clock import Clock
from kelpcourse.service.logs import Log
from kelpcourse.service.signals import signal_routine
from kelpcourse.wire.loop import Loop, Routine, Wait
from kelpcourse.zones.service import Around, Zones
from kelpcourse.zones.settings import ZonesSettings


class Host:
    """The loop, log and signals round zones."""

    def __init__(self, settings: ZonesSettings, limits: Limits, fd: int = 1) -> None:
        clock = Clock()
        self.counters = Counters()
        self.log = Log(clock, limits, self.counters, "zones", fd)
        self.loop = Loop(clock, self._defect)
        self._limits = limits
        self._stop = 0
        self.zones = Zones(settings, Around(self.loop, limits, self.counters, self.log, self.keep), self)

    def listed(self, members: Sequence[Member], version: int, whole: bool) -> None:
        self.log.event("list", version=version, whole=whole, hosts=len(members))

    def lost(self) -> None:
        self.log.always("list_unavailable", call="zones", reason="every zone has expired", version=0)

    def keep(self, name: str, make: Callable[[], Routine]) -> None:
        self.loop.start(name, kept(self.loop, self._limits, name, make, self._defect))

    def run(self) -> int:
        self.log.always("start", pid=os.getpid(), hosts=0, proxies=0)
        self.loop.start("signals", signal_routine(self._on_signal))
        self.zones.start()
        while not self._stop:
            self.loop.turn(None)
        self.zones.close()
        self.log.always("stop", signal=self._stop, counters=self.counters.snapshot())
        return 0

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.always("counters", counters=self.counters.snapshot())
        elif number == signal.SIGHUP:
            self.zones.reread()
        else:
            self._stop = number

    def _defect(self, routine: str, error: Exception) -> None:
        self.counters.add("defects")
        self.log.always("defect", routine=routine, error="".join(traceback.format_exception(error))[-3000:])


def kept(loop: Loop, limits: Limits, name: str, make: Callable[[], Routine],
         on_defect: Callable[[str, Exception], None]) -> Routine:
    """A routine that can't be done without: one that ends by a defect starts again."""
    while True:
        try:
            yield from make()
            return
        except Exception as error:  # told in full, so no defect hides
            on_defect(name, error)
        yield Wait(loop.clock() + limits.restart_us)


def serve(settings: ZonesSettings) -> int:
    os.set_blocking(sys.stdout.fileno(), False)
    return Host(settings, Limits()).run()



"""What any long-running part needs round it: loop, log, counters, signals, and routines that start again."""

from __future__ import annotations

import os
import signal
import traceback
from collections.abc import Callable

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.service.clock import Clock
from kelpcourse.service.logs import Log
from kelpcourse.service.signals import Signals
from kelpcourse.wire.loop import Loop, Routine, Wait


class Process:
    """SIGUSR1 prints the counters, SIGHUP calls `hang_up`, SIGTERM and SIGINT end it."""

    def __init__(self, name: str, limits: Limits, fd: int = 1) -> None:
        clock = Clock()
        self.counters = Counters()
        self.log = Log(clock, limits, self.counters, name, fd)
        self.loop = Loop(clock, self._defect)
        self._limits = limits
        self._stop = 0
        self._hang_up: Callable[[], None] = lambda: None

    def keep(self, name: str, make: Callable[[], Routine]) -> None:
        """Runs a routine that can't be done without: one that ends by a defect starts again."""
        self.loop.start(name, kept(self.loop, self._limits, name, make, self._defect))

    def run(
        self, start: Callable[[], None], close: Callable[[], None], hang_up: Callable[[], None]
    ) -> int:
        self._hang_up = hang_up
        signals = Signals()
        self.log.always("started", pid=os.getpid(), endpoints=0, proxies=0)
        self.keep("signals", lambda: signals.read(self._on_signal))
        start()
        while not self._stop:
            self.loop.turn(None)
        close()
        signals.close()
        self.log.always("stopped", signal=self._stop, counters=self.counters.snapshot())
        return 0

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.always("counters", counters=self.counters.snapshot())
        elif number == signal.SIGHUP:
            self._hang_up()
        else:
            self._stop = number

    def _defect(self, routine: str, error: Exception) -> None:
        self.counters.add("unexpected_errors")
        self.log.always(
            "unexpected_error",
            coroutine=routine,
            error="".join(traceback.format_exception(error))[-3000:],
        )


def kept(
    loop: Loop,
    limits: Limits,
    name: str,
    make: Callable[[], Routine],
    on_defect: Callable[[str, Exception], None],
) -> Routine:
    while True:
        try:
            yield from make()
            return
        except Exception as error:  # told in full, so no defect hides
            on_defect(name, error)
        yield Wait(loop.clock() + limits.coroutine_restart_us)

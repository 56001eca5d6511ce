"""What any long-running process needs: loop, log, counters, signals and supervised coroutines."""

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
from kelpcourse.wire.loop import Coroutine, Loop, Wait

MAX_TRACEBACK_CHARACTERS = 3000  # the last ones are logged
CoroutineFactory = Callable[[], Coroutine[None]]


class Process:
    """A process that runs until SIGTERM or SIGINT.

    SIGUSR1 logs the counters, SIGHUP reloads.
    """

    def __init__(
        self, name: str, limits: Limits, fd: int = 1, signals: Signals | None = None
    ) -> None:
        """Starts nothing yet.

        Args:
            name: Written in each log line.
            limits: Times and sizes.
            fd: Where the log is written.
            signals: Those caught since an earlier moment; by default they are caught from `run` on.
        """
        clock = Clock()
        self.counters = Counters()
        self.log = Log(clock, limits, self.counters, name, fd)
        self.loop = Loop(clock, self.report_unexpected_error)
        self._limits = limits
        self._signals = signals
        self._stop_signal = 0
        self._reload: Callable[[], None] = lambda: None

    def run(
        self, start: Callable[[], None], close: Callable[[], None], reload: Callable[[], None]
    ) -> int:
        """Runs what `start` adds to the loop until a signal ends it; returns the exit status."""
        if self._signals is None:
            self._signals = Signals()
        self.log_started(endpoints=0, proxies=0)
        self.handle_signals(reload)
        start()
        while not self.stopping:
            self.loop.run_once(None)
        close()
        self.finish()
        return 0

    def log_started(self, endpoints: int, proxies: int) -> None:
        """Logs what the process begins with."""
        self.log.always("started", pid=os.getpid(), endpoints=endpoints, proxies=proxies)

    def handle_signals(self, reload: Callable[[], None]) -> None:
        """Handles signals from now on, also those that were caught before."""
        signals = self._signals if self._signals is not None else Signals()
        self._signals = signals
        self._reload = reload
        self.supervise("signals", lambda: signals.read(self._on_signal))

    @property
    def stopping(self) -> bool:
        """Whether a signal has asked for the end."""
        return bool(self._stop_signal)

    def finish(self) -> None:
        """Logs the end with all counters."""
        if self._signals is not None:
            self._signals.close()
        self.log.always("stopped", signal=self._stop_signal, counters=self.counters.snapshot())

    def supervise(self, name: str, factory: CoroutineFactory) -> None:
        """Runs a coroutine that is restarted if it ends by an error, and may end by itself."""
        self.loop.start(
            name, supervised(self.loop, self._limits, name, factory, self.report_unexpected_error)
        )

    def report_unexpected_error(self, coroutine: str, error: Exception) -> None:
        """Counts and logs an error that nothing handles."""
        text = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARACTERS:]
        self.counters.add("unexpected_errors")
        self.log.always("unexpected_error", coroutine=coroutine, error=text)

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.always("counters", counters=self.counters.snapshot())
        elif number == signal.SIGHUP:
            self._reload()
        else:
            self._stop_signal = number


def supervised(
    loop: Loop,
    limits: Limits,
    name: str,
    factory: CoroutineFactory,
    on_error: Callable[[str, Exception], None],
) -> Coroutine[None]:
    """A coroutine that restarts another, after a wait, each time that one ends by an error."""
    while True:
        try:
            yield from factory()
            return
        except Exception as error:  # whatever it is, it is logged in full and the process lives on
            on_error(name, error)
        yield Wait(loop.clock() + limits.coroutine_restart_us)

"""Common parts of a long-running process: loop, log, counters, signals and supervised coroutines."""

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

MAX_TRACEBACK_CHARACTERS = 3000  # only the end of a longer traceback is logged
CoroutineFactory = Callable[[], Coroutine[None]]


class Process:
    """A process that runs until SIGTERM or SIGINT.

    SIGUSR1 logs the counters, SIGHUP starts a reload.
    """

    def __init__(
        self, name: str, limits: Limits, fd: int = 1, signals: Signals | None = None
    ) -> None:
        """Constructs counters, log and loop without starting anything.

        Args:
            name: Name of the process, written in each log line.
            limits: Sizes and times.
            fd: File descriptor to which the log is written.
            signals: Signals that are already being caught; None to catch signals from `run` or `handle_signals` on.
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
        """Runs the loop until a signal ends the process, and returns the exit status.

        Args:
            start: Starts coroutines in the loop.
            close: Releases resources before the process ends.
            reload: Starts a reload when SIGHUP is received.
        """
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
        """Logs the start of the process with the numbers of cached endpoints and of proxies in the settings."""
        self.log.always("started", pid=os.getpid(), endpoints=endpoints, proxies=proxies)

    def handle_signals(self, reload: Callable[[], None]) -> None:
        """Starts handling signals, including those that were caught before this call."""
        signals = self._signals if self._signals is not None else Signals()
        self._signals = signals
        self._reload = reload
        self.supervise("signals", lambda: signals.read(self._on_signal))

    @property
    def stopping(self) -> bool:
        """Whether a signal has requested the end of the process."""
        return bool(self._stop_signal)

    def finish(self) -> None:
        """Stops signal delivery and logs the end of the process with all counters."""
        if self._signals is not None:
            self._signals.close()
        self.log.always("stopped", signal=self._stop_signal, counters=self.counters.snapshot())

    def supervise(self, name: str, factory: CoroutineFactory) -> None:
        """Runs a coroutine and restarts it after each unhandled error until it returns."""
        self.loop.start(
            name, supervised(self.loop, self._limits, name, factory, self.report_unexpected_error)
        )

    def report_unexpected_error(self, coroutine: str, error: Exception) -> None:
        """Counts and logs an error that was not handled elsewhere."""
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
    """Runs a coroutine and, after each unhandled error, restarts it after a delay until it returns.

    Args:
        loop: Loop whose clock determines when the coroutine is restarted.
        limits: Limits with the delay before a restart.
        name: Name of the coroutine, passed to `on_error`.
        factory: Constructs the coroutine for each run.
        on_error: Called with the name and each unhandled error.
    """
    while True:
        try:
            yield from factory()
            return
        except Exception as error:  # any error is reported, and the process continues
            on_error(name, error)
        yield Wait(loop.clock() + limits.coroutine_restart_us)

"""The assembly: parts are made, wired together and run until a signal ends them."""

from __future__ import annotations

import errno
import os
import resource
import signal
import socket
import sys
import traceback
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from typing import Protocol

from kelpcourse.facade import Facade, Work
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.policy.settings import Settings
from kelpcourse.service.clock import Clock
from kelpcourse.service.config import (
    MOVES,
    WAITS,
    BadConfig,
    Config,
    differing,
    read_config,
    reread_config,
)
from kelpcourse.service.logs import Log
from kelpcourse.service.process import kept
from kelpcourse.service.signals import Signals
from kelpcourse.wire.discovery import Discovery
from kelpcourse.wire.listener import Listener, listen
from kelpcourse.wire.loop import Loop, Routine, Signal, Task, Wait
from kelpcourse.wire.probes import Probes
from kelpcourse.wire.relay_calls import RelayCalls
from kelpcourse.wire.relay_events import EventStreams
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address

BAD_CONFIG = 2
Keep = Callable[[str, Callable[[], Routine]], None]


class Source(Protocol):
    """Where the list of hosts comes from, if not from discovery."""

    def start(self) -> None: ...

    def close(self) -> None: ...

    def reread(self) -> None: ...

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def move(self, address: Address) -> None: ...


MakeSource = Callable[[Runtime, Settings, Keep], Source]


class Service:
    def __init__(
        self,
        config: Config,
        limits: Limits,
        environment: Mapping[str, str],
        signals: Signals,
        sock: socket.socket | None,
        make_source: MakeSource | None = None,
    ) -> None:
        """`sock`: listens on the address already, unless the process before this one still holds it."""
        clock = Clock()
        self._signals = signals
        self._sock = sock
        self._environment = environment
        self._limits = limits
        self._counters = Counters()
        self._log = Log(clock, limits, self._counters, config.name)
        self._loop = Loop(clock, self._defect)
        self._facade = Facade(config.settings, config.seed, limits)
        self._parts = Runtime(self._facade, limits, self._counters, self._log, self._loop)
        self._config = config
        self._outbox = OrderQueue(limits.max_queued_orders, limits.max_superseded_checkpoints)
        self._waiting = Signal()
        self._source = (
            make_source(self._parts, config.settings, self._keep)
            if make_source is not None
            else None
        )
        self._discovery = self._source or Discovery(
            self._parts, config.discovery, config.known.version, config.seed % 1_024 / 1_024
        )
        self._probes = Probes(self._parts)
        self._calls = RelayCalls(self._parts, config.relay, self._outbox, self._waiting)
        self._events = EventStreams(self._parts, config.relay, self._outbox, self._calls.reachable)
        self._stop = 0
        self._reloading: Task | None = None

    def run(self) -> int:
        self._log.always(
            "started",
            pid=os.getpid(),
            endpoints=len(self._config.known.members),
            proxies=self._config.settings.proxy_count,
        )
        self._facade.report_known(self._config.known.members, self._config.known.version)
        if self._source is not None:
            self._source.start()
        self._keep("signals", lambda: self._signals.read(self._on_signal))
        self._step(self._facade.start)
        self._keep("calls", self._calls.run)
        self._follow_events()
        self._keep("listener", Listener(self._parts, self._config.listen, self._sock).run)
        while not self._stop:
            self._loop.turn(self._facade.due_us())
            self._step(self._facade.tick)
        if self._source is not None:
            self._source.close()
        self._signals.close()
        self._log.always("stopped", signal=self._stop, counters=self._counters.snapshot())
        return 0

    def _follow_events(self) -> None:
        for stream in self._events.streams():
            self._keep(f"news {stream}", partial(self._events.run, stream))

    def _hang_up(self) -> None:
        """A reload that is being tried again starts anew: the file may have changed since."""
        if self._reloading is not None:
            self._loop.stop(self._reloading)
        self._reloading = self._loop.start("reload", self._reload())

    def _reload(self) -> Routine:
        """A file that is being replaced can't be read for a moment, and nobody sends a second signal when it can."""
        if self._source is not None:
            self._source.reread()
        until_us, told = self._loop.clock() + self._limits.reload_retry_us, False
        while True:
            try:
                new = reread_config(self._environment)
            except BadConfig as error:
                again = self._loop.clock() < until_us
                if not (told and again):
                    self._log.always(
                        "configuration_reload_failed", reason=str(error), will_retry=again
                    )
                told = True
            else:
                self._follow(new)
                return
            if not again:
                return
            yield Wait(self._loop.clock() + self._limits.reload_retry_interval_us)

    def _follow(self, new: Config) -> None:
        """Follows the file to new addresses. Everything else lives on: listener, module, proxies, orders."""
        moved, waits = differing(self._config, new, MOVES), differing(self._config, new, WAITS)
        self._config = replace(self._config, discovery=new.discovery, relay=new.relay)
        self._counters.add("configuration_reloads")
        self._log.always("configuration_reloaded", changed=moved, requires_restart=waits)
        if "relay" in moved:
            self._calls.move(new.relay)
            self._events.move(new.relay)
            self._follow_events()
        if "discovery" in moved:
            self._discovery.move(new.discovery)

    def _keep(self, name: str, make: Callable[[], Routine]) -> None:
        """Runs a routine that the director can't do without: one that ends by a defect starts again, one that
        ends by itself has been replaced."""
        self._loop.start(name, kept(self._loop, self._limits, name, make, self._defect))

    def _step(self, act: Callable[[int], object]) -> None:
        try:
            act(self._loop.clock())
        except (
            Exception
        ) as error:  # the tables that stand serve on; the module goes on with the next step
            self._defect("module", error)
        self._carry_out(self._facade.pick())

    def _carry_out(self, work: Work) -> None:
        self._counters.add("steps", work.steps)
        if work.orders:
            self._counters.add("orders", len(work.orders))
            given_up = self._outbox.add(work.orders)
            if given_up:
                self._counters.add("orders_dropped", given_up)
                self._log.event("orders_dropped", count=given_up)
            self._counters.most("max_queued_orders", len(self._outbox))
            self._waiting.raise_()
        if work.watch is not None:
            self._discovery.watch(work.watch)
        for _ in range(work.fetches):
            self._discovery.fetch()
        for host, address in work.probes:
            self._probes.probe(host, address)
        for note in work.notes:
            self._log.event("policy_message", text=note)
        if work.undelivered:
            self._counters.add("actions_undeliverable", work.undelivered)
            self._log.event("actions_undeliverable", count=work.undelivered)

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self._log.always("counters", counters=self._counters.snapshot())
        elif number == signal.SIGHUP:
            self._hang_up()
        else:
            self._stop = number

    def _defect(self, routine: str, error: Exception) -> None:
        """A routine has ended by an error that nobody foresaw."""
        self._counters.add("unexpected_errors")
        self._log.always(
            "unexpected_error",
            coroutine=routine,
            error="".join(traceback.format_exception(error))[-3000:],
        )


def main(environment: Mapping[str, str], make_source: MakeSource | None = None) -> int:
    signals = Signals()
    try:
        config = read_config(environment)
        sock = bound(config.listen)
    except BadConfig as error:
        print(f"kelpcourse: {error}", file=sys.stderr)
        return BAD_CONFIG
    os.set_blocking(sys.stdout.fileno(), False)
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limits = Limits().for_machine(min(config.sockets, granted), config.memory_mb)
    limits = limits.for_fleet(config.settings.proxy_count, config.settings.report_period_us)
    return Service(config, limits, environment, signals, sock, make_source).run()


def bound(address: Address) -> socket.socket | None:
    """The socket that listens there: who comes from now on is served once the loop runs. An address that this
    machine does not have is a mistake; one still in use passes (None)."""
    try:
        return listen(address, Limits().listen_backlog)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise BadConfig(
                f"field 'listen': {address[0]}:{address[1]}: {error.strerror}"
            ) from None
        return None

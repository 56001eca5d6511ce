"""The controller process: constructs the components, connects them and runs them until a signal ends the process."""

from __future__ import annotations

import errno
import os
import resource
import socket
import sys
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial

from kelpcourse.facade import Facade, Work
from kelpcourse.limits import Limits
from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.service.config import (
    APPLIED_BY_RELOAD,
    REQUIRES_RESTART,
    Config,
    ConfigError,
    changed_fields,
    read_config,
)
from kelpcourse.service.process import Process
from kelpcourse.service.reload import ConfigReloader
from kelpcourse.service.signals import Signals
from kelpcourse.service.source import EndpointSourceFactory
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.health_checks import HealthChecker
from kelpcourse.wire.listener import Listener
from kelpcourse.wire.loop import Signal
from kelpcourse.wire.relay_calls import RelayCalls
from kelpcourse.wire.relay_events import RelayEventStreams
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address, listen

EXIT_BAD_CONFIG = 2
# Number of different values of `spread` (see `Backoff`) among controllers, so that their retries do not coincide.
RETRY_SPREAD_STEPS = 1_024


class ControllerService:
    """One controller: the policy with its facade, and the connections to relay, discovery and clients."""

    def __init__(
        self,
        config: Config,
        limits: Limits,
        environment: Mapping[str, str],
        signals: Signals,
        listener_socket: socket.socket | None,
        source_factory: EndpointSourceFactory | None = None,
    ) -> None:
        """Constructs the components without starting them.

        Args:
            config: Configuration that was read at startup.
            limits: Sizes and times for this machine and fleet.
            environment: Environment variables with which the configuration is read again at a reload.
            signals: Signals that have been caught since the process started.
            listener_socket: Socket that already listens; None if the previous process still uses the address.
            source_factory: Constructs the source of the endpoint list; None means discovery.
        """
        self._process = Process(config.name, limits, signals=signals)
        self._listener_socket = listener_socket
        self._config = config
        self._counters = self._process.counters
        self._log = self._process.log
        self._loop = self._process.loop
        self._facade = Facade(config.settings, config.seed, limits)
        runtime = Runtime(self._facade, limits, self._counters, self._log, self._loop)
        self._runtime = runtime
        self._queue = OrderQueue(limits.max_queued_orders, limits.max_superseded_checkpoints)
        self._orders_queued = Signal()
        self._source = None
        if source_factory is not None:
            self._source = source_factory(runtime, config.settings, self._process.supervise)
        self._discovery_client = DiscoveryClient(
            runtime,
            config.discovery,
            config.cached_list.version,
            config.seed % RETRY_SPREAD_STEPS / RETRY_SPREAD_STEPS,
        )
        self._discovery = self._source or self._discovery_client
        self._health_checker = HealthChecker(runtime)
        self._calls = RelayCalls(runtime, config.relay, self._queue, self._orders_queued)
        self._events = RelayEventStreams(runtime, config.relay, self._queue, self._calls.reachable)
        self._reloader = ConfigReloader(
            runtime, environment, self._reread_source, self._apply_config
        )

    def run(self) -> int:
        """Runs until a signal ends the process and returns the exit status."""
        config = self._config
        self._process.log_started(len(config.cached_list.endpoints), config.settings.proxy_count)
        self._facade.report_cached_list(config.cached_list.endpoints, config.cached_list.version)
        if self._source is not None:
            self._source.start()
        elif not config.settings.discovery_is_polled:
            self._process.supervise("list subscription", self._discovery_client.keep_watching)
        self._process.handle_signals(self._reloader.reload)
        self._step(self._facade.start)
        self._process.supervise("calls", self._calls.run)
        self._start_event_streams()
        listener = Listener(self._runtime, config.listen, self._listener_socket)
        self._process.supervise("listener", listener.run)
        while not self._process.stopping:
            self._loop.run_once(self._facade.next_due_us())
            self._step(self._facade.tick)
        if self._source is not None:
            self._source.close()
        self._process.finish()
        return 0

    def _start_event_streams(self) -> None:
        for stream_id in self._events.streams():
            run = partial(self._events.run, stream_id)
            self._process.supervise(f"event stream {stream_id}", run)

    def _reread_source(self) -> None:
        if self._source is not None:
            self._source.reread()

    def _apply_config(self, config: Config) -> None:
        """Connects to new addresses of relay and discovery; listener, policy, proxies and orders are kept."""
        changed = changed_fields(self._config, config, APPLIED_BY_RELOAD)
        requires_restart = changed_fields(self._config, config, REQUIRES_RESTART)
        self._config = replace(self._config, discovery=config.discovery, relay=config.relay)
        self._counters.add("configuration_reloads")
        self._log.always(
            "configuration_reloaded", changed=changed, requires_restart=requires_restart
        )
        if "relay" in changed:
            self._calls.reconnect_to(config.relay)
            self._events.reconnect_to(config.relay)
            self._start_event_streams()
        if "discovery" in changed:
            self._discovery.reconnect_to(config.discovery)

    def _step(self, act: Callable[[int], object]) -> None:
        """Runs a step of the policy and carries out the resulting work.

        After an error, proxies keep their tables, and the policy continues with the next step.
        """
        try:
            act(self._loop.clock())
        except Exception as error:
            self._process.report_unexpected_error("policy", error)
        self._carry_out(self._facade.pick())

    def _carry_out(self, work: Work) -> None:
        self._counters.add("steps", work.steps)
        if work.orders:
            self._queue_orders(work)
        if work.watch is not None:
            self._discovery.watch(work.watch)
        for _ in range(work.fetches):
            self._discovery.fetch()
        for check in work.health_checks:
            self._health_checker.check(check.endpoint, check.address)
        for text in work.log_messages:
            self._log.event("policy_message", text=text)
        if work.undeliverable:
            self._counters.add("actions_undeliverable", work.undeliverable)
            self._log.event("actions_undeliverable", count=work.undeliverable)

    def _queue_orders(self, work: Work) -> None:
        self._counters.add("orders", len(work.orders))
        dropped = self._queue.add(work.orders)
        if dropped:
            self._counters.add("orders_dropped", dropped)
            self._log.event("orders_dropped", count=dropped)
        self._counters.record_max("max_queued_orders", len(self._queue))
        self._orders_queued.set()


def main(
    environment: Mapping[str, str], source_factory: EndpointSourceFactory | None = None
) -> int:
    """Runs a controller and returns its exit status.

    Args:
        environment: Environment variables, which name the configuration file.
        source_factory: Constructs the source of the endpoint list; None means discovery.
    """
    signals = Signals()
    try:
        config = read_config(environment)
        listener_socket = bind_listener(config.listen)
    except ConfigError as error:
        print(f"kelpcourse: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    os.set_blocking(sys.stdout.fileno(), False)
    descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = Limits().for_machine(min(config.sockets, descriptor_limit), config.memory_mb)
    limits = limits.for_fleet(config.settings.proxy_count, config.settings.report_period_us)
    service = ControllerService(
        config, limits, environment, signals, listener_socket, source_factory
    )
    return service.run()


def bind_listener(address: Address) -> socket.socket | None:
    """Returns a socket that listens at an address. Connections are queued there until the loop accepts them.

    Returns None if the address is still in use. Raises ConfigError if it cannot be bound for another
    reason, such as an address that this machine does not have.
    """
    try:
        return listen(address, Limits().listen_backlog)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise ConfigError(
                f"field 'listen': {address[0]}:{address[1]}: {error.strerror}"
            ) from error
        return None

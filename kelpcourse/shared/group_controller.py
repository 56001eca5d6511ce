"""Controls proxy groups under leases, with one group controller for each group that this controller holds.

Each group has its own facade, order queue, relay calls and event streams, as if its proxies were a whole fleet. The
lease is checked again before each call, and the call carries the epoch of the lease: if the process was suspended while
it sent a call and another controller has ordered since, the relay rejects the call by its outdated epoch.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from kelpcourse.facade import Facade, Work
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import WithdrawEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.policy.settings import Settings
from kelpcourse.shared.commands import Command, CompleteDrain, StartDrain
from kelpcourse.shared.controller_events import ControllerEvent, LeaseAcquired, LeaseLost
from kelpcourse.shared.placement import GroupId
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.loop import Coroutine, Loop, Signal, Task, Wait
from kelpcourse.wire.relay_calls import RelayCalls
from kelpcourse.wire.relay_events import RelayEventStreams
from kelpcourse.wire.runtime import EventLog, Runtime
from kelpcourse.wire.stream import Address

DRAIN_COMPLETE_US = 30_000_000  # Time after which no proxy uses a withdrawn endpoint any longer.
DRAIN_CHECK_INTERVAL_US = DRAIN_COMPLETE_US // 10
US_PER_MS = 1_000


@dataclass(frozen=True)
class GroupContext:
    """Dependencies shared by all group controllers.

    Attributes:
        loop: The event loop.
        limits: Limits of the process.
        counters: Counters of the process.
        log: The event log.
        settings: Settings of the routing policy.
        relay: Address of the relay.
        discovery: Address of discovery.
        seed: Base of the random seed of each group controller.
        unix_ms: Returns the current Unix time, in milliseconds.
        epoch: Returns the epoch under which this controller may order for a group now, or None.
        submit: Submits a command for the replicated state.
    """

    loop: Loop
    limits: Limits
    counters: Counters
    log: EventLog
    settings: Settings
    relay: Address
    discovery: Address
    seed: int
    unix_ms: Callable[[], int]
    epoch: Callable[[GroupId], int | None]
    submit: Callable[[Command], None]


class ObservedFacade(Facade):
    """A facade that passes each endpoint list to an observer before it processes the list."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        limits: Limits,
        observer: Callable[[Sequence[ListedEndpoint]], None],
    ) -> None:
        """Initializes the facade with an additional observer of endpoint lists."""
        super().__init__(settings, seed, limits)
        self._observer = observer

    def report_list(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Passes an endpoint list to the observer and to the facade."""
        self._observer(endpoints)
        super().report_list(endpoints, version, complete)


class GroupController:
    """Controls the proxies of one group while its lease is held."""

    def __init__(self, context: GroupContext, lease: LeaseAcquired) -> None:
        """Creates the group's components; `start` starts their coroutines."""
        self.group = lease.group
        self._context = context
        limits = context.limits
        self._facade = ObservedFacade(
            context.settings, context.seed + lease.epoch, limits, self._on_endpoint_list
        )
        runtime = Runtime(self._facade, limits, context.counters, context.log, context.loop)
        self._order_queue = OrderQueue(limits.max_queued_orders, limits.max_superseded_checkpoints)
        self._orders_queued = Signal()
        self._discovery = DiscoveryClient(runtime, context.discovery, 0)
        self._calls = RelayCalls(
            runtime,
            context.relay,
            self._order_queue,
            self._orders_queued,
            self._orders_target,
        )
        self._events = RelayEventStreams(
            runtime,
            context.relay,
            self._order_queue,
            self._calls.reachable,
            f"/v3/kv/groups/{self.group}/events",
        )
        self._tasks: list[Task] = []
        # Start of each drain, by endpoint.
        self._draining_since_unix_ms: dict[str, int] = dict(lease.pending_drains)
        # Pending drains of the previous holder are completed first, regardless of the proxies' current tables.
        self._order_queue.add([WithdrawEndpoint(endpoint) for endpoint in lease.pending_drains])

    @property
    def facade(self) -> Facade:
        """The facade of the group's routing policy."""
        return self._facade

    def _orders_target(self) -> str | None:
        epoch = self._context.epoch(self.group)
        if epoch is None:
            return None
        return f"/v3/kv/groups/{self.group}/orders?epoch={epoch}"

    def start(self) -> None:
        """Starts the group's coroutines."""
        coroutines = [
            self._calls.run(),
            *(self._events.run(stream) for stream in self._events.streams()),
            self._run_policy_steps(),
            self._run_drain_checks(),
        ]
        loop = self._context.loop
        self._tasks = [loop.start(f"group {self.group}", coroutine) for coroutine in coroutines]

    def stop(self) -> None:
        """Stops immediately and abandons queued orders, as another controller may hold the group."""
        for task in self._tasks:
            self._context.loop.stop(task)
        self._discovery.watch(False)

    def _run_policy_steps(self) -> Coroutine[None]:
        """Runs the policy's steps: calls the facade when one is due, and at least once in each batching interval."""
        clock = self._context.loop.clock
        interval_us = self._context.limits.step_batching_us
        self._facade.start(clock())
        while True:
            self._process(self._facade.pick())
            due_us = self._facade.next_due_us()
            latest_us = clock() + interval_us
            yield Wait(latest_us if due_us is None else min(due_us, latest_us))
            self._facade.tick(clock())

    def _process(self, work: Work) -> None:
        if work.orders:
            self._order_queue.add(work.orders)
            self._orders_queued.set()
        if work.watch is not None:
            self._discovery.watch(work.watch)
        for _ in range(work.fetches):
            self._discovery.fetch()
        for message in work.log_messages:
            self._context.log.event("policy_message", text=f"group {self.group}: {message}")

    # Drains

    def _on_endpoint_list(self, endpoints: Sequence[ListedEndpoint]) -> None:
        """Submits changed drains before any order for them is sent, so that the next holder can complete them."""
        for endpoint in endpoints:
            is_ready = endpoint.status is EndpointStatus.READY
            is_draining = endpoint.name in self._draining_since_unix_ms
            if not is_ready and not is_draining:
                since_unix_ms = self._context.unix_ms()
                self._draining_since_unix_ms[endpoint.name] = since_unix_ms
                self._context.submit(StartDrain(endpoint.name, since_unix_ms))
            elif is_ready and is_draining:
                self._complete_drain(endpoint.name)

    def _complete_drain(self, endpoint: str) -> None:
        since_unix_ms = self._draining_since_unix_ms.pop(endpoint)
        self._context.submit(CompleteDrain(endpoint, self.group, since_unix_ms))

    def _run_drain_checks(self) -> Coroutine[None]:
        while True:
            yield Wait(self._context.loop.clock() + DRAIN_CHECK_INTERVAL_US)
            oldest_ms = self._context.unix_ms() - DRAIN_COMPLETE_US // US_PER_MS
            complete = [
                endpoint
                for endpoint, since in self._draining_since_unix_ms.items()
                if since < oldest_ms
            ]
            for endpoint in complete:
                self._complete_drain(endpoint)


class GroupControllers:
    """Manages the group controllers of all groups that this controller holds."""

    def __init__(self, context: GroupContext) -> None:
        """Initializes the collection without groups."""
        self._context = context
        self.groups: dict[GroupId, GroupController] = {}

    def on_event(self, event: ControllerEvent) -> None:
        """Handles an event in a separate task, because a starting group controller may submit commands."""
        match event:
            case LeaseAcquired():
                action = partial(self._on_acquired, event)
                self._context.loop.start("gain", self._run_later(action))
            case LeaseLost(group):
                action = partial(self._stop_if_lost, group)
                self._context.loop.start("lose", self._run_later(action))

    def _run_later(self, action: Callable[[], None]) -> Coroutine[None]:
        yield Wait(0)
        action()

    def _on_acquired(self, lease: LeaseAcquired) -> None:
        self._stop_if_lost(lease.group)
        if self._context.epoch(lease.group) == lease.epoch:
            controller = GroupController(self._context, lease)
            self.groups[lease.group] = controller
            controller.start()

    def _stop_if_lost(self, group: GroupId) -> None:
        if group in self.groups and self._context.epoch(group) is None:
            self.groups.pop(group).stop()

    def close(self) -> None:
        """Stops all group controllers."""
        for controller in self.groups.values():
            controller.stop()
        self.groups.clear()

"""One group of proxies steered under a lease: a director of its own for the group, from gain to loss.

Each group has its own decision module, outbox, calls and news, as if its proxies were a whole fleet. Before each
call the lease is looked at again, and the call carries its epoch: what a process that stood still had half written
is turned away by the relay.
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
from kelpcourse.shared.controller import Event, Gained, Lost
from kelpcourse.shared.ledger import Cleared, Fact, Withdrew
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.loop import Coroutine, Loop, Signal, Task, Wait
from kelpcourse.wire.relay_calls import RelayCalls
from kelpcourse.wire.relay_events import RelayEventStreams
from kelpcourse.wire.runtime import EventLog, Runtime
from kelpcourse.wire.stream import Address

CLEAR_US = 30_000_000  # after which proxies that were told have left a host (architecture.md, what is forgotten)


@dataclass(frozen=True)
class Around:
    """What every group's director is handed."""

    loop: Loop
    limits: Limits
    counters: Counters
    log: EventLog
    settings: Settings
    relay: Address
    discovery: Address
    seed: int
    unix_ms: Callable[[], int]
    epoch: Callable[[int], int | None]  # under which a group may be ordered for now
    learn: Callable[[Fact], None]


class ToldHosts:
    """The facade's door for lists, which also tells the fleet of withdrawals."""

    def __init__(self, facade: Facade, tell: Callable[[Sequence[ListedEndpoint]], None]) -> None:
        self._report_list = facade.report_list
        self._tell = tell

    def __call__(self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool) -> None:
        self._tell(endpoints)
        self._report_list(endpoints, version, complete)


class GroupDirector:
    def __init__(self, around: Around, gained: Gained) -> None:
        self.group = gained.group
        self._around = around
        self._facade = Facade(around.settings, around.seed + gained.epoch, around.limits)
        self._facade.report_list = ToldHosts(self._facade, self._withdrawals)  # type: ignore[method-assign]
        parts = Runtime(self._facade, around.limits, around.counters, around.log, around.loop)
        self._outbox = OrderQueue(
            around.limits.max_queued_orders, around.limits.max_superseded_checkpoints
        )
        self._waiting = Signal()
        self._discovery = DiscoveryClient(parts, around.discovery, 0)
        self._calls = RelayCalls(parts, around.relay, self._outbox, self._waiting, self._target)
        self._events = RelayEventStreams(
            parts,
            around.relay,
            self._outbox,
            self._calls.reachable,
            f"/v3/kv/groups/{gained.group}/events",
        )
        self._tasks: list[Task] = []
        self._withdrawn: dict[str, int] = dict(gained.first)  # and since when (Unix ms)
        # First what the holder before was about to do: hosts to be left, whatever tables proxies hold.
        self._outbox.add([WithdrawEndpoint(host) for host in gained.first])

    @property
    def facade(self) -> Facade:
        return self._facade

    def _target(self) -> str | None:
        epoch = self._around.epoch(self.group)
        return None if epoch is None else f"/v3/kv/groups/{self.group}/orders?epoch={epoch}"

    def start(self) -> None:
        loop = self._around.loop
        routines = [
            self._calls.run(),
            *(self._events.run(stream) for stream in self._events.streams()),
            self._steps(),
            self._clears(),
        ]
        self._tasks = [loop.start(f"group {self.group}", routine) for routine in routines]

    def stop(self) -> None:
        """The group is another's: nothing more goes out, whatever waits."""
        for task in self._tasks:
            self._around.loop.stop(task)
        self._discovery.watch(False)

    def _steps(self) -> Coroutine[None]:
        """What is due at the module, at the pace at which its door gathers."""
        clock, gather_us = self._around.loop.clock, self._around.limits.step_batching_us
        self._facade.start(clock())
        while True:
            self._carry_out(self._facade.pick())
            due_us = self._facade.next_due_us()
            yield Wait(
                min(due_us if due_us is not None else clock() + gather_us, clock() + gather_us)
            )
            self._facade.tick(clock())

    def _carry_out(self, work: Work) -> None:
        if work.orders:
            self._outbox.add(work.orders)
            self._waiting.set()
        if work.watch is not None:
            self._discovery.watch(work.watch)
        for _ in range(work.fetches):
            self._discovery.fetch()
        for note in work.log_messages:
            self._around.log.event("policy_message", text=f"group {self.group}: {note}")

    # Withdrawals

    def _withdrawals(self, members: Sequence[ListedEndpoint]) -> None:
        """Known to the fleet before any order on them goes out, so that a successor finishes what was begun."""
        for member in members:
            if member.status is not EndpointStatus.READY and member.name not in self._withdrawn:
                self._withdrawn[member.name] = self._around.unix_ms()
                self._around.learn(Withdrew(member.name, self._withdrawn[member.name]))
            elif member.status is EndpointStatus.READY and member.name in self._withdrawn:
                self._clear(member.name)

    def _clear(self, host: str) -> None:
        self._around.learn(Cleared(host, self.group, self._withdrawn.pop(host)))

    def _clears(self) -> Coroutine[None]:
        while True:
            yield Wait(self._around.loop.clock() + CLEAR_US // 10)
            old_ms = self._around.unix_ms() - CLEAR_US // 1000
            for host in [h for h, since in self._withdrawn.items() if since < old_ms]:
                self._clear(host)


class Steering:
    """The groups that this controller holds, each with its director."""

    def __init__(self, around: Around) -> None:
        self._around = around
        self.groups: dict[int, GroupDirector] = {}

    def on_event(self, event: Event) -> None:
        """Outside the step that told of it: a director that starts may learn something at once."""
        match event:
            case Gained():
                self._around.loop.start("gain", self._later(partial(self._gain, event)))
            case Lost(group):
                self._around.loop.start("lose", self._later(partial(self._lose, group)))

    def _later(self, what: Callable[[], None]) -> Coroutine[None]:
        yield Wait(0)
        what()

    def _gain(self, gained: Gained) -> None:
        self._lose(gained.group)
        if self._around.epoch(gained.group) == gained.epoch:
            made = self.groups[gained.group] = GroupDirector(self._around, gained)
            made.start()

    def _lose(self, group: int) -> None:
        if group in self.groups and self._around.epoch(group) is None:
            self.groups.pop(group).stop()

    def close(self) -> None:
        for made in self.groups.values():
            made.stop()
        self.groups.clear()

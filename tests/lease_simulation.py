"""Simulates controllers with leases on a virtual clock, injects faults, and checks the safety properties of leases."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from kelpcourse.shared.controller import Controller
from kelpcourse.shared.controller_events import ControllerOptions, PeerMessage
from kelpcourse.shared.lease_holder import LeaseHolder
from kelpcourse.shared.lease_manager import LeaseManager
from kelpcourse.shared.lease_timing import LeaseTiming
from kelpcourse.shared.raft.messages import LogEntry, MemberId
from tests.raft_simulation import MS, RAFT_OPTIONS, InvariantError, Node, RaftSimulation

GROUP_COUNT = 6
LEASE_TIMING = LeaseTiming(
    duration_us=300 * MS,
    max_clock_drift=0.1,
    renewal_interval_us=50 * MS,
    member_timeout_us=200 * MS,
    max_migrations=2,
)
LONG_LEASE_TIMING = LeaseTiming(
    duration_us=800 * MS,
    max_clock_drift=0.1,
    renewal_interval_us=50 * MS,
    member_timeout_us=200 * MS,
    max_migrations=2,
)


class LeaseSimulation(RaftSimulation):
    """Simulates controllers, each on its own clock; safety properties are checked on the simulation's clock."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        holder: type[LeaseHolder] = LeaseHolder,
        manager: type[LeaseManager] = LeaseManager,
        rates: tuple[float, ...] = (0.96, 1.0, 1.04),
        timing: LeaseTiming = LEASE_TIMING,
        max_log_entries: int = 4096,
    ) -> None:
        self.options = ControllerOptions(GROUP_COUNT, RAFT_OPTIONS, timing, max_log_entries)
        self.holder_factory = holder
        self.manager_factory = manager
        self.controllers: dict[MemberId, Controller] = {}
        self.epoch_holders: dict[tuple[int, int], MemberId] = {}  # Holders by group and epoch.
        self.highest_epochs: dict[int, int] = {}
        self.held_group_count = 0
        self.states: dict[int, bytes] = {}
        super().__init__(seed, count)
        for node in self.nodes.values():
            node.clock_rate = self.random.choice(rates)

    def start(self, node: Node) -> None:
        stored = node.disk.stored
        controller = Controller(
            node.name,
            stored,
            self.options,
            self.random.randrange(1 << 30),
            self.clock(node),
            holder_factory=self.holder_factory,
            manager_factory=self.manager_factory,
        )
        self.controllers[node.name] = controller
        node.raft = controller.raft
        node.applied = [(stored.snapshot.index, b"")]
        controller.on_applied = lambda entry, _: self._apply(node, entry)
        self._tick_controller(node, controller)

    def _tick_controller(self, node: Node, controller: Controller) -> None:
        if node.raft is not controller.raft:
            return
        if not node.paused:
            controller.tick(self.clock(node))
            self.process_output(node)
        self.schedule(5 * MS, lambda: self._tick_controller(node, controller))

    def _handle_message(self, node: Node, sender: MemberId, message: PeerMessage) -> None:
        self.controllers[node.name].receive(self.clock(node), sender, message)
        self.process_output(node)

    def process_output(self, node: Node) -> None:
        controller = self.controllers[node.name]
        output = controller.take_output()
        if output.writes:
            node.disk.pending_writes += output.writes
            self.schedule(
                self.random.randint(*self.sync_us),
                lambda: self._complete_controller_sync(node, controller),
            )
        for to, message in output.messages:
            self._send(node.name, to, message)

    def _complete_controller_sync(self, node: Node, controller: Controller) -> None:
        if node.raft is controller.raft and node.disk.pending_writes:
            controller.on_writes_durable(self.clock(node), node.disk.sync())
            self.process_output(node)

    def _apply(self, node: Node, entry: LogEntry) -> None:
        """Applies an entry, allows gaps that snapshots cause, and checks that members reach equal states."""
        node.applied[-1] = entry.index - 1, b""
        super()._apply(node, entry)
        node.applied = node.applied[-1:]
        after = self.controllers[node.name].state.encode()
        known = self.states.setdefault(entry.index, after)
        if known != after:
            raise InvariantError(f"members differ in their state after entry {entry.index}")

    def check(self) -> None:
        super().check()
        holding: dict[int, tuple[MemberId, int]] = {}
        for name, controller in self.controllers.items():
            node = self.nodes[name]
            if node.raft is None:
                continue
            for group, epoch in controller.lease_holder.held_epochs(self.clock(node)).items():
                if group in holding:
                    raise InvariantError(f"group {group} is held by {name} and {holding[group][0]}")
                holding[group] = name, epoch
                other = self.epoch_holders.setdefault((group, epoch), name)
                if other != name:
                    raise InvariantError(
                        f"epoch {epoch} of group {group} is held by {other} and {name}"
                    )
                if epoch < self.highest_epochs.get(group, 0):
                    raise InvariantError(
                        f"group {group} is held in epoch {epoch} after {self.highest_epochs[group]}"
                    )
                self.highest_epochs[group] = epoch
        self.held_group_count = len(holding)


def run_lease_faults(simulation: LeaseSimulation, steps: int) -> None:
    rng, names = simulation.random, sorted(simulation.nodes)
    for _ in range(steps):
        node, fault = simulation.nodes[rng.choice(names)], rng.randrange(8)
        if fault == 0:
            if node.raft is None:
                simulation.start(node)
            else:
                simulation.crash(node)
        elif fault == 1:
            simulation.blocked_links = {(a, b) for a in names for b in names if rng.random() < 0.3}
        elif fault in (2, 3):
            simulation.blocked_links.clear()
        elif fault == 4:
            simulation.loss_ratio = rng.choice([0.0, 0.2])
        elif fault == 5:
            node.paused = not node.paused
        elif fault == 6:
            simulation.delay_us = rng.choice([(1 * MS, 5 * MS), (1 * MS, 150 * MS)])
        simulation.run(rng.randint(20 * MS, 300 * MS))


def crash_leader_and_isolate_holder(simulation: LeaseSimulation) -> None:
    """Crashes the leader and isolates a holder, so that the new leader doesn't know the holder's last renewal."""
    simulation.run_until(lambda: simulation.held_group_count == GROUP_COUNT)
    leader = simulation.leader
    assert leader is not None
    isolated = next(n for n in sorted(simulation.nodes) if n != leader.name)
    simulation.crash(leader)
    simulation.blocked_links = {
        (a, b) for a in simulation.nodes for b in simulation.nodes if isolated in (a, b)
    }
    simulation.run(2000 * MS)


def resume_leader_with_buffered_requests(simulation: LeaseSimulation) -> None:
    """Resumes a leader after another was elected, with requests of a holder that could only reach the old leader."""
    simulation.run_until(lambda: simulation.held_group_count == GROUP_COUNT)
    old_leader = simulation.leader
    assert old_leader is not None
    isolated = next(n for n in sorted(simulation.nodes) if n != old_leader.name)
    old_leader.paused = True
    pair = {old_leader.name, isolated}
    simulation.blocked_links = {
        (a, b) for a in simulation.nodes for b in simulation.nodes if (a in pair) != (b in pair)
    }
    simulation.run(simulation.random.randint(500 * MS, 900 * MS))
    old_leader.paused = False
    simulation.run(600 * MS)


SCENARIOS: list[Callable[[LeaseSimulation], None]] = [
    partial(run_lease_faults, steps=40),
    crash_leader_and_isolate_holder,
    resume_leader_with_buffered_requests,
]

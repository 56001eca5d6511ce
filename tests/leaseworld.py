"""Controllers with leases on a virtual clock, faults for them, and what must hold."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from kelpcourse.shared.controller import Controller
from kelpcourse.shared.controller_events import ControllerOptions, PeerMessage
from kelpcourse.shared.lease_holder import LeaseHolder
from kelpcourse.shared.lease_manager import LeaseManager
from kelpcourse.shared.lease_timing import LeaseTiming
from kelpcourse.shared.raft.messages import LogEntry, MemberId
from tests.raftworld import MS, TIMING, InvariantError, Node, World

GROUPS = 6
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


class Fleet(World):
    """Controllers, each on its own clock; what must hold is looked at on the world's."""

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
        self.options = ControllerOptions(GROUPS, TIMING, timing, max_log_entries)
        self.holder_factory = holder
        self.manager_factory = manager
        self.controllers: dict[MemberId, Controller] = {}
        self.epoch_holders: dict[tuple[int, int], MemberId] = {}  # who ordered under it
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
            self.take(node)
        self.schedule(5 * MS, lambda: self._tick_controller(node, controller))

    def _received(self, node: Node, sender: MemberId, message: PeerMessage) -> None:
        self.controllers[node.name].receive(self.clock(node), sender, message)
        self.take(node)

    def take(self, node: Node) -> None:
        controller = self.controllers[node.name]
        out = controller.take_output()
        if out.writes:
            node.disk.pending_writes += out.writes
            self.schedule(
                self.random.randint(*self.sync_us),
                lambda: self._synced_controller(node, controller),
            )
        for to, message in out.messages:
            self._send(node.name, to, message)

    def _synced_controller(self, node: Node, controller: Controller) -> None:
        if node.raft is controller.raft and node.disk.pending_writes:
            controller.on_writes_durable(self.clock(node), node.disk.sync())
            self.take(node)

    def _apply(self, node: Node, entry: LogEntry) -> None:
        """Applies as `World` does, but for snapshots between two entries; all members reach the same state."""
        node.applied[-1] = entry.index - 1, b""
        super()._apply(node, entry)
        node.applied = node.applied[-1:]
        after = self.controllers[node.name].state.encode()
        known = self.states.setdefault(entry.index, after)
        if known != after:
            raise InvariantError(f"two states after entry {entry.index}")

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
                        f"epoch {epoch} of group {group} is {other}'s and {name}'s"
                    )
                if epoch < self.highest_epochs.get(group, 0):
                    raise InvariantError(
                        f"group {group} is held under {epoch} after {self.highest_epochs[group]}"
                    )
                self.highest_epochs[group] = epoch
        self.held_group_count = len(holding)


def run_lease_faults(fleet: Fleet, steps: int) -> None:
    draw, names = fleet.random, sorted(fleet.nodes)
    for _ in range(steps):
        node, what = fleet.nodes[draw.choice(names)], draw.randrange(8)
        if what == 0:
            if node.raft is None:
                fleet.start(node)
            else:
                fleet.crash(node)
        elif what == 1:
            fleet.blocked_links = {(a, b) for a in names for b in names if draw.random() < 0.3}
        elif what in (2, 3):
            fleet.blocked_links.clear()
        elif what == 4:
            fleet.loss_ratio = draw.choice([0.0, 0.2])
        elif what == 5:
            node.paused = not node.paused
        elif what == 6:
            fleet.delay_us = draw.choice([(1 * MS, 5 * MS), (1 * MS, 150 * MS)])
        fleet.run(draw.randint(20 * MS, 300 * MS))


def leader_dies_with_a_holder_cut_off(fleet: Fleet) -> None:
    """The new leader has not heard of the holder's last renewal, and can't ask it."""
    fleet.run_until(lambda: fleet.held_group_count == GROUPS)
    leader = fleet.leader
    assert leader is not None
    alone = next(n for n in sorted(fleet.nodes) if n != leader.name)
    fleet.crash(leader)
    fleet.blocked_links = {(a, b) for a in fleet.nodes for b in fleet.nodes if alone in (a, b)}
    fleet.run(2000 * MS)


def leader_wakes_with_requests_in_its_buffer(fleet: Fleet) -> None:
    """It was suspended while another was elected; a holder that reaches nobody else went on sending requests."""
    fleet.run_until(lambda: fleet.held_group_count == GROUPS)
    old = fleet.leader
    assert old is not None
    alone = next(n for n in sorted(fleet.nodes) if n != old.name)
    old.paused = True
    pair = {old.name, alone}
    fleet.blocked_links = {
        (a, b) for a in fleet.nodes for b in fleet.nodes if (a in pair) != (b in pair)
    }
    fleet.run(fleet.random.randint(500 * MS, 900 * MS))
    old.paused = False
    fleet.run(600 * MS)


SCENES: list[Callable[[Fleet], None]] = [
    partial(run_lease_faults, steps=40),
    leader_dies_with_a_holder_cut_off,
    leader_wakes_with_requests_in_its_buffer,
]

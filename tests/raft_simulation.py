"""Simulates Raft members on a virtual clock, with network and disk faults, and checks Raft's safety properties."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from kelpcourse.shared.controller_events import PeerMessage
from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.raft.messages import (
    Configuration,
    EntryKind,
    LogEntry,
    MemberId,
    RaftMessage,
    Snapshot,
)
from kelpcourse.shared.raft.node import Raft
from kelpcourse.shared.raft.options import RaftOptions
from kelpcourse.shared.raft.persistent import PersistentState, StateWrite, apply_write
from kelpcourse.shared.raft.role import Role

MS = 1000  # microseconds per millisecond
RAFT_OPTIONS = RaftOptions(
    heartbeat_interval_us=20 * MS,
    min_election_timeout_us=100 * MS,
    max_entries_per_message=8,
    max_chunk_bytes=16,
)


class InvariantError(AssertionError):
    """A safety property is violated."""


@dataclass
class Disk:
    """The durable state of a member, and its writes that are not durable yet."""

    stored: PersistentState
    pending_writes: list[StateWrite] = field(default_factory=list)

    def sync(self) -> int:
        """Makes all pending writes durable, and returns the number of the last one."""
        for write in self.pending_writes:
            self.stored = apply_write(self.stored, write)
        number = self.pending_writes[-1].number if self.pending_writes else 0
        self.pending_writes.clear()
        return number


@dataclass
class Node:
    """A simulated member with its disk and clock; `raft` is None while it is stopped."""

    name: MemberId
    disk: Disk
    clock_rate: float
    raft: Raft | None = None
    applied: list[tuple[int, bytes]] = field(default_factory=list)
    clock_offset_us: int = 0
    paused: bool = False


class RaftSimulation:
    """Members on a virtual clock; the seed determines delays, losses and faults."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        raft_factory: type[Raft] = Raft,
        learners: int = 0,
        compact_every: int = 0,
    ) -> None:
        self.random = random.Random(seed)
        self.raft_factory = raft_factory
        self.now_us = 0
        self.loss_ratio = 0.0
        self.duplicate_ratio = 0.0
        self.delay_us = (1 * MS, 5 * MS)
        self.sync_us = (0, 3 * MS)
        self.blocked_links: set[tuple[MemberId, MemberId]] = set()  # Pairs of sender and recipient.
        self.compact_every = compact_every
        self.leaders: dict[int, MemberId] = {}  # Leaders by term.
        # Term and data of committed entries by index.
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.accepted: list[bytes] = []
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        names = [f"n{k}" for k in range(count)]
        config = Configuration(
            frozenset(names[: count - learners]), frozenset(names[count - learners :])
        )
        self.nodes = {name: self._node(name, config) for name in names}
        for node in self.nodes.values():
            self.start(node)

    def _node(self, name: MemberId, config: Configuration) -> Node:
        return Node(name, Disk(PersistentState(0, None, Snapshot(0, 0, config, b""))), 1.0)

    # Time

    def schedule(self, after_us: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_us + after_us, self._sequence, action))

    def clock(self, node: Node) -> int:
        return round(self.now_us * node.clock_rate) + node.clock_offset_us

    def run(self, span_us: int, after_each: Callable[[], None] = lambda: None) -> None:
        end_us = self.now_us + span_us
        while self._queue and self._queue[0][0] <= end_us:
            self.now_us, _, action = heapq.heappop(self._queue)
            action()
            self.check()
            after_each()
        self.now_us = end_us

    # Nodes

    def start(self, node: Node) -> None:
        node.raft = raft = self.raft_factory(
            node.name,
            node.disk.stored,
            RAFT_OPTIONS,
            self.random.randrange(1 << 30),
            self.clock(node),
        )
        node.applied = [(node.disk.stored.snapshot.index, node.disk.stored.snapshot.data)]
        self._tick(node, raft)

    def crash(self, node: Node) -> None:
        """Stops a node. A random part of its pending writes becomes durable, the rest is lost."""
        durable_count = self.random.randint(0, len(node.disk.pending_writes))
        del node.disk.pending_writes[durable_count:]
        node.disk.sync()
        node.raft = None

    def _tick(self, node: Node, raft: Raft) -> None:
        if node.raft is not raft:
            return
        if not node.paused:
            raft.tick(self.clock(node))
            self.process_output(node)
        self.schedule(5 * MS, lambda: self._tick(node, raft))

    def deliver(self, sender: MemberId, to: MemberId, message: PeerMessage) -> None:
        node = self.nodes.get(to)
        if node is None or node.raft is None or (sender, to) in self.blocked_links:
            return
        if node.paused:  # The message stays in the socket buffer.
            self.schedule(20 * MS, lambda: self.deliver(sender, to, message))
            return
        self._handle_message(node, sender, message)

    def _handle_message(self, node: Node, sender: MemberId, message: PeerMessage) -> None:
        assert node.raft is not None
        assert isinstance(message, RaftMessage)
        node.raft.receive(self.clock(node), sender, message)
        self.process_output(node)

    def process_output(self, node: Node) -> None:
        assert node.raft is not None
        output = node.raft.take_output()
        if output.writes:
            node.disk.pending_writes += output.writes
            raft = node.raft
            self.schedule(
                self.random.randint(*self.sync_us), lambda: self._complete_sync(node, raft)
            )
        for to, message in output.messages:
            self._send(node.name, to, message)
        if output.installed_snapshot is not None:
            node.applied = [(output.installed_snapshot.index, output.installed_snapshot.data)]
        for entry in output.committed:
            self._apply(node, entry)

    def _complete_sync(self, node: Node, raft: Raft) -> None:
        if node.raft is raft and node.disk.pending_writes:
            raft.on_writes_durable(self.clock(node), node.disk.sync())
            self.process_output(node)

    def _send(self, sender: MemberId, to: MemberId, message: PeerMessage) -> None:
        for _ in range(1 + (self.random.random() < self.duplicate_ratio)):
            if self.random.random() >= self.loss_ratio and (sender, to) not in self.blocked_links:
                self.schedule(
                    self.random.randint(*self.delay_us), lambda: self.deliver(sender, to, message)
                )

    def _apply(self, node: Node, entry: LogEntry) -> None:
        last, state = node.applied[-1]
        if entry.index != last + 1:
            raise InvariantError(f"{node.name} applies entry {entry.index} after entry {last}")
        data = entry.data if entry.kind is EntryKind.DATA else b""
        node.applied.append((entry.index, state + data))
        known = self.committed.setdefault(entry.index, (entry.term, data))
        if known != (entry.term, data):
            raise InvariantError(
                f"at {entry.index} {node.name} commits {entry.term, data}, another node {known}"
            )
        if self.compact_every and entry.index % self.compact_every == 0 and node.raft is not None:
            node.raft.compact(entry.index, node.applied[-1][1])

    # Safety properties

    def check(self) -> None:
        """Checks that each term has one leader, and that the newest leader has all committed entries."""
        for node in self.nodes.values():
            raft = node.raft
            if raft is None:
                continue
            if raft.role is Role.LEADER:
                other = self.leaders.setdefault(raft.term, node.name)
                if other != node.name:
                    raise InvariantError(
                        f"two leaders of term {raft.term}: {other} and {node.name}"
                    )
                self._check_complete(raft)

    def _check_complete(self, raft: Raft) -> None:
        """Checks leader completeness: a leader's log holds all committed entries (paper 5.4)."""
        if raft.term < max(self.leaders):
            return
        for index, (term, _) in self.committed.items():
            if index > raft.log.snapshot.index and raft.log.term_at(index) != term:
                raise InvariantError(
                    f"{raft.member_id} leads term {raft.term} without the committed entry {index}"
                )

    def check_logs(self) -> None:
        """Checks log matching: logs with an entry of the same index and term are equal up to it (paper 5.3)."""
        logs = [n.raft.log for n in self.nodes.values() if n.raft is not None]
        for one in logs:
            for other in logs:
                low = max(one.snapshot.index, other.snapshot.index)
                high = min(one.last_index, other.last_index)
                matched = False
                for index in range(high, low, -1):
                    if one.term_at(index) == other.term_at(index):
                        matched = True
                    if matched and one.entry_at(index) != other.entry_at(index):
                        raise InvariantError(
                            f"logs differ at {index}, though the terms match there or later"
                        )

    # Operations

    @property
    def leader(self) -> Node | None:
        leaders = [
            n
            for n in self.nodes.values()
            if n.raft is not None and n.raft.role is Role.LEADER and not n.paused
        ]
        return max(leaders, key=lambda n: n.raft.term if n.raft is not None else 0, default=None)

    def propose(self, data: bytes) -> bool:
        node = self.leader
        if node is None or node.raft is None:
            return False
        try:
            node.raft.propose(self.clock(node), data)
        except RequestRejectedError:
            return False
        self.process_output(node)
        return True

    def change_members(self, voters: Iterable[MemberId], learners: Iterable[MemberId] = ()) -> None:
        node = self.leader
        assert node is not None
        assert node.raft is not None
        node.raft.change_membership(
            self.clock(node), Configuration(frozenset(voters), frozenset(learners))
        )
        self.process_output(node)

    def run_until(self, condition: Callable[[], object], timeout_us: int = 20_000 * MS) -> None:
        end_us = self.now_us + timeout_us
        while not condition():
            if self.now_us >= end_us:
                raise InvariantError("the condition did not become true in time")
            self.run(10 * MS)

    def clear_faults(self) -> None:
        self.blocked_links.clear()
        self.loss_ratio = self.duplicate_ratio = 0.0
        for node in self.nodes.values():
            node.paused = False
            if node.raft is None:
                self.start(node)

    def is_applied_everywhere(self, data: bytes) -> bool:
        """Returns whether every running node has applied the data."""
        return all(data in n.applied[-1][1] for n in self.nodes.values() if n.raft is not None)


class Fault(Enum):
    """The fault that a step of a run with faults injects."""

    CRASH_OR_START = 0
    BLOCK_RANDOM_LINKS = 1
    PARTITION = 2
    UNBLOCK_LINKS = 3
    CHANGE_LOSS = 4
    PAUSE_OR_CONTINUE = 5
    CHANGE_DELAY = 6
    ADVANCE_CLOCK = 7
    NONE = 8
    NONE_SECOND = 9


def inject_node_fault(
    simulation: RaftSimulation, node: Node, fault: Fault, allow_crashes: bool
) -> None:
    """Injects a fault of one node; does nothing for other faults."""
    match fault:
        case Fault.CRASH_OR_START if allow_crashes:
            if node.raft is None:
                simulation.start(node)
            else:
                simulation.crash(node)
        case Fault.PAUSE_OR_CONTINUE:
            node.paused = not node.paused
        case Fault.ADVANCE_CLOCK if node.raft is not None:
            node.clock_offset_us += simulation.random.choice([0, 50 * MS])


def inject_network_fault(simulation: RaftSimulation, fault: Fault) -> None:
    """Injects a fault of the network; does nothing for other faults."""
    rng = simulation.random
    names = sorted(simulation.nodes)
    match fault:
        case Fault.BLOCK_RANDOM_LINKS:
            simulation.blocked_links = {(a, b) for a in names for b in names if rng.random() < 0.3}
        case Fault.PARTITION:
            half = set(rng.sample(names, len(names) // 2))
            simulation.blocked_links = {
                (a, b) for a in names for b in names if (a in half) != (b in half)
            }
        case Fault.UNBLOCK_LINKS:
            simulation.blocked_links.clear()
        case Fault.CHANGE_LOSS:
            ratios = rng.choice([(0.0, 0.0), (0.2, 0.0), (0.1, 0.3)])
            simulation.loss_ratio, simulation.duplicate_ratio = ratios
        case Fault.CHANGE_DELAY:
            simulation.delay_us = rng.choice([(1 * MS, 5 * MS), (1 * MS, 80 * MS)])


def run_faults(simulation: RaftSimulation, steps: int, allow_crashes: bool = True) -> None:
    """Injects faults drawn from the simulation's seed, with proposals between them."""
    rng = simulation.random
    names = sorted(simulation.nodes)
    for step in range(steps):
        node = simulation.nodes[rng.choice(names)]
        fault = Fault(rng.randrange(10))
        inject_node_fault(simulation, node, fault, allow_crashes)
        inject_network_fault(simulation, fault)
        for position in range(rng.randint(0, 3)):
            data = b"<%d.%d>" % (step, position)
            if simulation.propose(data):
                simulation.accepted.append(data)
        simulation.run(rng.randint(5 * MS, 150 * MS))
        simulation.check_logs()

"""Explores every order of messages, elections, crashes and one proposal for three members, up to a fixed depth.

Elections start without pre-vote, so that competing elections take fewer steps. A lost message is one that is never
delivered. Writes are durable immediately: the random faults of `test_raft` cover writes that are not durable yet.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest

from kelpcourse.shared.raft.log import Log
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
from kelpcourse.shared.raft.output import RaftOutput
from kelpcourse.shared.raft.persistent import PersistentState, apply_write
from kelpcourse.shared.raft.role import Role
from tests.raft_mutants import CommitsWithoutMajority, CountsDeniedVotes, VotesTwicePerTerm
from tests.raft_simulation import InvariantError

NAMES = ("a", "b", "c")
# Time between two steps, long enough that no member still has a current leader.
STEP_US = 10_000_000
DEPTH = 7
MUTANT_DEPTH = 6  # Depth at which each mutant is detected.
MIN_STATES = 20_000


@dataclass
class State:
    nodes: dict[MemberId, Raft]
    disks: dict[MemberId, PersistentState]
    now_us: int = STEP_US
    in_flight: list[tuple[MemberId, MemberId, RaftMessage]] = field(default_factory=list)
    elections_left: int = 3
    crashes_left: int = 1
    proposals_left: int = 1
    leaders: dict[int, MemberId] = field(default_factory=dict)
    committed: dict[int, LogEntry] = field(default_factory=dict)

    def key(self) -> str:
        nodes = [
            (
                r.term,
                r.voted_for,
                r.role.value,
                r.commit_index,
                sorted(r._votes_granted),
                [(e.index, e.term, e.data) for e in r.log.entries_from(1, 99)],
                sorted(
                    (m, p.next_index, p.match_index, p.is_probing) for m, p in r.progress.items()
                ),
            )
            for r in self.nodes.values()
        ]
        messages = sorted(f"{a}{b}{_without_send_time(m)}" for a, b, m in self.in_flight)
        return repr((nodes, messages, self.elections_left, self.crashes_left, self.proposals_left))

    def copy_for_step(self, name: MemberId) -> State:
        """Returns a copy in which this node may change; the other nodes are shared with the original."""
        node = copy.copy(self.nodes[name])
        node.log = Log(node.log.snapshot, node.log.entries_from(1, 99))
        node.progress = {member: replace(peer) for member, peer in node.progress.items()}
        node._votes_granted, node._blocked_messages, node._unsynced_writes = (
            set(node._votes_granted),
            list(node._blocked_messages),
            list(node._unsynced_writes),
        )
        node._output = RaftOutput()
        return replace(
            self,
            nodes={**self.nodes, name: node},
            disks=dict(self.disks),
            now_us=self.now_us + STEP_US,
            in_flight=list(self.in_flight),
            leaders=dict(self.leaders),
            committed=dict(self.committed),
        )

    def process_output(self, name: MemberId) -> None:
        """Performs the writes of a step, sends its messages, and checks safety properties."""
        node = self.nodes[name]
        while True:
            output = node.take_output()
            for write in output.writes:
                self.disks[name] = apply_write(self.disks[name], write)
            self.in_flight += [(name, to, message) for to, message in output.messages]
            for entry in output.committed:
                if self.committed.setdefault(entry.index, entry) != entry:
                    raise InvariantError(f"two entries are committed at {entry.index}")
            if not output.writes:
                break
            node.on_writes_durable(self.now_us, output.writes[-1].number)
        if node.role is Role.LEADER and self.leaders.setdefault(node.term, name) != name:
            raise InvariantError(f"two leaders of term {node.term}")
        if node.role is Role.LEADER and node.term == max(self.leaders):
            for index, entry in self.committed.items():
                if node.log.term_at(index) != entry.term:
                    raise InvariantError(f"a leader lacks the committed entry {index}")


def _without_send_time(message: RaftMessage) -> str:
    return repr(message).partition("sent_us")[0]


def initial_state(raft_factory: type[Raft]) -> State:
    stored = PersistentState(0, None, Snapshot(0, 0, Configuration(frozenset(NAMES)), b""))
    nodes = {name: raft_factory(name, stored, RaftOptions(), 1, 0) for name in NAMES}
    return State(nodes, dict.fromkeys(NAMES, stored))


def next_states(state: State, raft_factory: type[Raft]) -> Iterator[State]:
    for position, (sender, to, message) in enumerate(state.in_flight):
        after = state.copy_for_step(to)
        del after.in_flight[position]
        after.nodes[to].receive(after.now_us, sender, message)
        after.process_output(to)
        yield after
    for name in NAMES:
        node = state.nodes[name]
        if state.elections_left and node.role is not Role.LEADER:
            after = state.copy_for_step(name)
            after.elections_left -= 1
            after.nodes[name]._start_election(after.now_us, pre_vote=False)
            after.process_output(name)
            yield after
        if state.crashes_left and node.term:
            after = state.copy_for_step(name)
            after.crashes_left -= 1
            after.nodes[name] = raft_factory(name, after.disks[name], RaftOptions(), 1, 0)
            yield after
        if state.proposals_left and node.role is Role.LEADER:
            after = state.copy_for_step(name)
            after.proposals_left -= 1
            after.nodes[name]._append_entry(after.now_us, EntryKind.DATA, b"x", None)
            after.process_output(name)
            yield after


def explore(raft_factory: type[Raft], depth: int) -> int:
    """Returns the number of distinct states that were reached. Raises InvariantError."""
    seen, level = set[str](), [initial_state(raft_factory)]
    for _ in range(depth):
        next_level = []
        for state in level:
            for after in next_states(state, raft_factory):
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    next_level.append(after)
        level = next_level
    return len(seen)


def test_invariants_hold_in_every_order_up_to_depth() -> None:
    assert explore(Raft, DEPTH) > MIN_STATES


@pytest.mark.parametrize("mutant", [VotesTwicePerTerm, CountsDeniedVotes, CommitsWithoutMajority])
def test_mutant_violates_an_invariant_in_some_order(mutant: type[Raft]) -> None:
    with pytest.raises(InvariantError):
        explore(mutant, MUTANT_DEPTH)

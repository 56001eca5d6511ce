"""Every order of messages, elections, run_crashes and one proposal for three members, to a stated depth.

Elections begin without asking first, so that fewer steps lead to where two of them meet; a message that is lost is one
that is never delivered. Writes are durable at once: what happens before they are is the storms' matter.
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
from tests.raftmutants import CountsHalf, LeadsWithoutAMajority, VotesTwice
from tests.raftworld import InvariantError

NAMES = ("a", "b", "c")
FAR_US = 10_000_000  # between two steps: nobody is bound by having heard of a leader
DEPTH = 7
MUTANT_DEPTH = 6  # by which each of them is found
LEAST_STATES = 20_000


@dataclass
class State:
    nodes: dict[MemberId, Raft]
    disks: dict[MemberId, PersistentState]
    now_us: int = FAR_US
    under_way: list[tuple[MemberId, MemberId, RaftMessage]] = field(default_factory=list)
    begins: int = 3
    run_crashes: int = 1
    proposals: int = 1
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
        messages = sorted(f"{a}{b}{_timeless(m)}" for a, b, m in self.under_way)
        return repr((nodes, messages, self.begins, self.run_crashes, self.proposals))

    def touched(self, name: MemberId) -> State:
        """A copy in which this node may change; the others are shared."""
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
            now_us=self.now_us + FAR_US,
            under_way=list(self.under_way),
            leaders=dict(self.leaders),
            committed=dict(self.committed),
        )

    def settle(self, name: MemberId) -> None:
        """What a step made is written and sent."""
        node = self.nodes[name]
        while True:
            out = node.take_output()
            for write in out.writes:
                self.disks[name] = apply_write(self.disks[name], write)
            self.under_way += [(name, to, message) for to, message in out.messages]
            for entry in out.committed:
                if self.committed.setdefault(entry.index, entry) != entry:
                    raise InvariantError(f"two entries are committed at {entry.index}")
            if not out.writes:
                break
            node.on_writes_durable(self.now_us, out.writes[-1].number)
        if node.role is Role.LEADER and self.leaders.setdefault(node.term, name) != name:
            raise InvariantError(f"two leaders of term {node.term}")
        if node.role is Role.LEADER and node.term == max(self.leaders):
            for index, entry in self.committed.items():
                if node.log.term_at(index) != entry.term:
                    raise InvariantError(f"a leader lacks the committed entry {index}")


def _timeless(message: RaftMessage) -> str:
    return repr(message).partition("sent_us")[0]


def start(make: type[Raft]) -> State:
    stored = PersistentState(0, None, Snapshot(0, 0, Configuration(frozenset(NAMES)), b""))
    nodes = {name: make(name, stored, RaftOptions(), 1, 0) for name in NAMES}
    return State(nodes, dict.fromkeys(NAMES, stored))


def steps(state: State, make: type[Raft]) -> Iterator[State]:
    for at, (sender, to, message) in enumerate(state.under_way):
        after = state.touched(to)
        del after.under_way[at]
        after.nodes[to].receive(after.now_us, sender, message)
        after.settle(to)
        yield after
    for name in NAMES:
        node = state.nodes[name]
        if state.begins and node.role is not Role.LEADER:
            after = state.touched(name)
            after.begins -= 1
            after.nodes[name]._start_election(after.now_us, pre_vote=False)
            after.settle(name)
            yield after
        if state.run_crashes and node.term:
            after = state.touched(name)
            after.run_crashes -= 1
            after.nodes[name] = make(name, after.disks[name], RaftOptions(), 1, 0)
            yield after
        if state.proposals and node.role is Role.LEADER:
            after = state.touched(name)
            after.proposals -= 1
            after.nodes[name]._append_entry(after.now_us, EntryKind.DATA, b"x", None)
            after.settle(name)
            yield after


def explore(make: type[Raft], depth: int) -> int:
    """How many different states were met. Raises InvariantError."""
    seen, level = set[str](), [start(make)]
    for _ in range(depth):
        following = []
        for state in level:
            for after in steps(state, make):
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    following.append(after)
        level = following
    return len(seen)


def test_nothing_breaks_in_any_order_to_this_depth() -> None:
    assert explore(Raft, DEPTH) > LEAST_STATES


@pytest.mark.parametrize("mutant", [VotesTwice, LeadsWithoutAMajority, CountsHalf])
def test_a_missing_defence_is_found_in_some_order(mutant: type[Raft]) -> None:
    with pytest.raises(InvariantError):
        explore(mutant, MUTANT_DEPTH)

"""Every order of messages, elections, crashes and one proposal for three members, to a stated depth.

Elections begin without asking first, so that fewer steps lead to where two of them meet; a message that is lost is one
that is never delivered. Writes are durable at once: what happens before they are is the storms' matter.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest

from kelpcourse.shared.log import Log
from kelpcourse.shared.messages import Config, Entry, Kind, Member, Message, Snapshot, Stored
from kelpcourse.shared.raft import Output, Raft, Role, Timing
from kelpcourse.shared.recovery import applied
from tests.raftworld import Broken
from tests.test_raft import CountsHalf, LeadsWithoutAMajority, VotesTwice

NAMES = ("a", "b", "c")
FAR_US = 10_000_000  # between two steps: nobody is bound by having heard of a leader
DEPTH = 7
MUTANT_DEPTH = 6  # by which each of them is found
LEAST_STATES = 20_000


@dataclass
class State:
    nodes: dict[Member, Raft]
    disks: dict[Member, Stored]
    now_us: int = FAR_US
    under_way: list[tuple[Member, Member, Message]] = field(default_factory=list)
    begins: int = 3
    crashes: int = 1
    proposals: int = 1
    leaders: dict[int, Member] = field(default_factory=dict)
    committed: dict[int, Entry] = field(default_factory=dict)

    def key(self) -> str:
        nodes = [
            (
                r.term,
                r.vote,
                r.role.value,
                r.commit,
                sorted(r._granted),
                [(e.index, e.term, e.data) for e in r.log.since(1, 99)],
                sorted((m, p.next_index, p.match, p.probing) for m, p in r.peers.items()),
            )
            for r in self.nodes.values()
        ]
        messages = sorted(f"{a}{b}{_timeless(m)}" for a, b, m in self.under_way)
        return repr((nodes, messages, self.begins, self.crashes, self.proposals))

    def touched(self, name: Member) -> State:
        """A copy in which this node may change; the others are shared."""
        node = copy.copy(self.nodes[name])
        node.log = Log(node.log.snapshot, node.log.since(1, 99))
        node.peers = {member: replace(peer) for member, peer in node.peers.items()}
        node._granted, node._held, node._ours = (
            set(node._granted),
            list(node._held),
            list(node._ours),
        )
        node._out = Output()
        return replace(
            self,
            nodes={**self.nodes, name: node},
            disks=dict(self.disks),
            now_us=self.now_us + FAR_US,
            under_way=list(self.under_way),
            leaders=dict(self.leaders),
            committed=dict(self.committed),
        )

    def settle(self, name: Member) -> None:
        """What a step made is written and sent."""
        node = self.nodes[name]
        while True:
            out = node.take()
            for write in out.writes:
                self.disks[name] = applied(self.disks[name], write)
            self.under_way += [(name, to, message) for to, message in out.messages]
            for entry in out.committed:
                if self.committed.setdefault(entry.index, entry) != entry:
                    raise Broken(f"two entries are committed at {entry.index}")
            if not out.writes:
                break
            node.written(self.now_us, out.writes[-1].number)
        if node.role is Role.LEADER and self.leaders.setdefault(node.term, name) != name:
            raise Broken(f"two leaders of term {node.term}")
        if node.role is Role.LEADER and node.term == max(self.leaders):
            for index, entry in self.committed.items():
                if node.log.term_at(index) != entry.term:
                    raise Broken(f"a leader lacks the committed entry {index}")


def _timeless(message: Message) -> str:
    return repr(message).partition("sent_us")[0]


def start(make: type[Raft]) -> State:
    stored = Stored(0, None, Snapshot(0, 0, Config(frozenset(NAMES)), b""))
    nodes = {name: make(name, stored, Timing(), 1, 0) for name in NAMES}
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
            after.nodes[name]._begin(after.now_us, pre=False)
            after.settle(name)
            yield after
        if state.crashes and node.term:
            after = state.touched(name)
            after.crashes -= 1
            after.nodes[name] = make(name, after.disks[name], Timing(), 1, 0)
            yield after
        if state.proposals and node.role is Role.LEADER:
            after = state.touched(name)
            after.proposals -= 1
            after.nodes[name]._append_own(after.now_us, Kind.DATA, b"x", None)
            after.settle(name)
            yield after


def explore(make: type[Raft], depth: int) -> int:
    """How many different states were met. Raises Broken."""
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
def test_a_defence_taken_out_is_found_in_some_order(mutant: type[Raft]) -> None:
    with pytest.raises(Broken):
        explore(mutant, MUTANT_DEPTH)

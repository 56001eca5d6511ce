"""Mutants of Raft, each without one safety rule, and scenarios in which they violate a safety property."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from kelpcourse.shared.raft.messages import (
    AppendEntries,
    LogEntry,
    MemberId,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
)
from kelpcourse.shared.raft.node import Raft
from kelpcourse.shared.raft.role import Role
from tests.raft_simulation import MS, RAFT_OPTIONS, Node, RaftSimulation


def run_crashes(simulation: RaftSimulation, steps: int) -> None:
    """Crashes a majority at once while a proposal is replicated, which loses writes that are not durable."""
    rng, names = simulation.random, sorted(simulation.nodes)
    for step in range(steps):
        for node in simulation.nodes.values():
            if node.raft is None:
                simulation.start(node)
        simulation.run(rng.randint(150 * MS, 400 * MS))
        simulation.propose(b"<%d>" % step)
        simulation.run(rng.randint(5 * MS, 40 * MS))
        for name in rng.sample(names, len(names) // 2 + 1):
            simulation.crash(simulation.nodes[name])
        simulation.run(rng.randint(5 * MS, 30 * MS))
        simulation.check_logs()


def connect_only(simulation: RaftSimulation, *names: MemberId) -> None:
    """Blocks all links but those among the named members."""
    simulation.blocked_links = {
        (a, b)
        for a in simulation.nodes
        for b in simulation.nodes
        if not (a in names and b in names)
    }


def run_figure_8(simulation: RaftSimulation, _: int) -> None:
    """Reproduces figure 8 of the Raft paper: an entry of an earlier term on a majority can still be overwritten."""
    if len(simulation.nodes) != 5:
        return
    for node in simulation.nodes.values():
        assert node.raft is not None
        node.raft._options = replace(RAFT_OPTIONS, max_entries_per_message=1)
    simulation.run_until(lambda: simulation.leader is not None)
    first = simulation.leader
    assert first is not None
    simulation.run(100 * MS)
    second, *rest = [n for n in simulation.nodes if n != first.name]
    connect_only(simulation, first.name, second)
    simulation.propose(b"<e>")
    simulation.run(90 * MS)
    simulation.crash(first)
    simulation.crash(simulation.nodes[second])
    connect_only(simulation, *rest)

    def current_leader() -> Node | None:
        leaders = [
            simulation.nodes[n]
            for n in rest
            if (r := simulation.nodes[n].raft) is not None and r.role is Role.LEADER
        ]
        return leaders[0] if leaders else None

    while current_leader() is None:
        simulation.run(1 * MS)
    other = current_leader()
    assert other is not None
    # The first entry of the new leader reaches no other member.
    simulation.blocked_links = {(a, b) for a in simulation.nodes for b in simulation.nodes}
    simulation.run(70 * MS)
    simulation.crash(other)
    third, fourth = (n for n in rest if n != other.name)
    connect_only(simulation, first.name, second, third)
    for node in (first, simulation.nodes[second]):
        simulation.start(node)
        assert node.raft is not None
        node.raft._options = replace(RAFT_OPTIONS, max_entries_per_message=1)
    for _ in range(2000):
        if any(data == b"<e>" for _, data in simulation.committed.values()):
            break
        simulation.run(1 * MS)
    for name in (first.name, second):
        simulation.crash(simulation.nodes[name])
    simulation.start(other)
    connect_only(simulation, other.name, third, fourth)
    simulation.run(1500 * MS)
    simulation.clear_faults()
    simulation.run(1500 * MS)


class SendsBeforeWriteIsDurable(Raft):
    def _send_after(self, write_number: int, recipient: MemberId, message: RaftMessage) -> None:
        self._send(recipient, message)


class GrantsVotesToOutdatedLogs(Raft):
    def _on_request_vote(self, now_us: int, sender: MemberId, request: RequestVote) -> None:
        super()._on_request_vote(
            now_us,
            sender,
            RequestVote(request.term, 1 << 40, 1 << 40, request.pre_vote, request.is_transfer),
        )


class VotesTwicePerTerm(Raft):
    def _on_request_vote(self, now_us: int, sender: MemberId, request: RequestVote) -> None:
        if not request.pre_vote and self.role is Role.FOLLOWER:
            self.voted_for = None
        super()._on_request_vote(now_us, sender, request)


class CommitsEntriesOfEarlierTerms(Raft):
    def _advance_commit_index(self, now_us: int) -> None:
        matches = sorted(
            (
                self._durable_index if m == self.member_id else self._match_index(m)
                for m in self.config.voters
            ),
            reverse=True,
        )
        if matches[len(matches) // 2] > self.commit_index:
            self._commit_up_to(matches[len(matches) // 2])
            self._broadcast(now_us)


class CommitsWithoutMajority(Raft):
    def _advance_commit_index(self, now_us: int) -> None:
        matches = sorted(
            (
                self._durable_index if m == self.member_id else self._match_index(m)
                for m in self.config.voters
            ),
            reverse=True,
        )
        index = matches[max(0, len(matches) // 2 - 1)]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit_up_to(index)
            self._broadcast(now_us)


class SkipsLogMatchingCheck(Raft):
    def _on_append_entries(self, now_us: int, sender: MemberId, request: AppendEntries) -> None:
        if request.prev_log_index <= self.log.last_index:
            term = self.log.term_at(request.prev_log_index)
            request = AppendEntries(
                request.term,
                request.prev_log_index,
                request.prev_log_term if term is None else term,
                request.entries,
                request.leader_commit,
                request.sent_us,
            )
        super()._on_append_entries(now_us, sender, request)


class TruncatesMatchingEntries(Raft):
    """Truncates the log at every request, also at a delayed one."""

    def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:  # type: ignore[override]
        if entries and self.commit_index < entries[0].index <= self.log.last_index:
            self.log.truncate_from(entries[0].index)
            self._write(truncate_index=entries[0].index)
        super()._store_entries(entries)


class CountsDeniedVotes(Raft):
    def _on_request_vote_reply(
        self, now_us: int, sender: MemberId, reply: RequestVoteReply
    ) -> None:
        super()._on_request_vote_reply(
            now_us, sender, RequestVoteReply(reply.term, reply.pre_vote, True)
        )


MUTANTS: list[type[Raft]] = [
    SendsBeforeWriteIsDurable,
    GrantsVotesToOutdatedLogs,
    VotesTwicePerTerm,
    CommitsEntriesOfEarlierTerms,
    CommitsWithoutMajority,
    SkipsLogMatchingCheck,
    TruncatesMatchingEntries,
    CountsDeniedVotes,
]

# Scenarios for mutants that random faults rarely expose.
SCENARIOS: dict[type[Raft], Callable[[RaftSimulation, int], None]] = {
    SendsBeforeWriteIsDurable: run_crashes,
    CommitsEntriesOfEarlierTerms: run_figure_8,
}

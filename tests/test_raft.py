"""Agreement: by hand, in storms drawn from seeds, and with each of its defences taken out in turn."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import ClassVar

import pytest

from kelpcourse.shared.errors import LogConflictError, RequestRejectedError
from kelpcourse.shared.raft.messages import (
    AppendEntries,
    LogEntry,
    MemberId,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
)
from kelpcourse.shared.raft.node import Raft
from kelpcourse.shared.raft.options import Role
from tests.raftworld import MS, TIMING, Broken, Node, World, storm

SEEDS = range(60)


def settled(world: World) -> None:
    """After the last fault everything serves as before, and nothing that was committed is lost."""
    world.heal()
    world.delay_us = (1 * MS, 5 * MS)
    world.until(lambda: world.leader is not None)
    for _ in range(20):  # one may be lost with the leader that took it
        world.propose(b"<last>")
        world.run(300 * MS)
        if world.everywhere(b"<last>"):
            break
    world.run(300 * MS)
    world.check_logs()
    states = {n.applied[-1] for n in world.nodes.values()}
    assert len(states) == 1, states
    assert b"<last>" in states.pop()[1]


@pytest.mark.parametrize("count", [3, 5])
def test_storms_of_faults_break_no_rule_and_pass(count: int) -> None:
    for seed in SEEDS:
        world = World(seed, count, compact_every=(0, 7)[seed % 2])
        for node in world.nodes.values():
            node.rate = world.random.choice([0.95, 1.0, 1.05])
        storm(world, 60)
        settled(world)


def crashes(world: World, steps: int) -> None:
    """What was acknowledged and is not durable is lost: a change is proposed, then most of them die at once."""
    draw, names = world.random, sorted(world.nodes)
    for step in range(steps):
        for node in world.nodes.values():
            if node.raft is None:
                world.start(node)
        world.run(draw.randint(150 * MS, 400 * MS))
        world.propose(b"<%d>" % step)
        world.run(draw.randint(5 * MS, 40 * MS))
        for name in draw.sample(names, len(names) // 2 + 1):
            world.crash(world.nodes[name])
        world.run(draw.randint(5 * MS, 30 * MS))
        world.check_logs()


def only(world: World, *names: MemberId) -> None:
    """These speak with each other, and nobody else with anybody."""
    world.cut = {
        (a, b) for a in world.nodes for b in world.nodes if not (a in names and b in names)
    }


def figure_8(world: World, _: int) -> None:
    """Of the paper: an entry of an older term stands at a majority and can still be replaced."""
    if len(world.nodes) != 5:
        return
    for node in world.nodes.values():
        assert node.raft is not None
        node.raft._options = replace(TIMING, max_entries_per_message=1)
    world.until(lambda: world.leader is not None)
    first = world.leader
    assert first is not None
    world.run(100 * MS)
    second, *rest = [n for n in world.nodes if n != first.name]
    only(world, first.name, second)
    world.propose(b"<e>")
    world.run(90 * MS)
    world.crash(first)
    world.crash(world.nodes[second])
    only(world, *rest)

    def led() -> Node | None:
        leads = [
            world.nodes[n]
            for n in rest
            if (r := world.nodes[n].raft) is not None and r.role is Role.LEADER
        ]
        return leads[0] if leads else None

    while led() is None:
        world.run(1 * MS)
    other = led()
    assert other is not None
    world.cut = {(a, b) for a in world.nodes for b in world.nodes}  # its first entry reaches nobody
    world.run(70 * MS)
    world.crash(other)
    third, fourth = (n for n in rest if n != other.name)
    only(world, first.name, second, third)
    for node in (first, world.nodes[second]):
        world.start(node)
        assert node.raft is not None
        node.raft._options = replace(TIMING, max_entries_per_message=1)
    for _ in range(2000):
        if any(data == b"<e>" for _, data in world.committed.values()):
            break
        world.run(1 * MS)
    for name in (first.name, second):
        world.crash(world.nodes[name])
    world.start(other)
    only(world, other.name, third, fourth)
    world.run(1500 * MS)
    world.heal()
    world.run(1500 * MS)


# Mutants: each takes out one defence, and the checkers have to find it


class VotesBeforeItIsWritten(Raft):
    def _send_after(self, write_number: int, recipient: MemberId, message: RaftMessage) -> None:
        self._send(recipient, message)


class VotesForAnyLog(Raft):
    def _on_request_vote(self, now_us: int, sender: MemberId, request: RequestVote) -> None:
        super()._on_request_vote(
            now_us,
            sender,
            RequestVote(request.term, 1 << 40, 1 << 40, request.pre_vote, request.is_transfer),
        )


class VotesTwice(Raft):
    def _on_request_vote(self, now_us: int, sender: MemberId, request: RequestVote) -> None:
        if not request.pre_vote and self.role is Role.FOLLOWER:
            self.voted_for = None
        super()._on_request_vote(now_us, sender, request)


class CommitsOlderTerms(Raft):
    def _advance_commit_index(self, now_us: int) -> None:
        matches = sorted(
            (
                self._durable_index if m == self.member_id else self._match_index(m)
                for m in self.config.voters
            ),
            reverse=True,
        )
        if matches[len(matches) // 2] > self.commit_index:
            self._advance_to_commit(matches[len(matches) // 2])
            self._broadcast(now_us)


class CountsHalf(Raft):
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
            self._advance_to_commit(index)
            self._broadcast(now_us)


class TakesWhatDoesNotFollow(Raft):
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


class ShortensItsLog(Raft):
    """Takes an old message for the whole truth."""

    def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:  # type: ignore[override]
        if entries and self.commit_index < entries[0].index <= self.log.last_index:
            self.log.truncate_from(entries[0].index)
            self._write(truncate_index=entries[0].index)
        super()._store_entries(entries)


class LeadsWithoutAMajority(Raft):
    def _on_request_vote_reply(
        self, now_us: int, sender: MemberId, reply: RequestVoteReply
    ) -> None:
        super()._on_request_vote_reply(
            now_us, sender, RequestVoteReply(reply.term, reply.pre_vote, True)
        )


MUTANTS: list[type[Raft]] = [
    VotesBeforeItIsWritten,
    VotesForAnyLog,
    VotesTwice,
    CommitsOlderTerms,
    CountsHalf,
    TakesWhatDoesNotFollow,
    ShortensItsLog,
    LeadsWithoutAMajority,
]


SCENES: dict[type[Raft], Callable[[World, int], None]] = {
    VotesBeforeItIsWritten: crashes,
    CommitsOlderTerms: figure_8,
}


class TestMutants:
    found: ClassVar[dict[str, int]] = {}

    @pytest.mark.parametrize("mutant", MUTANTS)
    def test_a_defence_taken_out_is_found(self, mutant: type[Raft]) -> None:
        for seed in range(400):
            world = World(seed, 3 + 2 * (seed % 2), mutant)
            world.sync_us = (0, 60 * MS)
            try:
                SCENES.get(mutant, storm)(world, 60)
            except (Broken, LogConflictError, AssertionError, TypeError):
                self.found[mutant.__name__] = seed
                return
        raise AssertionError(f"{mutant.__name__} is not found")

    @pytest.mark.parametrize("scene", [crashes, figure_8])
    def test_what_finds_the_mutants_finds_nothing_in_the_sound_one(
        self, scene: Callable[[World, int], None]
    ) -> None:
        for seed in range(16):
            world = World(seed, 3 + 2 * (seed % 2))
            world.sync_us = (0, 60 * MS)
            scene(world, 30)


# By hand


def test_one_leader_is_found_and_followed() -> None:
    world = World(1)
    world.until(lambda: world.leader is not None)
    assert world.propose(b"<a>")
    world.until(lambda: world.everywhere(b"<a>"))
    assert world.now < 1000 * MS


def test_who_is_cut_off_moves_nobody_s_term_and_unseats_nobody() -> None:
    """Pre-vote: a controller that was alone for long comes back as if nothing had been."""
    world = World(2)
    world.until(lambda: world.leader is not None)
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    alone = next(n for n in world.nodes if n != leader.name)
    term = leader.raft.term
    world.cut = {(a, b) for a in world.nodes for b in world.nodes if alone in (a, b)}
    world.run(3000 * MS)
    world.cut.clear()
    world.run(1000 * MS)
    assert world.leader is leader
    assert leader.raft.term == term


def test_a_leader_that_hears_and_is_not_heard_or_the_other_way_round_gives_way() -> None:
    for heard in (True, False):
        world = World(3)
        world.until(lambda: world.leader is not None)  # noqa: B023
        old = world.leader
        assert old is not None
        world.cut = {
            (old.name, n) if not heard else (n, old.name) for n in world.nodes if n != old.name
        }
        world.until(lambda: world.leader is not None and world.leader is not old)  # noqa: B023
        assert old.raft is not None
        world.run(300 * MS)
        assert old.raft.role is not Role.LEADER


def test_a_leader_s_word_is_good_while_it_says_so() -> None:
    """`led_until_us`: no other leader is elected before it, with clocks that run alike."""
    for seed in range(40):
        world = World(seed, 5)
        until: dict[str, int] = {}

        def note(world: World = world, until: dict[str, int] = until, seed: int = seed) -> None:
            for node in world.nodes.values():
                if node.raft is None or node.raft.role is not Role.LEADER:
                    continue
                if node.name not in until or world.leaders.get(node.raft.term) == node.name:
                    newest = max(world.leaders)
                    if node.raft.term == newest:
                        for other, ends in until.items():
                            assert other == node.name or ends <= world.now, (seed, other, node.name)
                        until.clear()
                    until[node.name] = node.raft.leadership_guaranteed_until_us()

        for _ in range(20):
            names = sorted(world.nodes)
            world.cut = {(a, b) for a in names for b in names if world.random.random() < 0.35}
            world.run(world.random.randint(50 * MS, 400 * MS), note)
            victim = world.nodes[world.random.choice(names)]
            if victim.raft is None:
                world.start(victim)
            else:
                world.crash(victim)


def test_a_lost_disk_makes_a_new_member_that_counts_for_nothing() -> None:
    world = World(5)
    world.until(lambda: world.leader is not None)
    fresh = world._node("n9", world.nodes["n0"].disk.stored.snapshot.config)
    world.nodes["n9"] = fresh
    world.start(fresh)
    world.run(2000 * MS)
    assert fresh.raft is not None
    assert fresh.raft.role is Role.FOLLOWER
    assert fresh.raft.term == 0  # nobody speaks with it, and it stands for nothing


def test_an_old_disk_is_noticed_by_its_leader_and_no_longer_counts() -> None:
    world = World(6)
    world.until(lambda: world.propose(b"<a>"))
    world.until(lambda: world.everywhere(b"<a>"))
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    other = next(n for n in world.nodes.values() if n is not leader)
    old = other.disk.stored
    world.until(lambda: world.propose(b"<b>") and world.everywhere(b"<b>"))
    world.crash(other)
    other.disk.stored = old
    world.start(other)
    world.run(300 * MS)
    assert leader.raft.progress[other.name].has_lost_entries
    assert world.propose(b"<c>")
    world.until(lambda: world.everywhere(b"<c>"))


def test_members_come_as_learners_and_go_one_at_a_time() -> None:
    world = World(7, 4, learners=1)
    world.until(lambda: world.propose(b"<a>"))
    world.until(lambda: world.everywhere(b"<a>"))
    with pytest.raises(RequestRejectedError, match="voters change one at a time"):
        world.change(["n0"])
    with pytest.raises(RequestRejectedError, match="is to be a learner first"):
        world.change(["n0", "n1", "n2", "n8"])
    world.change(["n0", "n1", "n2", "n3"])
    with pytest.raises(RequestRejectedError, match="another change is under way"):
        world.change(["n0", "n1", "n2", "n3"], ["n4"])
    world.run(200 * MS)
    leader = world.leader
    assert leader is not None
    world.change({"n0", "n1", "n2", "n3"} - {leader.name})  # the leader removes itself
    world.until(lambda: world.leader is not None and world.leader is not leader)
    world.until(lambda: world.propose(b"<b>"))
    world.run(300 * MS)
    assert all(b"<b>" in n.applied[-1][1] for n in world.nodes.values() if n is not leader)


def test_a_removed_member_that_does_not_know_disturbs_nobody() -> None:
    world = World(8)
    world.until(lambda: world.propose(b"<a>"))
    world.until(lambda: world.everywhere(b"<a>"))
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    gone = next(n for n in world.nodes if n != leader.name)
    world.cut = {(a, b) for a in world.nodes for b in world.nodes if gone in (a, b)}
    world.change(set(world.nodes) - {gone})
    world.run(500 * MS)
    world.cut.clear()
    term = leader.raft.term
    world.run(3000 * MS)
    assert (world.leader, leader.raft.term) == (leader, term)


def test_a_snapshot_comes_in_pieces_also_when_it_is_cut_and_changes_midway() -> None:
    world = World(9, compact_every=5)
    world.until(lambda: world.propose(b"<first>"))
    late = next(n for n in world.nodes.values() if n is not world.leader)
    world.crash(late)
    for k in range(23):
        world.until(lambda k=k: world.propose(b"<%d>" % k))  # type: ignore[misc]
    world.run(200 * MS)
    world.start(late)
    for k in range(10):
        world.run(15 * MS)
        world.loss = 0.5 if k % 2 else 0.0
        world.propose(b"<%d>" % (100 + k))
    world.loss = 0.0
    world.until(lambda: world.propose(b"<last>"))
    world.until(lambda: world.everywhere(b"<last>"))
    assert late.raft is not None
    assert late.raft.log.snapshot.index > 0


def test_leadership_is_handed_over() -> None:
    world = World(10)
    world.until(lambda: world.propose(b"<a>"))
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    to = next(n for n in world.nodes if n != leader.name)
    leader.raft.transfer_leadership(to)
    world.take(leader)
    with pytest.raises(RequestRejectedError):
        leader.raft.transfer_leadership("nobody")
    world.until(lambda: world.leader is not None and world.leader.name == to, 200 * MS)
    assert leader.raft.leadership_guaranteed_until_us() == 0


def test_what_waits_is_bounded_and_a_follower_takes_no_proposal() -> None:
    world = World(11)
    world.until(lambda: world.leader is not None)
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    world.cut = {(a, b) for a in world.nodes for b in world.nodes}
    leader.raft._options = replace(TIMING, max_uncommitted_entries=50)
    for k in range(50 - leader.raft.log.last_index + leader.raft.commit_index):
        leader.raft.propose(world.clock(leader), b"%d" % k)
    with pytest.raises(RequestRejectedError, match="entries wait already"):
        leader.raft.propose(world.clock(leader), b"one more")
    world.cut.clear()
    world.run(300 * MS)
    follower = next(n for n in world.nodes.values() if n is not world.leader)
    assert follower.raft is not None
    with pytest.raises(RequestRejectedError, match="not the leader; that is"):
        follower.raft.propose(0, b"x")

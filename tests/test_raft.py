"""Raft: in storms of faults drawn from seeds, and each of its rules by hand."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.raft.role import Role
from tests.raftworld import MS, TIMING, World, run_faults

SEEDS = range(60)


def assert_recovers(world: World) -> None:
    """After the last fault everything serves as before, and nothing that was committed is lost."""
    world.heal()
    world.delay_us = (1 * MS, 5 * MS)
    world.run_until(lambda: world.leader is not None)
    for _ in range(20):  # one may be lost with the leader that took it
        world.propose(b"<last>")
        world.run(300 * MS)
        if world.is_applied_everywhere(b"<last>"):
            break
    world.run(300 * MS)
    world.check_logs()
    states = {n.applied[-1] for n in world.nodes.values()}
    assert len(states) == 1, states
    assert b"<last>" in states.pop()[1]


@pytest.mark.parametrize("count", [3, 5])
def test_faults_break_no_rule_and_are_recovered_from(count: int) -> None:
    for seed in SEEDS:
        world = World(seed, count, compact_every=(0, 7)[seed % 2])
        for node in world.nodes.values():
            node.clock_rate = world.random.choice([0.95, 1.0, 1.05])
        run_faults(world, 60)
        assert_recovers(world)


def test_one_leader_is_found_and_followed() -> None:
    world = World(1)
    world.run_until(lambda: world.leader is not None)
    assert world.propose(b"<a>")
    world.run_until(lambda: world.is_applied_everywhere(b"<a>"))
    assert world.now_us < 1000 * MS


def test_a_partitioned_member_changes_no_term_and_unseats_no_leader() -> None:
    """Pre-vote: a controller that was alone for long comes back as if nothing had been."""
    world = World(2)
    world.run_until(lambda: world.leader is not None)
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    alone = next(n for n in world.nodes if n != leader.name)
    term = leader.raft.term
    world.blocked_links = {(a, b) for a in world.nodes for b in world.nodes if alone in (a, b)}
    world.run(3000 * MS)
    world.blocked_links.clear()
    world.run(1000 * MS)
    assert world.leader is leader
    assert leader.raft.term == term


def test_a_leader_cut_off_in_one_direction_steps_down() -> None:
    for heard in (True, False):
        world = World(3)
        world.run_until(lambda: world.leader is not None)  # noqa: B023
        old = world.leader
        assert old is not None
        world.blocked_links = {
            (old.name, n) if not heard else (n, old.name) for n in world.nodes if n != old.name
        }
        world.run_until(lambda: world.leader is not None and world.leader is not old)  # noqa: B023
        assert old.raft is not None
        world.run(300 * MS)
        assert old.raft.role is not Role.LEADER


def test_no_other_leader_is_elected_while_leadership_is_guaranteed() -> None:
    """`leadership_guaranteed_until_us`: no other leader is elected before it, with clocks that run alike."""
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
                            assert other == node.name or ends <= world.now_us, (
                                seed,
                                other,
                                node.name,
                            )
                        until.clear()
                    until[node.name] = node.raft.leadership_guaranteed_until_us()

        for _ in range(20):
            names = sorted(world.nodes)
            world.blocked_links = {
                (a, b) for a in names for b in names if world.random.random() < 0.35
            }
            world.run(world.random.randint(50 * MS, 400 * MS), note)
            victim = world.nodes[world.random.choice(names)]
            if victim.raft is None:
                world.start(victim)
            else:
                world.crash(victim)


def test_an_empty_disk_makes_a_new_member_without_a_vote() -> None:
    world = World(5)
    world.run_until(lambda: world.leader is not None)
    fresh = world._node("n9", world.nodes["n0"].disk.stored.snapshot.config)
    world.nodes["n9"] = fresh
    world.start(fresh)
    world.run(2000 * MS)
    assert fresh.raft is not None
    assert fresh.raft.role is Role.FOLLOWER
    assert fresh.raft.term == 0  # nobody speaks with it, and it stands for nothing


def test_an_outdated_disk_is_noticed_by_the_leader_and_no_longer_counts() -> None:
    world = World(6)
    world.run_until(lambda: world.propose(b"<a>"))
    world.run_until(lambda: world.is_applied_everywhere(b"<a>"))
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    other = next(n for n in world.nodes.values() if n is not leader)
    old = other.disk.stored
    world.run_until(lambda: world.propose(b"<b>") and world.is_applied_everywhere(b"<b>"))
    world.crash(other)
    other.disk.stored = old
    world.start(other)
    world.run(300 * MS)
    assert leader.raft.progress[other.name].has_lost_entries
    assert world.propose(b"<c>")
    world.run_until(lambda: world.is_applied_everywhere(b"<c>"))


def test_members_join_as_learners_and_voters_change_one_at_a_time() -> None:
    world = World(7, 4, learners=1)
    world.run_until(lambda: world.propose(b"<a>"))
    world.run_until(lambda: world.is_applied_everywhere(b"<a>"))
    with pytest.raises(
        RequestRejectedError, match="only one voter can be added or removed at a time"
    ):
        world.change(["n0"])
    with pytest.raises(RequestRejectedError, match="must be a learner first"):
        world.change(["n0", "n1", "n2", "n8"])
    world.change(["n0", "n1", "n2", "n3"])
    with pytest.raises(RequestRejectedError, match="another membership change is in progress"):
        world.change(["n0", "n1", "n2", "n3"], ["n4"])
    world.run(200 * MS)
    leader = world.leader
    assert leader is not None
    world.change({"n0", "n1", "n2", "n3"} - {leader.name})  # the leader removes itself
    world.run_until(lambda: world.leader is not None and world.leader is not leader)
    world.run_until(lambda: world.propose(b"<b>"))
    world.run(300 * MS)
    assert all(b"<b>" in n.applied[-1][1] for n in world.nodes.values() if n is not leader)


def test_a_removed_member_that_does_not_know_causes_no_election() -> None:
    world = World(8)
    world.run_until(lambda: world.propose(b"<a>"))
    world.run_until(lambda: world.is_applied_everywhere(b"<a>"))
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    gone = next(n for n in world.nodes if n != leader.name)
    world.blocked_links = {(a, b) for a in world.nodes for b in world.nodes if gone in (a, b)}
    world.change(set(world.nodes) - {gone})
    world.run(500 * MS)
    world.blocked_links.clear()
    term = leader.raft.term
    world.run(3000 * MS)
    assert (world.leader, leader.raft.term) == (leader, term)


def test_a_snapshot_arrives_in_chunks_despite_losses_and_newer_snapshots() -> None:
    world = World(9, compact_every=5)
    world.run_until(lambda: world.propose(b"<first>"))
    late = next(n for n in world.nodes.values() if n is not world.leader)
    world.crash(late)
    for k in range(23):
        world.run_until(lambda k=k: world.propose(b"<%d>" % k))  # type: ignore[misc]
    world.run(200 * MS)
    world.start(late)
    for k in range(10):
        world.run(15 * MS)
        world.loss_ratio = 0.5 if k % 2 else 0.0
        world.propose(b"<%d>" % (100 + k))
    world.loss_ratio = 0.0
    world.run_until(lambda: world.propose(b"<last>"))
    world.run_until(lambda: world.is_applied_everywhere(b"<last>"))
    assert late.raft is not None
    assert late.raft.log.snapshot.index > 0


def test_leadership_is_transferred() -> None:
    world = World(10)
    world.run_until(lambda: world.propose(b"<a>"))
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    to = next(n for n in world.nodes if n != leader.name)
    leader.raft.transfer_leadership(to)
    world.take(leader)
    with pytest.raises(RequestRejectedError):
        leader.raft.transfer_leadership("nobody")
    world.run_until(lambda: world.leader is not None and world.leader.name == to, 200 * MS)
    assert leader.raft.leadership_guaranteed_until_us() == 0


def test_uncommitted_entries_are_bounded_and_a_follower_rejects_proposals() -> None:
    world = World(11)
    world.run_until(lambda: world.leader is not None)
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    world.blocked_links = {(a, b) for a in world.nodes for b in world.nodes}
    leader.raft._options = replace(TIMING, max_uncommitted_entries=50)
    for k in range(50 - leader.raft.log.last_index + leader.raft.commit_index):
        leader.raft.propose(world.clock(leader), b"%d" % k)
    with pytest.raises(RequestRejectedError, match="entries wait already"):
        leader.raft.propose(world.clock(leader), b"one more")
    world.blocked_links.clear()
    world.run(300 * MS)
    follower = next(n for n in world.nodes.values() if n is not world.leader)
    assert follower.raft is not None
    with pytest.raises(RequestRejectedError, match="not the leader; the leader is"):
        follower.raft.propose(0, b"x")

"""Raft under random faults, and single rules of it in fixed scenarios."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.raft.role import Role
from tests.raftworld import MS, TIMING, World, run_faults

SEEDS = range(60)


def assert_recovers(world: World) -> None:
    """Checks that after the last fault entries are committed again, and all members reach the same state."""
    world.clear_faults()
    world.delay_us = (1 * MS, 5 * MS)
    world.run_until(lambda: world.leader is not None)
    for _ in range(20):  # A proposal may be lost if its leader is replaced.
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
def test_invariants_hold_under_faults_and_members_recover(count: int) -> None:
    for seed in SEEDS:
        world = World(seed, count, compact_every=(0, 7)[seed % 2])
        for node in world.nodes.values():
            node.clock_rate = world.random.choice([0.95, 1.0, 1.05])
        run_faults(world, 60)
        assert_recovers(world)


def test_leader_is_elected_and_replicates_entries() -> None:
    world = World(1)
    world.run_until(lambda: world.leader is not None)
    assert world.propose(b"<a>")
    world.run_until(lambda: world.is_applied_everywhere(b"<a>"))
    assert world.now_us < 1000 * MS


def test_partitioned_member_does_not_disrupt_leader() -> None:
    """With pre-vote, a member that was partitioned for a long time rejoins without a new term or election."""
    world = World(2)
    world.run_until(lambda: world.leader is not None)
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    isolated = next(n for n in world.nodes if n != leader.name)
    term = leader.raft.term
    world.blocked_links = {(a, b) for a in world.nodes for b in world.nodes if isolated in (a, b)}
    world.run(3000 * MS)
    world.blocked_links.clear()
    world.run(1000 * MS)
    assert world.leader is leader
    assert leader.raft.term == term


def test_leader_with_one_way_connectivity_steps_down() -> None:
    for can_send in (True, False):
        world = World(3)
        world.run_until(lambda: world.leader is not None)  # noqa: B023
        old = world.leader
        assert old is not None
        world.blocked_links = {
            (old.name, n) if not can_send else (n, old.name) for n in world.nodes if n != old.name
        }
        world.run_until(lambda: world.leader is not None and world.leader is not old)  # noqa: B023
        assert old.raft is not None
        world.run(300 * MS)
        assert old.raft.role is not Role.LEADER


def test_no_other_leader_is_elected_while_leadership_is_guaranteed() -> None:
    """No other leader is elected before `leadership_guaranteed_until_us`, if clocks run at the same rate."""
    for seed in range(40):
        world = World(seed, 5)
        guaranteed_until_us: dict[str, int] = {}

        def record_guarantees(
            world: World = world,
            guaranteed_until_us: dict[str, int] = guaranteed_until_us,
            seed: int = seed,
        ) -> None:
            for node in world.nodes.values():
                if node.raft is None or node.raft.role is not Role.LEADER:
                    continue
                if (
                    node.name not in guaranteed_until_us
                    or world.leaders.get(node.raft.term) == node.name
                ):
                    newest = max(world.leaders)
                    if node.raft.term == newest:
                        for other, until_us in guaranteed_until_us.items():
                            assert other == node.name or until_us <= world.now_us, (
                                seed,
                                other,
                                node.name,
                            )
                        guaranteed_until_us.clear()
                    guaranteed_until_us[node.name] = node.raft.leadership_guaranteed_until_us()

        for _ in range(20):
            names = sorted(world.nodes)
            world.blocked_links = {
                (a, b) for a in names for b in names if world.random.random() < 0.35
            }
            world.run(world.random.randint(50 * MS, 400 * MS), record_guarantees)
            victim = world.nodes[world.random.choice(names)]
            if victim.raft is None:
                world.start(victim)
            else:
                world.crash(victim)


def test_member_with_empty_disk_starts_no_election() -> None:
    world = World(5)
    world.run_until(lambda: world.leader is not None)
    new_node = world._node("n9", world.nodes["n0"].disk.stored.snapshot.config)
    world.nodes["n9"] = new_node
    world.start(new_node)
    world.run(2000 * MS)
    assert new_node.raft is not None
    assert new_node.raft.role is Role.FOLLOWER
    # The node is not in the configuration, so it receives no message and is no candidate.
    assert new_node.raft.term == 0


def test_leader_detects_member_that_lost_entries() -> None:
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
        world.change_members(["n0"])
    with pytest.raises(RequestRejectedError, match="must be a learner first"):
        world.change_members(["n0", "n1", "n2", "n8"])
    world.change_members(["n0", "n1", "n2", "n3"])
    with pytest.raises(RequestRejectedError, match="another membership change is in progress"):
        world.change_members(["n0", "n1", "n2", "n3"], ["n4"])
    world.run(200 * MS)
    leader = world.leader
    assert leader is not None
    world.change_members({"n0", "n1", "n2", "n3"} - {leader.name})  # The leader removes itself.
    world.run_until(lambda: world.leader is not None and world.leader is not leader)
    world.run_until(lambda: world.propose(b"<b>"))
    world.run(300 * MS)
    assert all(b"<b>" in n.applied[-1][1] for n in world.nodes.values() if n is not leader)


def test_removed_member_unaware_of_removal_causes_no_election() -> None:
    world = World(8)
    world.run_until(lambda: world.propose(b"<a>"))
    world.run_until(lambda: world.is_applied_everywhere(b"<a>"))
    leader = world.leader
    assert leader is not None
    assert leader.raft is not None
    removed = next(n for n in world.nodes if n != leader.name)
    world.blocked_links = {(a, b) for a in world.nodes for b in world.nodes if removed in (a, b)}
    world.change_members(set(world.nodes) - {removed})
    world.run(500 * MS)
    world.blocked_links.clear()
    term = leader.raft.term
    world.run(3000 * MS)
    assert (world.leader, leader.raft.term) == (leader, term)


def test_snapshot_is_installed_in_chunks_despite_losses_and_newer_snapshots() -> None:
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
    world.process_output(leader)
    with pytest.raises(RequestRejectedError):
        leader.raft.transfer_leadership("unknown")
    world.run_until(lambda: world.leader is not None and world.leader.name == to, 200 * MS)
    assert leader.raft.leadership_guaranteed_until_us() == 0


def test_uncommitted_entries_are_bounded_and_followers_reject_proposals() -> None:
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

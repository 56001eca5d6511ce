"""Raft under random faults, and its individual rules in fixed scenarios."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.raft.role import Role
from tests.raft_simulation import MS, RAFT_OPTIONS, RaftSimulation, run_faults

SEEDS = range(60)


def assert_recovers(simulation: RaftSimulation) -> None:
    """Checks that after the last fault entries are committed again, and all members reach the same state."""
    simulation.clear_faults()
    simulation.delay_us = (1 * MS, 5 * MS)
    simulation.run_until(lambda: simulation.leader is not None)
    for _ in range(20):  # A proposal may be lost if its leader is replaced.
        simulation.propose(b"<last>")
        simulation.run(300 * MS)
        if simulation.is_applied_everywhere(b"<last>"):
            break
    simulation.run(300 * MS)
    simulation.check_logs()
    states = {n.applied[-1] for n in simulation.nodes.values()}
    assert len(states) == 1, states
    assert b"<last>" in states.pop()[1]


@pytest.mark.parametrize("count", [3, 5])
def test_invariants_hold_under_faults_and_members_recover(count: int) -> None:
    for seed in SEEDS:
        simulation = RaftSimulation(seed, count, compact_every=(0, 7)[seed % 2])
        for node in simulation.nodes.values():
            node.clock_rate = simulation.random.choice([0.95, 1.0, 1.05])
        run_faults(simulation, 60)
        assert_recovers(simulation)


def test_leader_is_elected_and_replicates_entries() -> None:
    simulation = RaftSimulation(1)
    simulation.run_until(lambda: simulation.leader is not None)
    assert simulation.propose(b"<a>")
    simulation.run_until(lambda: simulation.is_applied_everywhere(b"<a>"))
    assert simulation.now_us < 1000 * MS


def test_partitioned_member_does_not_disrupt_leader() -> None:
    """With pre-vote, a member that was partitioned for a long time rejoins without a new term or election."""
    simulation = RaftSimulation(2)
    simulation.run_until(lambda: simulation.leader is not None)
    leader = simulation.leader
    assert leader is not None
    assert leader.raft is not None
    isolated = next(n for n in simulation.nodes if n != leader.name)
    term = leader.raft.term
    simulation.blocked_links = {
        (a, b) for a in simulation.nodes for b in simulation.nodes if isolated in (a, b)
    }
    simulation.run(3000 * MS)
    simulation.blocked_links.clear()
    simulation.run(1000 * MS)
    assert simulation.leader is leader
    assert leader.raft.term == term


def test_leader_with_one_way_connectivity_steps_down() -> None:
    for can_send in (True, False):
        simulation = RaftSimulation(3)
        simulation.run_until(lambda: simulation.leader is not None)  # noqa: B023
        old_leader = simulation.leader
        assert old_leader is not None
        simulation.blocked_links = {
            (old_leader.name, n) if not can_send else (n, old_leader.name)
            for n in simulation.nodes
            if n != old_leader.name
        }
        simulation.run_until(
            lambda: simulation.leader is not None and simulation.leader is not old_leader  # noqa: B023
        )
        assert old_leader.raft is not None
        simulation.run(300 * MS)
        assert old_leader.raft.role is not Role.LEADER


def test_no_other_leader_is_elected_while_leadership_is_guaranteed() -> None:
    """No other leader is elected before `leadership_guaranteed_until_us`, if clocks run at the same rate."""
    for seed in range(40):
        simulation = RaftSimulation(seed, 5)
        guaranteed_until_us: dict[str, int] = {}

        def record_guarantees(
            simulation: RaftSimulation = simulation,
            guaranteed_until_us: dict[str, int] = guaranteed_until_us,
            seed: int = seed,
        ) -> None:
            for node in simulation.nodes.values():
                if node.raft is None or node.raft.role is not Role.LEADER:
                    continue
                if (
                    node.name not in guaranteed_until_us
                    or simulation.leaders.get(node.raft.term) == node.name
                ):
                    newest = max(simulation.leaders)
                    if node.raft.term == newest:
                        for other, until_us in guaranteed_until_us.items():
                            assert other == node.name or until_us <= simulation.now_us, (
                                seed,
                                other,
                                node.name,
                            )
                        guaranteed_until_us.clear()
                    guaranteed_until_us[node.name] = node.raft.leadership_guaranteed_until_us()

        for _ in range(20):
            names = sorted(simulation.nodes)
            simulation.blocked_links = {
                (a, b) for a in names for b in names if simulation.random.random() < 0.35
            }
            simulation.run(simulation.random.randint(50 * MS, 400 * MS), record_guarantees)
            toggled_node = simulation.nodes[simulation.random.choice(names)]
            if toggled_node.raft is None:
                simulation.start(toggled_node)
            else:
                simulation.crash(toggled_node)


def test_member_with_empty_disk_starts_no_election() -> None:
    simulation = RaftSimulation(5)
    simulation.run_until(lambda: simulation.leader is not None)
    new_node = simulation._node("n9", simulation.nodes["n0"].disk.stored.snapshot.config)
    simulation.nodes["n9"] = new_node
    simulation.start(new_node)
    simulation.run(2000 * MS)
    assert new_node.raft is not None
    assert new_node.raft.role is Role.FOLLOWER
    # The node is not in the configuration, so it receives no message and is no candidate.
    assert new_node.raft.term == 0


def test_leader_detects_member_that_lost_entries() -> None:
    simulation = RaftSimulation(6)
    simulation.run_until(lambda: simulation.propose(b"<a>"))
    simulation.run_until(lambda: simulation.is_applied_everywhere(b"<a>"))
    leader = simulation.leader
    assert leader is not None
    assert leader.raft is not None
    other = next(n for n in simulation.nodes.values() if n is not leader)
    old_state = other.disk.stored
    simulation.run_until(
        lambda: simulation.propose(b"<b>") and simulation.is_applied_everywhere(b"<b>")
    )
    simulation.crash(other)
    other.disk.stored = old_state
    simulation.start(other)
    simulation.run(300 * MS)
    assert leader.raft.progress[other.name].has_lost_entries
    assert simulation.propose(b"<c>")
    simulation.run_until(lambda: simulation.is_applied_everywhere(b"<c>"))


def test_members_join_as_learners_and_voters_change_one_at_a_time() -> None:
    simulation = RaftSimulation(7, 4, learners=1)
    simulation.run_until(lambda: simulation.propose(b"<a>"))
    simulation.run_until(lambda: simulation.is_applied_everywhere(b"<a>"))
    with pytest.raises(
        RequestRejectedError, match="only one voter can be added or removed at a time"
    ):
        simulation.change_members(["n0"])
    with pytest.raises(RequestRejectedError, match="must be a learner first"):
        simulation.change_members(["n0", "n1", "n2", "n8"])
    simulation.change_members(["n0", "n1", "n2", "n3"])
    with pytest.raises(RequestRejectedError, match="another membership change is in progress"):
        simulation.change_members(["n0", "n1", "n2", "n3"], ["n4"])
    simulation.run(200 * MS)
    leader = simulation.leader
    assert leader is not None
    simulation.change_members(
        {"n0", "n1", "n2", "n3"} - {leader.name}
    )  # The leader removes itself.
    simulation.run_until(lambda: simulation.leader is not None and simulation.leader is not leader)
    simulation.run_until(lambda: simulation.propose(b"<b>"))
    simulation.run(300 * MS)
    assert all(b"<b>" in n.applied[-1][1] for n in simulation.nodes.values() if n is not leader)


def test_removed_member_unaware_of_removal_causes_no_election() -> None:
    simulation = RaftSimulation(8)
    simulation.run_until(lambda: simulation.propose(b"<a>"))
    simulation.run_until(lambda: simulation.is_applied_everywhere(b"<a>"))
    leader = simulation.leader
    assert leader is not None
    assert leader.raft is not None
    removed = next(n for n in simulation.nodes if n != leader.name)
    simulation.blocked_links = {
        (a, b) for a in simulation.nodes for b in simulation.nodes if removed in (a, b)
    }
    simulation.change_members(set(simulation.nodes) - {removed})
    simulation.run(500 * MS)
    simulation.blocked_links.clear()
    term = leader.raft.term
    simulation.run(3000 * MS)
    assert (simulation.leader, leader.raft.term) == (leader, term)


def test_snapshot_is_installed_in_chunks_despite_losses_and_newer_snapshots() -> None:
    simulation = RaftSimulation(9, compact_every=5)
    simulation.run_until(lambda: simulation.propose(b"<first>"))
    lagging_node = next(n for n in simulation.nodes.values() if n is not simulation.leader)
    simulation.crash(lagging_node)
    for k in range(23):
        simulation.run_until(lambda k=k: simulation.propose(b"<%d>" % k))  # type: ignore[misc]
    simulation.run(200 * MS)
    simulation.start(lagging_node)
    for k in range(10):
        simulation.run(15 * MS)
        simulation.loss_ratio = 0.5 if k % 2 else 0.0
        simulation.propose(b"<%d>" % (100 + k))
    simulation.loss_ratio = 0.0
    simulation.run_until(lambda: simulation.propose(b"<last>"))
    simulation.run_until(lambda: simulation.is_applied_everywhere(b"<last>"))
    assert lagging_node.raft is not None
    assert lagging_node.raft.log.snapshot.index > 0


def test_leadership_is_transferred() -> None:
    simulation = RaftSimulation(10)
    simulation.run_until(lambda: simulation.propose(b"<a>"))
    leader = simulation.leader
    assert leader is not None
    assert leader.raft is not None
    to = next(n for n in simulation.nodes if n != leader.name)
    leader.raft.transfer_leadership(to)
    simulation.process_output(leader)
    with pytest.raises(RequestRejectedError):
        leader.raft.transfer_leadership("unknown")
    simulation.run_until(
        lambda: simulation.leader is not None and simulation.leader.name == to, 200 * MS
    )
    assert leader.raft.leadership_guaranteed_until_us() == 0


def test_uncommitted_entries_are_bounded_and_followers_reject_proposals() -> None:
    simulation = RaftSimulation(11)
    simulation.run_until(lambda: simulation.leader is not None)
    leader = simulation.leader
    assert leader is not None
    assert leader.raft is not None
    simulation.blocked_links = {(a, b) for a in simulation.nodes for b in simulation.nodes}
    leader.raft._options = replace(RAFT_OPTIONS, max_uncommitted_entries=50)
    for k in range(50 - leader.raft.log.last_index + leader.raft.commit_index):
        leader.raft.propose(simulation.clock(leader), b"%d" % k)
    with pytest.raises(RequestRejectedError, match="entries are already uncommitted"):
        leader.raft.propose(simulation.clock(leader), b"one more")
    simulation.blocked_links.clear()
    simulation.run(300 * MS)
    follower = next(n for n in simulation.nodes.values() if n is not simulation.leader)
    assert follower.raft is not None
    with pytest.raises(RequestRejectedError, match="not the leader; the leader is"):
        follower.raft.propose(0, b"x")

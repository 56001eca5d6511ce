"""Leases over Raft: one holder at a time on clocks that differ, whatever the network does."""

from __future__ import annotations

import pytest

from kelpcourse.shared.commands import (
    CompleteDrain,
    SaveHandover,
    SetMemberDrained,
    StartDrain,
)
from kelpcourse.shared.controller import Controller
from kelpcourse.shared.controller_events import ControllerOutput, LeaseAcquired
from kelpcourse.shared.raft.messages import Configuration
from tests.leaseworld import GROUPS, LEASE_TIMING, Fleet, run_lease_faults
from tests.raftworld import MS, Node


@pytest.mark.parametrize("count", [3, 5])
def test_one_holder_at_a_time_under_faults_and_all_groups_held_after_them(count: int) -> None:
    for seed in range(12):
        fleet = Fleet(seed, count)
        run_lease_faults(fleet, 40)
        fleet.heal()
        fleet.delay_us = (1 * MS, 5 * MS)
        fleet.run_until(lambda fleet=fleet: fleet.held_group_count == GROUPS, 5000 * MS)  # type: ignore[misc]


def test_a_dead_holder_is_replaced_within_a_lease_and_an_election() -> None:
    fleet = Fleet(3, 3)
    fleet.run_until(lambda: fleet.held_group_count == GROUPS)
    victim = fleet.leader  # the worst case: holder and leader in one
    assert victim is not None
    fleet.crash(victim)
    began = fleet.now_us
    fleet.run_until(lambda: fleet.held_group_count == GROUPS)
    assert (
        fleet.now_us - began
        < 200 * MS
        + LEASE_TIMING.leader_duration_us * 1.1
        + 2 * LEASE_TIMING.renewal_interval_us
        + 200 * MS
    )


def test_commands_are_resent_until_the_replicated_state_holds_them() -> None:
    for seed in range(6):
        fleet = Fleet(seed, 3, max_log_entries=10)
        fleet.run_until(lambda fleet=fleet: fleet.held_group_count == GROUPS)  # type: ignore[misc]
        for k in range(12):
            name = fleet.random.choice(sorted(fleet.nodes))
            fleet.loss_ratio = 0.3
            node = fleet.nodes[name]
            fleet.controllers[name].submit(fleet.clock(node), StartDrain(f"h-{k}", 1000 + k))
            fleet.controllers[name].submit(fleet.clock(node), CompleteDrain(f"h-{k}", 0, 1000 + k))
            fleet.take(node)
            fleet.run(30 * MS)
        fleet.loss_ratio = 0.0
        fleet.run_until(
            lambda fleet=fleet: all(  # type: ignore[misc]
                len(c.state.drains) == 12 for c in fleet.controllers.values()
            ),
            5000 * MS,
        )
        assert any(c.raft.log.snapshot.index for c in fleet.controllers.values())


def test_a_member_stays_drained_under_later_leaders_until_it_is_removed() -> None:
    """It was known to the leader alone that had been told.

    The next one gave the drained member groups again, and so did the one after, or not, by who
    led when.
    """
    removed = 0
    for seed in range(4):
        fleet = Fleet(seed, 3)
        fleet.run_until(lambda fleet=fleet: fleet.held_group_count == GROUPS)  # type: ignore[misc]
        first = fleet.leader
        assert first is not None
        drained = next(n for n in fleet.nodes.values() if n is not first)
        fleet.controllers[first.name].submit(
            fleet.clock(first), SetMemberDrained(drained.name, True)
        )
        fleet.take(first)

        def empty(fleet: Fleet = fleet, drained: Node = drained) -> bool:
            return fleet.held_group_count == GROUPS and not fleet.controllers[
                drained.name
            ].lease_holder.held_epochs(fleet.clock(drained))

        fleet.run_until(empty, 5000 * MS)
        fleet.crash(first)
        fleet.run_until(lambda fleet=fleet, first=first: fleet.leader not in (None, first))  # type: ignore[misc]
        fleet.run(1000 * MS)
        assert empty()
        fleet.start(first)
        fleet.run(1000 * MS)
        leader = fleet.leader
        if leader is None or leader is drained:
            continue  # who leads can't be removed here
        made = fleet.controllers[leader.name]
        made.change_membership(
            fleet.clock(leader), Configuration(frozenset(fleet.nodes) - {drained.name})
        )
        fleet.take(leader)
        fleet.run_until(lambda made=made: not made.state.drained_members, 5000 * MS)  # type: ignore[misc]
        removed += 1
    assert removed


def test_the_next_holder_gets_pending_drains_and_the_handover_state() -> None:
    fleet = Fleet(2, 3)
    fleet.run_until(lambda: fleet.held_group_count == GROUPS)
    victim = next(n for n in fleet.nodes.values() if n is not fleet.leader)
    made = fleet.controllers[victim.name]
    held = made.lease_holder.held_epochs(fleet.clock(victim))
    group, epoch = next(iter(held.items()))
    made.submit(fleet.clock(victim), StartDrain("h", 77))
    made.submit(fleet.clock(victim), SaveHandover(group, epoch, (1.0, 0.5), 300.0))
    fleet.take(victim)
    fleet.run_until(
        lambda: fleet.controllers[victim.name].state.leases[group].capacity_per_s == 300.0
    )
    fleet.crash(victim)
    acquired: list[LeaseAcquired] = []
    taken = Controller.take_output

    def noted(made: Controller) -> ControllerOutput:
        out = taken(made)
        acquired.extend(e for e in out.events if isinstance(e, LeaseAcquired) and e.group == group)
        return out

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Controller, "take_output", noted)
        fleet.run_until(lambda: acquired)
    assert acquired[0] == LeaseAcquired(group, epoch + 1, {"h": 77}, (1.0, 0.5), 300.0)

"""Leases over Raft under faults: a group has at most one holder at a time, also with different clocks."""

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
from tests.lease_simulation import GROUP_COUNT, LEASE_TIMING, LeaseSimulation, run_lease_faults
from tests.raft_simulation import MS, Node


@pytest.mark.parametrize("count", [3, 5])
def test_groups_have_one_holder_at_a_time_under_faults_and_are_held_afterwards(count: int) -> None:
    for seed in range(12):
        simulation = LeaseSimulation(seed, count)
        run_lease_faults(simulation, 40)
        simulation.clear_faults()
        simulation.delay_us = (1 * MS, 5 * MS)
        simulation.run_until(
            lambda simulation=simulation: simulation.held_group_count == GROUP_COUNT,  # type: ignore[misc]
            5000 * MS,
        )


def test_crashed_holder_is_replaced_within_a_lease_and_an_election() -> None:
    simulation = LeaseSimulation(3, 3)
    simulation.run_until(lambda: simulation.held_group_count == GROUP_COUNT)
    crashed_node = (
        simulation.leader
    )  # The worst case: the crashed member is both holder and leader.
    assert crashed_node is not None
    simulation.crash(crashed_node)
    started_us = simulation.now_us
    simulation.run_until(lambda: simulation.held_group_count == GROUP_COUNT)
    assert (
        simulation.now_us - started_us
        < 200 * MS
        + LEASE_TIMING.leader_duration_us * 1.1
        + 2 * LEASE_TIMING.renewal_interval_us
        + 200 * MS
    )


def test_commands_are_resent_until_the_replicated_state_holds_them() -> None:
    for seed in range(6):
        simulation = LeaseSimulation(seed, 3, max_log_entries=10)
        simulation.run_until(
            lambda simulation=simulation: simulation.held_group_count == GROUP_COUNT  # type: ignore[misc]
        )
        for k in range(12):
            name = simulation.random.choice(sorted(simulation.nodes))
            simulation.loss_ratio = 0.3
            node = simulation.nodes[name]
            simulation.controllers[name].submit(
                simulation.clock(node), StartDrain(f"h-{k}", 1000 + k)
            )
            simulation.controllers[name].submit(
                simulation.clock(node), CompleteDrain(f"h-{k}", 0, 1000 + k)
            )
            simulation.process_output(node)
            simulation.run(30 * MS)
        simulation.loss_ratio = 0.0
        simulation.run_until(
            lambda simulation=simulation: all(  # type: ignore[misc]
                len(c.state.drains) == 12 for c in simulation.controllers.values()
            ),
            5000 * MS,
        )
        assert any(c.raft.log.snapshot.index for c in simulation.controllers.values())


def test_member_stays_drained_under_later_leaders_until_removed() -> None:
    """A drain of a member is in the replicated state, not only in the memory of the leader.

    When only the leader that received the command recorded it, the next leader could grant groups to the drained
    member again.
    """
    removed = 0
    for seed in range(4):
        simulation = LeaseSimulation(seed, 3)
        simulation.run_until(
            lambda simulation=simulation: simulation.held_group_count == GROUP_COUNT  # type: ignore[misc]
        )
        first = simulation.leader
        assert first is not None
        drained = next(n for n in simulation.nodes.values() if n is not first)
        simulation.controllers[first.name].submit(
            simulation.clock(first), SetMemberDrained(drained.name, True)
        )
        simulation.process_output(first)

        def is_drained(simulation: LeaseSimulation = simulation, drained: Node = drained) -> bool:
            return simulation.held_group_count == GROUP_COUNT and not simulation.controllers[
                drained.name
            ].lease_holder.held_epochs(simulation.clock(drained))

        simulation.run_until(is_drained, 5000 * MS)
        simulation.crash(first)
        simulation.run_until(
            lambda simulation=simulation, first=first: simulation.leader not in (None, first)  # type: ignore[misc]
        )
        simulation.run(1000 * MS)
        assert is_drained()
        simulation.start(first)
        simulation.run(1000 * MS)
        leader = simulation.leader
        if leader is None or leader is drained:
            continue  # The test needs a leader other than the removed member.
        controller = simulation.controllers[leader.name]
        controller.change_membership(
            simulation.clock(leader), Configuration(frozenset(simulation.nodes) - {drained.name})
        )
        simulation.process_output(leader)
        simulation.run_until(
            lambda controller=controller: not controller.state.drained_members,  # type: ignore[misc]
            5000 * MS,
        )
        removed += 1
    assert removed


def test_next_holder_receives_pending_drains_and_handover_state() -> None:
    simulation = LeaseSimulation(2, 3)
    simulation.run_until(lambda: simulation.held_group_count == GROUP_COUNT)
    crashed_node = next(n for n in simulation.nodes.values() if n is not simulation.leader)
    controller = simulation.controllers[crashed_node.name]
    held = controller.lease_holder.held_epochs(simulation.clock(crashed_node))
    group, epoch = next(iter(held.items()))
    controller.submit(simulation.clock(crashed_node), StartDrain("h", 77))
    controller.submit(simulation.clock(crashed_node), SaveHandover(group, epoch, (1.0, 0.5), 300.0))
    simulation.process_output(crashed_node)
    simulation.run_until(
        lambda: (
            simulation.controllers[crashed_node.name].state.leases[group].capacity_per_s == 300.0
        )
    )
    simulation.crash(crashed_node)
    acquired: list[LeaseAcquired] = []
    take_output = Controller.take_output

    def take_and_record(controller: Controller) -> ControllerOutput:
        output = take_output(controller)
        acquired.extend(
            e for e in output.events if isinstance(e, LeaseAcquired) and e.group == group
        )
        return output

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Controller, "take_output", take_and_record)
        simulation.run_until(lambda: acquired)
    assert acquired[0] == LeaseAcquired(group, epoch + 1, {"h": 77}, (1.0, 0.5), 300.0)

"""Tests of the lease holder, the lease manager and the epoch fence."""

from __future__ import annotations

from kelpcourse.shared.commands import (
    GrantLease,
    SetGroupCount,
)
from kelpcourse.shared.fencing import EpochFence
from kelpcourse.shared.lease_holder import LeaseHolder
from kelpcourse.shared.lease_manager import LeaseManager
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest
from kelpcourse.shared.replicated_state import ReplicatedState
from tests.lease_simulation import GROUP_COUNT, LEASE_TIMING
from tests.raft_simulation import MS


def state_with_grant(holder: str = "a") -> ReplicatedState:
    state = ReplicatedState()
    state.apply(SetGroupCount(1))
    state.apply(GrantLease(0, holder, 1))
    return state


def test_lease_starts_with_its_renewal_and_expires() -> None:
    holder = LeaseHolder("a", LEASE_TIMING)
    holder.update_grants(state_with_grant())
    assert holder.epoch(0, 0) is None
    request = holder.next_request(1000)
    assert request == LeaseRequest(1000, {0: 1})
    assert holder.next_request(1001) is None
    assert holder.on_reply(LeaseReply(1000, {0: 1})) == [0]
    assert holder.epoch(0, 1000 + LEASE_TIMING.holder_duration_us - 1) == 1
    # The lease expires without any call in between, as in a suspended process.
    assert holder.epoch(0, 1000 + LEASE_TIMING.holder_duration_us) is None
    assert holder.take_expired(1000 + LEASE_TIMING.holder_duration_us) == [0]
    assert holder.on_reply(LeaseReply(500, {0: 2})) == []  # The epoch is unknown to the holder.


def test_lease_counts_from_request_even_if_reply_is_late() -> None:
    holder, manager = (
        LeaseHolder("a", LEASE_TIMING),
        LeaseManager(LEASE_TIMING, state_with_grant(), 0),
    )
    holder.update_grants(state_with_grant())
    request = holder.next_request(0)
    assert request is not None
    reply = manager.on_request("a", request, 250 * MS, 1 << 60)
    assert reply is not None
    holder.on_reply(reply)
    assert holder.remaining_us(0, 250 * MS) == LEASE_TIMING.holder_duration_us - 250 * MS
    # Leadership is no longer guaranteed.
    assert manager.on_request("a", request, 300 * MS, 300 * MS) is None


def test_new_leader_waits_for_leases_of_previous_leader() -> None:
    state = state_with_grant("dead")
    manager = LeaseManager(LEASE_TIMING, state, 1000 * MS)
    proposed = []
    for now_us in range(1000 * MS, 2000 * MS, 10 * MS):
        manager.on_request("b", LeaseRequest(0, {}), now_us, 1 << 60)
        proposed += [(now_us, command) for command in manager.next_commands(now_us, ["b", "dead"])]
    # Proposed only once while it is uncommitted.
    assert [command for _, command in proposed] == [GrantLease(0, "b", 2)]
    assert proposed[0][0] == 1000 * MS + LEASE_TIMING.leader_duration_us
    manager.on_dropped(proposed[0][1])
    assert manager.next_commands(2000 * MS, ["b", "dead"])  # Proposed again after it is lost.


def test_concurrent_migrations_are_limited() -> None:
    state = ReplicatedState()
    state.apply(SetGroupCount(GROUP_COUNT))
    for group in range(GROUP_COUNT):
        state.apply(GrantLease(group, "a", 1))
    manager = LeaseManager(LEASE_TIMING, state, 0)
    held_epochs = dict.fromkeys(range(GROUP_COUNT), 1)
    now_us = 150 * MS
    manager.on_request("a", LeaseRequest(now_us, held_epochs), now_us, 1 << 60)
    manager.on_request("b", LeaseRequest(now_us, {}), now_us, 1 << 60)
    assert manager.next_commands(now_us, ["a", "b"]) == []
    reply = manager.on_request("a", LeaseRequest(now_us, held_epochs), now_us, 1 << 60)
    assert reply is not None
    assert len(reply.epochs) == GROUP_COUNT - LEASE_TIMING.max_migrations
    now_us += LEASE_TIMING.leader_duration_us
    manager.on_request("b", LeaseRequest(now_us, {}), now_us, 1 << 60)
    manager.on_request("a", LeaseRequest(now_us, reply.epochs), now_us, 1 << 60)
    assert len(manager.next_commands(now_us, ["a", "b"])) == LEASE_TIMING.max_migrations


def test_fence_rejects_lower_epochs() -> None:
    fence = EpochFence()
    assert [fence.admits(0, e) for e in (3, 2, 3, 4, 3)] == [True, False, True, True, False]
    assert fence.admits(1, 1)

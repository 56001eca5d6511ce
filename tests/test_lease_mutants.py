"""Each safety rule of leases is necessary: without one of them, the simulation detects a violated property."""

from __future__ import annotations

from typing import Any

import pytest

from kelpcourse.shared.lease_holder import LeaseHolder
from kelpcourse.shared.lease_manager import LeaseManager
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest, LeaseTiming
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.shared.replicated_state import ReplicatedState
from tests.lease_simulation import (
    LEASE_TIMING,
    LONG_LEASE_TIMING,
    SCENARIOS,
    LeaseSimulation,
    run_lease_faults,
)
from tests.raft_simulation import MS, InvariantError


class CountsLeaseFromReply(LeaseHolder):
    def on_reply(self, reply: LeaseReply) -> list[int]:
        return super().on_reply(LeaseReply(reply.request_sent_us + 140 * MS, reply.epochs))


class UsesGrantBeforeRenewal(LeaseHolder):
    def update_grants(self, state: ReplicatedState) -> list[int]:
        lost = super().update_grants(state)
        for group in self._epochs:
            self._expires_us.setdefault(group, 1 << 60)
        return lost


class IgnoresExpiry(LeaseHolder):
    def epoch(self, group: int, now_us: int) -> int | None:
        return super().epoch(group, min(now_us, self._expires_us.get(group, 1) - 1))


class SkipsWaitAsNewLeader(LeaseManager):
    def _is_grantable(self, group: int, now_us: int) -> bool:
        return now_us >= self._grantable_from_us.get(group, 0)


class RenewsWithoutGuaranteedLeadership(LeaseManager):
    def on_request(
        self, member: MemberId, request: LeaseRequest, now_us: int, leadership_until_us: int
    ) -> LeaseReply | None:
        return super().on_request(member, request, now_us, 1 << 60)


class RenewsMigratingGroups(LeaseManager):
    def on_request(
        self, member: MemberId, request: LeaseRequest, now_us: int, leadership_until_us: int
    ) -> LeaseReply | None:
        reply = super().on_request(member, request, now_us, leadership_until_us)
        return LeaseReply(request.sent_us, request.epochs) if reply is not None else None


@pytest.mark.parametrize(
    "mutant",
    [
        CountsLeaseFromReply,
        UsesGrantBeforeRenewal,
        IgnoresExpiry,
        SkipsWaitAsNewLeader,
        RenewsWithoutGuaranteedLeadership,
        RenewsMigratingGroups,
    ],
)
def test_mutant_is_detected(mutant: type) -> None:
    for seed in range(150):
        factories: dict[str, Any] = {
            "holder" if issubclass(mutant, LeaseHolder) else "manager": mutant
        }
        simulation = LeaseSimulation(
            seed, 5, **factories, timing=LONG_LEASE_TIMING if seed % 3 == 1 else LEASE_TIMING
        )
        try:
            SCENARIOS[seed % 3](simulation)
        except InvariantError:
            return
    raise AssertionError(f"{mutant.__name__} is not detected")


@pytest.mark.parametrize("scenario", [1, 2])
def test_scenarios_pass_without_mutation(scenario: int) -> None:
    for seed in range(8):
        SCENARIOS[scenario](
            LeaseSimulation(seed, 5, timing=LONG_LEASE_TIMING if scenario == 1 else LEASE_TIMING)
        )


def test_clock_drift_beyond_the_maximum_is_detected() -> None:
    """Shows that the check can fail: clocks that break the drift assumption violate a property."""
    for seed in range(80):
        simulation = LeaseSimulation(
            seed, 3, rates=(0.6, 1.0, 1.5), timing=LeaseTiming(300 * MS, 0.0, 50 * MS, 200 * MS, 2)
        )
        try:
            run_lease_faults(simulation, 40)
        except InvariantError:
            return
    raise AssertionError("no violation is detected")

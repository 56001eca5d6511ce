"""Each defence of leases is needed: with one taken out, two holders are found."""

from __future__ import annotations

from typing import Any

import pytest

from kelpcourse.shared.lease_holder import LeaseHolder
from kelpcourse.shared.lease_manager import LeaseManager
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest, LeaseTiming
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.shared.replicated_state import ReplicatedState
from tests.leaseworld import LEASE_TIMING, LONG_LEASE_TIMING, SCENES, Fleet, run_lease_faults
from tests.raftworld import MS, InvariantError


class CountsFromTheAnswer(LeaseHolder):
    def on_reply(self, reply: LeaseReply) -> list[int]:
        return super().on_reply(LeaseReply(reply.request_sent_us + 140 * MS, reply.epochs))


class BelievesTheGrant(LeaseHolder):
    def update_grants(self, state: ReplicatedState) -> list[int]:
        lost = super().update_grants(state)
        for group in self._epochs:
            self._expires_us.setdefault(group, 1 << 60)
        return lost


class NeverLooksAtItsClock(LeaseHolder):
    def epoch(self, group: int, now_us: int) -> int | None:
        return super().epoch(group, min(now_us, self._expires_us.get(group, 1) - 1))


class DoesNotWaitAsNewLeader(LeaseManager):
    def _is_grantable(self, group: int, now_us: int) -> bool:
        return now_us >= self._grantable_from_us.get(group, 0)


class RenewsWithoutBeingSure(LeaseManager):
    def on_request(
        self, member: MemberId, request: LeaseRequest, now_us: int, leadership_until_us: int
    ) -> LeaseReply | None:
        return super().on_request(member, request, now_us, 1 << 60)


class RenewsWhatItGivesAway(LeaseManager):
    def on_request(
        self, member: MemberId, request: LeaseRequest, now_us: int, leadership_until_us: int
    ) -> LeaseReply | None:
        reply = super().on_request(member, request, now_us, leadership_until_us)
        return LeaseReply(request.sent_us, request.epochs) if reply is not None else None


@pytest.mark.parametrize(
    "mutant",
    [
        CountsFromTheAnswer,
        BelievesTheGrant,
        NeverLooksAtItsClock,
        DoesNotWaitAsNewLeader,
        RenewsWithoutBeingSure,
        RenewsWhatItGivesAway,
    ],
)
def test_a_missing_defence_of_leases_is_found(mutant: type) -> None:
    for seed in range(150):
        made: dict[str, Any] = {"holder" if issubclass(mutant, LeaseHolder) else "manager": mutant}
        fleet = Fleet(seed, 5, **made, timing=LONG_LEASE_TIMING if seed % 3 == 1 else LEASE_TIMING)
        try:
            SCENES[seed % 3](fleet)
        except InvariantError:
            return
    raise AssertionError(f"{mutant.__name__} is not found")


@pytest.mark.parametrize("scene", [1, 2])
def test_scenes_that_find_mutants_of_leases_find_nothing_in_the_original(scene: int) -> None:
    for seed in range(8):
        SCENES[scene](Fleet(seed, 5, timing=LONG_LEASE_TIMING if scene == 1 else LEASE_TIMING))


def test_clocks_that_drift_beyond_the_maximum_are_found() -> None:
    """The drift is an assumption, so breaking it must show: else the check could not fail by it."""
    for seed in range(80):
        fleet = Fleet(
            seed, 3, rates=(0.6, 1.0, 1.5), timing=LeaseTiming(300 * MS, 0.0, 50 * MS, 200 * MS, 2)
        )
        try:
            run_lease_faults(fleet, 40)
        except InvariantError:
            return
    raise AssertionError("it is not found")

"""The holder's side of leases: tracks the groups for which this controller may order."""

from __future__ import annotations

from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest, LeaseTiming
from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.shared.replicated_state import ReplicatedState


class LeaseHolder:
    """The leases of one member, on its own clock."""

    def __init__(self, member_id: MemberId, timing: LeaseTiming) -> None:
        """Initializes the holder without leases."""
        self._member_id = member_id
        self._timing = timing
        self._expires_us: dict[GroupId, int] = {}
        self._epochs: dict[GroupId, int] = {}
        self._next_request_us = 0

    def epoch(self, group: GroupId, now_us: int) -> int | None:
        """Returns the epoch under which this controller may order for the group now, or None.

        Must be called before each order, as the process may have been suspended since the last one.
        """
        if self._expires_us.get(group, 0) > now_us:
            return self._epochs[group]
        return None

    def remaining_us(self, group: GroupId, now_us: int) -> int:
        """Returns the remaining duration of the group's lease, in microseconds."""
        return max(0, self._expires_us.get(group, 0) - now_us)

    def held_epochs(self, now_us: int) -> dict[GroupId, int]:
        """Returns all groups for which this controller may order now, with their epochs."""
        held = {}
        for group in self._epochs:
            epoch = self.epoch(group, now_us)
            if epoch is not None:
                held[group] = epoch
        return held

    def update_grants(self, state: ReplicatedState) -> list[GroupId]:
        """Adopts the grants in the replicated state, and returns the groups that this controller lost.

        A loss takes effect immediately. A grant takes effect only once the leader renews it, as it may already be
        outdated when it is applied here.
        """
        granted = state.epochs_held_by(self._member_id)
        lost = [group for group, epoch in self._epochs.items() if granted.get(group) != epoch]
        for group in lost:
            del self._epochs[group]
            self._expires_us.pop(group, None)
        for group, epoch in granted.items():
            if self._epochs.get(group) != epoch:
                self._epochs[group] = epoch
                self._next_request_us = 0
        return lost

    def next_request(self, now_us: int) -> LeaseRequest | None:
        """Returns the request to send to the leader now, or None if none is due."""
        if now_us < self._next_request_us:
            return None
        self._next_request_us = now_us + self._timing.renewal_interval_us
        return LeaseRequest(now_us, dict(self._epochs))

    def next_due_us(self) -> int:
        """Returns the time at which the next request is due."""
        return self._next_request_us

    def on_reply(self, reply: LeaseReply) -> list[GroupId]:
        """Applies renewals, and returns the groups whose leases are newly acquired by them."""
        acquired = []
        for group, epoch in reply.epochs.items():
            if self._epochs.get(group) != epoch:
                continue
            if group not in self._expires_us:
                acquired.append(group)
            expires_us = reply.request_sent_us + self._timing.holder_duration_us
            self._expires_us[group] = max(expires_us, self._expires_us.get(group, 0))
        return acquired

    def take_expired(self, now_us: int) -> list[GroupId]:
        """Returns the groups whose leases have expired since the last call."""
        expired = [group for group, until_us in self._expires_us.items() if until_us <= now_us]
        for group in expired:
            del self._expires_us[group]
        return expired

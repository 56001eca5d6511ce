"""The holder's side of leases: which groups this controller may order for."""

from __future__ import annotations

from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest, LeaseTiming
from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.shared.replicated_state import ReplicatedState


class LeaseHolder:
    """Leases of one member, on its own clock."""

    def __init__(self, member_id: MemberId, timing: LeaseTiming) -> None:
        """Starts without a lease."""
        self._member_id = member_id
        self._timing = timing
        self._expires_us: dict[GroupId, int] = {}
        self._epochs: dict[GroupId, int] = {}
        self._next_request_us = 0

    def epoch(self, group: GroupId, now_us: int) -> int | None:
        """Returns under which epoch the group may be ordered for now, or None.

        To be asked before each order: the process may have been suspended since the last one.
        """
        if self._expires_us.get(group, 0) > now_us:
            return self._epochs[group]
        return None

    def remaining_us(self, group: GroupId, now_us: int) -> int:
        """Returns how long the group's lease still lasts."""
        return max(0, self._expires_us.get(group, 0) - now_us)

    def held_epochs(self, now_us: int) -> dict[GroupId, int]:
        """Returns all groups that may be ordered for now, and their epochs."""
        held = {}
        for group in self._epochs:
            epoch = self.epoch(group, now_us)
            if epoch is not None:
                held[group] = epoch
        return held

    def update_grants(self, state: ReplicatedState) -> list[GroupId]:
        """Takes over grants from the replicated state; returns the groups that are lost by it.

        A loss counts immediately. A grant gives no right before it is renewed: it may be old by the time it is
        heard of.
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
        """Returns what to send to the leader now, or None if it is not time."""
        if now_us < self._next_request_us:
            return None
        self._next_request_us = now_us + self._timing.renewal_interval_us
        return LeaseRequest(now_us, dict(self._epochs))

    def next_due_us(self) -> int:
        """Returns when the next request is to be sent."""
        return self._next_request_us

    def on_reply(self, reply: LeaseReply) -> list[GroupId]:
        """Takes renewals; returns the groups that may be ordered for from now on and could not before."""
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
        """Returns groups whose lease has expired since the last call."""
        expired = [group for group, until_us in self._expires_us.items() if until_us <= now_us]
        for group in expired:
            del self._expires_us[group]
        return expired

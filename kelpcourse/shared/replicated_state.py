"""The replicated state machine: the holder and epoch of each group, and the handover state for its next holder.

The same log entries produce the same state on every controller. A command that is invalid in the current state, for
example because another command was committed before it, changes nothing on any controller.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from kelpcourse.shared.commands import (
    Command,
    CompleteDrain,
    GrantLease,
    ReleaseLease,
    SaveHandover,
    SetGroupCount,
    SetMemberDrained,
    StartDrain,
)
from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import MemberId


class Lease(msgspec.Struct, array_like=True):
    """The holder of a group, and the handover state for its next holder. Stored as an array in the order of fields."""

    holder: MemberId = ""  # Empty if the group was released or never granted.
    epoch: int = 0
    admission_ratios: tuple[float, ...] = ()
    capacity_per_s: float = 0.0


class Drain(msgspec.Struct, array_like=True):
    """The drain of an endpoint. Stored as an array in the order of fields."""

    since_unix_ms: int
    open_groups: list[GroupId]  # Groups in which some proxy may still use the endpoint.


@dataclass
class ReplicatedState:
    """The replicated state after a log entry."""

    leases: dict[GroupId, Lease] = field(default_factory=dict)
    drains: dict[str, Drain] = field(default_factory=dict)  # Drains by endpoint.
    drained_members: set[MemberId] = field(default_factory=set)  # Members that must hold no group.

    def apply(self, command: Command) -> bool:
        """Applies a command, and returns whether it was accepted. A rejected command changes nothing."""
        match command:
            case SetGroupCount(group_count):
                return self._set_group_count(group_count)
            case GrantLease():
                return self._grant_lease(command)
            case ReleaseLease(group, epoch):
                return self._release_lease(group, epoch)
            case SaveHandover():
                return self._save_handover(command)
            case StartDrain(endpoint, since_unix_ms):
                return self._start_drain(endpoint, since_unix_ms)
            case CompleteDrain(endpoint, group, since_unix_ms):
                return self._complete_drain(endpoint, group, since_unix_ms)
            case SetMemberDrained(member, is_drained):
                return self._set_member_drained(member, is_drained)

    def _set_group_count(self, group_count: int) -> bool:
        if group_count <= 0:
            return False
        for group in range(group_count):
            self.leases.setdefault(group, Lease())
        for group in [group for group in self.leases if group >= group_count]:
            del self.leases[group]
        for endpoint, drain in list(self.drains.items()):
            drain.open_groups = [group for group in drain.open_groups if group < group_count]
            if not drain.open_groups:
                del self.drains[endpoint]
        return True

    def _grant_lease(self, command: GrantLease) -> bool:
        lease = self.leases.get(command.group)
        if lease is None or command.epoch != lease.epoch + 1 or not command.holder:
            return False
        lease.holder = command.holder
        lease.epoch = command.epoch
        return True

    def _release_lease(self, group: GroupId, epoch: int) -> bool:
        lease = self.leases.get(group)
        if lease is None or lease.epoch != epoch or not lease.holder:
            return False
        lease.holder = ""
        return True

    def _save_handover(self, command: SaveHandover) -> bool:
        lease = self.leases.get(command.group)
        if lease is None or lease.epoch != command.epoch:
            return False
        lease.admission_ratios = command.admission_ratios
        lease.capacity_per_s = command.capacity_per_s
        return True

    def _start_drain(self, endpoint: str, since_unix_ms: int) -> bool:
        drain = self.drains.get(endpoint)
        if drain is not None and drain.since_unix_ms >= since_unix_ms:
            return False
        self.drains[endpoint] = Drain(since_unix_ms, sorted(self.leases))
        return True

    def _complete_drain(self, endpoint: str, group: GroupId, since_unix_ms: int) -> bool:
        drain = self.drains.get(endpoint)
        if drain is None or drain.since_unix_ms != since_unix_ms:
            return False
        if group not in drain.open_groups:
            return False
        drain.open_groups.remove(group)
        if not drain.open_groups:
            del self.drains[endpoint]
        return True

    def _set_member_drained(self, member: MemberId, is_drained: bool) -> bool:
        if (member in self.drained_members) == is_drained:
            return False
        if is_drained:
            self.drained_members.add(member)
        else:
            self.drained_members.remove(member)
        return True

    def is_settled(self, command: Command) -> bool:
        """Returns whether the state already holds the command's effect, or a later state has superseded it."""
        match command:
            case StartDrain(endpoint, since_unix_ms):
                drain = self.drains.get(endpoint)
                return drain is not None and drain.since_unix_ms >= since_unix_ms
            case CompleteDrain(endpoint, group, since_unix_ms):
                drain = self.drains.get(endpoint)
                if drain is None or drain.since_unix_ms != since_unix_ms:
                    return True
                return group not in drain.open_groups
            case SaveHandover(group, epoch, admission_ratios, capacity_per_s):
                lease = self.leases.get(group)
                if lease is None or lease.epoch != epoch:
                    return True
                saved = (lease.admission_ratios, lease.capacity_per_s)
                return saved == (admission_ratios, capacity_per_s)
            case ReleaseLease(group, epoch):
                lease = self.leases.get(group)
                return lease is None or lease.epoch != epoch or not lease.holder
            case GrantLease(group, _, epoch):
                lease = self.leases.get(group)
                return lease is None or lease.epoch >= epoch
            case SetGroupCount(group_count):
                return len(self.leases) == group_count
            case SetMemberDrained(member, is_drained):
                return (member in self.drained_members) == is_drained

    def epochs_held_by(self, member: MemberId) -> dict[GroupId, int]:
        """Returns the groups that a member holds, and their epochs."""
        return {
            group: lease.epoch for group, lease in self.leases.items() if lease.holder == member
        }

    def pending_drains(self, group: GroupId) -> dict[str, int]:
        """Returns endpoints that a new holder of the group withdraws first, with the start of each drain (Unix ms)."""
        return {
            endpoint: drain.since_unix_ms
            for endpoint, drain in sorted(self.drains.items())
            if group in drain.open_groups
        }

    def encode(self) -> bytes:
        """Returns the encoded state, for a snapshot."""
        return msgspec.msgpack.encode((self.leases, self.drains, sorted(self.drained_members)))

    @classmethod
    def decode(cls, data: bytes) -> ReplicatedState:
        """Decodes a snapshot; empty data is the initial state. Raises msgspec.DecodeError."""
        if not data:
            return cls()
        snapshot_type = tuple[dict[GroupId, Lease], dict[str, Drain], set[MemberId]]
        leases, drains, drained_members = msgspec.msgpack.decode(data, type=snapshot_type)
        return cls(leases, drains, drained_members)


def overdue_drains(
    pending_drains: Mapping[str, int], grace_ms: int, transit_ms: int, now_unix_ms: int
) -> list[str]:
    """Returns endpoints whose drain can't complete within its grace period, even if the withdrawal is sent now."""
    return [
        endpoint
        for endpoint, since_unix_ms in pending_drains.items()
        if now_unix_ms + transit_ms > since_unix_ms + grace_ms
    ]

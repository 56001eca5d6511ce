"""The leader's side of leases: renews them, and grants groups whose leases have expired to other members."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set

from kelpcourse.shared.commands import Command, GrantLease
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest, LeaseTiming
from kelpcourse.shared.placement import GroupId, place
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.shared.replicated_state import ReplicatedState

NO_REQUEST_US = -1 << 62  # Request time of a member that has sent no request yet.


class LeaseManager:
    """Manages the leases of all members on the leader's clock. Each new leader creates its own manager."""

    def __init__(self, timing: LeaseTiming, state: ReplicatedState, started_us: int) -> None:
        """Initializes the manager at `started_us`, when the leader has committed its first entry."""
        self._timing = timing
        self._state = state
        self._started_us = started_us
        # Time from which on a group's lease has expired on its holder's clock too.
        self._grantable_from_us: dict[GroupId, int] = {}
        self._last_request_us: dict[MemberId, int] = {}
        self._proposed_epochs: dict[GroupId, int] = {}  # Epochs of proposed, uncommitted grants.
        # Groups whose current lease is no longer renewed, so that they migrate to another member.
        self._migrating: set[GroupId] = set()

    def on_request(
        self, member: MemberId, request: LeaseRequest, now_us: int, leadership_until_us: int
    ) -> LeaseReply | None:
        """Renews a member's leases.

        Returns:
            The reply, or None if another member may have been elected leader, so that no lease may be renewed.
        """
        self._last_request_us[member] = now_us
        if now_us >= leadership_until_us:
            return None
        renewed = {}
        for group, epoch in request.epochs.items():
            if self._can_renew(member, group, epoch):
                renewed[group] = epoch
                self._grantable_from_us[group] = now_us + self._timing.leader_duration_us
        return LeaseReply(request.sent_us, renewed)

    def _can_renew(self, member: MemberId, group: GroupId, epoch: int) -> bool:
        lease = self._state.leases.get(group)
        if lease is None or lease.holder != member or lease.epoch != epoch:
            return False
        return group not in self._migrating and group not in self._proposed_epochs

    def live_members(self, members: Iterable[MemberId], now_us: int) -> set[MemberId]:
        """Returns the members that have sent a request within `member_timeout_us`."""
        timeout_us = self._timing.member_timeout_us
        return {
            member
            for member in members
            if now_us - self._last_request_us.get(member, NO_REQUEST_US) < timeout_us
        }

    def next_commands(
        self,
        now_us: int,
        members: Iterable[MemberId],
        drained_members: Set[MemberId] = frozenset(),
    ) -> list[Command]:
        """Returns the grants to propose now.

        Args:
            now_us: Current time on the leader's clock, in microseconds.
            members: All voters.
            drained_members: Members that must hold no group.
        """
        live = self.live_members(members, now_us)
        eligible = live - drained_members
        # Every live member has sent a request within the warm-up time.
        warm_up_us = 2 * self._timing.renewal_interval_us
        if not eligible or now_us - self._started_us < warm_up_us:
            return []
        leases = self._state.leases
        holders = {group: lease.holder for group, lease in leases.items()}
        placement = place(sorted(leases), sorted(eligible), holders)
        self._discard_ended_migrations(live, placement)
        commands: list[Command] = []
        for group, member in sorted(placement.items()):
            if not self._prepare_grant(group, member, live, now_us):
                continue
            epoch = leases[group].epoch + 1
            self._proposed_epochs[group] = epoch
            commands.append(GrantLease(group, member, epoch))
        return commands

    def _discard_ended_migrations(
        self, live: Set[MemberId], placement: Mapping[GroupId, MemberId]
    ) -> None:
        self._migrating &= {
            group
            for group, lease in self._state.leases.items()
            if lease.holder in live and placement[group] != lease.holder
        }

    def _prepare_grant(
        self, group: GroupId, member: MemberId, live: Set[MemberId], now_us: int
    ) -> bool:
        """Returns whether a group may be granted to `member` now; if a live member holds it, starts the migration."""
        holder = self._state.leases[group].holder
        if holder == member or group in self._proposed_epochs:
            return False
        if holder in live and group not in self._migrating:
            if len(self._migrating) >= self._timing.max_migrations:
                return False
            self._migrating.add(group)
        return self._is_grantable(group, now_us)

    def _is_grantable(self, group: GroupId, now_us: int) -> bool:
        if not self._state.leases[group].holder:
            return True
        unknown_leases_until_us = self._started_us + self._timing.leader_duration_us
        return now_us >= self._grantable_from_us.get(group, unknown_leases_until_us)

    def on_committed(self, command: Command, now_us: int) -> None:
        """Handles a command that was applied to the replicated state."""
        if isinstance(command, GrantLease):
            self._proposed_epochs.pop(command.group, None)
            self._migrating.discard(command.group)
            self._grantable_from_us[command.group] = now_us + self._timing.leader_duration_us

    def on_dropped(self, command: Command) -> None:
        """Handles a command that was not proposed, or was rejected by the replicated state."""
        if not isinstance(command, GrantLease):
            return
        if self._proposed_epochs.get(command.group) == command.epoch:
            del self._proposed_epochs[command.group]

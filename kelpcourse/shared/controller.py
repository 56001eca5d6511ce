"""A shared controller: Raft, the replicated state and leases as one step function, without input or output of its own.

`epoch` returns the epoch under which this controller may order for a group now, if it holds the group's lease. The rest
of the module guarantees that no other controller holds that lease at the same time. Submitted commands are resent to
the leader until the replicated state holds their effect.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kelpcourse.shared.commands import (
    Command,
    SetGroupCount,
    SetMemberDrained,
    decode_command,
    encode_command,
)
from kelpcourse.shared.controller_events import (
    ControllerOptions,
    ControllerOutput,
    ForwardedCommands,
    LeadershipChanged,
    LeaseAcquired,
    LeaseLost,
    PeerMessage,
)
from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.lease_holder import LeaseHolder
from kelpcourse.shared.lease_manager import LeaseManager
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest
from kelpcourse.shared.pending_commands import PendingCommands
from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import (
    Configuration,
    EntryKind,
    LogEntry,
    MemberId,
    Snapshot,
)
from kelpcourse.shared.raft.node import ProposalId, Raft
from kelpcourse.shared.raft.output import OutgoingMessage, RaftOutput
from kelpcourse.shared.raft.persistent import PersistentState
from kelpcourse.shared.raft.role import Role
from kelpcourse.shared.replicated_state import ReplicatedState


class Controller:
    """The whole state of a member. After each call, `take_output` returns the resulting messages, writes and events."""

    def __init__(
        self,
        member_id: MemberId,
        state: PersistentState,
        options: ControllerOptions,
        seed: int,
        now_us: int,
        raft_factory: type[Raft] = Raft,
        holder_factory: type[LeaseHolder] = LeaseHolder,
        manager_factory: type[LeaseManager] = LeaseManager,
    ) -> None:
        """Initializes the controller from its persistent state.

        Args:
            member_id: Identifier of this member.
            state: The persistent state found on disk.
            options: Options by which the proxy groups are shared among controllers.
            seed: Seed of the random election timeouts.
            now_us: Current time on the member's own monotonic clock, in microseconds.
            raft_factory: Class of the Raft step function.
            holder_factory: Class of the holder's side of leases.
            manager_factory: Class of the leader's side of leases.
        """
        self.member_id = member_id
        self.options = options
        self.raft = raft_factory(member_id, state, options.raft, seed, now_us)
        self.state = ReplicatedState.decode(state.snapshot.data)
        self.lease_holder = holder_factory(member_id, options.lease)
        self.lease_holder.update_grants(self.state)
        self.lease_manager: LeaseManager | None = None
        self.on_applied: Callable[[LogEntry, bool], None] = lambda entry, accepted: None
        self._manager_factory = manager_factory
        self._manager_term = 0
        self._proposed: dict[ProposalId, Command] = {}
        self._pending = PendingCommands(
            options.max_pending_commands,
            options.raft.max_entries_per_message,
            options.lease.renewal_interval_us,
            now_us,
        )
        self._reported_leadership = LeadershipChanged(None, 0)
        self._output = ControllerOutput()

    def tick(self, now_us: int) -> None:
        """Performs the actions that are due."""
        self.raft.tick(now_us)
        self._process(now_us)

    def receive(self, now_us: int, sender: MemberId, message: PeerMessage) -> None:
        """Handles a message from another member, or from this one."""
        match message:
            case LeaseRequest():
                self._on_lease_request(now_us, sender, message)
            case LeaseReply():
                self._on_lease_reply(message)
            case ForwardedCommands(commands):
                self._on_forwarded(now_us, commands)
            case _:
                self.raft.receive(now_us, sender, message)
        self._process(now_us)

    def on_writes_durable(self, now_us: int, number: int) -> None:
        """Handles the completion of all writes up to this number, which are now durable."""
        self.raft.on_writes_durable(now_us, number)
        self._process(now_us)

    def submit(self, now_us: int, command: Command) -> None:
        """Submits a command for the replicated state; a later command with the same key replaces it.

        If more than `max_pending_commands` are pending, the oldest is dropped. Its submitter submits it again if it is
        still needed.
        """
        self._pending.add(command, now_us)
        self._process(now_us)

    def change_membership(self, now_us: int, config: Configuration) -> None:
        """Proposes a change of the cluster's members. Raises RequestRejectedError."""
        self.raft.change_membership(now_us, config)
        self._process(now_us)

    def take_output(self) -> ControllerOutput:
        """Returns the output accumulated since the last call."""
        output = self._output
        self._output = ControllerOutput()
        return output

    def next_due_us(self) -> int:
        """Returns the time at which `tick` must be called next."""
        return min(self.raft.next_due_us(), self.lease_holder.next_due_us())

    def epoch(self, group: GroupId, now_us: int) -> int | None:
        """Returns the epoch under which this controller may order for the group now, or None."""
        return self.lease_holder.epoch(group, now_us)

    # Leases

    def _on_lease_request(self, now_us: int, sender: MemberId, request: LeaseRequest) -> None:
        if self.lease_manager is None or self.raft.role is not Role.LEADER:
            return
        leadership_until_us = self.raft.leadership_guaranteed_until_us()
        reply = self.lease_manager.on_request(sender, request, now_us, leadership_until_us)
        if reply is not None:
            self._send(now_us, sender, reply)

    def _send(self, now_us: int, recipient: MemberId, message: PeerMessage) -> None:
        if recipient == self.member_id:
            self.receive(now_us, self.member_id, message)
        else:
            self._output.messages.append(OutgoingMessage(recipient, message))

    def _on_lease_reply(self, reply: LeaseReply) -> None:
        for group in self.lease_holder.on_reply(reply):
            lease = self.state.leases[group]
            event = LeaseAcquired(
                group,
                lease.epoch,
                self.state.pending_drains(group),
                lease.admission_ratios,
                lease.capacity_per_s,
            )
            self._output.events.append(event)

    def _report_lost_leases(self, groups: list[GroupId]) -> None:
        self._output.events += [LeaseLost(group) for group in groups]

    def _request_leases(self, now_us: int) -> None:
        request = self.lease_holder.next_request(now_us)
        if request is not None and self.raft.leader_id is not None:
            self._send(now_us, self.raft.leader_id, request)

    # Commands

    def _on_forwarded(self, now_us: int, commands: tuple[bytes, ...]) -> None:
        for data in commands:
            try:
                command = decode_command(data)
            except msgspec.DecodeError:
                continue  # Written by a later version; a member of that version may become leader.
            self._propose(now_us, command)

    def _propose(self, now_us: int, command: Command) -> None:
        if command in self._proposed.values():
            return
        try:
            proposal = self.raft.propose(now_us, encode_command(command))
        except RequestRejectedError:
            if self.lease_manager is not None:
                self.lease_manager.on_dropped(command)
            return
        self._proposed[proposal] = command

    def _forward_pending(self, now_us: int) -> None:
        """Sends commands whose effect is not yet replicated to the current leader."""
        self._pending.discard_settled(self.state)
        leader = self.raft.leader_id
        if leader is None:
            return
        commands = self._pending.next_batch(now_us)
        if commands:
            self._send(now_us, leader, ForwardedCommands(commands))

    # Processing after each input

    def _process(self, now_us: int) -> None:
        self._take_raft_output(now_us)
        self._report_leadership_change()
        self._report_lost_leases(self.lease_holder.take_expired(now_us))
        self._manage_leases(now_us)
        self._request_leases(now_us)
        self._forward_pending(now_us)
        output = self.raft.take_output()
        self._output.messages += output.messages
        self._output.writes += output.writes
        # In a single-voter cluster, an entry is committed as soon as it is written.
        for entry in output.committed:
            self._apply(now_us, entry)

    def _take_raft_output(self, now_us: int) -> None:
        """Processes the output of Raft repeatedly, as applying an entry may produce further output."""
        output = self.raft.take_output()
        while _has_content(output):
            self._output.messages += output.messages
            self._output.writes += output.writes
            if output.installed_snapshot is not None:
                self._install(output.installed_snapshot)
            for entry in output.committed:
                self._apply(now_us, entry)
            self._compact()
            output = self.raft.take_output()

    def _install(self, snapshot: Snapshot) -> None:
        self.state = ReplicatedState.decode(snapshot.data)
        self._report_lost_leases(self.lease_holder.update_grants(self.state))

    def _apply(self, now_us: int, entry: LogEntry) -> None:
        accepted = True
        if entry.kind is EntryKind.DATA:
            accepted = self._apply_command(now_us, entry.data)
        self._proposed = {
            proposal: command
            for proposal, command in self._proposed.items()
            if proposal.index > entry.index
        }
        self.on_applied(entry, accepted)

    def _apply_command(self, now_us: int, data: bytes) -> bool:
        """Applies a command; ignores one of a later version, as it is proposed only once all members support it."""
        try:
            command = decode_command(data)
        except msgspec.DecodeError:
            return False
        accepted = self.state.apply(command)
        self._report_lost_leases(self.lease_holder.update_grants(self.state))
        if self.lease_manager is not None:
            if accepted:
                self.lease_manager.on_committed(command, now_us)
            else:
                self.lease_manager.on_dropped(command)
        return accepted

    def _compact(self) -> None:
        is_long = len(self.raft.log) > self.options.max_log_entries
        if is_long and self.raft.commit_index > self.raft.log.snapshot.index:
            self.raft.compact(self.raft.commit_index, self.state.encode())

    def _report_leadership_change(self) -> None:
        leadership = LeadershipChanged(self.raft.leader_id, self.raft.term)
        if leadership != self._reported_leadership:
            self._reported_leadership = leadership
            self._output.events.append(leadership)

    def _manage_leases(self, now_us: int) -> None:
        raft = self.raft
        if raft.role is not Role.LEADER:
            self.lease_manager = None
            self._proposed.clear()
            return
        if raft.log.term_at(raft.commit_index) != raft.term:
            return  # Grants of earlier leaders may not be applied yet.
        if self.lease_manager is None or self._manager_term != raft.term:
            self._manager_term = raft.term
            self.lease_manager = self._manager_factory(self.options.lease, self.state, now_us)
        if len(self.state.leases) != self.options.group_count:
            self._propose(now_us, SetGroupCount(self.options.group_count))
        for removed in sorted(self.state.drained_members - raft.config.members):
            self._propose(now_us, SetMemberDrained(removed, False))
        commands = self.lease_manager.next_commands(
            now_us, sorted(raft.config.voters), self.state.drained_members
        )
        for command in commands:
            self._propose(now_us, command)


def _has_content(output: RaftOutput) -> bool:
    return bool(
        output.messages
        or output.writes
        or output.committed
        or output.installed_snapshot is not None
    )

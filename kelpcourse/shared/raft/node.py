"""The Raft step function: dispatches clock ticks, messages and durable writes to the member's current role."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.shared.errors import (
    BacklogFullError,
    InvalidTransferError,
    LogIndexError,
    MembershipChangeError,
)
from kelpcourse.shared.raft.election import ElectionRole
from kelpcourse.shared.raft.follower import FollowerRole
from kelpcourse.shared.raft.leader import LeaderRole
from kelpcourse.shared.raft.membership import check_new_voters_caught_up, check_voter_change
from kelpcourse.shared.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    MemberId,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
)
from kelpcourse.shared.raft.role import Role


@dataclass(frozen=True)
class ProposalId:
    """Identifies a proposed entry by its index and term.

    The proposal is committed if an entry with this index and term is, and lost if an entry of another term is
    committed at this index.
    """

    index: int
    term: int


class Raft(ElectionRole, FollowerRole, LeaderRole):
    """A Raft member. After each call, `take_output` returns the resulting messages, writes and committed entries."""

    def tick(self, now_us: int) -> None:
        """Performs the actions that are due: sends heartbeats, steps down, or starts an election."""
        if self.role is not Role.LEADER:
            if now_us >= self._election_deadline_us:
                self._start_election(now_us, pre_vote=True)
        elif not self._has_quorum_contact(now_us):
            self._become_follower(now_us, self.term, None)
        elif now_us >= self._next_heartbeat_us:
            self._broadcast(now_us)

    def next_due_us(self) -> int:
        """Returns the time at which `tick` must be called next."""
        if self.role is Role.LEADER:
            return self._next_heartbeat_us
        return self._election_deadline_us

    def receive(self, now_us: int, sender: MemberId, message: RaftMessage) -> None:
        """Handles a message from another member."""
        if self._is_disruptive(now_us, message):
            return
        self._adopt_newer_term(now_us, sender, message)
        match message:
            case RequestVote():
                self._on_request_vote(now_us, sender, message)
            case RequestVoteReply():
                self._on_request_vote_reply(now_us, sender, message)
            case AppendEntries():
                self._on_append_entries(now_us, sender, message)
            case AppendEntriesReply() if self._is_reply_to_leader(sender, message.term):
                self._on_append_entries_reply(now_us, sender, message)
            case InstallSnapshot():
                self._on_install_snapshot(now_us, sender, message)
            case InstallSnapshotReply() if self._is_reply_to_leader(sender, message.term):
                self._on_install_snapshot_reply(now_us, sender, message)
            case TimeoutNow() if message.term == self.term:
                if self.member_id in self.config.voters:
                    self._start_election(now_us, pre_vote=False, is_transfer=True)

    def _is_disruptive(self, now_us: int, message: RaftMessage) -> bool:
        """Returns whether to ignore a vote request because a current leader exists (thesis 4.2.3)."""
        if not isinstance(message, RequestVote) or not self._has_current_leader(now_us):
            return False
        return not message.is_transfer

    def _adopt_newer_term(self, now_us: int, sender: MemberId, message: RaftMessage) -> None:
        """Becomes a follower on a message of a newer term (paper 5.1), except on pre-votes, which start no term."""
        if message.term <= self.term:
            return
        if isinstance(message, RequestVote | RequestVoteReply) and message.pre_vote:
            return
        is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
        self._become_follower(now_us, message.term, sender if is_from_leader else None)

    def _is_reply_to_leader(self, sender: MemberId, term: int) -> bool:
        return self.role is Role.LEADER and term == self.term and sender in self.progress

    def on_writes_durable(self, now_us: int, number: int) -> None:
        """Handles the completion of all writes up to this number, which are now durable."""
        self._mark_writes_durable(number)
        if self.role is Role.CANDIDATE and self._vote_write_number <= self._durable_write_number:
            self._count_vote(now_us, self.member_id)
        if self.role is Role.LEADER:
            self._advance_commit_index(now_us)

    def propose(self, now_us: int, data: bytes) -> ProposalId:
        """Appends an entry for the state machine.

        Raises:
            RequestRejectedError: This member is not the leader, is transferring its leadership, or has too many
                uncommitted entries.
        """
        self._check_accepts_proposals()
        max_entries = self._options.max_uncommitted_entries
        if self.log.last_index - self.commit_index >= max_entries:
            raise BacklogFullError(max_entries)
        self._append_entry(now_us, EntryKind.DATA, data, None)
        return ProposalId(self.log.last_index, self.term)

    def change_membership(self, now_us: int, config: Configuration) -> ProposalId:
        """Appends a configuration that differs by at most one voter, and by any number of learners.

        Raises:
            RequestRejectedError: This member is not the leader, or the change would be unsafe.
        """
        self._check_accepts_proposals()
        if self.log.configuration_index > self.commit_index:
            raise MembershipChangeError("another membership change is in progress")
        if self.log.term_at(self.commit_index) != self.term:
            # Without this check, majorities of two configurations might not overlap.
            raise MembershipChangeError("the leader has not committed an entry of its term yet")
        current = self.config
        check_voter_change(current, config)
        check_new_voters_caught_up(
            current,
            config,
            self.progress,
            self.commit_index,
            self._options.max_entries_per_message,
        )
        self._append_entry(now_us, EntryKind.CONFIG, b"", config)
        return ProposalId(self.log.last_index, self.term)

    def transfer_leadership(self, target: MemberId) -> None:
        """Transfers leadership to another voter as soon as its log is complete (thesis 3.10).

        Raises:
            RequestRejectedError: This member is not the leader, or the target is not another voter.
        """
        self._check_accepts_proposals()
        if target not in self.config.voters or target == self.member_id:
            raise InvalidTransferError(target)
        self._transfer_target = target
        self._transfer_if_ready()

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the log up to a committed index with a snapshot of the state machine at that index (paper 7).

        Raises:
            LogIndexError: The entry is not committed, or is already compacted.
        """
        if not self.log.snapshot.index <= index <= self.commit_index:
            raise LogIndexError(index, self.log.snapshot.index, self.commit_index)
        term = self.log.require_term_at(index)
        snapshot = Snapshot(index, term, self.log.configuration_at(index), data)
        self.log.compact(snapshot)
        self._write(snapshot=snapshot)

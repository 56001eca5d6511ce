"""The Raft step function: dispatches time, messages and completed writes to the member's current role."""

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
    """A proposed entry: committed if an entry of both is, lost if another term takes its index."""

    index: int
    term: int


class Raft(ElectionRole, FollowerRole, LeaderRole):
    """One member. After each call, `take_output` says what is to be done."""

    def tick(self, now_us: int) -> None:
        """Does what time makes due: heartbeats, giving up leadership, elections."""
        if self.role is not Role.LEADER:
            if now_us >= self._election_deadline_us:
                self._start_election(now_us, pre_vote=True)
        elif not self._has_quorum_contact(now_us):
            self._become_follower(now_us, self.term, None)
        elif now_us >= self._next_heartbeat_us:
            self._broadcast(now_us)

    def next_due_us(self) -> int:
        """Returns when `tick` is to be called next."""
        if self.role is Role.LEADER:
            return self._next_heartbeat_us
        return self._election_deadline_us

    def receive(self, now_us: int, sender: MemberId, message: RaftMessage) -> None:
        """Handles a message of another member."""
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
        """Whether a member that can't hear the current leader asks for votes (thesis 4.2.3)."""
        if not isinstance(message, RequestVote) or not self._has_current_leader(now_us):
            return False
        return not message.is_transfer

    def _adopt_newer_term(self, now_us: int, sender: MemberId, message: RaftMessage) -> None:
        """A newer term makes a follower (paper 5.1); pre-votes are of no term yet."""
        if message.term <= self.term:
            return
        if isinstance(message, RequestVote | RequestVoteReply) and message.pre_vote:
            return
        is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
        self._become_follower(now_us, message.term, sender if is_from_leader else None)

    def _is_reply_to_leader(self, sender: MemberId, term: int) -> bool:
        return self.role is Role.LEADER and term == self.term and sender in self.progress

    def on_writes_durable(self, now_us: int, number: int) -> None:
        """All writes up to this number are durable."""
        self._mark_writes_durable(number)
        if self.role is Role.CANDIDATE and self._vote_write_number <= self._durable_write_number:
            self._count_vote(now_us, self.member_id)
        if self.role is Role.LEADER:
            self._advance_commit_index(now_us)

    def propose(self, now_us: int, data: bytes) -> ProposalId:
        """Appends an entry for the state machine.

        Raises:
            RequestRejectedError: This member does not lead, transfers its leadership, or has too many entries
                that are not committed.
        """
        self._check_accepts_proposals()
        max_entries = self._options.max_uncommitted_entries
        if self.log.last_index - self.commit_index >= max_entries:
            raise BacklogFullError(max_entries)
        self._append_entry(now_us, EntryKind.DATA, data, None)
        return ProposalId(self.log.last_index, self.term)

    def change_membership(self, now_us: int, config: Configuration) -> ProposalId:
        """Appends a configuration with one voter more or less, or with any learners.

        Raises:
            RequestRejectedError: This member does not lead, or the change would be unsafe.
        """
        self._check_accepts_proposals()
        if self.log.configuration_index > self.commit_index:
            raise MembershipChangeError("another change is under way")
        if self.log.term_at(self.commit_index) != self.term:
            # Else majorities of two configurations might not overlap.
            raise MembershipChangeError("nothing of this term is committed yet")
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
        """Transfers leadership to another voter once that has all entries (thesis 3.10).

        Raises:
            RequestRejectedError: This member does not lead, or the target is no other voter.
        """
        self._check_accepts_proposals()
        if target not in self.config.voters or target == self.member_id:
            raise InvalidTransferError(target)
        self._transfer_target = target
        self._transfer_if_ready()

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the log up to a committed index by the state machine's state after it (paper 7).

        Raises:
            LogIndexError: The entry is not committed, or was compacted before.
        """
        if not self.log.snapshot.index <= index <= self.commit_index:
            raise LogIndexError(index, self.log.snapshot.index, self.commit_index)
        term = self.log.require_term_at(index)
        snapshot = Snapshot(index, term, self.log.configuration_at(index), data)
        self.log.compact(snapshot)
        self._write(snapshot=snapshot)

"""State that all roles of a Raft member share.

A message that depends on persistent state is sent only after that state is durable.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

from kelpcourse.shared.raft.log import Log
from kelpcourse.shared.raft.messages import (
    Configuration,
    LogEntry,
    MemberId,
    RaftMessage,
    RequestVoteReply,
    Snapshot,
)
from kelpcourse.shared.raft.options import RaftOptions
from kelpcourse.shared.raft.output import OutgoingMessage, RaftOutput
from kelpcourse.shared.raft.persistent import PersistentState, StateWrite
from kelpcourse.shared.raft.progress import Progress
from kelpcourse.shared.raft.role import Role


@dataclass(frozen=True)
class BlockedMessage:
    """A message that may be sent only after a write is durable."""

    write_number: int
    recipient: MemberId
    message: RaftMessage


@dataclass(frozen=True)
class UnsyncedWrite:
    """A write that is not durable yet.

    Attributes:
        number: Number of the write.
        last_index: Last log index that is durable once this write is.
    """

    number: int
    last_index: int


class RaftBase(ABC):
    """The term, vote, log and pending output of a member."""

    def __init__(
        self,
        member_id: MemberId,
        state: PersistentState,
        options: RaftOptions,
        seed: int,
        now_us: int,
    ) -> None:
        """Initializes a follower from its persistent state.

        Args:
            member_id: Identifier of this member.
            state: The persistent state found on disk.
            options: Intervals and limits.
            seed: Seed of the random election timeouts.
            now_us: Current time on the member's own monotonic clock, in microseconds.
        """
        self.member_id = member_id
        self.term = state.term
        self.voted_for = state.voted_for
        self.log = Log(state.snapshot, state.entries)
        self.commit_index = state.snapshot.index
        self.role = Role.FOLLOWER
        self.leader_id: MemberId | None = None
        self.progress: dict[MemberId, Progress] = {}
        self._options = options
        self._random = random.Random(seed)
        self._output = RaftOutput()
        self._last_write_number = 0
        self._durable_write_number = 0
        self._blocked_messages: list[BlockedMessage] = []
        self._unsynced_writes: list[UnsyncedWrite] = []
        self._durable_index = self.log.last_index
        self._votes_granted: set[MemberId] = set()
        self._vote_write_number = 0
        # Before a restart, the member may have been in contact with a leader until this moment.
        self._last_leader_contact_us = now_us
        self._next_heartbeat_us = now_us
        self._leader_since_us = now_us
        self._transfer_target: MemberId | None = None
        # Set once TimeoutNow is sent: from then on the target may become leader at any time.
        self._transfer_sent = False
        self._election_deadline_us = 0
        self._reset_election_timer(now_us)

    @property
    def config(self) -> Configuration:
        """The latest configuration in the log, which applies even before it is committed (thesis 4.1)."""
        return self.log.configuration

    def take_output(self) -> RaftOutput:
        """Returns the output accumulated since the last call."""
        output = self._output
        self._output = RaftOutput()
        return output

    # Roles

    @abstractmethod
    def _become_leader(self, now_us: int) -> None:
        """Becomes leader after winning an election."""

    @abstractmethod
    def _has_quorum_contact(self, now_us: int) -> bool:
        """Returns whether a majority replied to this leader within an election timeout (check-quorum)."""

    def _become_follower(self, now_us: int, term: int, leader_id: MemberId | None) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = None
            self._write()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.progress.clear()
        self._votes_granted.clear()
        self._transfer_target = None
        self._reset_election_timer(now_us)

    def _reset_election_timer(self, now_us: int) -> None:
        timeout_us = self._options.min_election_timeout_us
        self._election_deadline_us = now_us + timeout_us + self._random.randrange(timeout_us)

    def _commit_up_to(self, index: int) -> None:
        indexes = range(self.commit_index + 1, index + 1)
        self._output.committed += [self.log.entry_at(index) for index in indexes]
        self.commit_index = index

    # Output

    def _write(
        self,
        truncate_index: int | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> int:
        """Adds a write that includes the current term and vote, and returns its number."""
        self._last_write_number += 1
        write = StateWrite(
            self._last_write_number, self.term, self.voted_for, truncate_index, entries, snapshot
        )
        self._output.writes.append(write)
        if truncate_index is not None:
            last_kept_index = truncate_index - 1
            self._durable_index = min(self._durable_index, last_kept_index)
            self._unsynced_writes = [
                UnsyncedWrite(unsynced.number, min(unsynced.last_index, last_kept_index))
                for unsynced in self._unsynced_writes
            ]
        self._unsynced_writes.append(UnsyncedWrite(self._last_write_number, self.log.last_index))
        return self._last_write_number

    def _mark_writes_durable(self, number: int) -> None:
        """Records that all writes up to this number are durable, and sends the messages blocked on them."""
        self._durable_write_number = max(self._durable_write_number, number)
        while (
            self._unsynced_writes and self._unsynced_writes[0].number <= self._durable_write_number
        ):
            self._durable_index = self._unsynced_writes.pop(0).last_index
        blocked_messages = self._blocked_messages
        self._blocked_messages = []
        for blocked in blocked_messages:
            self._send_after(blocked.write_number, blocked.recipient, blocked.message)

    def _send(self, recipient: MemberId, message: RaftMessage) -> None:
        self._output.messages.append(OutgoingMessage(recipient, message))

    def _send_after(self, write_number: int, recipient: MemberId, message: RaftMessage) -> None:
        """Sends a message once the write is durable, unless the term of the message is outdated by then."""
        if write_number > self._durable_write_number:
            self._blocked_messages.append(BlockedMessage(write_number, recipient, message))
            return
        is_pre_vote_reply = isinstance(message, RequestVoteReply) and message.pre_vote
        if message.term >= self.term or is_pre_vote_reply:
            self._send(recipient, message)

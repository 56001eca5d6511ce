"""Messages between members, log entries and cluster configurations, independent of their encoding.

Names follow the Raft paper and Ongaro's thesis. The field names of `LogEntry`, `Configuration` and `Snapshot` are
also used in stored data: see `persistent`.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

# Identifies a controller together with its disk, as NAME@TOKEN: a controller with an empty disk is a new member.
MemberId = str


class EntryKind(Enum):
    """The kind of a log entry. The values are stored and sent."""

    DATA = "data"
    CONFIG = "config"
    NO_OP = "nothing"  # First entry of a new leader; committing it commits all earlier entries.


@dataclass(frozen=True)
class Configuration:
    """The members of a cluster. Learners receive the log but do not vote."""

    voters: frozenset[MemberId]
    learners: frozenset[MemberId] = frozenset()

    @property
    def members(self) -> frozenset[MemberId]:
        """All voters and learners."""
        return self.voters | self.learners

    def has_quorum(self, members: Set[MemberId]) -> bool:
        """Returns whether these members include a majority of the voters."""
        return len(self.voters & members) > len(self.voters) // 2


@dataclass(frozen=True)
class LogEntry:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    config: Configuration | None = None


@dataclass(frozen=True)
class Snapshot:
    """The state of the state machine after the entry at `index`, which replaces all entries up to it."""

    index: int
    term: int
    config: Configuration
    data: bytes


@dataclass(frozen=True)
class RequestVote:
    """Request of a candidate or pre-candidate for a vote (paper 5.2, thesis 9.6).

    Attributes:
        term: Term of the election; for a pre-vote, the term that an election would have.
        last_log_index: Index of the candidate's last log entry.
        last_log_term: Term of the candidate's last log entry.
        pre_vote: Whether this is a pre-vote, which changes no term and no vote.
        is_transfer: Whether the current leader requested this election to transfer its leadership.
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    is_transfer: bool = False


@dataclass(frozen=True)
class RequestVoteReply:
    """Reply to `RequestVote`."""

    term: int
    pre_vote: bool
    granted: bool


@dataclass(frozen=True)
class AppendEntries:
    """Request of the leader to append entries; without entries it is a heartbeat (paper 5.3)."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    # Send time on the leader's clock. The reply repeats it, because the guarantee of leadership counts from it.
    sent_us: int


@dataclass(frozen=True)
class AppendEntriesReply:
    """Reply to `AppendEntries`.

    Attributes:
        term: Current term of the member.
        success: Whether the request was accepted: its term is current, and the logs match at its `prev_log_index`.
        match_index: On success, the index up to which the log is durable and matches; otherwise, an index at which the
            logs may match, for the leader to retry with.
        last_log_index: Index of the member's last log entry.
        sent_us: Send time of the request, on the leader's clock.
    """

    term: int
    success: bool
    match_index: int
    last_log_index: int
    sent_us: int


@dataclass(frozen=True)
class InstallSnapshot:
    """One chunk of a snapshot (paper 7)."""

    term: int
    last_included_index: int
    last_included_term: int
    config: Configuration
    offset_bytes: int
    data: bytes
    total_bytes: int
    sent_us: int


@dataclass(frozen=True)
class InstallSnapshotReply:
    """Reply to `InstallSnapshot`, with the offset of the next chunk to send."""

    term: int
    last_included_index: int
    next_offset_bytes: int  # Equals the total size once the snapshot is complete and durable.
    sent_us: int


@dataclass(frozen=True)
class TimeoutNow:
    """Request of the leader to start an election immediately, which transfers its leadership (thesis 3.10)."""

    term: int


RaftMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
)

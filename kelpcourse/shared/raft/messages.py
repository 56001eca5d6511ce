"""Messages between members, log entries and cluster configurations, as plain values without a wire form.

Names follow the Raft paper and Ongaro's thesis. Fields of `LogEntry`, `Configuration` and `Snapshot` are named so
in stored data too: see `persistent`.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

MemberId = str  # a controller and its disk, as NAME@TOKEN: an empty disk makes a new member


class EntryKind(Enum):
    """What a log entry is for. The values are stored and sent."""

    DATA = "data"
    CONFIG = "config"
    NO_OP = "nothing"  # a new leader's first entry, with which earlier entries are committed


@dataclass(frozen=True)
class Configuration:
    """The members of a cluster. Learners receive the log and do not vote."""

    voters: frozenset[MemberId]
    learners: frozenset[MemberId] = frozenset()

    @property
    def members(self) -> frozenset[MemberId]:
        """Voters and learners."""
        return self.voters | self.learners

    def has_quorum(self, members: Set[MemberId]) -> bool:
        """Whether a majority of the voters is among these members."""
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
    """The state machine after the entry at `index`, in place of all entries up to it."""

    index: int
    term: int
    config: Configuration
    data: bytes


@dataclass(frozen=True)
class RequestVote:
    """A candidate or pre-candidate asks for a vote (paper 5.2, thesis 9.6)."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    is_transfer: bool = False  # the leader itself asked for this election


@dataclass(frozen=True)
class RequestVoteReply:
    """The answer to `RequestVote`."""

    term: int
    pre_vote: bool
    granted: bool


@dataclass(frozen=True)
class AppendEntries:
    """The leader replicates entries; without entries it is a heartbeat (paper 5.3)."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    sent_us: int  # on the leader's clock, repeated in the reply: leases count from the request


@dataclass(frozen=True)
class AppendEntriesReply:
    """The answer to `AppendEntries`."""

    term: int
    success: bool
    match_index: int  # durable up to here; without success, the index to try next
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
    """The answer to `InstallSnapshot`: which chunk is wanted next."""

    term: int
    last_included_index: int
    next_offset_bytes: int  # the total size, once the snapshot is complete and durable
    sent_us: int


@dataclass(frozen=True)
class TimeoutNow:
    """The leader transfers its leadership to the recipient (thesis 3.10)."""

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

"""Options of the Raft step function, its roles and its output."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from kelpcourse.shared.raft.messages import LogEntry, MemberId, RaftMessage, Snapshot
from kelpcourse.shared.raft.persistent import StateWrite


class Role(Enum):
    """What a member currently is. The values are shown by `kelpcourse shared status`."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asker"  # asks whether an election could succeed (thesis 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class RaftOptions:
    """Intervals, and how much goes into one message."""

    heartbeat_interval_us: int = 100_000
    min_election_timeout_us: int = 600_000  # the timeout is random, up to twice this
    max_entries_per_message: int = 64
    max_chunk_bytes: int = 64 << 10
    max_uncommitted_entries: int = 4_096


@dataclass
class RaftOutput:
    """What the caller is to do, in this order: writes, messages, and applying entries."""

    messages: list[tuple[MemberId, RaftMessage]] = field(default_factory=list)
    writes: list[StateWrite] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)
    installed: Snapshot | None = None  # the state machine restarts from it, before `committed`

"""Options of the Raft step function."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RaftOptions:
    """Intervals and size limits of a member.

    Attributes:
        heartbeat_interval_us: Interval between two heartbeats of the leader, in microseconds.
        min_election_timeout_us: Minimum election timeout, in microseconds. The actual timeout is random, up to twice
            this value.
        max_entries_per_message: Maximum number of log entries in one message; also the maximum lag, in entries, of a
            learner that becomes a voter.
        max_chunk_bytes: Maximum size of one snapshot chunk, in bytes.
        max_uncommitted_entries: Maximum number of uncommitted entries, beyond which the leader rejects proposals.
    """

    heartbeat_interval_us: int = 100_000
    min_election_timeout_us: int = 600_000
    max_entries_per_message: int = 64
    max_chunk_bytes: int = 64 << 10
    max_uncommitted_entries: int = 4_096

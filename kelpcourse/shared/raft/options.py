"""Options of the Raft step function."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RaftOptions:
    """Intervals, and how much goes into one message."""

    heartbeat_interval_us: int = 100_000
    min_election_timeout_us: int = 600_000  # the timeout is random, up to twice this
    max_entries_per_message: int = 64
    max_chunk_bytes: int = 64 << 10
    max_uncommitted_entries: int = 4_096

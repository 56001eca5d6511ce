"""Replication progress of a member, as its leader tracks it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Progress:
    """Replication progress of one member (`nextIndex` and `matchIndex` of the paper, figure 2).

    Times are on the leader's clock, in microseconds.

    Attributes:
        next_index: Index of the next log entry to send.
        match_index: Highest log index known to be durable on the member.
        match_sent_us: Send time of the request whose reply last advanced `match_index`.
        acknowledged_us: Latest send time of a request that the member replied to.
        snapshot_offset_bytes: Offset of the next snapshot chunk to send, in bytes.
        chunk_sent_us: Send time of the outstanding snapshot chunk, or 0 if the member replied to the last one.
        is_probing: Whether the index at which the member's log and the leader's log diverge is still unknown.
        has_lost_entries: Whether the member's disk lost entries that it had acknowledged. Such a member does not count
            towards a quorum of this leader.
    """

    next_index: int
    match_index: int = 0
    match_sent_us: int = 0
    acknowledged_us: int = 0
    snapshot_offset_bytes: int = 0
    chunk_sent_us: int = 0
    is_probing: bool = True
    has_lost_entries: bool = False

    def record_reply(self, sent_us: int, now_us: int) -> None:
        """Records a reply to a request sent at `sent_us`, on the leader's clock."""
        self.acknowledged_us = max(self.acknowledged_us, min(sent_us, now_us))

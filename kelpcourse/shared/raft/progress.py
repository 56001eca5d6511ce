"""What a leader knows of another member."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Progress:
    """Replication progress of one member (`nextIndex` and `matchIndex` of the paper, figure 2)."""

    next_index: int
    match_index: int = 0
    match_sent_us: int = 0  # when the request was sent whose reply moved `match_index`
    acknowledged_us: int = 0  # when the request that it last answered was sent
    snapshot_offset_bytes: int = 0  # of the next chunk
    chunk_sent_us: int = 0  # 0: the last chunk was answered
    is_probing: bool = True  # where its log and the leader's diverge is not known yet
    has_lost_entries: bool = False  # its disk lost what it had acknowledged: it counts for nothing

    def record_reply(self, sent_us: int, now_us: int) -> None:
        """Records a reply to a request sent at `sent_us`, on the leader's clock."""
        self.acknowledged_us = max(self.acknowledged_us, min(sent_us, now_us))

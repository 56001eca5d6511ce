"""The leader role: replicates entries and snapshots, commits entries, and bounds how long leadership is certain."""

from __future__ import annotations

from kelpcourse.shared.errors import NotLeaderError, TransferInProgressError
from kelpcourse.shared.raft.base import RaftBase
from kelpcourse.shared.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    LogEntry,
    MemberId,
    TimeoutNow,
)
from kelpcourse.shared.raft.progress import Progress
from kelpcourse.shared.raft.role import Role

ALWAYS_IN_CONTACT_US = 1 << 62  # Contact time of a member with itself, later than any clock.


class LeaderRole(RaftBase):
    """The replication rules of a leader."""

    def leadership_guaranteed_until_us(self) -> int:
        """Returns the time until which no other member can be elected, derived from the replies of a majority.

        The time is on this member's clock and assumes that the clocks of all members run at the same rate. It is 0
        if this member is not the leader, or if the target of a leadership transfer may already be elected.
        """
        if self.role is not Role.LEADER or self._transfer_sent:
            return 0
        last_contacts_us = sorted(map(self._last_contact_us, self.config.voters), reverse=True)
        quorum_contact_us = last_contacts_us[len(last_contacts_us) // 2]
        return quorum_contact_us + self._options.min_election_timeout_us

    def _last_contact_us(self, member: MemberId) -> int:
        if member == self.member_id:
            return ALWAYS_IN_CONTACT_US
        progress = self.progress.get(member)
        if progress is None or progress.has_lost_entries:
            return 0
        return progress.acknowledged_us

    def _become_leader(self, now_us: int) -> None:
        self.role = Role.LEADER
        self.leader_id = self.member_id
        self._leader_since_us = now_us
        self._transfer_sent = False
        self.progress = {}
        self._track_members(now_us)
        self._append_entry(now_us, EntryKind.NO_OP, b"", None)

    def _track_members(self, now_us: int) -> None:
        """Tracks the progress of exactly the other members of the latest configuration."""
        others = self.config.members - {self.member_id}
        acknowledged_us = now_us - self._options.min_election_timeout_us
        for member in others:
            self.progress.setdefault(
                member, Progress(self.log.last_index + 1, acknowledged_us=acknowledged_us)
            )
        for member in set(self.progress) - self.config.members:
            del self.progress[member]

    def _has_quorum_contact(self, now_us: int) -> bool:
        """Returns whether this leader is newly elected or a majority replied recently (check-quorum, thesis 6.2)."""
        timeout_us = self._options.min_election_timeout_us
        if now_us - self._leader_since_us < timeout_us:
            return True
        oldest_us = max(now_us - timeout_us, 0)
        responsive_members = {
            member
            for member, progress in self.progress.items()
            if progress.acknowledged_us > oldest_us and not progress.has_lost_entries
        }
        return self.config.has_quorum(responsive_members | {self.member_id})

    def _check_accepts_proposals(self) -> None:
        if self.role is not Role.LEADER:
            if self.leader_id is None:
                raise NotLeaderError("no leader is known")
            raise NotLeaderError(f"not the leader; the leader is {self.leader_id}", self.leader_id)
        if self._transfer_target is not None:
            raise TransferInProgressError(self._transfer_target)

    # Replication

    def _append_entry(
        self, now_us: int, kind: EntryKind, data: bytes, config: Configuration | None
    ) -> None:
        entry = LogEntry(self.log.last_index + 1, self.term, kind, data, config)
        self.log.append([entry])
        self._write(entries=(entry,))
        if config is not None:
            self._track_members(now_us)
        self._broadcast(now_us)

    def _broadcast(self, now_us: int) -> None:
        """Sends entries, or a heartbeat, to all other members."""
        self._next_heartbeat_us = now_us + self._options.heartbeat_interval_us
        for member in sorted(self.progress):
            self._replicate_to(now_us, member)

    def _replicate_to(self, now_us: int, member: MemberId) -> None:
        progress = self.progress[member]
        if progress.next_index <= self.log.snapshot.index:
            self._send_chunk(now_us, member, progress)
            return
        prev_index = progress.next_index - 1
        prev_term = self.log.require_term_at(prev_index)
        entries: tuple[LogEntry, ...] = ()
        if not progress.is_probing:
            entries = self.log.entries_from(
                progress.next_index, self._options.max_entries_per_message
            )
        # Pipelining: assumes that the entries arrive. If they are lost, the next heartbeat is rejected.
        progress.next_index += len(entries)
        request = AppendEntries(
            self.term, prev_index, prev_term, entries, self.commit_index, now_us
        )
        self._send(member, request)

    def _on_append_entries_reply(
        self, now_us: int, sender: MemberId, reply: AppendEntriesReply
    ) -> None:
        progress = self.progress[sender]
        progress.record_reply(reply.sent_us, now_us)
        if not reply.success:
            self._on_append_rejected(now_us, sender, reply)
            return
        if reply.match_index > progress.match_index:
            progress.match_index = reply.match_index
            progress.match_sent_us = reply.sent_us
        if progress.is_probing or progress.next_index <= progress.match_index:
            progress.next_index = progress.match_index + 1
            progress.is_probing = False
        self._advance_commit_index(now_us)
        if progress.next_index <= self.log.last_index:
            self._replicate_to(now_us, sender)
        self._transfer_if_ready()

    def _on_append_rejected(self, now_us: int, sender: MemberId, reply: AppendEntriesReply) -> None:
        progress = self.progress[sender]
        is_newer = reply.sent_us > progress.match_sent_us
        if reply.last_log_index < progress.match_index and is_newer:
            progress.has_lost_entries = True
            progress.match_index = 0
        progress.next_index = max(1, min(progress.next_index - 1, reply.match_index + 1))
        progress.is_probing = True
        self._replicate_to(now_us, sender)

    def _advance_commit_index(self, now_us: int) -> None:
        """Commits entries that are durable on a majority, if the last of them is of the current term.

        An entry of an earlier term could still be overwritten (paper 5.4.2).
        """
        match_indexes = sorted(map(self._match_index, self.config.voters), reverse=True)
        index = match_indexes[len(match_indexes) // 2]
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self._commit_up_to(index)
        self._broadcast(now_us)
        is_voter = self.member_id in self.config.voters
        if not is_voter and self.log.configuration_index <= self.commit_index:
            # This leader's removal is committed and sent to the others, which elect a new leader (thesis 4.2.2).
            self._become_follower(now_us, self.term, None)

    def _match_index(self, member: MemberId) -> int:
        """Returns the index up to which a member's log is durable and matches the leader's log."""
        if member == self.member_id:
            return self._durable_index
        progress = self.progress.get(member)
        if progress is None or progress.has_lost_entries:
            return 0
        return progress.match_index

    def _transfer_if_ready(self) -> None:
        """Sends TimeoutNow to the target of a leadership transfer once its log is complete."""
        target = self._transfer_target
        if target is not None and self._match_index(target) == self.log.last_index:
            self._send(target, TimeoutNow(self.term))
            self._transfer_target = None
            self._transfer_sent = True

    # Snapshots

    def _send_chunk(self, now_us: int, member: MemberId, progress: Progress) -> None:
        """Sends one chunk; the next is sent after its reply, and a lost one is resent with a later heartbeat."""
        if now_us - progress.chunk_sent_us < self._options.heartbeat_interval_us:
            return
        snapshot = self.log.snapshot
        start = min(progress.snapshot_offset_bytes, len(snapshot.data))
        progress.snapshot_offset_bytes = start
        progress.chunk_sent_us = now_us
        chunk = InstallSnapshot(
            term=self.term,
            last_included_index=snapshot.index,
            last_included_term=snapshot.term,
            config=snapshot.config,
            offset_bytes=start,
            data=snapshot.data[start : start + self._options.max_chunk_bytes],
            total_bytes=len(snapshot.data),
            sent_us=now_us,
        )
        self._send(member, chunk)

    def _on_install_snapshot_reply(
        self, now_us: int, sender: MemberId, reply: InstallSnapshotReply
    ) -> None:
        progress = self.progress[sender]
        progress.record_reply(reply.sent_us, now_us)
        progress.chunk_sent_us = 0
        snapshot = self.log.snapshot
        if reply.last_included_index != snapshot.index:
            progress.snapshot_offset_bytes = 0  # The offset belonged to an earlier snapshot.
        if reply.last_included_index < snapshot.index:
            return
        is_complete = reply.next_offset_bytes >= len(snapshot.data)
        if is_complete or reply.last_included_index > snapshot.index:
            progress.match_index = max(progress.match_index, reply.last_included_index)
            progress.snapshot_offset_bytes = 0
            progress.next_index = progress.match_index + 1
            progress.is_probing = True
        else:
            progress.snapshot_offset_bytes = reply.next_offset_bytes
        self._replicate_to(now_us, sender)

"""The follower role: accepts entries (paper 5.3) and snapshots (paper 7) from the leader."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from kelpcourse.shared.errors import LogConflictError
from kelpcourse.shared.raft.base import RaftBase
from kelpcourse.shared.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    LogEntry,
    MemberId,
    Snapshot,
)
from kelpcourse.shared.raft.role import Role


@dataclass
class IncomingSnapshot:
    """A snapshot of which not all chunks have been received."""

    last_included_index: int
    leader_term: int
    data: bytearray = field(default_factory=bytearray)


class FollowerRole(RaftBase):
    """The replication rules of a follower."""

    _incoming_snapshot: IncomingSnapshot | None = None

    def _accept_leader(self, now_us: int, sender: MemberId, term: int) -> bool:
        """Returns whether the sender leads the current term; if so, records the contact with it."""
        if term < self.term:
            return False
        if self.role is not Role.FOLLOWER or self.leader_id != sender:
            self._become_follower(now_us, term, sender)
        self._last_leader_contact_us = now_us
        self._reset_election_timer(now_us)
        return True

    # Entries

    def _on_append_entries(self, now_us: int, sender: MemberId, request: AppendEntries) -> None:
        if not self._accept_leader(now_us, sender, request.term):
            self._reply_to_append(sender, request, success=False, match_index=0)
            return
        if request.prev_log_index < self.log.snapshot.index:
            request = self._skip_compacted_entries(request)
        if self.log.term_at(request.prev_log_index) != request.prev_log_term:
            retry_index = self._retry_index(request)
            self._reply_to_append(sender, request, success=False, match_index=retry_index)
            return
        self._store_entries(request.entries)
        match_index = request.prev_log_index + len(request.entries)
        commit_index = min(request.leader_commit, match_index)
        if commit_index > self.commit_index:
            self._commit_up_to(commit_index)
        self._reply_to_append(sender, request, success=True, match_index=match_index)

    def _reply_to_append(
        self, leader: MemberId, request: AppendEntries, success: bool, match_index: int
    ) -> None:
        """Replies once all writes so far are durable."""
        reply = AppendEntriesReply(
            self.term, success, match_index, self.log.last_index, request.sent_us
        )
        self._send_after(self._last_write_number, leader, reply)

    def _skip_compacted_entries(self, request: AppendEntries) -> AppendEntries:
        """Returns the request without the entries that the snapshot covers: they are committed, so they match."""
        snapshot = self.log.snapshot
        return AppendEntries(
            request.term,
            snapshot.index,
            snapshot.term,
            tuple(entry for entry in request.entries if entry.index > snapshot.index),
            request.leader_commit,
            request.sent_us,
        )

    def _retry_index(self, request: AppendEntries) -> int:
        """Returns an index at which the logs may match, skipping the conflicting term (paper 5.3)."""
        index = min(request.prev_log_index - 1, self.log.last_index)
        if self.log.term_at(request.prev_log_index) is not None:
            index = self.log.first_index_of_term(request.prev_log_index) - 1
        return max(index, self.commit_index)

    def _store_entries(self, entries: Sequence[LogEntry]) -> None:
        """Appends new entries; truncates only at a conflicting term, as a delayed request must not shorten the log.

        Raises:
            LogConflictError: The request conflicts with a committed entry.
        """
        for position, entry in enumerate(entries):
            if self.log.term_at(entry.index) == entry.term:
                continue
            truncate_index = None
            if entry.index <= self.log.last_index:
                truncate_index = entry.index
                if truncate_index <= self.commit_index:
                    raise LogConflictError(truncate_index, self.commit_index)
                self.log.truncate_from(truncate_index)
            new_entries = tuple(entries[position:])
            self.log.append(new_entries)
            self._write(truncate_index=truncate_index, entries=new_entries)
            return

    # Snapshots

    def _on_install_snapshot(self, now_us: int, sender: MemberId, chunk: InstallSnapshot) -> None:
        if not self._accept_leader(now_us, sender, chunk.term):
            return
        if chunk.last_included_index <= self.commit_index:
            self._reply_snapshot_complete(sender, chunk)
            return
        incoming = self._receive_chunk(chunk)
        if len(incoming.data) < chunk.total_bytes:
            self._send(sender, self._chunk_reply(chunk, len(incoming.data)))
            return
        snapshot = Snapshot(
            chunk.last_included_index,
            chunk.last_included_term,
            chunk.config,
            bytes(incoming.data),
        )
        self._install_snapshot(snapshot)
        self._incoming_snapshot = None
        self._reply_snapshot_complete(sender, chunk)

    def _receive_chunk(self, chunk: InstallSnapshot) -> IncomingSnapshot:
        incoming = self._incoming_snapshot
        if (
            incoming is None
            or incoming.last_included_index != chunk.last_included_index
            or incoming.leader_term != chunk.term
        ):
            incoming = IncomingSnapshot(chunk.last_included_index, chunk.term)
            self._incoming_snapshot = incoming
        if chunk.offset_bytes == len(incoming.data):
            incoming.data += chunk.data
        return incoming

    def _reply_snapshot_complete(self, leader: MemberId, chunk: InstallSnapshot) -> None:
        self._send_after(
            self._last_write_number, leader, self._chunk_reply(chunk, chunk.total_bytes)
        )

    def _chunk_reply(self, chunk: InstallSnapshot, next_offset_bytes: int) -> InstallSnapshotReply:
        return InstallSnapshotReply(
            self.term, chunk.last_included_index, next_offset_bytes, chunk.sent_us
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.log.compact(snapshot)
        self.commit_index = snapshot.index
        self._output.committed.clear()
        self._output.installed_snapshot = snapshot
        self._write(snapshot=snapshot)

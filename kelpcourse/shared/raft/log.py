"""The replicated log in memory: a snapshot and the entries after it."""

from __future__ import annotations

from collections.abc import Sequence

from kelpcourse.shared.errors import LogIndexError
from kelpcourse.shared.raft.messages import Configuration, EntryKind, LogEntry, Snapshot


class Log:
    """A snapshot and the log entries that follow it, by index."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry]) -> None:
        """Initializes the log from a snapshot and the entries right after it."""
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if no entry follows it."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if no entry follows it."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def __len__(self) -> int:
        """Returns the number of entries after the snapshot."""
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the log does not hold the entry or has compacted it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def require_term_at(self, index: int) -> int:
        """Returns the term of an entry that the log holds. Raises LogIndexError."""
        term = self.term_at(index)
        if term is None:
            raise LogIndexError(index, self.snapshot.index, self.last_index)
        return term

    def entry_at(self, index: int) -> LogEntry:
        """Returns the entry at an index after the snapshot."""
        return self._entries[index - self.snapshot.index - 1]

    def entries_from(self, index: int, max_count: int) -> tuple[LogEntry, ...]:
        """Returns at most `max_count` entries, beginning at `index`."""
        start = index - self.snapshot.index - 1
        return tuple(self._entries[start : start + max_count])

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Adds entries that follow the last one."""
        self._entries += entries

    def truncate_from(self, index: int) -> None:
        """Drops the entry at `index` and all after it."""
        del self._entries[index - self.snapshot.index - 1 :]

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the log up to a snapshot; later entries are kept only if the log holds its last entry (paper 7)."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self._entries[: snapshot.index - self.snapshot.index]
        else:
            self._entries.clear()
        self.snapshot = snapshot

    @property
    def configuration(self) -> Configuration:
        """The latest configuration, committed or not: it applies as soon as it is appended (thesis 4.1)."""
        entry = self._latest_configuration_entry()
        if entry is None or entry.config is None:
            return self.snapshot.config
        return entry.config

    @property
    def configuration_index(self) -> int:
        """Index of the latest configuration entry, or of the snapshot if no such entry follows it."""
        entry = self._latest_configuration_entry()
        return self.snapshot.index if entry is None else entry.index

    def configuration_at(self, index: int) -> Configuration:
        """Returns the configuration that applies at an index."""
        for entry in reversed(self._entries[: index - self.snapshot.index]):
            if entry.kind is EntryKind.CONFIG and entry.config is not None:
                return entry.config
        return self.snapshot.config

    def _latest_configuration_entry(self) -> LogEntry | None:
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.CONFIG and entry.config is not None:
                return entry
        return None

    def first_index_of_term(self, index: int) -> int:
        """Returns the first index of the term at `index`, to step back by whole terms (paper 5.3)."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

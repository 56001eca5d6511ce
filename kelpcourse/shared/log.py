"""A controller's log: entries after a snapshot. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from kelpcourse.shared.messages import Config, Entry, Kind, Snapshot


class Log:
    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.snapshot.term

    def __len__(self) -> int:
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """None: it is not known any more, or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def entry(self, index: int) -> Entry:
        return self._entries[index - self.snapshot.index - 1]

    def since(self, index: int, most: int) -> tuple[Entry, ...]:
        """Entries from `index` on, so many at most."""
        start = index - self.snapshot.index - 1
        return tuple(self._entries[start : start + most])

    def append(self, entries: Sequence[Entry]) -> None:
        self._entries += entries

    def cut(self, index: int) -> None:
        """Drops the entry at `index` and all after it."""
        del self._entries[index - self.snapshot.index - 1 :]

    def compact(self, snapshot: Snapshot) -> None:
        """Everything up to the snapshot goes; what follows it stays if it belongs to it."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self._entries[: snapshot.index - self.snapshot.index]
        else:
            self._entries.clear()
        self.snapshot = snapshot

    def config(self) -> tuple[int, Config]:
        """The newest one, committed or not, and its index: it counts from when it is appended."""
        for entry in reversed(self._entries):
            if entry.kind is Kind.CONFIG and entry.config is not None:
                return entry.index, entry.config
        return self.snapshot.index, self.snapshot.config

    def config_at(self, index: int) -> Config:
        for entry in reversed(self._entries[: index - self.snapshot.index]):
            if entry.kind is Kind.CONFIG and entry.config is not None:
                return entry.config
        return self.snapshot.config

    def first_of_term(self, index: int) -> int:
        """The first index of the term that stands at `index`, to step back over a term at a time."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

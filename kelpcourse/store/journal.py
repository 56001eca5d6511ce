"""The journal on disk: records are appended and synced, snapshots begin new generations."""

from __future__ import annotations

import os
from collections.abc import Sequence

from kelpcourse.store.commit import JobResult, Outcome
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import HEADER_BYTES, Kind, Record, frame, header
from kelpcourse.store.recovery import (
    DAMAGED_SUFFIX,
    TEMPORARY_SUFFIX,
    Recovered,
    file_name,
    obsolete,
    recover,
)

CLOSED = -1


class Journal:
    """Files of one folder. Calls block on the disk; after `open` they belong to one thread."""

    def __init__(self, folder: Folder) -> None:
        """Names the folder; nothing is read or locked before `open`."""
        self._folder = folder
        self._generation = 0
        self._fd = CLOSED
        self._durable_bytes = 0  # of the journal that is written on

    def open(self) -> Recovered:
        """Locks the folder and recovers what is durable.

        Raises:
            FolderInUseError: another process holds the folder.
            OSError: the disk fails.
        """
        self._folder.lock()
        found = recover(self._folder.names(), self._folder.read)
        self._generation = found.generation
        if found.needs_generation:
            self._set_damaged_aside(found)
        else:
            self._open_file(found)
        return found

    def _open_file(self, found: Recovered) -> None:
        self._fd = self._folder.open(file_name(Kind.JOURNAL, found.generation))
        if found.truncate_to_bytes is None:
            self._durable_bytes = os.fstat(self._fd).st_size
            return
        self._durable_bytes = found.truncate_to_bytes
        # What follows must not be read as records of this process later.
        self._folder.truncate(self._fd, found.truncate_to_bytes)
        self._folder.sync(self._fd)

    def _set_damaged_aside(self, found: Recovered) -> None:
        """Keeps files with damage that no crash leaves, for an investigation."""
        for warning in found.warnings:
            if warning.alarming and warning.file in self._folder.names():
                self._folder.rename(warning.file, warning.file + DAMAGED_SUFFIX)

    def ensure_generation(self, found: Recovered, snapshot: bytes) -> None:
        """Makes the generation that a start needs, while no client waits for anything yet.

        Where it can't be made `found` stays as it is, and the writer retries.
        """
        if not found.needs_generation:
            return
        if self.compact(found.next_number - 1, snapshot).outcome is Outcome.DONE:
            found.needs_generation = False
            found.journal_bytes = 0

    def append(self, records: Sequence[Record]) -> JobResult:
        """Writes records and syncs them."""
        data = b"".join(map(frame, records))
        try:
            self._folder.write(self._fd, data, self._durable_bytes)
        except OSError as error:
            return JobResult(self._undo_write(), reason=f"writing: {error.strerror}")
        try:
            self._folder.sync(self._fd)
        except OSError as error:
            return JobResult(Outcome.UNKNOWN, reason=f"syncing: {error.strerror}")
        self._durable_bytes += len(data)
        return JobResult(Outcome.DONE, len(data))

    def _undo_write(self) -> Outcome:
        try:
            self._folder.truncate(self._fd, self._durable_bytes)
        except OSError:
            return Outcome.UNKNOWN
        return Outcome.NOT_WRITTEN

    def compact(self, number: int, snapshot: bytes) -> JobResult:
        """Begins a new generation; the one before is left for a recovery that can't read the new one.

        Args:
            number: of the snapshot's record; the journal goes on with the next.
            snapshot: all that is durable.
        """
        generation = self._generation + 1
        snapshot_name = file_name(Kind.SNAPSHOT, generation)
        journal_name = file_name(Kind.JOURNAL, generation)
        temporary_snapshot = snapshot_name + TEMPORARY_SUFFIX
        temporary_journal = journal_name + TEMPORARY_SUFFIX
        data = header(Kind.SNAPSHOT, generation, number) + frame(Record(number, snapshot))
        fd = CLOSED
        try:
            # The journal first: a snapshot without its journal would be read as a crash.
            fd = self._create_file(temporary_journal, header(Kind.JOURNAL, generation, number + 1))
            os.close(self._create_file(temporary_snapshot, data))
            self._folder.rename(temporary_journal, journal_name)
        except OSError as error:
            if fd != CLOSED:
                os.close(fd)
            self._remove_all((temporary_journal, temporary_snapshot, journal_name))
            return JobResult(Outcome.NOT_WRITTEN, reason=_generation_failed(error))
        try:
            self._folder.rename(temporary_snapshot, snapshot_name)
            self._folder.sync_names()
        except OSError as error:
            # It may be in place after a crash: nothing may be added to the generation before.
            os.close(fd)
            self._generation = generation
            return JobResult(Outcome.UNKNOWN, reason=_generation_failed(error))
        self._close_file()
        self._fd = fd
        self._generation = generation
        self._durable_bytes = HEADER_BYTES
        self._remove_all(obsolete(self._folder.names(), generation))
        return JobResult(Outcome.DONE, len(data))

    def _create_file(self, name: str, data: bytes) -> int:
        """Writes a complete, synced file and returns its descriptor."""
        fd = self._folder.create(name)
        try:
            self._folder.write(fd, data, 0)
            self._folder.sync(fd)
        except OSError:
            os.close(fd)
            raise
        return fd

    def _remove_all(self, names: Sequence[str]) -> None:
        for name in names:
            try:
                self._folder.remove(name)
            except OSError:
                # Recovery leaves it out, and the next generation tries again.
                continue

    def _close_file(self) -> None:
        if self._fd != CLOSED:
            os.close(self._fd)
            self._fd = CLOSED

    def close(self) -> None:
        """Closes the file and unlocks the folder."""
        self._close_file()
        self._folder.close()


def _generation_failed(error: OSError) -> str:
    return f"a new generation: {error.strerror}"

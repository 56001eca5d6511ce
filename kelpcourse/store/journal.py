"""The journal on disk: appends and syncs records, and creates a new generation with each snapshot."""

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
    """The journal and snapshot files of one folder.

    Methods block on the disk. After `open`, only one thread may call them.
    """

    def __init__(self, folder: Folder) -> None:
        """Initializes the journal with a folder; nothing is read or locked before `open`."""
        self._folder = folder
        self._generation = 0
        self._fd = CLOSED
        self._durable_bytes = 0  # size of the durable part of the current journal

    def open(self) -> Recovered:
        """Locks the folder and recovers the durable state.

        Raises:
            FolderInUseError: Another process holds the lock of the folder.
            OSError: The folder cannot be read or written.
        """
        self._folder.lock()
        found = recover(self._folder.names(), self._folder.read)
        self._generation = found.generation
        if found.needs_generation:
            self._keep_damaged_files(found)
        else:
            self._open_file(found)
        return found

    def _open_file(self, found: Recovered) -> None:
        self._fd = self._folder.open(file_name(Kind.JOURNAL, found.generation))
        if found.truncate_to_bytes is None:
            self._durable_bytes = os.fstat(self._fd).st_size
            return
        self._durable_bytes = found.truncate_to_bytes
        # Bytes after the intact part must not be decoded later as records of this process.
        self._folder.truncate(self._fd, found.truncate_to_bytes)
        self._folder.sync(self._fd)

    def _keep_damaged_files(self, found: Recovered) -> None:
        """Renames files with damage that a crash does not cause, and so keeps them for analysis."""
        for warning in found.warnings:
            if warning.alarming and warning.file in self._folder.names():
                self._folder.rename(warning.file, warning.file + DAMAGED_SUFFIX)

    def ensure_generation(self, found: Recovered, snapshot: bytes) -> None:
        """Creates a new generation if the recovery requires one, before any client is served.

        If this fails, `found` is unchanged and the writer retries.
        """
        if not found.needs_generation:
            return
        if self.compact(found.next_number - 1, snapshot).outcome is Outcome.DONE:
            found.needs_generation = False
            found.journal_bytes = 0

    def append(self, records: Sequence[Record]) -> JobResult:
        """Appends records to the journal and syncs them."""
        data = b"".join(map(frame, records))
        try:
            self._folder.write(self._fd, data, self._durable_bytes)
        except OSError as error:
            return JobResult(self._undo_write(), reason=f"write failed: {error.strerror}")
        try:
            self._folder.sync(self._fd)
        except OSError as error:
            return JobResult(Outcome.UNKNOWN, reason=f"sync failed: {error.strerror}")
        self._durable_bytes += len(data)
        return JobResult(Outcome.DONE, len(data))

    def _undo_write(self) -> Outcome:
        try:
            self._folder.truncate(self._fd, self._durable_bytes)
        except OSError:
            return Outcome.UNKNOWN
        return Outcome.NOT_WRITTEN

    def compact(self, number: int, snapshot: bytes) -> JobResult:
        """Creates a new generation, and keeps the previous one for a recovery that cannot read the new one.

        Args:
            number: Number of the snapshot's record. The new journal starts with the next number.
            snapshot: Encoded state with all durable changes.
        """
        generation = self._generation + 1
        snapshot_name = file_name(Kind.SNAPSHOT, generation)
        journal_name = file_name(Kind.JOURNAL, generation)
        temporary_snapshot = snapshot_name + TEMPORARY_SUFFIX
        temporary_journal = journal_name + TEMPORARY_SUFFIX
        data = header(Kind.SNAPSHOT, generation, number) + frame(Record(number, snapshot))
        fd = CLOSED
        try:
            # The journal is created first, because recovery interprets a snapshot without its journal as a crash.
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
            # The new generation may exist after a crash, so nothing may be appended to the previous one.
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
                # Recovery ignores the file, and the next compaction tries to remove it again.
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
    return f"creating a new generation failed: {error.strerror}"

"""The journal on disk: records are appended and synced, snapshots begin new generations."""

from __future__ import annotations

import os
from collections.abc import Sequence

from kelpcourse.store.commit import Outcome
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import HEADER_BYTES, Kind, Record, frame, header
from kelpcourse.store.recovery import Recovered, file_name, obsolete, recover


class Journal:
    """Files of one folder. Calls block on the disk; after `open` they belong to one thread."""

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._generation = 0
        self._fd = -1
        self._end = 0  # bytes of the journal that are durable

    def open(self) -> Recovered:
        """Takes the folder and tells what stands. Raises InUse or OSError."""
        self._folder.lock()
        names = self._folder.names()
        found = recover(names, self._folder.read)
        self._generation = found.generation
        if found.fresh:
            self._put_aside(found)
        else:
            name = file_name(Kind.JOURNAL, found.generation)
            self._fd = self._folder.open(name)
            self._end = os.fstat(self._fd).st_size if found.cut_to is None else found.cut_to
            if found.cut_to is not None:  # what follows must not be taken for records of ours later
                self._folder.cut(self._fd, found.cut_to)
                self._folder.sync(self._fd)
        return found

    def begin(self, found: Recovered, snapshot: bytes) -> None:
        """Makes the generation that a start needs, while nobody waits for anything yet. Where it can't be made
        `found` stays as it is, and whoever writes tries again."""
        if found.fresh and self.compact(found.next_number - 1, snapshot)[0] is Outcome.DONE:
            found.fresh, found.journal_bytes = False, 0

    def _put_aside(self, found: Recovered) -> None:
        """Files with damage that no crash leaves are kept for whoever looks into it."""
        for remark in found.remarks:
            if remark.alarming and remark.file in self._folder.names():
                self._folder.rename(remark.file, f"{remark.file}.damaged")

    def append(self, records: Sequence[Record]) -> tuple[Outcome, int, str]:
        """Writes and syncs; what came of it, bytes written, and the reason of a failure."""
        data = b"".join(map(frame, records))
        try:
            self._folder.write(self._fd, data, self._end)
        except OSError as error:
            return self._take_back(), 0, f"writing: {error.strerror}"
        try:
            self._folder.sync(self._fd)
        except OSError as error:
            return Outcome.UNSURE, 0, f"syncing: {error.strerror}"
        self._end += len(data)
        return Outcome.DONE, len(data), ""

    def _take_back(self) -> Outcome:
        try:
            self._folder.cut(self._fd, self._end)
        except OSError:
            return Outcome.UNSURE
        return Outcome.NOT_WRITTEN

    def compact(self, number: int, snapshot: bytes) -> tuple[Outcome, int, str]:
        """Begins a new generation; the one before is left for a recovery that can't read the new one."""
        generation = self._generation + 1
        data = header(Kind.SNAPSHOT, generation, number) + frame(Record(number, snapshot))
        name, journal = file_name(Kind.SNAPSHOT, generation), file_name(Kind.JOURNAL, generation)
        fd = -1
        try:
            # The journal first: a snapshot that stands without its journal would be taken for a crash.
            fd = self._whole(f"{journal}.tmp", header(Kind.JOURNAL, generation, number + 1))
            os.close(self._whole(f"{name}.tmp", data))
            self._folder.rename(f"{journal}.tmp", journal)
        except OSError as error:
            if fd >= 0:
                os.close(fd)
            self._clear((f"{journal}.tmp", f"{name}.tmp", journal))
            return Outcome.NOT_WRITTEN, 0, f"a new generation: {error.strerror}"
        try:
            self._folder.rename(f"{name}.tmp", name)
            self._folder.sync_names()
        except (
            OSError
        ) as error:  # it may stand after a crash: nothing may be added to the one before
            os.close(fd)
            self._generation = generation
            return Outcome.UNSURE, 0, f"a new generation: {error.strerror}"
        self._close_file()
        self._generation, self._fd, self._end = generation, fd, HEADER_BYTES
        self._clear(obsolete(self._folder.names(), generation))
        return Outcome.DONE, len(data), ""

    def _whole(self, name: str, data: bytes) -> int:
        fd = self._folder.create(name)
        try:
            self._folder.write(fd, data, 0)
            self._folder.sync(fd)
        except OSError:
            os.close(fd)
            raise
        return fd

    def _clear(self, names: Sequence[str]) -> None:
        for name in names:
            try:
                self._folder.remove(name)
            except OSError:
                continue  # it is found and left out at the next start, and removed with the next generation

    def _close_file(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def close(self) -> None:
        self._close_file()
        self._folder.close()

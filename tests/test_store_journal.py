"""The journal on a disk that fails: full, with errors at each call, and where the process dies."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from kelpcourse.store.commit import Outcome
from kelpcourse.store.errors import FolderInUseError
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import HEADER_BYTES, Record
from kelpcourse.store.journal import Journal
from kelpcourse.store.recovery import recover


class BadDisk(Folder):
    """Fails where it is told to; `calls` counts what could fail."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.fails: dict[str, int] = {}  # by call: the error
        self.dies_at = -1  # the call at which the process dies
        self.calls = 0

    def _at(self, call: str) -> None:
        self.calls += 1
        if self.calls == self.dies_at:
            raise KeyboardInterrupt
        if call in self.fails:
            raise OSError(self.fails[call], os.strerror(self.fails[call]))

    def write(self, fd: int, data: bytes, offset: int) -> None:
        if "write" in self.fails or self.calls + 1 == self.dies_at:
            os.pwrite(fd, data[: len(data) // 2], offset)  # a part of it is there
        self._at("write")
        super().write(fd, data, offset)

    def sync(self, fd: int) -> None:
        self._at("sync")

    def truncate(self, fd: int, size_bytes: int) -> None:
        self._at("truncate")
        super().truncate(fd, size_bytes)

    def rename(self, old: str, new: str) -> None:
        self._at("rename")
        super().rename(old, new)

    def sync_names(self) -> None:
        self._at("sync_names")


def state_of(path: Path) -> list[bytes]:
    journal = Journal(BadDisk(path))
    found = journal.open()
    journal.close()
    return ([found.snapshot] if found.snapshot else []) + [
        record.payload for record in found.records
    ]


def begun(path: Path) -> tuple[BadDisk, Journal]:
    disk = BadDisk(path)
    journal = Journal(disk)
    assert journal.open().needs_generation
    assert journal.compact(0, b"empty")[0] is Outcome.DONE
    return disk, journal


def test_a_full_disk_leaves_the_file_as_it_was(tmp_path: Path) -> None:
    disk, journal = begun(tmp_path)
    journal.append([Record(1, b"a")])
    disk.fails = {"write": errno.ENOSPC}
    assert journal.append([Record(2, b"l")]) == (
        Outcome.NOT_WRITTEN,
        0,
        "writing: No space left on device",
    )
    disk.fails = {"write": errno.ENOSPC, "truncate": errno.EIO}
    assert journal.append([Record(2, b"lost")])[0] is Outcome.UNKNOWN
    disk.fails = {"sync": errno.EIO}
    assert journal.append([Record(2, b"b")])[0] is Outcome.UNKNOWN
    disk.fails = {"rename": errno.EIO}
    assert journal.compact(1, b"at one")[0] is Outcome.NOT_WRITTEN
    disk.fails = {"sync_names": errno.EIO}
    assert journal.compact(1, b"at one")[0] is Outcome.UNKNOWN
    disk.fails = {}
    assert journal.compact(1, b"at one")[0] is Outcome.DONE
    journal.append([Record(2, b"c")])
    journal.close()
    assert state_of(tmp_path) == [b"at one", b"c"]


def test_a_death_at_any_call_keeps_what_was_durable_and_nothing_in_part(tmp_path: Path) -> None:
    """Three changes, a compaction, two more: the process dies at each call in turn."""
    at = 0
    while True:
        at += 1
        path = tmp_path / str(at)
        disk, journal = begun(path)
        told, durable = 0, 0
        disk.dies_at = disk.calls + at
        try:
            for number in range(1, 6):
                told = number
                if number == 4:
                    assert journal.compact(3, b"123")[0] is Outcome.DONE
                assert journal.append([Record(number, str(number).encode())])[0] is Outcome.DONE
                durable = number
        except KeyboardInterrupt:
            disk.close()
            held = b"".join(state_of(path)).replace(b"empty", b"")
            assert held in (b"12345"[:durable], b"12345"[:told])
            continue
        break
    assert at > 12


def test_two_processes_do_not_share_a_folder(tmp_path: Path) -> None:
    _, journal = begun(tmp_path)
    with pytest.raises(FolderInUseError):
        Journal(Folder(tmp_path)).open()
    journal.close()
    assert recover([], b"".__getitem__).needs_generation  # type: ignore[arg-type]


def test_a_journal_damaged_inside_is_put_aside_and_not_written_on(tmp_path: Path) -> None:
    _, journal = begun(tmp_path)
    journal.append([Record(k, b"x" * 20) for k in (1, 2, 3)])
    journal.close()
    path = tmp_path / "journal-000000000001"
    data = bytearray(path.read_bytes())
    data[HEADER_BYTES + 60] ^= 4
    path.write_bytes(data)
    again = Journal(BadDisk(tmp_path))
    found = again.open()
    assert (len(found.records), found.needs_generation) == (1, True)
    assert (tmp_path / "journal-000000000001.damaged").exists()
    assert again.compact(1, b"rest")[0] is Outcome.DONE
    again.close()
    assert state_of(tmp_path) == [b"rest"]

"""Tests of the journal when the disk is full, when any call fails, and when the process dies at any call."""

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


class FaultyFolder(Folder):
    """Fails at the calls that a test selects; `calls` counts the calls that can fail."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.fails: dict[str, int] = {}  # Error number by name of the call that fails
        self.crashes_at_call = -1  # Number of the call at which the process dies
        self.calls = 0

    def _check_fault(self, call: str) -> None:
        self.calls += 1
        if self.calls == self.crashes_at_call:
            raise KeyboardInterrupt
        if call in self.fails:
            raise OSError(self.fails[call], os.strerror(self.fails[call]))

    def write(self, fd: int, data: bytes, offset: int) -> None:
        if "write" in self.fails or self.calls + 1 == self.crashes_at_call:
            os.pwrite(fd, data[: len(data) // 2], offset)  # Partial write
        self._check_fault("write")
        super().write(fd, data, offset)

    def sync(self, fd: int) -> None:
        self._check_fault("sync")

    def truncate(self, fd: int, size_bytes: int) -> None:
        self._check_fault("truncate")
        super().truncate(fd, size_bytes)

    def rename(self, old: str, new: str) -> None:
        self._check_fault("rename")
        super().rename(old, new)

    def sync_names(self) -> None:
        self._check_fault("sync_names")


def recovered_payloads(path: Path) -> list[bytes]:
    journal = Journal(FaultyFolder(path))
    found = journal.open()
    journal.close()
    return ([found.snapshot] if found.snapshot else []) + [
        record.payload for record in found.records
    ]


def new_journal(path: Path) -> tuple[FaultyFolder, Journal]:
    disk = FaultyFolder(path)
    journal = Journal(disk)
    assert journal.open().needs_generation
    assert journal.compact(0, b"empty")[0] is Outcome.DONE
    return disk, journal


def test_a_failed_write_is_undone_and_a_failed_sync_needs_a_new_generation(tmp_path: Path) -> None:
    disk, journal = new_journal(tmp_path)
    journal.append([Record(1, b"a")])
    disk.fails = {"write": errno.ENOSPC}
    assert journal.append([Record(2, b"l")]) == (
        Outcome.NOT_WRITTEN,
        0,
        "write failed: No space left on device",
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
    assert recovered_payloads(tmp_path) == [b"at one", b"c"]


def test_a_crash_at_any_call_keeps_durable_records_and_no_partial_record(tmp_path: Path) -> None:
    """The process writes three changes, a compaction and two more changes, and dies at a different call each time."""
    crash_call = 0
    while True:
        crash_call += 1
        path = tmp_path / str(crash_call)
        disk, journal = new_journal(path)
        attempted, durable = 0, 0
        disk.crashes_at_call = disk.calls + crash_call
        try:
            for number in range(1, 6):
                attempted = number
                if number == 4:
                    assert journal.compact(3, b"123")[0] is Outcome.DONE
                assert journal.append([Record(number, str(number).encode())])[0] is Outcome.DONE
                durable = number
        except KeyboardInterrupt:
            disk.close()
            recovered = b"".join(recovered_payloads(path)).replace(b"empty", b"")
            assert recovered in (b"12345"[:durable], b"12345"[:attempted])
            continue
        break
    assert crash_call > 12


def test_a_locked_folder_cannot_be_opened_by_another_process(tmp_path: Path) -> None:
    _, journal = new_journal(tmp_path)
    with pytest.raises(FolderInUseError):
        Journal(Folder(tmp_path)).open()
    journal.close()
    assert recover([], b"".__getitem__).needs_generation  # type: ignore[arg-type]


def test_a_journal_damaged_before_intact_records_is_kept_and_not_continued(tmp_path: Path) -> None:
    _, journal = new_journal(tmp_path)
    journal.append([Record(k, b"x" * 20) for k in (1, 2, 3)])
    journal.close()
    path = tmp_path / "journal-000000000001"
    data = bytearray(path.read_bytes())
    data[HEADER_BYTES + 60] ^= 4
    path.write_bytes(data)
    reopened = Journal(FaultyFolder(tmp_path))
    found = reopened.open()
    assert (len(found.records), found.needs_generation) == (1, True)
    assert (tmp_path / "journal-000000000001.damaged").exists()
    assert reopened.compact(1, b"rest")[0] is Outcome.DONE
    reopened.close()
    assert recovered_payloads(tmp_path) == [b"rest"]

"""The store: what a crash, a bad disk and a full one leave; each cut and each flipped bit of a journal."""

from __future__ import annotations

import errno
import os
from dataclasses import replace
from pathlib import Path

import pytest

from kelpcourse.limits import Limits
from kelpcourse.store.commit import Append, Commit, Compact, Outcome
from kelpcourse.store.errors import FolderInUseError, UnusableFileError
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import (
    HEADER_BYTES,
    Damage,
    Kind,
    Record,
    frame,
    header,
    read,
)
from kelpcourse.store.journal import Journal
from kelpcourse.store.recovery import file_name, from_bytes, obsolete, recover

PAYLOADS = [b"one", b"", b"three" * 9, bytes(range(256))]
RECORDS = [Record(11 + k, payload) for k, payload in enumerate(PAYLOADS)]
JOURNAL = header(Kind.JOURNAL, 4, 11) + b"".join(map(frame, RECORDS))
SNAPSHOT = header(Kind.SNAPSHOT, 4, 10) + frame(Record(10, b"state"))
NAMES = {"snapshot-000000000004": SNAPSHOT, "journal-000000000004": JOURNAL}
ENDS = [HEADER_BYTES + sum(len(frame(r)) for r in RECORDS[:k]) for k in range(len(RECORDS) + 1)]


def whole_before(cut: int) -> int:
    return sum(1 for end in ENDS[1:] if end <= cut)


def test_each_cut_of_a_journal_leaves_every_record_before_it_and_no_part_of_another() -> None:
    for cut in range(HEADER_BYTES, len(JOURNAL)):
        found = from_bytes({**NAMES, "journal-000000000004": JOURNAL[:cut]})
        assert found.records == RECORDS[: whole_before(cut)]
        assert found.next_number == 11 + whole_before(cut)
        assert [remark.lost_bytes for remark in found.remarks] == (
            [cut - ENDS[whole_before(cut)]] if cut not in ENDS else []
        )
        assert not any(remark.alarming for remark in found.remarks)


def test_each_flipped_bit_is_found_and_what_stands_before_it_is_kept() -> None:
    for place in range(HEADER_BYTES, len(JOURNAL)):
        for bit in range(8):
            data = bytearray(JOURNAL)
            data[place] ^= 1 << bit
            contents = read(Kind.JOURNAL, bytes(data))
            assert list(contents.records) == RECORDS[: whole_before(place)]
            assert contents.damage is not Damage.NONE


def test_damage_inside_is_told_apart_from_a_torn_end() -> None:
    inside = bytearray(JOURNAL)
    inside[ENDS[1] + 3] ^= 1
    assert read(Kind.JOURNAL, bytes(inside)).damage is Damage.INSIDE
    assert read(Kind.JOURNAL, JOURNAL[:-1]).damage is Damage.TORN
    found = from_bytes({**NAMES, "journal-000000000004": bytes(inside)})
    assert found.fresh  # nothing is written behind damage
    assert [remark.alarming for remark in found.remarks] == [True]


@pytest.mark.parametrize("data", [b"", SNAPSHOT[:5], JOURNAL, b"\xff" + SNAPSHOT[1:]])
def test_a_header_that_can_not_be_believed(data: bytes) -> None:
    with pytest.raises(UnusableFileError):
        read(Kind.SNAPSHOT, data)


def test_a_spoilt_snapshot_is_done_without_as_the_generation_before_is_kept() -> None:
    newer = {
        "snapshot-000000000005": header(Kind.SNAPSHOT, 5, 14) + frame(Record(14, b"later")),
        "journal-000000000005": header(Kind.JOURNAL, 5, 15) + frame(Record(15, b"last")),
    }
    good = from_bytes({**NAMES, **newer})
    assert (good.snapshot, good.records, good.generation) == (b"later", [Record(15, b"last")], 5)
    spoilt = from_bytes(
        {**NAMES, **newer, "snapshot-000000000005": newer["snapshot-000000000005"][:-1]}
    )
    assert spoilt.snapshot == b"state"
    assert spoilt.records == [*RECORDS, Record(15, b"last")]
    assert (spoilt.next_number, spoilt.generation, spoilt.fresh) == (16, 5, False)


def test_a_crash_between_the_names_of_a_new_generation_loses_nothing() -> None:
    """The journal of the next generation stands, its snapshot does not; writing went on in the one before."""
    empty = {"journal-000000000005": header(Kind.JOURNAL, 5, 13)}
    found = from_bytes({**NAMES, **empty})
    assert found.records == RECORDS
    assert found.fresh  # its numbers would not follow on in the empty one
    follows = from_bytes({**NAMES, "journal-000000000005": header(Kind.JOURNAL, 5, 15)})
    assert (follows.fresh, follows.generation, follows.next_number) == (False, 5, 15)


def test_a_gap_between_journals_is_not_bridged() -> None:
    found = from_bytes({**NAMES, "journal-000000000005": header(Kind.JOURNAL, 5, 16)})
    assert found.records == RECORDS
    assert found.fresh
    assert found.remarks[-1].alarming


def test_what_no_recovery_needs_goes() -> None:
    names = [file_name(kind, g) for kind in Kind for g in (2, 3, 4, 5)]
    names.remove("snapshot-000000000004")
    assert obsolete([*names, "snapshot-000000000006.tmp", "lock"], 5) == [
        "snapshot-000000000006.tmp",
        "journal-000000000002",
        "snapshot-000000000002",
    ]


# Commit

FEW = replace(Limits(), max_staged_changes=4, min_compaction_bytes=100, snapshot_retry_us=50)


def test_one_job_serves_all_that_was_staged_and_one_runs_at_a_time() -> None:
    commit: Commit[str] = Commit(Limits(), 1, 0, False)
    assert commit.next_job(0) is None
    assert commit.stage(b"a", "A")
    assert commit.stage(b"b", "B")
    assert commit.next_job(0) == Append((Record(1, b"a"), Record(2, b"b")))
    assert commit.stage(b"c", "C")
    assert commit.next_job(0) is None
    assert commit.settle(Outcome.DONE, 40, 0).durable == ["A", "B"]
    assert commit.next_job(0) == Append((Record(3, b"c"),))


def test_a_failed_job_undoes_what_was_built_on_it_and_numbers_stay_without_gaps() -> None:
    commit: Commit[str] = Commit(Limits(), 1, 0, False)
    commit.stage(b"a", "A")
    commit.next_job(0)
    commit.stage(b"b", "B")
    settled = commit.settle(Outcome.NOT_WRITTEN, 0, 0)
    assert (settled.durable, settled.undone, commit.broken, commit.waiting) == (
        [],
        ["A", "B"],
        False,
        0,
    )
    commit.stage(b"c", "C")
    assert commit.next_job(0) == Append((Record(1, b"c"),))


def test_after_a_failed_sync_only_a_new_generation_is_written_on() -> None:
    """A second sync that succeeds says nothing of what the first one lost."""
    commit: Commit[str] = Commit(FEW, 5, 0, False)
    commit.stage(b"a", "A")
    commit.next_job(0)
    assert commit.settle(Outcome.UNSURE, 0, 7).undone == ["A"]
    assert not commit.stage(b"b", "B")
    assert commit.next_job(7) == Compact(4)
    commit.settle(Outcome.NOT_WRITTEN, 0, 8)
    assert commit.next_job(9) is None
    assert commit.due_us() == 58
    assert commit.next_job(58) == Compact(4)
    commit.settle(Outcome.DONE, 60, 60)
    assert commit.stage(b"b", "B")


def test_a_journal_that_grew_is_compacted_between_two_batches_and_not_tried_without_end() -> None:
    commit: Commit[str] = Commit(FEW, 1, 90, False)
    commit.stage(b"a" * 20, "A")
    assert isinstance(commit.next_job(0), Append)
    commit.stage(b"b", "B")
    commit.settle(Outcome.DONE, 38, 1)
    assert commit.next_job(1) == Compact(1)
    commit.settle(Outcome.NOT_WRITTEN, 0, 2)
    assert isinstance(commit.next_job(2), Append)
    commit.settle(Outcome.DONE, 10, 3)
    assert commit.next_job(51) is None
    assert commit.next_job(52) == Compact(2)


def test_a_generation_that_may_or_may_not_stand_takes_no_change() -> None:
    commit: Commit[str] = Commit(FEW, 1, 200, False)
    commit.stage(b"a", "A")
    assert commit.next_job(0) == Compact(0)
    assert commit.settle(Outcome.UNSURE, 0, 1).undone == ["A"]
    assert commit.broken


def test_what_waits_is_bounded() -> None:
    commit: Commit[int] = Commit(FEW, 1, 0, False)
    assert [commit.stage(b"x", k) for k in range(6)] == [True] * 4 + [False] * 2
    wide: Commit[int] = Commit(replace(FEW, max_staged_bytes=100), 1, 0, False)
    assert [wide.stage(b"x" * 60, k) for k in range(2)] == [True, False]


# On disk


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
    assert journal.open().fresh
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
    assert journal.append([Record(2, b"lost")])[0] is Outcome.UNSURE
    disk.fails = {"sync": errno.EIO}
    assert journal.append([Record(2, b"b")])[0] is Outcome.UNSURE
    disk.fails = {"rename": errno.EIO}
    assert journal.compact(1, b"at one")[0] is Outcome.NOT_WRITTEN
    disk.fails = {"sync_names": errno.EIO}
    assert journal.compact(1, b"at one")[0] is Outcome.UNSURE
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
    assert recover([], b"".__getitem__).fresh  # type: ignore[arg-type]


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
    assert (len(found.records), found.fresh) == (1, True)
    assert (tmp_path / "journal-000000000001.damaged").exists()
    assert again.compact(1, b"rest")[0] is Outcome.DONE
    again.close()
    assert state_of(tmp_path) == [b"rest"]

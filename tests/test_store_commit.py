"""Tests of group commit: the order of jobs, and the changes that a failed job undoes."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.limits import Limits
from kelpcourse.store.commit import Append, Commit, Compact, Outcome
from kelpcourse.store.frames import Record

SMALL_LIMITS = replace(
    Limits(), max_staged_changes=4, min_compaction_bytes=100, snapshot_retry_us=50
)


def test_one_job_runs_at_a_time_and_writes_all_staged_changes() -> None:
    commit: Commit[str] = Commit(Limits(), 1, 0, False)
    assert commit.next_job(0) is None
    assert commit.stage(b"a", "A")
    assert commit.stage(b"b", "B")
    assert commit.next_job(0) == Append((Record(1, b"a"), Record(2, b"b")))
    assert commit.stage(b"c", "C")
    assert commit.next_job(0) is None
    assert commit.settle(Outcome.DONE, 40, 0).durable == ["A", "B"]
    assert commit.next_job(0) == Append((Record(3, b"c"),))


def test_a_failed_job_undoes_later_changes_and_numbers_stay_consecutive() -> None:
    commit: Commit[str] = Commit(Limits(), 1, 0, False)
    commit.stage(b"a", "A")
    commit.next_job(0)
    commit.stage(b"b", "B")
    settled = commit.settle(Outcome.NOT_WRITTEN, 0, 0)
    assert (settled.durable, settled.undone, commit.broken, commit.pending_changes) == (
        [],
        ["A", "B"],
        False,
        0,
    )
    commit.stage(b"c", "C")
    assert commit.next_job(0) == Append((Record(1, b"c"),))


def test_changes_are_rejected_after_a_failed_sync_until_a_new_generation_exists() -> None:
    """A later successful sync does not show what the failed sync lost."""
    commit: Commit[str] = Commit(SMALL_LIMITS, 5, 0, False)
    commit.stage(b"a", "A")
    commit.next_job(0)
    assert commit.settle(Outcome.UNKNOWN, 0, 7).undone == ["A"]
    assert not commit.stage(b"b", "B")
    assert commit.next_job(7) == Compact(4)
    commit.settle(Outcome.NOT_WRITTEN, 0, 8)
    assert commit.next_job(9) is None
    assert commit.due_us() == 58
    assert commit.next_job(58) == Compact(4)
    commit.settle(Outcome.DONE, 60, 60)
    assert commit.stage(b"b", "B")


def test_a_large_journal_is_compacted_between_batches_and_a_failure_is_retried_later() -> None:
    commit: Commit[str] = Commit(SMALL_LIMITS, 1, 90, False)
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


def test_a_compaction_with_unknown_outcome_undoes_staged_changes() -> None:
    commit: Commit[str] = Commit(SMALL_LIMITS, 1, 200, False)
    commit.stage(b"a", "A")
    assert commit.next_job(0) == Compact(0)
    assert commit.settle(Outcome.UNKNOWN, 0, 1).undone == ["A"]
    assert commit.broken


def test_staged_changes_and_bytes_are_bounded() -> None:
    commit: Commit[int] = Commit(SMALL_LIMITS, 1, 0, False)
    assert [commit.stage(b"x", k) for k in range(6)] == [True] * 4 + [False] * 2
    small_bytes: Commit[int] = Commit(replace(SMALL_LIMITS, max_staged_bytes=100), 1, 0, False)
    assert [small_bytes.stage(b"x" * 60, k) for k in range(2)] == [True, False]

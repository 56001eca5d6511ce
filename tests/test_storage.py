"""Tests of durable writes from the loop.

Changes staged in one round share a sync, and a job that raises an exception has an unknown outcome.
"""

from __future__ import annotations

import os
from pathlib import Path

from kelpcourse.limits import Limits
from kelpcourse.store.commit import JobResult, Outcome
from kelpcourse.store.folder import Folder
from kelpcourse.store.journal import Journal
from kelpcourse.wire.storage import DurableWriter, StorageThread
from tests.standins import Bench


class ManualRunner:
    """A `JobRunner` that runs a job only when the test calls `run_job`."""

    def __init__(self) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK)
        self.job: object = None
        self.run_count = 0
        self._results: list[JobResult] = []

    def start(self, work: object) -> None:
        self.job = work

    def run_job(self) -> None:
        work, self.job = self.job, None
        assert callable(work)
        self._results.append(work())
        self.run_count += 1
        os.eventfd_write(self.fd, 1)

    def take_result(self) -> JobResult | None:
        if not self._results:
            return None
        os.eventfd_read(self.fd)
        return self._results.pop()

    def close(self) -> None:
        os.close(self.fd)


def test_changes_of_one_round_share_a_sync_and_are_settled_after_it(
    bench: Bench, tmp_path: Path
) -> None:
    journal, runner = Journal(Folder(tmp_path)), ManualRunner()
    durable: list[str] = []
    writer: DurableWriter[str] = DurableWriter(
        bench.loop,
        Limits(),
        journal,
        journal.open(),
        runner,
        lambda: b"s",
        lambda settled: durable.extend(settled.durable),
        lambda *_: None,
    )
    bench.loop.start("store", writer.run())
    assert not writer.stage(b"early", "early")  # no generation has been written yet
    runner.run_job()
    bench.until(lambda: not writer.broken)
    assert all(writer.stage(str(k).encode(), str(k)) for k in range(50))
    bench.until(lambda: runner.job is not None)
    assert durable == []
    runner.run_job()
    bench.until(lambda: durable)
    assert (len(durable), runner.run_count) == (50, 2)
    writer.close()


def test_job_that_raises_an_exception_has_an_unknown_outcome(bench: Bench, tmp_path: Path) -> None:
    thread = StorageThread()
    thread.start(lambda: JobResult(Outcome.DONE, 1 // 0, ""))
    results: list[JobResult] = []

    def has_ended() -> bool:
        results.extend(filter(None, [thread.take_result()]))
        return bool(results)

    bench.until(has_ended, 1_000_000)
    thread.close()
    assert results[0] == JobResult(
        Outcome.UNKNOWN, 0, "ZeroDivisionError('integer division or modulo by zero')"
    )

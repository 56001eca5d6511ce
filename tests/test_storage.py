"""The store in the loop: what one round stages shares a sync, and a job that raises has failed."""

from __future__ import annotations

import os
from pathlib import Path

from kelpcourse.limits import Limits
from kelpcourse.store.commit import Outcome
from kelpcourse.store.folder import Folder
from kelpcourse.store.journal import Journal
from kelpcourse.wire.storage import DurableWriter, JobResult, StorageThread
from tests.standins import Bench


class ByHand:
    """A runner whose jobs run when the test says so."""

    def __init__(self) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK)
        self.job: object = None
        self.ran = 0
        self._done: list[JobResult] = []

    def start(self, work: object) -> None:
        self.job = work

    def go(self) -> None:
        work, self.job = self.job, None
        assert callable(work)
        self._done.append(work())
        self.ran += 1
        os.eventfd_write(self.fd, 1)

    def take_result(self) -> JobResult | None:
        if not self._done:
            return None
        os.eventfd_read(self.fd)
        return self._done.pop()

    def close(self) -> None:
        os.close(self.fd)


def test_changes_of_one_round_share_a_sync_and_none_is_settled_before_it(
    bench: Bench, tmp_path: Path
) -> None:
    journal, hand = Journal(Folder(tmp_path)), ByHand()
    told: list[str] = []
    writer: DurableWriter[str] = DurableWriter(
        bench.loop,
        Limits(),
        journal,
        journal.open(),
        hand,
        lambda: b"s",
        lambda settled: told.extend(settled.durable),
        lambda *_: None,
    )
    bench.loop.start("store", writer.run())
    assert not writer.stage(b"early", "early")  # no generation stands yet
    hand.go()
    bench.until(lambda: not writer.broken)
    assert all(writer.stage(str(k).encode(), str(k)) for k in range(50))
    bench.until(lambda: hand.job is not None)
    assert told == []
    hand.go()
    bench.until(lambda: told)
    assert (len(told), hand.ran) == (50, 2)
    writer.close()


def test_a_job_that_raises_has_an_unknown_outcome(bench: Bench, tmp_path: Path) -> None:
    thread = StorageThread()
    thread.start(lambda: JobResult(Outcome.DONE, 1 // 0, ""))
    done: list[JobResult] = []

    def took() -> bool:
        done.extend(filter(None, [thread.take_result()]))
        return bool(done)

    bench.until(took, 1_000_000)
    thread.close()
    assert done[0] == JobResult(
        Outcome.UNKNOWN, 0, "ZeroDivisionError('integer division or modulo by zero')"
    )

"""The store in the loop: a thread does what blocks on the disk, so that a slow sync holds up no order.

The thread is handed one job at a time and owns the journal's files; the loop is told over an eventfd.
"""

from __future__ import annotations

import contextlib
import os
import queue
import threading
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from kelpcourse.limits import Limits
from kelpcourse.store.commit import Append, Commit, Job, Outcome, Settled
from kelpcourse.store.journal import Journal
from kelpcourse.store.recovery import Recovered
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Wait

T = TypeVar("T")
Done = tuple[Outcome, int, str]


class Runner(Protocol):
    """Where jobs run; `take` tells what came of the one that has ended."""

    fd: int

    def start(self, work: Callable[[], Done]) -> None: ...

    def take(self) -> Done | None: ...

    def close(self) -> None: ...


class Thread:
    """One worker thread. A job that raises is a failed one: nobody knows what it wrote."""

    def __init__(self) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._jobs: queue.SimpleQueue[Callable[[], Done] | None] = queue.SimpleQueue()
        self._done: queue.SimpleQueue[Done] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def start(self, work: Callable[[], Done]) -> None:
        self._jobs.put(work)

    def _run(self) -> None:
        while (work := self._jobs.get()) is not None:
            try:
                done = work()
            except Exception as error:
                done = (Outcome.UNSURE, 0, repr(error))
            self._done.put(done)
            os.eventfd_write(self.fd, 1)

    def take(self) -> Done | None:
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)
        try:
            return self._done.get_nowait()
        except queue.Empty:
            return None

    def close(self) -> None:
        """Waits for the job under way: its outcome is told by nobody, its write is whole."""
        self._jobs.put(None)
        self._thread.join()
        os.close(self.fd)


class Writer(Generic[T]):
    """Makes changes durable and tells of each, by its ticket, once it is or can't be."""

    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        journal: Journal,
        found: Recovered,
        runner: Runner,
        snapshot: Callable[[], bytes],
        settled: Callable[[Settled[T]], None],
        failed: Callable[[str, bool], None],
    ) -> None:
        self._loop = loop
        self._journal = journal
        self._runner = runner
        self._snapshot = snapshot
        self._settled = settled
        self._failed = failed
        self._commit: Commit[T] = Commit(
            limits, found.next_number, found.journal_bytes, found.fresh
        )
        self._more = Signal()

    @property
    def broken(self) -> bool:
        return self._commit.broken

    @property
    def waiting(self) -> int:
        return self._commit.waiting

    def stage(self, payload: bytes, ticket: T) -> bool:
        """False: turned away. Else `settled` is told of the ticket later, never within this call."""
        taken = self._commit.stage(payload, ticket)
        if taken:
            self._more.set()
        return taken

    def run(self) -> Coroutine[None]:
        """Everything staged within one round of the loop is started together, with one sync."""
        while True:
            job = self._commit.next_job(self._loop.clock())
            if job is None:
                yield Wait(self._commit.due_us(), signal=self._more)
                self._more.clear()
                continue
            self._runner.start(self._work(job))
            while (done := self._runner.take()) is None:
                yield Wait(fd=self._runner.fd, event_mask=READ)
            self._settle(done)

    def _work(self, job: Job) -> Callable[[], Done]:
        if isinstance(job, Append):
            records = job.records
            return lambda: self._journal.append(records)
        number, snapshot = job.first, self._snapshot()
        return lambda: self._journal.compact(number, snapshot)

    def _settle(self, done: Done) -> None:
        outcome, size, reason = done
        settled = self._commit.settle(outcome, size, self._loop.clock())
        if outcome is not Outcome.DONE:
            self._failed(reason, self._commit.broken)
        self._settled(settled)

    def close(self) -> None:
        self._runner.close()
        self._journal.close()

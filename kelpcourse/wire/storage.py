"""The durable store in the loop: a thread does what blocks on the disk.

The thread gets one job at a time and owns the journal's files. It tells the loop of the end of each
over an eventfd, so a slow sync delays nothing else.
"""

from __future__ import annotations

import contextlib
import os
import queue
import threading
from collections.abc import Callable
from functools import partial
from typing import Generic, Protocol, TypeVar

from kelpcourse.limits import Limits
from kelpcourse.store.commit import Append, Commit, Job, JobResult, Outcome, Settled
from kelpcourse.store.journal import Journal
from kelpcourse.store.recovery import Recovered
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Wait

T = TypeVar("T")


class JobRunner(Protocol):
    """Runs one job at a time off the loop."""

    fd: int  # readable once a job has ended

    def start(self, job: Callable[[], JobResult]) -> None:
        """Start a job."""

    def take_result(self) -> JobResult | None:
        """Give the result of the job that has ended, or None if none has."""

    def close(self) -> None:
        """Wait for the job that is running and release the runner."""


class StorageThread:
    """A JobRunner with one worker thread.

    A job that raises counts as one with an unknown outcome: nobody knows what it wrote.
    """

    def __init__(self) -> None:
        """Start the thread."""
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._jobs: queue.SimpleQueue[Callable[[], JobResult] | None] = queue.SimpleQueue()
        self._results: queue.SimpleQueue[JobResult] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def start(self, job: Callable[[], JobResult]) -> None:
        """Hand a job to the thread."""
        self._jobs.put(job)

    def _run(self) -> None:
        while True:
            job = self._jobs.get()
            if job is None:
                return
            try:
                result = job()
            except Exception as error:
                result = JobResult(Outcome.UNKNOWN, reason=repr(error))
            self._results.put(result)
            os.eventfd_write(self.fd, 1)

    def take_result(self) -> JobResult | None:
        """Give the result of the job that has ended, or None if none has."""
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)
        try:
            return self._results.get_nowait()
        except queue.Empty:
            return None

    def close(self) -> None:
        """Wait for the job that is running and end the thread.

        The write of that job is complete, but its result is not reported.
        """
        self._jobs.put(None)
        self._thread.join()
        os.close(self.fd)


class DurableWriter(Generic[T]):
    """Makes changes durable and reports each, by its ticket, once its outcome is known."""

    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        journal: Journal,
        recovered: Recovered,
        runner: JobRunner,
        snapshot: Callable[[], bytes],
        on_settled: Callable[[Settled[T]], None],
        on_failed: Callable[[str, bool], None],
    ) -> None:
        """Create a writer; `run` is its coroutine.

        Args:
            loop: Gives the time.
            limits: Sizes of what is staged and of the journal.
            journal: The files to write to.
            recovered: What was found in the files at the start.
            runner: Where the writes run.
            snapshot: Encodes the whole state, for compaction.
            on_settled: Called with the tickets whose outcome is known.
            on_failed: Called when a job fails, with the reason and whether the store is broken.
        """
        self._loop = loop
        self._journal = journal
        self._runner = runner
        self._snapshot = snapshot
        self._on_settled = on_settled
        self._on_failed = on_failed
        self._commit: Commit[T] = Commit(
            limits, recovered.next_number, recovered.journal_bytes, recovered.needs_generation
        )
        self._staged = Signal()

    @property
    def broken(self) -> bool:
        """Whether a sync has failed, so that a new generation of files is needed first."""
        return self._commit.broken

    @property
    def waiting(self) -> int:
        """The number of changes that are staged and not yet durable."""
        return self._commit.waiting

    def stage(self, payload: bytes, ticket: T) -> bool:
        """Queue a change to be made durable.

        Returns:
            False if it was rejected. Otherwise `on_settled` gets the ticket later, never within this
            call.
        """
        accepted = self._commit.stage(payload, ticket)
        if accepted:
            self._staged.set()
        return accepted

    def run(self) -> Coroutine[None]:
        """Write what is staged; everything staged within one round of the loop shares one sync."""
        while True:
            job = self._commit.next_job(self._loop.clock())
            if job is None:
                yield Wait(self._commit.due_us(), signal=self._staged)
                self._staged.clear()
                continue
            self._runner.start(self._bind(job))
            result = self._runner.take_result()
            while result is None:
                yield Wait(fd=self._runner.fd, event_mask=READ)
                result = self._runner.take_result()
            self._settle(result)

    def _bind(self, job: Job) -> Callable[[], JobResult]:
        if isinstance(job, Append):
            return partial(self._journal.append, job.records)
        return partial(self._journal.compact, job.snapshot_number, self._snapshot())

    def _settle(self, result: JobResult) -> None:
        settled = self._commit.settle(result.outcome, result.size_bytes, self._loop.clock())
        if result.outcome is not Outcome.DONE:
            self._on_failed(result.reason, self._commit.broken)
        self._on_settled(settled)

    def close(self) -> None:
        """Wait for the write that is running and close the files."""
        self._runner.close()
        self._journal.close()

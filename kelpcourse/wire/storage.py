"""Durable writes from the event loop, with a thread for operations that block on the disk.

The thread receives one job at a time and owns the journal's files. It notifies the loop of the end of each job through
an eventfd, so a slow sync does not delay other tasks.
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
    """Interface for running one job at a time outside the loop."""

    fd: int  # descriptor that is readable once a job has ended

    def start(self, job: Callable[[], JobResult]) -> None:
        """Starts a job."""

    def take_result(self) -> JobResult | None:
        """Returns the result of the job that has ended; None if none has."""

    def close(self) -> None:
        """Waits for the running job and releases the runner's resources."""


class StorageThread:
    """A JobRunner with one worker thread.

    A job that raises an exception has an unknown outcome, because it may have written any part of its data.
    """

    def __init__(self) -> None:
        """Starts the thread."""
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._jobs: queue.SimpleQueue[Callable[[], JobResult] | None] = queue.SimpleQueue()
        self._results: queue.SimpleQueue[JobResult] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def start(self, job: Callable[[], JobResult]) -> None:
        """Passes a job to the thread."""
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
        """Returns the result of the job that has ended; None if none has."""
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.fd)
        try:
            return self._results.get_nowait()
        except queue.Empty:
            return None

    def close(self) -> None:
        """Waits for the running job and ends the thread.

        The write of that job is completed, but its result is not reported.
        """
        self._jobs.put(None)
        self._thread.join()
        os.close(self.fd)


class DurableWriter(Generic[T]):
    """Makes changes durable and reports the outcome of each one with its ticket."""

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
        """Initializes a writer, whose coroutine is `run`.

        Args:
            loop: Loop whose clock is used.
            limits: Limits of the sizes of staged changes and of the journal.
            journal: Journal that writes the files.
            recovered: Content of the files at startup.
            runner: Runner for the writes.
            snapshot: Function that returns the encoded complete state, for compaction.
            on_settled: Function that is called with the tickets whose outcome has become known.
            on_failed: Function that is called when a job fails, with the reason and whether the store is broken.
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
        """Whether changes are rejected until a new generation of files is written, as after a failed sync."""
        return self._commit.broken

    @property
    def pending_changes(self) -> int:
        """The number of changes that are staged and not yet durable."""
        return self._commit.pending_changes

    def stage(self, payload: bytes, ticket: T) -> bool:
        """Queues a change to be made durable.

        Returns:
            False if the change was rejected. Otherwise `on_settled` receives the ticket later, never during this call.
        """
        accepted = self._commit.stage(payload, ticket)
        if accepted:
            self._staged.set()
        return accepted

    def run(self) -> Coroutine[None]:
        """Writes staged changes, indefinitely; all changes staged in one round of the loop share one sync."""
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
        """Waits for the running write and closes the files."""
        self._runner.close()
        self._journal.close()

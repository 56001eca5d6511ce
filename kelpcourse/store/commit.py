"""When changes are written, together, and what a failure undoes: group commit as a state machine. Pure.

One job runs at a time. What is staged while it runs goes into the next: one sync serves all of them. Each
staged change builds on those before it, so a failed job takes along all that was staged since.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from kelpcourse.limits import Limits
from kelpcourse.store.frames import FRAME, Record

T = TypeVar("T")


class Outcome(Enum):
    DONE = "done"
    NOT_WRITTEN = "not_written"  # the file is as it was before the job
    UNSURE = "unsure"  # after a failed sync nobody knows what the file holds, nor does a second sync tell


@dataclass(frozen=True)
class Append:
    records: tuple[Record, ...]


@dataclass(frozen=True)
class Compact:
    """A new generation: a snapshot of all that is durable, and an empty journal after it."""

    first: int  # number of the snapshot's own record; the next change is one above


Job = Append | Compact


@dataclass
class Settled(Generic[T]):
    durable: list[T] = field(default_factory=list)
    undone: list[T] = field(default_factory=list)  # in the order they were staged
    compacted: bool = False  # the snapshot stands


class Commit(Generic[T]):
    """Staged changes by the caller's own tickets."""

    def __init__(self, limits: Limits, next_number: int, journal_bytes: int, fresh: bool) -> None:
        self._limits = limits
        self._next = next_number
        self._durable_next = next_number
        self._journal_bytes = journal_bytes
        self._snapshot_bytes = 0
        self._broken = fresh  # only a new generation can be written on
        self._retry_us = 0
        self._staged: list[tuple[Record, T]] = []
        self._writing: list[tuple[Record, T]] = []
        self._job: Job | None = None
        self._bytes = 0

    @property
    def broken(self) -> bool:
        """Changes are turned away until a new generation stands."""
        return self._broken

    @property
    def busy(self) -> bool:
        return self._job is not None

    @property
    def waiting(self) -> int:
        """Changes that are not durable yet."""
        return len(self._staged) + len(self._writing)

    def stage(self, payload: bytes, ticket: T) -> bool:
        """Takes a change in; false: it is turned away, as nothing can be written or too much waits."""
        size = FRAME.size + len(payload)
        if self._broken or self.waiting >= self._limits.max_staged_changes:
            return False
        if self._bytes and self._bytes + size > self._limits.max_staged_bytes:
            return False
        self._staged.append((Record(self._next, payload), ticket))
        self._next += 1
        self._bytes += size
        return True

    def next_job(self, now_us: int) -> Job | None:
        """The job to be started now. Compact comes between two batches, when all that was staged stands."""
        if self._job is not None:
            return None
        if self._compaction_due(now_us):
            self._job = Compact(self._durable_next - 1)
        elif self._staged:
            self._writing, self._staged = self._staged, []
            self._job = Append(tuple(record for record, _ in self._writing))
        return self._job

    def due_us(self) -> int | None:
        """When a job is to be tried again though nothing is staged."""
        return self._retry_us if self._broken and self._job is None else None

    def settle(self, outcome: Outcome, size: int, now_us: int) -> Settled[T]:
        """The job has ended; `size`: bytes that it wrote."""
        job, self._job = self._job, None
        if isinstance(job, Compact):
            return self._settle_compact(outcome, size, now_us)
        batch, self._writing = self._writing, []
        if outcome is Outcome.DONE:
            self._journal_bytes += size
            self._durable_next += len(batch)
            self._bytes -= sum(FRAME.size + len(record.payload) for record, _ in batch)
            return Settled(durable=[ticket for _, ticket in batch])
        undone = [ticket for _, ticket in batch] + self._drop_staged()
        if outcome is Outcome.UNSURE:
            self._broken = True
            self._retry_us = now_us
        return Settled(undone=undone)

    def _drop_staged(self) -> list[T]:
        undone = [ticket for _, ticket in self._staged]
        self._staged, self._bytes, self._next = [], 0, self._durable_next
        return undone

    def _settle_compact(self, outcome: Outcome, size: int, now_us: int) -> Settled[T]:
        if outcome is Outcome.DONE:
            self._snapshot_bytes, self._journal_bytes, self._broken = size, 0, False
        elif outcome is Outcome.UNSURE:
            self._broken = True
        self._retry_us = now_us + self._limits.snapshot_retry_us
        return Settled(
            undone=self._drop_staged() if self._broken else [], compacted=outcome is Outcome.DONE
        )

    def _compaction_due(self, now_us: int) -> bool:
        if self._broken:
            return now_us >= self._retry_us
        grown = self._journal_bytes > max(
            self._limits.min_compaction_bytes,
            self._limits.compaction_factor * self._snapshot_bytes,
        )
        return grown and now_us >= self._retry_us

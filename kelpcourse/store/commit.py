"""Group commit as a state machine: decides which changes are written together and which ones a failure undoes.

One job runs at a time. Changes that are staged while it runs are written by the next job, with one sync for all of
them. Each staged change builds on the changes before it, so a failed job also undoes all changes staged after it.
This module does no input or output.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from kelpcourse.limits import Limits
from kelpcourse.store.frames import FRAME, Record

Ticket = TypeVar("Ticket")


class Outcome(Enum):
    """The outcome of a job."""

    DONE = "done"
    NOT_WRITTEN = "not_written"  # the file is the same as before the job
    UNKNOWN = "unknown"  # a sync failed; a later successful sync does not show what was lost


class JobResult(NamedTuple):
    """The outcome of a job, the number of bytes that it wrote, and the reason for a failure."""

    outcome: Outcome
    size_bytes: int = 0
    reason: str = ""


@dataclass(frozen=True)
class Append:
    """A job that appends records to the journal and syncs it."""

    records: tuple[Record, ...]


@dataclass(frozen=True)
class Compact:
    """A job that creates a new generation: a snapshot of the durable state, and an empty journal.

    Attributes:
        snapshot_number: Number of the snapshot's own record. The next change has the number after it.
    """

    snapshot_number: int


Job = Append | Compact


@dataclass
class Settled(Generic[Ticket]):
    """The tickets of the changes that a job settled, in the order in which they were staged.

    Attributes:
        durable: Tickets of the changes that are durable.
        undone: Tickets of the changes that were not written.
        compacted: Whether a new generation was created.
    """

    durable: list[Ticket] = field(default_factory=list)
    undone: list[Ticket] = field(default_factory=list)
    compacted: bool = False


class Commit(Generic[Ticket]):
    """Tracks staged changes, each with a ticket that the caller provides."""

    def __init__(
        self, limits: Limits, next_number: int, journal_bytes: int, needs_generation: bool
    ) -> None:
        """Initializes the state from the result of a recovery.

        Args:
            limits: Limits of staged changes and of the journal's size before a compaction.
            next_number: Number of the next record.
            journal_bytes: Size of the recovered journal, in bytes.
            needs_generation: Whether a new generation must be created before anything is written.
        """
        self._limits = limits
        self._next_number = next_number
        self._next_durable_number = next_number
        self._journal_bytes = journal_bytes
        self._snapshot_bytes = 0
        self._broken = needs_generation
        self._retry_us = 0
        self._staged: list[tuple[Record, Ticket]] = []
        self._writing: list[tuple[Record, Ticket]] = []
        self._job: Job | None = None
        self._pending_bytes = 0  # size of the frames that are staged or being written

    @property
    def broken(self) -> bool:
        """Whether changes are rejected until a new generation has been created."""
        return self._broken

    @property
    def busy(self) -> bool:
        """Whether a job is running."""
        return self._job is not None

    @property
    def pending_changes(self) -> int:
        """The number of changes that are staged or being written, and so not durable yet."""
        return len(self._staged) + len(self._writing)

    def stage(self, payload: bytes, ticket: Ticket) -> bool:
        """Stages a change, unless the journal cannot be written or too many changes or bytes are pending.

        Returns:
            Whether the change was staged.
        """
        size_bytes = FRAME.size + len(payload)
        if self._broken or self.pending_changes >= self._limits.max_staged_changes:
            return False
        pending_bytes = self._pending_bytes + size_bytes
        if self._pending_bytes and pending_bytes > self._limits.max_staged_bytes:
            return False
        self._staged.append((Record(self._next_number, payload), ticket))
        self._next_number += 1
        self._pending_bytes = pending_bytes
        return True

    def next_job(self, now_us: int) -> Job | None:
        """Returns the job to start now, if any. A due compaction precedes the next batch."""
        if self._job is not None:
            return None
        if self._compaction_due(now_us):
            self._job = Compact(self._next_durable_number - 1)
        elif self._staged:
            self._writing = self._staged
            self._staged = []
            self._job = Append(tuple(record for record, _ in self._writing))
        return self._job

    def due_us(self) -> int | None:
        """Returns when to retry the compaction of a broken journal; None if it is not broken or a job is running."""
        return self._retry_us if self._broken and self._job is None else None

    def settle(self, outcome: Outcome, size_bytes: int, now_us: int) -> Settled[Ticket]:
        """Handles the end of the running job, which wrote `size_bytes`."""
        job = self._job
        self._job = None
        if isinstance(job, Compact):
            return self._settle_compaction(outcome, size_bytes, now_us)
        return self._settle_batch(outcome, size_bytes, now_us)

    def _settle_batch(self, outcome: Outcome, size_bytes: int, now_us: int) -> Settled[Ticket]:
        batch = self._writing
        self._writing = []
        tickets = [ticket for _, ticket in batch]
        if outcome is Outcome.DONE:
            self._journal_bytes += size_bytes
            self._next_durable_number += len(batch)
            self._pending_bytes -= sum(FRAME.size + len(record.payload) for record, _ in batch)
            return Settled(durable=tickets)
        if outcome is Outcome.UNKNOWN:
            self._broken = True
            self._retry_us = now_us
        return Settled(undone=tickets + self._drop_staged())

    def _settle_compaction(self, outcome: Outcome, size_bytes: int, now_us: int) -> Settled[Ticket]:
        compacted = outcome is Outcome.DONE
        if compacted:
            self._snapshot_bytes = size_bytes
            self._journal_bytes = 0
            self._broken = False
        elif outcome is Outcome.UNKNOWN:
            self._broken = True
        self._retry_us = now_us + self._limits.snapshot_retry_us
        undone = self._drop_staged() if self._broken else []
        return Settled(undone=undone, compacted=compacted)

    def _drop_staged(self) -> list[Ticket]:
        undone = [ticket for _, ticket in self._staged]
        self._staged = []
        self._pending_bytes = 0
        self._next_number = self._next_durable_number
        return undone

    def _compaction_due(self, now_us: int) -> bool:
        if now_us < self._retry_us:
            return False
        max_bytes = max(
            self._limits.min_compaction_bytes,
            self._limits.compaction_factor * self._snapshot_bytes,
        )
        return self._broken or self._journal_bytes > max_bytes

"""An event loop on select.epoll that runs generators as coroutines.

A coroutine is a generator that yields a `Wait` whenever it has to wait, and nothing else. The `Wait` names a
descriptor, a signal, a deadline, or several of these, and ends with the first of them. The loop resumes the coroutine
with the `WakeReason`. A coroutine runs another one by `yield from`, which evaluates to the other's return value. If a
coroutine is stopped, its current `yield` raises GeneratorExit, so its `finally` clauses and context managers run; they
must not yield.

The cost of a round depends on the number of tasks that are ready or due, not on the number of waiting tasks: deadlines
are kept in a heap, and each signal stores its waiters. If a wait ends before its deadline, its heap entry
remains. Such stale entries are skipped, and removed once they outnumber the valid ones.
"""

from __future__ import annotations

import contextlib
import heapq
import select
from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

T = TypeVar("T")

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT
MIN_STALE_DEADLINES = 64  # fewer stale entries don't justify the cost of removing them
MICROSECONDS_PER_SECOND = 1e6
WAIT_FOREVER = -1  # timeout of epoll that means no timeout


class WakeReason(Enum):
    """The reason for which a coroutine is resumed."""

    READY = "ready"  # the descriptor is readable, writable or in an error state
    SIGNALLED = "signalled"
    TIMED_OUT = "timed_out"


class Signal:
    """A flag that coroutines can wait for, like asyncio.Event."""

    def __init__(self) -> None:
        """Initializes a signal that is not set."""
        self._is_set = False
        self._waiters: dict[Task, Loop] = {}

    def is_set(self) -> bool:
        """Returns whether the signal is set."""
        return self._is_set

    def set(self) -> None:
        """Sets the signal and wakes all tasks that wait for it."""
        self._is_set = True
        for task, loop in self._waiters.items():
            loop.wake(task)

    def clear(self) -> None:
        """Resets the signal; tasks that were woken but not yet resumed continue to wait."""
        self._is_set = False

    def add_waiter(self, task: Task, loop: Loop) -> None:
        """Registers a task that waits for the signal."""
        self._waiters[task] = loop
        if self._is_set:
            loop.wake(task)

    def remove_waiter(self, task: Task) -> None:
        """Removes a task that no longer waits for the signal."""
        self._waiters.pop(task, None)


@dataclass(frozen=True, slots=True)
class Wait:
    """The value that a coroutine yields: a set of conditions, of which the first to become true resumes it.

    Attributes:
        deadline_us: Time of the loop's clock, in microseconds, at which the wait ends; None means no deadline.
        fd: Descriptor to poll; -1 means none.
        event_mask: Events to poll the descriptor for, READ or WRITE.
        signal: Signal to wait for; None means none.
    """

    deadline_us: int | None = None
    fd: int = -1
    event_mask: int = 0
    signal: Signal | None = None


Coroutine = Generator[Wait, WakeReason, T]


class Task:
    """A started coroutine and its current wait."""

    __slots__ = ("coroutine", "name", "wait", "wait_number")

    def __init__(self, name: str, coroutine: Coroutine[None]) -> None:
        """Initializes a task, which `Loop.start` runs."""
        self.name = name
        self.coroutine = coroutine
        self.wait: Wait | None = None
        self.wait_number = 0  # distinguishes the deadline of this wait from those of earlier waits


class Loop:
    """Runs tasks on one thread."""

    def __init__(
        self,
        clock: Callable[[], int],
        on_unexpected_error: Callable[[str, Exception], None],
    ) -> None:
        """Initializes a loop without tasks.

        Args:
            clock: Function that returns the time in microseconds.
            on_unexpected_error: Function that is called with the name of a task and the exception that ended it.
        """
        self.clock = clock
        self._on_unexpected_error = on_unexpected_error
        self._poll = select.epoll()
        self._tasks: dict[Task, None] = {}
        self._task_by_fd: dict[int, Task] = {}
        self._signalled: dict[Task, None] = {}
        # Heap entries: deadline, order of entry, wait number, task.
        self._deadlines: list[tuple[int, int, int, Task]] = []
        self._deadline_entries = 0
        self._waits_with_deadline = 0

    def start(self, name: str, coroutine: Coroutine[None]) -> Task:
        """Starts a coroutine and runs it up to its first wait."""
        task = Task(name, coroutine)
        self._tasks[task] = None
        self._advance(task, None)
        return task

    def stop(self, task: Task) -> None:
        """Closes a coroutine at its current wait; its `finally` clauses run.

        A coroutine must not stop itself. Stopping a task that has ended does nothing.
        """
        if task in self._tasks:
            del self._tasks[task]
            self._end_wait(task)
            self._close_coroutine(task)

    def close(self) -> None:
        """Stops all tasks and closes the epoll descriptor."""
        for task in list(self._tasks):
            self.stop(task)
        self._poll.close()

    def __len__(self) -> int:
        """Returns the number of tasks that have not ended."""
        return len(self._tasks)

    def wake(self, task: Task) -> None:
        """Schedules a task for the next round because its signal is set; called by `Signal`."""
        self._signalled[task] = None

    def run_once(self, until_us: int | None) -> int:
        """Runs one round: sleeps until a wait ends, then resumes once each task whose wait has ended.

        Args:
            until_us: Time, in microseconds, at which the round ends even if no wait has ended; None means never.

        Returns:
            Number of tasks that were woken.
        """
        signalled = self._signalled
        self._signalled = {}
        woken: dict[Task, WakeReason] = {}
        for task in signalled:
            wait = task.wait
            # The signal may have been cleared since the task was woken.
            if wait is not None and wait.signal is not None and wait.signal.is_set():
                woken[task] = WakeReason.SIGNALLED
        self._collect_ready(woken, 0 if woken else self._seconds_to(until_us))
        if self._has_due_deadline():
            # A poll that is interrupted because the process was stopped reports no descriptors, although some may be
            # ready. A peer that sent in time is not taken for silent.
            self._collect_ready(woken, 0)
        self._collect_timed_out(woken)
        for task, reason in woken.items():
            if task in self._tasks:  # another task may have stopped it in this round
                self._advance(task, reason)
        return len(woken)

    def _collect_ready(self, woken: dict[Task, WakeReason], timeout_s: float) -> None:
        for fd, _ in self._poll.poll(timeout_s):
            task = self._task_by_fd.get(fd)
            # No task waits for a descriptor that was closed, but epoll reports it while a duplicate is open.
            if task is None:
                self._unregister(fd)
            else:
                woken.setdefault(task, WakeReason.READY)

    def _has_due_deadline(self) -> bool:
        deadline_us = self._next_deadline_us()
        return deadline_us is not None and deadline_us <= self.clock()

    def _collect_timed_out(self, woken: dict[Task, WakeReason]) -> None:
        now_us = self.clock()
        while self._deadlines and self._deadlines[0][0] <= now_us:
            _, _, wait_number, task = heapq.heappop(self._deadlines)
            if wait_number == task.wait_number and task.wait is not None:
                woken.setdefault(task, WakeReason.TIMED_OUT)

    def _seconds_to(self, until_us: int | None) -> float:
        deadline_us = self._next_deadline_us()
        if deadline_us is None or (until_us is not None and until_us < deadline_us):
            deadline_us = until_us
        if deadline_us is None:
            return WAIT_FOREVER
        return max(0, deadline_us - self.clock()) / MICROSECONDS_PER_SECOND

    def _next_deadline_us(self) -> int | None:
        while self._deadlines:
            deadline_us, _, wait_number, task = self._deadlines[0]
            if wait_number == task.wait_number and task.wait is not None:
                return deadline_us
            heapq.heappop(self._deadlines)
        return None

    def _advance(self, task: Task, reason: WakeReason | None) -> None:
        """Resumes a task and registers its next wait; `reason` is None for its first run."""
        self._end_wait(task)
        try:
            wait = next(task.coroutine) if reason is None else task.coroutine.send(reason)
        except StopIteration:
            self._tasks.pop(task, None)
            return
        except Exception as error:  # ends only this task, not the process
            self._tasks.pop(task, None)
            self._on_unexpected_error(task.name, error)
            return
        if wait.fd >= 0 and not self._register(task, wait):
            return
        task.wait = wait
        task.wait_number += 1
        if wait.signal is not None:
            wait.signal.add_waiter(task, self)
        if wait.deadline_us is not None:
            self._deadline_entries += 1
            self._waits_with_deadline += 1
            entry = (wait.deadline_us, self._deadline_entries, task.wait_number, task)
            heapq.heappush(self._deadlines, entry)
            if len(self._deadlines) > 2 * self._waits_with_deadline + MIN_STALE_DEADLINES:
                self._sweep_stale_deadlines()

    def _register(self, task: Task, wait: Wait) -> bool:
        """Registers the descriptor of a wait with epoll; if that fails, ends the task and returns False.

        A descriptor that was closed, or that another task waits for, would never wake the task. If a descriptor was
        closed and its number reused, the number belongs to the last task that waits for it.
        """
        try:
            self._poll.register(wait.fd, wait.event_mask)
        except (OSError, ValueError) as error:
            self._tasks.pop(task, None)
            self._on_unexpected_error(task.name, error)
            self._close_coroutine(task)
            return False
        self._task_by_fd[wait.fd] = task
        return True

    def _unregister(self, fd: int) -> None:
        # If the descriptor was closed during the wait, the system has unregistered it already.
        with contextlib.suppress(OSError, ValueError):
            self._poll.unregister(fd)

    def _close_coroutine(self, task: Task) -> None:
        """Closes the coroutine of a task that has ended, which runs its `finally` clauses."""
        try:
            task.coroutine.close()
        except Exception as error:
            self._on_unexpected_error(task.name, error)

    def _sweep_stale_deadlines(self) -> None:
        """Removes the deadlines of waits that ended before them.

        A busy connection with a distant deadline adds a stale deadline with every message.
        """
        self._deadlines = [
            entry
            for entry in self._deadlines
            if entry[2] == entry[3].wait_number and entry[3].wait is not None
        ]
        heapq.heapify(self._deadlines)

    def _end_wait(self, task: Task) -> None:
        wait = task.wait
        task.wait = None
        if wait is None:
            return
        if wait.fd >= 0 and self._task_by_fd.get(wait.fd) is task:
            del self._task_by_fd[wait.fd]
            self._unregister(wait.fd)
        if wait.signal is not None:
            wait.signal.remove_waiter(task)
        if wait.deadline_us is not None:
            self._waits_with_deadline -= 1

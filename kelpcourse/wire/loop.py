"""Generators as coroutines on select.epoll. A routine yields a Wait and is told why it goes on.

A turn costs what is ready and due, not how many routines wait: times stand in a heap, and a signal knows
who waits for it. An entry of the heap outlives a wait that ended early; such entries are passed over, and
swept out once they outnumber the others.
"""

from __future__ import annotations

import contextlib
import heapq
import select
from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT
SWEEP_LEAST = 64  # stale times that are not worth a sweep


class Woken(Enum):
    READY = "ready"  # the descriptor can be read or written, or has failed
    SIGNALLED = "signalled"
    LATE = "late"  # the time limit of the wait has passed


class Signal:
    """Raised by one part, taken by the routines that wait for it; raising it twice is raising it once."""

    def __init__(self) -> None:
        self._raised = False
        self._waiting: dict[Task, Loop] = {}

    def __bool__(self) -> bool:
        return self._raised

    def raise_(self) -> None:
        self._raised = True
        for task, loop in self._waiting.items():
            loop.signalled(task)

    def lower(self) -> None:
        self._raised = False

    def await_(self, task: Task, loop: Loop) -> None:
        self._waiting[task] = loop
        if self._raised:
            loop.signalled(task)

    def forget(self, task: Task) -> None:
        self._waiting.pop(task, None)


@dataclass(frozen=True, slots=True)
class Wait:
    until_us: int | None = None
    fd: int = -1
    mask: int = 0
    signal: Signal | None = None


Routine = Generator[Wait, Woken, None]


class Task:
    """A running routine and what it waits for."""

    __slots__ = ("name", "routine", "wait", "waits")

    def __init__(self, name: str, routine: Routine) -> None:
        self.name = name
        self.routine = routine
        self.wait: Wait | None = None
        self.waits = 0  # so far; tells a time of this wait from one of a wait before


class Loop:
    def __init__(
        self, clock: Callable[[], int], on_defect: Callable[[str, Exception], None]
    ) -> None:
        self.clock = clock
        self._on_defect = on_defect
        self._poll = select.epoll()
        self._tasks: dict[Task, None] = {}
        self._by_fd: dict[int, Task] = {}
        self._signalled: dict[Task, None] = {}
        self._times: list[
            tuple[int, int, int, Task]
        ] = []  # due, order of entry, the task's wait, the task
        self._entries = 0
        self._timed = 0  # tasks whose wait has a time limit

    def start(self, name: str, routine: Routine) -> Task:
        task = Task(name, routine)
        self._tasks[task] = None
        self._advance(task, None)
        return task

    def stop(self, task: Task) -> None:
        """Ends a routine where it waits; its `finally` parts run. A routine may not stop itself."""
        if self._tasks.pop(task, self) is not self:
            self._forget(task)
            self._end(task)

    def close(self) -> None:
        for task in list(self._tasks):
            self.stop(task)
        self._poll.close()

    def __len__(self) -> int:
        return len(self._tasks)

    def signalled(self, task: Task) -> None:
        """A signal that the task waits for has been raised."""
        self._signalled[task] = None

    def turn(self, until_us: int | None) -> int:
        """One round: sleeps until something is due, then lets each routine concerned go on once. Tells how
        many did."""
        signalled, self._signalled = self._signalled, {}
        woken: dict[Task, Woken] = {}
        for task in signalled:
            if task.wait is not None and task.wait.signal:  # it may have been lowered again since
                woken[task] = Woken.SIGNALLED
        for fd, _ in self._poll.poll(0 if woken else self._seconds_to(until_us)):
            waits = self._by_fd.get(fd)
            if waits is None:  # closed while a copy of it stays open: nobody waits for it any more
                self._unregister(fd)
            else:
                woken.setdefault(waits, Woken.READY)
        now = self.clock()
        while self._times and self._times[0][0] <= now:
            _, _, wait, task = heapq.heappop(self._times)
            if wait == task.waits and task.wait is not None:
                woken.setdefault(task, Woken.LATE)
        for task, why in woken.items():
            if task in self._tasks:  # another routine may have stopped it in this round
                self._advance(task, why)
        return len(woken)

    def _seconds_to(self, until_us: int | None) -> float:
        due = self._next_due()
        if due is None or (until_us is not None and until_us < due):
            due = until_us
        return max(0, due - self.clock()) / 1e6 if due is not None else -1

    def _next_due(self) -> int | None:
        while self._times:
            due, _, wait, task = self._times[0]
            if wait == task.waits and task.wait is not None:
                return due
            heapq.heappop(self._times)
        return None

    def _advance(self, task: Task, why: Woken | None) -> None:
        self._forget(task)
        try:
            wait = next(task.routine) if why is None else task.routine.send(why)
        except StopIteration:
            self._tasks.pop(task, None)
            return
        except (
            Exception
        ) as error:  # a defect in one routine ends that routine, loudly, not the director
            self._tasks.pop(task, None)
            self._on_defect(task.name, error)
            return
        if wait.fd >= 0 and not self._register(task, wait):
            return
        task.wait = wait
        task.waits += 1
        if wait.signal is not None:
            wait.signal.await_(task, self)
        if wait.until_us is not None:
            self._entries += 1
            self._timed += 1
            heapq.heappush(self._times, (wait.until_us, self._entries, task.waits, task))
            if len(self._times) > 2 * self._timed + SWEEP_LEAST:
                self._sweep()

    def _register(self, task: Task, wait: Wait) -> bool:
        """A descriptor that was closed meanwhile, or that another routine waits for, ends the routine: it can never
        be told that it is ready. One that was closed and used anew belongs to whoever waits for it last."""
        try:
            self._poll.register(wait.fd, wait.mask)
        except (OSError, ValueError) as error:
            self._tasks.pop(task, None)
            self._on_defect(task.name, error)
            self._end(task)
            return False
        self._by_fd[wait.fd] = task
        return True

    def _unregister(self, fd: int) -> None:
        with contextlib.suppress(
            OSError, ValueError
        ):  # closed while it was waited for: the system forgot it
            self._poll.unregister(fd)

    def _end(self, task: Task) -> None:
        """Runs the `finally` parts of a routine that is over."""
        try:
            task.routine.close()
        except Exception as error:
            self._on_defect(task.name, error)

    def _sweep(self) -> None:
        """Takes out the times of waits that ended early: a busy connection with a distant limit leaves one
        behind with every message."""
        self._times = [e for e in self._times if e[2] == e[3].waits and e[3].wait is not None]
        heapq.heapify(self._times)

    def _forget(self, task: Task) -> None:
        wait, task.wait = task.wait, None
        if wait is None:
            return
        if wait.fd >= 0 and self._by_fd.get(wait.fd) is task:
            del self._by_fd[wait.fd]
            self._unregister(wait.fd)
        if wait.signal is not None:
            wait.signal.forget(task)
        if wait.until_us is not None:
            self._timed -= 1

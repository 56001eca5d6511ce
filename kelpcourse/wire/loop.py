"""Generators as coroutines on select.epoll. A routine yields a Wait and is told why it goes on."""

from __future__ import annotations

import select
from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT


class Woken(Enum):
    READY = "ready"  # the descriptor can be read or written, or has failed
    SIGNALLED = "signalled"
    LATE = "late"  # the time limit of the wait has passed


class Signal:
    """Raised by one part, taken by the routine that waits for it; raising it twice is raising it once."""

    def __init__(self) -> None:
        self._raised = False

    def __bool__(self) -> bool:
        return self._raised

    def raise_(self) -> None:
        self._raised = True

    def lower(self) -> None:
        self._raised = False


@dataclass(frozen=True, slots=True)
class Wait:
    until_us: int | None = None
    fd: int = -1
    mask: int = 0
    signal: Signal | None = None


Routine = Generator[Wait, Woken, None]


class Task:
    """A running routine and what it waits for."""

    def __init__(self, name: str, routine: Routine) -> None:
        self.name = name
        self.routine = routine
        self.wait: Wait | None = None


class Loop:
    def __init__(self, clock: Callable[[], int], on_defect: Callable[[str, Exception], None]) -> None:
        self.clock = clock
        self._on_defect = on_defect
        self._poll = select.epoll()
        self._tasks: dict[Task, None] = {}
        self._by_fd: dict[int, Task] = {}

    def start(self, name: str, routine: Routine) -> Task:
        task = Task(name, routine)
        self._tasks[task] = None
        self._advance(task, None)
        return task

    def stop(self, task: Task) -> None:
        """Ends a routine where it waits; its `finally` parts run. A routine may not stop itself."""
        if self._tasks.pop(task, self) is not self:
            self._forget(task)
            task.routine.close()

    def close(self) -> None:
        for task in list(self._tasks):
            self.stop(task)
        self._poll.close()

    def __len__(self) -> int:
        return len(self._tasks)

    def turn(self, until_us: int | None) -> int:
        """One round: sleeps until something is due, then lets each routine concerned go on once. Tells how
        many did."""
        woken: dict[Task, Woken] = {}
        for task in self._tasks:
            if task.wait is not None and task.wait.signal:
                woken[task] = Woken.SIGNALLED
        for fd, _ in self._poll.poll(0 if woken else self._seconds_to(until_us)):
            task = self._by_fd[fd]
            woken.setdefault(task, Woken.READY)
        now = self.clock()
        for task in self._tasks:
            if task.wait is not None and task.wait.until_us is not None and task.wait.until_us <= now:
                woken.setdefault(task, Woken.LATE)
        for task, why in woken.items():
            if task in self._tasks:  # another routine may have stopped it in this round
                self._advance(task, why)
        return len(woken)

    def _seconds_to(self, until_us: int | None) -> float:
        dues = [t.wait.until_us for t in self._tasks if t.wait is not None and t.wait.until_us is not None]
        if until_us is not None:
            dues.append(until_us)
        return max(0, min(dues) - self.clock()) / 1e6 if dues else -1

    def _advance(self, task: Task, why: Woken | None) -> None:
        self._forget(task)
        try:
            wait = next(task.routine) if why is None else task.routine.send(why)
        except StopIteration:
            self._tasks.pop(task, None)
            return
        except Exception as error:  # a defect in one routine ends that routine, loudly, not the director
            self._tasks.pop(task, None)
            self._on_defect(task.name, error)
            return
        task.wait = wait
        if wait.fd >= 0:
            self._by_fd[wait.fd] = task
            self._poll.register(wait.fd, wait.mask)

    def _forget(self, task: Task) -> None:
        wait, task.wait = task.wait, None
        if wait is not None and wait.fd >= 0:
            del self._by_fd[wait.fd]
            self._poll.unregister(wait.fd)

"""Execution of long computations in a thread while a coroutine waits for the result.

This is only for computations without side effects, on data that no other code accesses at the same time. The
interpreter switches back to the loop's thread every few milliseconds, which limits the added latency.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

from kelpcourse.wire.loop import READ, Coroutine, Wait

T = TypeVar("T")


class _ThreadJob(Generic[T]):
    """A computation in a thread, its result, and an eventfd that signals its end.

    The coroutine may be stopped while the computation continues, so whichever of the two finishes last closes the
    descriptor.
    """

    def __init__(self, work: Callable[[], T]) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.result: T | None = None
        self.error: Exception | None = None
        self._work = work
        self._lock = threading.Lock()
        self._references = 2  # number of users of the descriptor: the thread and the coroutine

    def run(self) -> None:
        try:
            self.result = self._work()
        except Exception as error:  # raised again in the waiting coroutine
            self.error = error
        os.eventfd_write(self.fd, 1)
        self.release()

    def release(self) -> None:
        with self._lock:
            self._references -= 1
            if not self._references:
                os.close(self.fd)


def run_in_thread(work: Callable[[], T]) -> Coroutine[T]:
    """Calls `work` in a thread of its own, and returns its result or raises its exception."""
    job = _ThreadJob(work)
    threading.Thread(target=job.run, name="work", daemon=True).start()
    try:
        yield Wait(fd=job.fd, event_mask=READ)
    finally:
        job.release()
    if job.error is not None:
        raise job.error
    return job.result  # type: ignore[return-value]  # a T, as there was no error

"""Work that takes long, off the loop: it runs in a thread, and the routine that wants it waits.

For pure work alone, on what nobody else touches meanwhile. The interpreter lets the loop's thread go on every few
milliseconds, so orders are late by so much at most.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

from kelpcourse.wire.loop import READ, Coroutine, Wait

T = TypeVar("T")


class _Job(Generic[T]):
    """The descriptor is closed by whoever is done last: the routine may be stopped while the work goes on."""

    def __init__(self, work: Callable[[], T]) -> None:
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.result: T | None = None
        self.error: Exception | None = None
        self._work = work
        self._lock = threading.Lock()
        self._holders = 2

    def run(self) -> None:
        try:
            self.result = self._work()
        except Exception as error:  # raised again where it is waited for
            self.error = error
        os.eventfd_write(self.fd, 1)
        self.let_go()

    def let_go(self) -> None:
        with self._lock:
            self._holders -= 1
            if not self._holders:
                os.close(self.fd)


def in_thread(work: Callable[[], T]) -> Coroutine[T]:
    """What `work` returns or raises."""
    job = _Job(work)
    threading.Thread(target=job.run, name="work", daemon=True).start()
    try:
        yield Wait(fd=job.fd, event_mask=READ)
    finally:
        job.let_go()
    if job.error is not None:
        raise job.error
    return job.result  # type: ignore[return-value]  # a T, as no error came

"""Signals as bytes on a socket that the loop waits for."""

from __future__ import annotations

import signal
import socket
from collections import deque
from collections.abc import Callable

from kelpcourse.wire.loop import READ, Coroutine, Wait

CAUGHT = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class Signals:
    """Caught from the making of this on, before anything else of a start: one that comes while the configuration
    is read is heard once the loop runs, and does not end the process."""

    def __init__(self) -> None:
        self._ours, self._theirs = socket.socketpair()
        self._ours.setblocking(False)
        self._theirs.setblocking(False)
        self._waiting: deque[int] = deque()
        signal.set_wakeup_fd(self._theirs.fileno(), warn_on_full_buffer=False)
        for number in CAUGHT:
            signal.signal(number, lambda *_: None)

    def read(self, on_signal: Callable[[int], None]) -> Coroutine[None]:
        """Hands them on in order when the loop is between two routines. If one ends it by a defect, those that came
        with it wait for the next reader."""
        while True:
            while self._waiting:
                on_signal(self._waiting.popleft())
            yield Wait(fd=self._ours.fileno(), event_mask=READ)
            self._waiting.extend(self._ours.recv(64))

    def close(self) -> None:
        signal.set_wakeup_fd(-1)
        self._ours.close()
        self._theirs.close()

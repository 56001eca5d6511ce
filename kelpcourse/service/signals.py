"""Delivery of signals through a socket that the loop waits for."""

from __future__ import annotations

import signal
import socket
from collections import deque
from collections.abc import Callable

from kelpcourse.wire.loop import READ, Coroutine, Wait

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
READ_BYTES = 64  # maximum number of signals in one read, as each signal is one byte


class Signals:
    """Catches the signals of the process from the construction of this object on.

    It is constructed before everything else at startup, so that a signal that arrives while the configuration is read
    does not end the process but is delivered once the loop runs.
    """

    def __init__(self) -> None:
        """Installs the signal handlers."""
        self._read_end, self._write_end = socket.socketpair()
        self._read_end.setblocking(False)
        self._write_end.setblocking(False)
        self._pending: deque[int] = deque()
        signal.set_wakeup_fd(self._write_end.fileno(), warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda *_: None)

    def read(self, on_signal: Callable[[int], None]) -> Coroutine[None]:
        """Delivers signals in the order of arrival, while no other coroutine runs.

        If `on_signal` raises, the signals that were received together with its signal are delivered by the next call of
        this method.
        """
        while True:
            while self._pending:
                on_signal(self._pending.popleft())
            yield Wait(fd=self._read_end.fileno(), event_mask=READ)
            self._pending.extend(self._read_end.recv(READ_BYTES))

    def close(self) -> None:
        """Stops delivery. The handlers stay installed, so that a late signal does not end the process."""
        signal.set_wakeup_fd(-1)
        self._read_end.close()
        self._write_end.close()

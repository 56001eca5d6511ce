"""Signals as bytes on a socket that the loop waits for."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable

from kelpcourse.wire.loop import READ, Routine, Wait


def signal_routine(on_signal: Callable[[int], None]) -> Routine:
    """Hands on SIGTERM, SIGINT, SIGUSR1 and SIGHUP when the loop is between two routines."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return _read(ours, theirs, on_signal)


def _read(ours: socket.socket, theirs: socket.socket, on_signal: Callable[[int], None]) -> Routine:
    try:
        while True:
            yield Wait(fd=ours.fileno(), mask=READ)
            for number in ours.recv(64):
                on_signal(number)
    finally:
        signal.set_wakeup_fd(-1)
        ours.close()
        theirs.close()

"""A loop on a fake clock, with coroutines that record why they are resumed."""

from __future__ import annotations

import socket

from kelpcourse.wire.loop import Coroutine, Loop, Wait
from tests.standins import FakeClock

SocketPair = tuple[socket.socket, socket.socket]


class LoopRig:
    """A loop that records the wake reasons of coroutines and the errors that ended tasks."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.unexpected_errors: list[tuple[str, Exception]] = []
        self.loop = Loop(
            self.clock, lambda name, error: self.unexpected_errors.append((name, error))
        )
        self.recorded: list[object] = []

    def record_waits(self, *waits: Wait) -> Coroutine[None]:
        for wait in waits:
            self.recorded.append((yield wait))

"""Fixtures that several test files use."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from tests.listening import ListenerRig
from tests.loop_rig import SocketPair
from tests.standins import HASTY, Bench


@pytest.fixture
def bench() -> Iterator[Bench]:
    """The loop, door, counters and log that a counterpart is handed, on a clock of the test's own."""
    made = Bench()
    yield made
    made.close()


@pytest.fixture
def front(bench: Bench) -> Iterator[ListenerRig]:
    made = ListenerRig(bench)
    yield made
    made.close()


@pytest.fixture
def impatient_front() -> Iterator[ListenerRig]:
    bench = Bench(HASTY)
    made = ListenerRig(bench)
    yield made
    made.close()
    bench.close()


@pytest.fixture
def pair() -> Iterator[SocketPair]:
    """Two connected sockets."""
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()

"""The loop: why a routine goes on, that one can end another, and that a defect ends one alone."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

import pytest

from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Task, Wait, WakeReason
from kelpcourse.wire.stream import Stream
from tests.standins import FakeClock

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture
def pair() -> Iterator[Pair]:
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


class Rig:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.defects: list[tuple[str, Exception]] = []
        self.loop = Loop(self.clock, lambda name, error: self.defects.append((name, error)))
        self.told: list[object] = []

    def waits(self, *waits: Wait) -> Coroutine[None]:
        for wait in waits:
            self.told.append((yield wait))


def test_a_routine_is_told_what_woke_it(pair: Pair) -> None:
    rig, signal = Rig(), Signal()
    fd = pair[0].fileno()
    rig.loop.start(
        "it", rig.waits(Wait(fd=fd, event_mask=READ), Wait(signal=signal), Wait(rig.clock.now + 10))
    )
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    signal.set()
    rig.loop.run_once(rig.clock.now)
    rig.clock.now += 10
    rig.loop.run_once(rig.clock.now)
    assert rig.told == [WakeReason.READY, WakeReason.SIGNALLED, WakeReason.TIMED_OUT]
    assert len(rig.loop) == 0


def test_nothing_goes_on_before_its_time(pair: Pair) -> None:
    rig = Rig()
    rig.loop.start("it", rig.waits(Wait(rig.clock.now + 10, pair[0].fileno(), READ)))
    assert rig.loop.run_once(rig.clock.now) == 0
    assert rig.told == []


def test_a_stopped_routine_cleans_up_and_is_not_woken(pair: Pair) -> None:
    rig, cleaned = Rig(), []

    def routine() -> Coroutine[None]:
        try:
            yield Wait(fd=pair[0].fileno(), event_mask=READ)
        finally:
            cleaned.append(True)

    task = rig.loop.start("it", routine())
    rig.loop.stop(task)
    rig.loop.stop(task)
    pair[1].send(b"x")
    assert rig.loop.run_once(rig.clock.now) == 0
    assert cleaned == [True]


def test_a_routine_stopped_by_another_in_the_same_round_does_not_go_on(pair: Pair) -> None:
    rig = Rig()
    tasks: list[Task] = []

    def first() -> Coroutine[None]:
        yield Wait(fd=pair[0].fileno(), event_mask=READ)
        rig.loop.stop(tasks[1])

    tasks.append(rig.loop.start("first", first()))
    tasks.append(rig.loop.start("second", rig.waits(Wait(rig.clock.now))))
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    assert rig.told == []


def test_a_defect_ends_its_routine_alone_and_is_told() -> None:
    rig = Rig()

    def defective() -> Coroutine[None]:
        yield Wait(rig.clock.now)
        raise ZeroDivisionError

    rig.loop.start("defective", defective())
    rig.loop.start("sound", rig.waits(Wait(rig.clock.now)))
    rig.loop.run_once(rig.clock.now)
    assert [(name, type(error)) for name, error in rig.defects] == [
        ("defective", ZeroDivisionError)
    ]
    assert rig.told == [WakeReason.TIMED_OUT]


def test_the_loop_does_not_grow_with_time(pair: Pair) -> None:
    rig = Rig()

    def endless() -> Coroutine[None]:
        while True:
            yield Wait(rig.clock.now + 60_000_000, pair[0].fileno(), READ)
            pair[0].recv(10)

    rig.loop.start("endless", endless())
    for _ in range(500):
        pair[1].send(b"x")
        assert rig.loop.run_once(rig.clock.now) == 1
        rig.loop.start("short", rig.waits())
    assert len(rig.loop) == 1


def test_a_stream_reads_writes_and_tells_silence_and_the_end(pair: Pair) -> None:
    rig = Rig()
    stream, room = Stream(pair[0]), memoryview(bytearray(8))

    def talk() -> Coroutine[None]:
        yield from stream.send(b"hello", rig.clock.now + 10)
        rig.told.append((yield from stream.recv_into(room, rig.clock.now + 10)))
        try:
            yield from stream.recv_into(room, rig.clock.now + 10)
        except StreamTimeoutError as error:
            rig.told.append(str(error))
        rig.told.append((yield from stream.recv_into(room, rig.clock.now + 10)))

    rig.loop.start("talk", talk())
    assert pair[1].recv(10) == b"hello"
    pair[1].send(b"abc")
    rig.loop.run_once(rig.clock.now)
    rig.clock.now += 10
    rig.loop.run_once(rig.clock.now)
    assert not stream.is_stale()
    pair[1].close()
    assert stream.is_stale()
    rig.loop.run_once(rig.clock.now)
    assert rig.told == [3, "nothing came in time", 0]


def test_a_peer_that_takes_nothing_is_silent(pair: Pair) -> None:
    rig = Rig()

    def talk() -> Coroutine[None]:
        try:
            yield from Stream(pair[0]).send(b"x" * (8 << 20), rig.clock.now + 10)
        except StreamError as error:
            rig.told.append(str(error))

    rig.loop.start("talk", talk())
    rig.clock.now += 10
    rig.loop.run_once(rig.clock.now)
    assert rig.told == ["nothing was taken in time"]


def test_a_signal_lowered_before_the_turn_wakes_nobody() -> None:
    rig, signal = Rig(), Signal()
    rig.loop.start("it", rig.waits(Wait(rig.clock.now + 10, signal=signal)))
    signal.set()
    signal.clear()
    assert rig.loop.run_once(rig.clock.now) == 0
    signal.set()
    assert rig.loop.run_once(rig.clock.now) == 1
    assert rig.told == [WakeReason.SIGNALLED]


def test_a_signal_raised_before_the_wait_wakes_at_once_and_all_that_wait() -> None:
    rig, signal = Rig(), Signal()
    rig.loop.start("early", rig.waits(Wait(signal=signal)))
    signal.set()
    rig.loop.start("late", rig.waits(Wait(signal=signal)))
    assert rig.loop.run_once(None) == 2


def test_times_come_in_their_order_and_a_time_of_an_ended_wait_wakes_nobody(pair: Pair) -> None:
    rig = Rig()
    now = rig.clock.now
    order: list[str] = []

    def at(name: str, until_us: int) -> Coroutine[None]:
        yield Wait(until_us)
        order.append(name)

    for name, after in (("c", 30), ("a", 10), ("b", 20), ("b2", 20)):
        rig.loop.start(name, at(name, now + after))
    rig.loop.start("it", rig.waits(Wait(now + 15, pair[0].fileno(), READ), Wait(now + 1000)))
    pair[1].send(b"x")
    rig.loop.run_once(now)
    rig.clock.now += 30
    rig.loop.run_once(now)
    assert order == ["a", "b", "b2", "c"]
    assert rig.told == [WakeReason.READY]


def test_waits_that_end_early_leave_no_times_behind_for_good(pair: Pair) -> None:
    """A connection with a limit of a minute and a thousand messages a second would hold 60,000 of them."""
    rig = Rig()

    def endless() -> Coroutine[None]:
        while True:
            yield Wait(rig.clock.now + 60_000_000, pair[0].fileno(), READ)
            pair[0].recv(10)

    rig.loop.start("endless", endless())
    for _ in range(1000):
        pair[1].send(b"x")
        rig.loop.run_once(rig.clock.now)
    assert len(rig.loop._deadlines) < 100


# Descriptors that are closed, used anew or waited for twice within one round


def test_a_descriptor_closed_before_it_is_waited_for_ends_that_routine_alone(pair: Pair) -> None:
    rig = Rig()
    fd = pair[0].fileno()
    pair[0].close()
    rig.loop.start("closed", rig.waits(Wait(fd=fd, event_mask=READ)))
    rig.loop.start("other", rig.waits(Wait(rig.clock.now)))
    rig.loop.run_once(rig.clock.now)
    assert [name for name, _ in rig.defects] == ["closed"]
    assert rig.told == [WakeReason.TIMED_OUT]
    assert len(rig.loop) == 0


def test_a_descriptor_waited_for_twice_stays_with_the_first(pair: Pair) -> None:
    rig, cleaned = Rig(), []

    def second() -> Coroutine[None]:
        try:
            yield Wait(fd=pair[0].fileno(), event_mask=READ)
        finally:
            cleaned.append(True)

    rig.loop.start("first", rig.waits(Wait(fd=pair[0].fileno(), event_mask=READ)))
    rig.loop.start("second", second())
    assert [name for name, _ in rig.defects] == ["second"]
    assert cleaned == [True]
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    assert rig.told == [WakeReason.READY]


def test_a_descriptor_closed_while_it_is_waited_for_does_not_end_the_loop(pair: Pair) -> None:
    rig = Rig()
    task = rig.loop.start("closed", rig.waits(Wait(rig.clock.now + 5, pair[0].fileno(), READ)))
    pair[0].close()
    rig.loop.run_once(rig.clock.now)
    rig.clock.now += 5
    rig.loop.run_once(rig.clock.now)
    assert rig.told == [WakeReason.TIMED_OUT]
    rig.loop.stop(task)
    assert rig.defects == []


def test_a_descriptor_used_anew_belongs_to_whoever_waits_for_it_last(pair: Pair) -> None:
    """The end of the wait before took the new one's registration along: it was never woken again."""
    rig = Rig()
    old = rig.loop.start("old", rig.waits(Wait(rig.clock.now + 5, pair[0].fileno(), READ)))
    fd = pair[0].fileno()
    pair[0].close()
    ours, theirs = socket.socketpair()
    with ours, theirs:
        if ours.fileno() != fd:  # whatever else is open, the new one gets that number
            os.dup2(ours.fileno(), fd)
        rig.loop.start("new", rig.waits(Wait(fd=fd, event_mask=READ)))
        rig.loop.stop(old)
        theirs.send(b"x")
        rig.loop.run_once(rig.clock.now)
        assert rig.told == [WakeReason.READY]
        assert rig.defects == []
        if ours.fileno() != fd:
            os.close(fd)


def test_a_copy_of_a_closed_descriptor_that_stays_ready_does_not_end_the_loop(pair: Pair) -> None:
    """The system goes on telling of it as long as a copy is open, and nobody waits for it."""
    rig = Rig()
    copy = pair[0].dup()
    task = rig.loop.start("closed", rig.waits(Wait(fd=pair[0].fileno(), event_mask=READ)))
    pair[0].close()
    rig.loop.stop(task)
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    rig.loop.run_once(rig.clock.now)
    copy.close()
    assert rig.told == []


def test_a_routine_stopped_in_the_round_in_which_it_became_ready_does_not_go_on(pair: Pair) -> None:
    rig = Rig()
    tasks: dict[str, Task] = {}

    def stops(other: str) -> Coroutine[None]:
        yield Wait(rig.clock.now)
        rig.loop.stop(tasks[other])
        rig.told.append("stopped it")

    tasks["a"] = rig.loop.start("a", stops("b"))
    tasks["b"] = rig.loop.start("b", stops("a"))
    rig.loop.run_once(rig.clock.now)
    assert rig.told == ["stopped it"]
    assert len(rig.loop) == 0


def test_a_defect_in_the_end_of_a_stopped_routine_is_not_its_stoppers() -> None:
    rig = Rig()

    def spoilt() -> Coroutine[None]:
        try:
            yield Wait()
        finally:
            raise KeyError("its end")

    rig.loop.stop(rig.loop.start("spoilt", spoilt()))
    assert [name for name, _ in rig.defects] == ["spoilt"]

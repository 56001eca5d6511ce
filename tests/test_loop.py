"""The loop: wake reasons, stopping of tasks, and errors that end only one task."""

from __future__ import annotations

import os
import socket

from kelpcourse.wire.loop import READ, Coroutine, Signal, Task, Wait, WakeReason
from tests.loop_rig import LoopRig, SocketPair


def test_a_coroutine_is_resumed_with_the_reason(pair: SocketPair) -> None:
    rig, signal = LoopRig(), Signal()
    fd = pair[0].fileno()
    rig.loop.start(
        "task",
        rig.record_waits(
            Wait(fd=fd, event_mask=READ), Wait(signal=signal), Wait(rig.clock.now + 10)
        ),
    )
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    signal.set()
    rig.loop.run_once(rig.clock.now)
    rig.clock.now += 10
    rig.loop.run_once(rig.clock.now)
    assert rig.recorded == [WakeReason.READY, WakeReason.SIGNALLED, WakeReason.TIMED_OUT]
    assert len(rig.loop) == 0


def test_coroutine_is_not_resumed_before_its_deadline(pair: SocketPair) -> None:
    rig = LoopRig()
    rig.loop.start("task", rig.record_waits(Wait(rig.clock.now + 10, pair[0].fileno(), READ)))
    assert rig.loop.run_once(rig.clock.now) == 0
    assert rig.recorded == []


def test_a_stopped_coroutine_cleans_up_and_is_not_resumed(pair: SocketPair) -> None:
    rig, cleaned = LoopRig(), []

    def routine() -> Coroutine[None]:
        try:
            yield Wait(fd=pair[0].fileno(), event_mask=READ)
        finally:
            cleaned.append(True)

    task = rig.loop.start("task", routine())
    rig.loop.stop(task)
    rig.loop.stop(task)
    pair[1].send(b"x")
    assert rig.loop.run_once(rig.clock.now) == 0
    assert cleaned == [True]


def test_a_coroutine_stopped_by_another_in_the_same_round_is_not_resumed(pair: SocketPair) -> None:
    rig = LoopRig()
    tasks: list[Task] = []

    def first() -> Coroutine[None]:
        yield Wait(fd=pair[0].fileno(), event_mask=READ)
        rig.loop.stop(tasks[1])

    tasks.append(rig.loop.start("first", first()))
    tasks.append(rig.loop.start("second", rig.record_waits(Wait(rig.clock.now))))
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    assert rig.recorded == []


def test_an_unexpected_error_ends_only_its_coroutine_and_is_reported() -> None:
    rig = LoopRig()

    def failing() -> Coroutine[None]:
        yield Wait(rig.clock.now)
        raise ZeroDivisionError

    rig.loop.start("failing", failing())
    rig.loop.start("unaffected", rig.record_waits(Wait(rig.clock.now)))
    rig.loop.run_once(rig.clock.now)
    assert [(name, type(error)) for name, error in rig.unexpected_errors] == [
        ("failing", ZeroDivisionError)
    ]
    assert rig.recorded == [WakeReason.TIMED_OUT]


def test_loop_does_not_accumulate_tasks(pair: SocketPair) -> None:
    rig = LoopRig()

    def receive_endlessly() -> Coroutine[None]:
        while True:
            yield Wait(rig.clock.now + 60_000_000, pair[0].fileno(), READ)
            pair[0].recv(10)

    rig.loop.start("receive_endlessly", receive_endlessly())
    for _ in range(500):
        pair[1].send(b"x")
        assert rig.loop.run_once(rig.clock.now) == 1
        rig.loop.start("short", rig.record_waits())
    assert len(rig.loop) == 1


def test_signal_cleared_before_the_round_wakes_no_task() -> None:
    rig, signal = LoopRig(), Signal()
    rig.loop.start("task", rig.record_waits(Wait(rig.clock.now + 10, signal=signal)))
    signal.set()
    signal.clear()
    assert rig.loop.run_once(rig.clock.now) == 0
    signal.set()
    assert rig.loop.run_once(rig.clock.now) == 1
    assert rig.recorded == [WakeReason.SIGNALLED]


def test_a_signal_set_before_the_wait_wakes_all_waiters() -> None:
    rig, signal = LoopRig(), Signal()
    rig.loop.start("early", rig.record_waits(Wait(signal=signal)))
    signal.set()
    rig.loop.start("late", rig.record_waits(Wait(signal=signal)))
    assert rig.loop.run_once(None) == 2


def test_deadlines_expire_in_order_and_stale_ones_wake_no_task(pair: SocketPair) -> None:
    rig = LoopRig()
    now = rig.clock.now
    order: list[str] = []

    def wait_until(name: str, until_us: int) -> Coroutine[None]:
        yield Wait(until_us)
        order.append(name)

    for name, after in (("c", 30), ("a", 10), ("b", 20), ("b2", 20)):
        rig.loop.start(name, wait_until(name, now + after))
    rig.loop.start(
        "task", rig.record_waits(Wait(now + 15, pair[0].fileno(), READ), Wait(now + 1000))
    )
    pair[1].send(b"x")
    rig.loop.run_once(now)
    rig.clock.now += 30
    rig.loop.run_once(now)
    assert order == ["a", "b", "b2", "c"]
    assert rig.recorded == [WakeReason.READY]


def test_stale_deadlines_are_removed(pair: SocketPair) -> None:
    """A connection with a deadline of one minute and 1,000 messages a second would leave 60,000 stale deadlines."""
    rig = LoopRig()

    def receive_endlessly() -> Coroutine[None]:
        while True:
            yield Wait(rig.clock.now + 60_000_000, pair[0].fileno(), READ)
            pair[0].recv(10)

    rig.loop.start("receive_endlessly", receive_endlessly())
    for _ in range(1000):
        pair[1].send(b"x")
        rig.loop.run_once(rig.clock.now)
    assert len(rig.loop._deadlines) < 100


# Descriptors that are closed, reused or waited for twice within one round


def test_a_descriptor_closed_before_the_wait_ends_only_that_coroutine(pair: SocketPair) -> None:
    rig = LoopRig()
    fd = pair[0].fileno()
    pair[0].close()
    rig.loop.start("closed", rig.record_waits(Wait(fd=fd, event_mask=READ)))
    rig.loop.start("other", rig.record_waits(Wait(rig.clock.now)))
    rig.loop.run_once(rig.clock.now)
    assert [name for name, _ in rig.unexpected_errors] == ["closed"]
    assert rig.recorded == [WakeReason.TIMED_OUT]
    assert len(rig.loop) == 0


def test_a_descriptor_waited_for_twice_stays_with_the_first(pair: SocketPair) -> None:
    rig, cleaned = LoopRig(), []

    def second() -> Coroutine[None]:
        try:
            yield Wait(fd=pair[0].fileno(), event_mask=READ)
        finally:
            cleaned.append(True)

    rig.loop.start("first", rig.record_waits(Wait(fd=pair[0].fileno(), event_mask=READ)))
    rig.loop.start("second", second())
    assert [name for name, _ in rig.unexpected_errors] == ["second"]
    assert cleaned == [True]
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    assert rig.recorded == [WakeReason.READY]


def test_a_descriptor_closed_while_it_is_waited_for_does_not_end_the_loop(pair: SocketPair) -> None:
    rig = LoopRig()
    task = rig.loop.start(
        "closed", rig.record_waits(Wait(rig.clock.now + 5, pair[0].fileno(), READ))
    )
    pair[0].close()
    rig.loop.run_once(rig.clock.now)
    rig.clock.now += 5
    rig.loop.run_once(rig.clock.now)
    assert rig.recorded == [WakeReason.TIMED_OUT]
    rig.loop.stop(task)
    assert rig.unexpected_errors == []


def test_a_reused_descriptor_belongs_to_its_last_waiter(pair: SocketPair) -> None:
    """The end of the previous wait removed the new registration, so the new task was never woken."""
    rig = LoopRig()
    old = rig.loop.start("old", rig.record_waits(Wait(rig.clock.now + 5, pair[0].fileno(), READ)))
    fd = pair[0].fileno()
    pair[0].close()
    ours, theirs = socket.socketpair()
    with ours, theirs:
        if ours.fileno() != fd:  # the system assigned another number
            os.dup2(ours.fileno(), fd)
        rig.loop.start("new", rig.record_waits(Wait(fd=fd, event_mask=READ)))
        rig.loop.stop(old)
        theirs.send(b"x")
        rig.loop.run_once(rig.clock.now)
        assert rig.recorded == [WakeReason.READY]
        assert rig.unexpected_errors == []
        if ours.fileno() != fd:
            os.close(fd)


def test_a_copy_of_a_closed_descriptor_that_stays_ready_does_not_end_the_loop(
    pair: SocketPair,
) -> None:
    """The system reports it as long as a duplicate is open, although no task waits for it."""
    rig = LoopRig()
    copy = pair[0].dup()
    task = rig.loop.start("closed", rig.record_waits(Wait(fd=pair[0].fileno(), event_mask=READ)))
    pair[0].close()
    rig.loop.stop(task)
    pair[1].send(b"x")
    rig.loop.run_once(rig.clock.now)
    rig.loop.run_once(rig.clock.now)
    copy.close()
    assert rig.recorded == []


def test_a_coroutine_stopped_in_the_round_in_which_it_became_ready_is_not_resumed(
    pair: SocketPair,
) -> None:
    rig = LoopRig()
    tasks: dict[str, Task] = {}

    def stop_other(other: str) -> Coroutine[None]:
        yield Wait(rig.clock.now)
        rig.loop.stop(tasks[other])
        rig.recorded.append("stopped the other")

    tasks["a"] = rig.loop.start("a", stop_other("b"))
    tasks["b"] = rig.loop.start("b", stop_other("a"))
    rig.loop.run_once(rig.clock.now)
    assert rig.recorded == ["stopped the other"]
    assert len(rig.loop) == 0


def test_an_error_while_closing_a_coroutine_is_not_raised_in_its_stopper() -> None:
    rig = LoopRig()

    def failing_on_close() -> Coroutine[None]:
        try:
            yield Wait()
        finally:
            raise KeyError("error while closing")

    rig.loop.stop(rig.loop.start("failing_on_close", failing_on_close()))
    assert [name for name, _ in rig.unexpected_errors] == ["failing_on_close"]

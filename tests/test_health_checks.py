"""Probes against stand-ins for hosts: every one is answered, whatever the host does."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from kelpcourse.policy.events import HealthCheckCompleted, HealthCheckStatus
from kelpcourse.wire.health_checks import HealthChecker, decode_load_report
from kelpcourse.wire.loop import Coroutine
from tests.standins import QUICK, Bench, Caller, StandIn, member


@pytest.fixture
def bench() -> Iterator[Bench]:
    made = Bench()
    made.facade.report_cached_list([member("h1")], 1)
    yield made
    made.close()


def answering(status: int, text: bytes) -> Callable[[Caller], Coroutine[None]]:
    def serve(caller: Caller) -> Coroutine[None]:
        call = yield from caller.request()
        assert call == ("/metrics/load", b"")
        yield from caller.answer(status, text)

    return serve


def silent(caller: Caller) -> Coroutine[None]:
    yield from caller.silence()


def reset(caller: Caller) -> Coroutine[None]:
    yield from caller.request()
    caller.reset()


def answers(bench: Bench) -> list[HealthCheckCompleted]:
    return [event for event in bench.module.events if isinstance(event, HealthCheckCompleted)]


@pytest.mark.parametrize(
    ("serve", "status", "load"),
    [
        (
            answering(200, b'{"inflight":7,"queue":2,"util":0.61}'),
            HealthCheckStatus.OK,
            (("inflight", 7.0), ("queue", 2.0), ("util", 0.61)),
        ),
        (answering(200, b""), HealthCheckStatus.OK, ()),
        (answering(200, b'{"inflight":"many","queue":1}'), HealthCheckStatus.OK, (("queue", 1.0),)),
        (answering(200, b"{"), HealthCheckStatus.ERROR, ()),
        (answering(503, b'{"inflight":7}'), HealthCheckStatus.FULL, (("inflight", 7.0),)),
        (answering(500, b""), HealthCheckStatus.ERROR, ()),
        (silent, HealthCheckStatus.TIMEOUT, ()),
        (reset, HealthCheckStatus.RESET, ()),
    ],
)
def test_what_came_of_a_probe(
    bench: Bench,
    serve: Callable[[Caller], Coroutine[None]],
    status: HealthCheckStatus,
    load: tuple[tuple[str, float], ...],
) -> None:
    host = StandIn(bench.loop, serve)
    HealthChecker(bench.runtime).check("h1", host.address)
    bench.until(lambda: answers(bench))
    assert [(a.endpoint, a.status, a.load) for a in answers(bench)] == [(1, status, load)]


def test_a_host_that_is_down_failed_to_connect(bench: Bench) -> None:
    host = StandIn(bench.loop, silent)
    host.close()
    HealthChecker(bench.runtime).check("h1", host.address)
    bench.until(lambda: answers(bench))
    assert answers(bench)[0].status is HealthCheckStatus.CONNECT_FAILED


def test_probes_beyond_the_limit_wait_and_beyond_that_are_cancelled(bench: Bench) -> None:
    bench.runtime = replace(
        bench.runtime,
        limits=replace(QUICK, max_concurrent_health_checks=2, max_queued_health_checks=3),
    )
    host = StandIn(bench.loop, answering(200, b""))
    checker = HealthChecker(bench.runtime)
    for _ in range(8):
        checker.check("h1", host.address)
    bench.until(lambda: len(answers(bench)) == 8)
    assert [a.status for a in answers(bench)].count(HealthCheckStatus.CANCELLED) == 3
    assert host.connections == 5


def test_a_probe_that_ends_by_a_defect_is_answered_and_the_next_has_its_turn(bench: Bench) -> None:
    """The module awaits an answer to each, and those that waited behind it were never made."""
    bench.runtime = replace(bench.runtime, limits=replace(QUICK, max_concurrent_health_checks=1))
    host = StandIn(bench.loop, answering(200, b""))
    checker = HealthChecker(bench.runtime)
    checker.check("h1", ("127.0.0.1", 99_999))
    checker.check("h1", host.address)
    bench.until(lambda: len(answers(bench)) == 2)
    assert [a.status for a in answers(bench)] == [HealthCheckStatus.ERROR, HealthCheckStatus.OK]
    assert [type(error) for error in bench.defects] == [OverflowError]
    bench.defects.clear()


def test_a_load_report_that_is_none_is_empty() -> None:
    assert decode_load_report(memoryview(b"")) == ()

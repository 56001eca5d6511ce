"""Health checks of scripted endpoints, each of which is reported regardless of the endpoint's behaviour."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from kelpcourse.policy.events import HealthCheckCompleted, HealthCheckStatus
from kelpcourse.wire.health_checks import HealthChecker, decode_load_report
from kelpcourse.wire.loop import Coroutine
from tests.standins import FAST_LIMITS, Bench, HttpConnection, HttpServer, member


@pytest.fixture
def bench() -> Iterator[Bench]:
    test_bench = Bench()
    test_bench.facade.report_cached_list([member("h1")], 1)
    yield test_bench
    test_bench.close()


def responding(status: int, body: bytes) -> Callable[[HttpConnection], Coroutine[None]]:
    def serve(connection: HttpConnection) -> Coroutine[None]:
        call = yield from connection.read_request()
        assert call == ("/metrics/load", b"")
        yield from connection.respond(status, body)

    return serve


def silent(connection: HttpConnection) -> Coroutine[None]:
    yield from connection.wait_for_close()


def reset(connection: HttpConnection) -> Coroutine[None]:
    yield from connection.read_request()
    connection.reset()


def completed_checks(bench: Bench) -> list[HealthCheckCompleted]:
    return [event for event in bench.policy.events if isinstance(event, HealthCheckCompleted)]


@pytest.mark.parametrize(
    ("serve", "status", "load"),
    [
        (
            responding(200, b'{"inflight":7,"queue":2,"util":0.61}'),
            HealthCheckStatus.OK,
            (("inflight", 7.0), ("queue", 2.0), ("util", 0.61)),
        ),
        (responding(200, b""), HealthCheckStatus.OK, ()),
        (
            responding(200, b'{"inflight":"many","queue":1}'),
            HealthCheckStatus.OK,
            (("queue", 1.0),),
        ),
        (responding(200, b"{"), HealthCheckStatus.ERROR, ()),
        (responding(503, b'{"inflight":7}'), HealthCheckStatus.FULL, (("inflight", 7.0),)),
        (responding(500, b""), HealthCheckStatus.ERROR, ()),
        (silent, HealthCheckStatus.TIMEOUT, ()),
        (reset, HealthCheckStatus.RESET, ()),
    ],
)
def test_outcome_of_a_health_check(
    bench: Bench,
    serve: Callable[[HttpConnection], Coroutine[None]],
    status: HealthCheckStatus,
    load: tuple[tuple[str, float], ...],
) -> None:
    endpoint = HttpServer(bench.loop, serve)
    HealthChecker(bench.runtime).check("h1", endpoint.address)
    bench.until(lambda: completed_checks(bench))
    assert [(a.endpoint, a.status, a.load) for a in completed_checks(bench)] == [(1, status, load)]


def test_an_endpoint_that_is_down_fails_to_connect(bench: Bench) -> None:
    endpoint = HttpServer(bench.loop, silent)
    endpoint.close()
    HealthChecker(bench.runtime).check("h1", endpoint.address)
    bench.until(lambda: completed_checks(bench))
    assert completed_checks(bench)[0].status is HealthCheckStatus.CONNECT_FAILED


def test_checks_beyond_the_limit_are_queued_and_beyond_that_cancelled(bench: Bench) -> None:
    bench.runtime = replace(
        bench.runtime,
        limits=replace(FAST_LIMITS, max_concurrent_health_checks=2, max_queued_health_checks=3),
    )
    endpoint = HttpServer(bench.loop, responding(200, b""))
    checker = HealthChecker(bench.runtime)
    for _ in range(8):
        checker.check("h1", endpoint.address)
    bench.until(lambda: len(completed_checks(bench)) == 8)
    assert [a.status for a in completed_checks(bench)].count(HealthCheckStatus.CANCELLED) == 3
    assert endpoint.connections == 5


def test_a_check_that_fails_unexpectedly_is_reported_and_the_next_one_runs(bench: Bench) -> None:
    """The policy never received a result of such a check, and the checks queued after it were not made."""
    bench.runtime = replace(
        bench.runtime, limits=replace(FAST_LIMITS, max_concurrent_health_checks=1)
    )
    endpoint = HttpServer(bench.loop, responding(200, b""))
    checker = HealthChecker(bench.runtime)
    checker.check("h1", ("127.0.0.1", 99_999))
    checker.check("h1", endpoint.address)
    bench.until(lambda: len(completed_checks(bench)) == 2)
    assert [a.status for a in completed_checks(bench)] == [
        HealthCheckStatus.ERROR,
        HealthCheckStatus.OK,
    ]
    assert [type(error) for error in bench.unexpected_errors] == [OverflowError]
    bench.unexpected_errors.clear()


def test_an_empty_body_is_an_empty_load_report() -> None:
    assert decode_load_report(memoryview(b"")) == ()

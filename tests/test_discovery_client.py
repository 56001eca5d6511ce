"""Watches and fetches of the endpoint list, and failures by status 503, resets and missing responses."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from kelpcourse.facade import HealthCheckRequest
from kelpcourse.policy.actions import CheckHealth, WatchEndpoints
from kelpcourse.policy.events import EndpointListKind, EndpointStatus
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.loop import Coroutine, Wait
from tests.discovery_service import (
    DiscoveryService,
    discovery_client_for,
    incomplete_line,
    reported_lists,
    reset,
    response_body,
    silent,
    unavailable,
    watch_stream,
)
from tests.standins import FAST_LIMITS, MS, Bench, HttpConnection, entry, listed


def test_a_watch_requests_changes_and_reports_each_object(bench: Bench) -> None:
    service = DiscoveryService(
        bench,
        watch_stream(
            bench,
            listed(43, entry("a"), entry("b", "draining"), complete=False),
            b"",
            listed(44, entry("a", "gone"), complete=False),
        ),
    )
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 2)
    first, second = reported_lists(bench)
    assert service.targets == ["/discovery/hosts?stream=1&index=41"]
    assert (first.kind, first.version) == (EndpointListKind.CHANGES, 43)
    assert [h.status for h in first.endpoints] == [EndpointStatus.READY, EndpointStatus.DRAINING]
    assert [h.status for h in second.endpoints] == [EndpointStatus.GONE]
    assert second.endpoints[0].id == first.endpoints[0].id


def test_watch_accepts_a_complete_list(bench: Bench) -> None:
    service = DiscoveryService(bench, watch_stream(bench, listed(90, entry("a"))))
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: reported_lists(bench))
    assert reported_lists(bench)[0].kind is EndpointListKind.FULL


def test_a_fetch_reports_the_complete_list(bench: Bench) -> None:
    service = DiscoveryService(bench, response_body(listed(50, entry("a"))))
    discovery_client_for(bench, service).fetch()
    bench.until(lambda: reported_lists(bench))
    assert service.targets == ["/discovery/hosts"]
    assert (reported_lists(bench)[0].kind, reported_lists(bench)[0].version) == (
        EndpointListKind.FULL,
        50,
    )


@pytest.mark.parametrize("fault", [unavailable, reset, silent, incomplete_line])
def test_a_failed_watch_or_fetch_is_reported_unavailable_once(
    bench: Bench, fault: Callable[[HttpConnection], Coroutine[None]]
) -> None:
    service = DiscoveryService(bench, fault, fault)
    discovery = discovery_client_for(bench, service)
    discovery.watch(True)
    bench.until(lambda: reported_lists(bench))
    discovery.fetch()
    bench.until(lambda: len(reported_lists(bench)) == 2)
    bench.run_for_us(3 * FAST_LIMITS.list_timeout_us)
    assert [event.kind for event in reported_lists(bench)] == [EndpointListKind.UNAVAILABLE] * 2
    assert len(bench.log.named("discovery_unavailable")) == 2


def test_discovery_that_is_down_is_reported_unavailable(bench: Bench) -> None:
    service = DiscoveryService(bench)
    service.server.close()
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: reported_lists(bench))
    assert reported_lists(bench)[0].kind is EndpointListKind.UNAVAILABLE


def test_heartbeats_keep_a_watch_open_and_silence_ends_it(bench: Bench) -> None:
    with_heartbeats = DiscoveryService(
        bench, watch_stream(bench, listed(42, complete=False), then_silent=False)
    )
    discovery_client_for(bench, with_heartbeats).watch(True)
    bench.run_for_us(5 * FAST_LIMITS.watch_silence_us)
    assert [event.kind for event in reported_lists(bench)] == [EndpointListKind.CHANGES]
    without_heartbeats = DiscoveryService(bench, watch_stream(bench, listed(42, complete=False)))
    discovery_client_for(bench, without_heartbeats).watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 3)
    assert reported_lists(bench)[-1].kind is EndpointListKind.UNAVAILABLE


def test_heartbeats_alone_do_not_count_as_a_response_to_a_watch(bench: Bench) -> None:
    def only_heartbeats(connection: HttpConnection) -> Coroutine[None]:
        yield from connection.start_chunked_response()
        while True:
            yield from connection.send_line(b"")
            yield Wait(bench.clock() + 10 * MS)

    service = DiscoveryService(bench, only_heartbeats)
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: reported_lists(bench))
    assert reported_lists(bench)[0].kind is EndpointListKind.UNAVAILABLE


def test_a_restarted_watch_continues_from_the_last_version(bench: Bench) -> None:
    service = DiscoveryService(
        bench,
        watch_stream(bench, listed(43, entry("a"), complete=False)),
        watch_stream(bench, listed(44, complete=False)),
    )
    discovery = discovery_client_for(bench, service)
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 1)
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 2)
    assert service.targets[1].endswith("index=43")
    bench.run_for_us(10 * MS)
    # The stopped watch is not reported as lost.
    assert reported_lists(bench)[1].kind is EndpointListKind.CHANGES


def test_invalid_entry_does_not_affect_other_entries(bench: Bench) -> None:
    reported = listed(43, entry("a"), {"id": "b"}, entry("c", "draining"), complete=False)
    service = DiscoveryService(bench, watch_stream(bench, reported))
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: reported_lists(bench))
    assert [host.status for host in reported_lists(bench)[0].endpoints] == [
        EndpointStatus.READY,
        EndpointStatus.DRAINING,
    ]
    assert bench.counters["discovery_messages_rejected"] == 1


def test_health_checks_use_the_addresses_of_the_last_list(bench: Bench) -> None:
    service = DiscoveryService(
        bench, watch_stream(bench, listed(43, entry("a", address=("127.0.0.2", 7)), complete=False))
    )
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: reported_lists(bench))
    host = reported_lists(bench)[0].endpoints[0].id
    bench.policy.scripted_actions = [[CheckHealth(host), WatchEndpoints(False)]]
    bench.facade.report_list_unavailable()
    bench.run_for_us(5 * MS)
    work = bench.facade.pick()
    assert work.health_checks == [HealthCheckRequest("a", ("127.0.0.2", 7))]
    assert work.watch is False


def test_an_entry_with_a_time_out_of_range_is_skipped(bench: Bench) -> None:
    """Such an entry ended the watch by an unexpected error that was not reported, so later drains were missed."""
    invalid = listed(42, entry("a", up_since_ms=1e18), entry("b"), complete=False)
    service = DiscoveryService(
        bench, watch_stream(bench, invalid, listed(43, entry("c"), complete=False))
    )
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 2)
    assert [len(reported.endpoints) for reported in reported_lists(bench)] == [1, 1]
    assert bench.counters["discovery_messages_rejected"] == 1


@pytest.mark.parametrize("call", ["watch", "fetch"])
def test_an_unexpected_error_in_a_call_is_reported_unavailable(bench: Bench, call: str) -> None:
    service = DiscoveryService(bench, silent)
    discovery = DiscoveryClient(bench.runtime, ("127.0.0.1", 99_999), 41)
    discovery.watch(True) if call == "watch" else discovery.fetch()
    bench.until(lambda: reported_lists(bench))
    assert [reported.kind for reported in reported_lists(bench)] == [EndpointListKind.UNAVAILABLE]
    assert [type(error) for error in bench.unexpected_errors] == [OverflowError]
    bench.unexpected_errors.clear()
    discovery.reconnect_to(service.server.address)
    discovery.watch(True)
    bench.until(lambda: service.targets)


@pytest.mark.parametrize(
    "fault", [silent, incomplete_line, "heartbeats", unavailable, reset], ids=str
)
def test_call_without_a_response_ends_within_its_timeout(bench: Bench, fault: object) -> None:
    """Neither silence nor an incomplete line nor heartbeats alone delay the outcome beyond the timeout."""
    serve = watch_stream(bench, then_silent=False) if fault == "heartbeats" else fault
    service = DiscoveryService(bench, serve)  # type: ignore[arg-type]
    started_us = bench.clock()
    discovery_client_for(bench, service).watch(True)
    bench.until(lambda: reported_lists(bench))
    assert [reported.kind for reported in reported_lists(bench)] == [EndpointListKind.UNAVAILABLE]
    # The fake clock of the bench is compared, not the system's clock.
    assert bench.clock() - started_us <= FAST_LIMITS.list_timeout_us + 20 * MS

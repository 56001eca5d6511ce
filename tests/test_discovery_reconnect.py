"""The discovery client after a change of discovery's address in the configuration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from kelpcourse.policy.events import EndpointListKind
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.wire.runtime import Backoff
from tests.discovery_service import (
    DiscoveryService,
    discovery_client_for,
    reported_lists,
    reset,
    silent,
    unavailable,
    watch_stream,
)
from tests.standins import FAST_LIMITS, MS, Bench, HttpConnection, entry, listed


def reconnected_client(
    bench: Bench, old: DiscoveryService, *new: Callable[[HttpConnection], Coroutine[None]]
) -> tuple[DiscoveryClient, DiscoveryService]:
    discovery = discovery_client_for(bench, old)
    discovery.watch(True)
    bench.until(lambda: reported_lists(bench))
    other = DiscoveryService(bench, *new)
    discovery.reconnect_to(other.server.address)
    return discovery, other


def test_a_watch_reconnects_without_a_gap(bench: Bench) -> None:
    old = DiscoveryService(bench, watch_stream(bench, listed(42, entry("h1")), then_silent=False))
    _, new = reconnected_client(
        bench, old, watch_stream(bench, listed(43, entry("h1"), complete=False), then_silent=False)
    )
    bench.until(lambda: len(reported_lists(bench)) == 2)
    bench.run_for_us(2 * FAST_LIMITS.watch_silence_us)
    assert [reported.kind for reported in reported_lists(bench)] == [
        EndpointListKind.FULL,
        EndpointListKind.CHANGES,
    ]
    assert new.targets == ["/discovery/hosts?stream=1&index=42"]
    assert bench.counters["discovery_lost"] == 0


def test_previous_watch_is_kept_until_the_new_one_receives_data(bench: Bench) -> None:
    """No loss is reported while the first connections to the new address fail."""
    old = DiscoveryService(bench, watch_stream(bench, listed(42, entry("h1")), then_silent=False))
    _, new = reconnected_client(
        bench,
        old,
        unavailable,
        reset,
        watch_stream(bench, listed(43, entry("h2"), complete=False), then_silent=False),
    )
    bench.until(lambda: len(reported_lists(bench)) == 2)
    assert len(new.targets) == 3
    assert [reported.version for reported in reported_lists(bench)] == [42, 43]


def test_a_lost_previous_watch_and_a_new_address_that_is_down_are_reported_once(
    bench: Bench,
) -> None:
    old = DiscoveryService(bench, watch_stream(bench, listed(42, entry("h1"))))
    discovery, _ = reconnected_client(bench, old, *[unavailable] * 50)
    bench.until(lambda: len(reported_lists(bench)) == 2)
    assert reported_lists(bench)[1].kind is EndpointListKind.UNAVAILABLE
    reachable = DiscoveryService(bench, watch_stream(bench, listed(44, entry("h1"))))
    discovery.reconnect_to(reachable.server.address)
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 3)
    assert reported_lists(bench)[2].version == 44


def test_retries_at_a_new_address_that_is_down_back_off_and_spread() -> None:
    """A new configuration reconnects all controllers at once: 230 controllers at ten attempts per second made 2,300."""
    limits = replace(FAST_LIMITS, watch_retry_us=800 * MS)
    one, other = Backoff(limits, limits.watch_retry_us), Backoff(limits, limits.watch_retry_us, 0.5)
    waits = [(one.next_us(), other.next_us()) for _ in range(12)]
    assert waits[-1] == (800 * MS, 1_200 * MS)
    assert all(later == 1.5 * sooner for sooner, later in waits)
    bench = Bench(limits)
    _, new = reconnected_client(
        bench,
        DiscoveryService(bench, watch_stream(bench, listed(42, entry("h1")), then_silent=False)),
        *[unavailable] * 50,
    )
    bench.run_for_us(3_000 * MS)
    assert 4 <= len(new.targets) <= 12
    bench.close()


def test_rapid_reconnects_end_at_the_newest_address(bench: Bench) -> None:
    old = DiscoveryService(bench, watch_stream(bench, listed(42, entry("h1")), then_silent=False))
    discovery, between = reconnected_client(bench, old, silent)
    bench.until(lambda: between.targets)
    last = DiscoveryService(
        bench, watch_stream(bench, listed(43, entry("h1"), complete=False), then_silent=False)
    )
    discovery.reconnect_to(last.server.address)
    bench.until(lambda: len(reported_lists(bench)) == 2)
    bench.run_for_us(2 * FAST_LIMITS.watch_silence_us)
    assert [reported.version for reported in reported_lists(bench)] == [42, 43]


def test_previous_and_new_watch_track_separate_versions(bench: Bench) -> None:
    """With one version for both, a line of the previous watch made the first line of the new one appear as a gap."""
    pending_lines: list[bytes] = []

    def serve_previous_watch(connection: HttpConnection) -> Coroutine[None]:
        yield from connection.start_chunked_response()
        yield from connection.send_line(listed(42, entry("a"), complete=False))
        while not pending_lines:
            yield Wait(bench.clock() + MS)
        yield from connection.send_line(pending_lines.pop(0))
        yield from connection.wait_for_close()

    def serve_new_watch(connection: HttpConnection) -> Coroutine[None]:
        yield from connection.start_chunked_response()
        pending_lines.append(listed(43, entry("a", "draining"), complete=False))
        while len(reported_lists(bench)) < 2:
            yield Wait(bench.clock() + MS)
        yield from connection.send_line(listed(43, entry("a", "draining"), complete=False))
        yield from connection.send_line(listed(44, entry("b"), complete=False))
        yield from connection.wait_for_close()

    old, new = (
        DiscoveryService(bench, serve_previous_watch),
        DiscoveryService(bench, serve_new_watch),
    )
    discovery = discovery_client_for(bench, old)
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 1)
    discovery.reconnect_to(new.server.address)
    bench.until(lambda: any(reported.version == 44 for reported in reported_lists(bench)))
    assert EndpointListKind.UNAVAILABLE not in {reported.kind for reported in reported_lists(bench)}
    assert len(new.targets) == 1


def test_reconnecting_to_another_address_and_back_leaves_one_watch(bench: Bench) -> None:
    first = DiscoveryService(
        bench,
        watch_stream(bench, listed(42, entry("a"), complete=False)),
        watch_stream(
            bench,
            listed(42, complete=False),
            listed(43, entry("b"), complete=False),
            then_silent=False,
        ),
    )
    other = DiscoveryService(bench, silent)
    discovery = discovery_client_for(bench, first)
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 1)
    discovery.reconnect_to(other.server.address)
    bench.until(lambda: other.targets)
    discovery.reconnect_to(first.server.address)
    bench.until(lambda: any(reported.version == 43 for reported in reported_lists(bench)))
    bench.run_for_us(3 * FAST_LIMITS.list_timeout_us)
    assert EndpointListKind.UNAVAILABLE not in {reported.kind for reported in reported_lists(bench)}
    assert (len(first.targets), len(other.targets)) == (2, 1)

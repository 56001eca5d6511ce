"""Lists and changes that arrive out of order, and discovery that was restarted with new version numbers."""

from __future__ import annotations

from kelpcourse.policy.events import EndpointListKind, EndpointStatus
from kelpcourse.wire.loop import Coroutine, Wait
from tests.discovery_service import (
    DiscoveryService,
    discovery_client_for,
    reported_lists,
    response_body,
    watch_stream,
)
from tests.standins import FAST_LIMITS, MS, Bench, HttpConnection, entry, listed


def test_changes_older_than_the_known_version_end_the_watch(bench: Bench) -> None:
    """Some changes are missing, and only a new watch or fetch can return them."""
    service = DiscoveryService(bench, watch_stream(bench, listed(40, entry("a"), complete=False)))
    discovery_client_for(bench, service, 41).watch(True)
    bench.until(lambda: reported_lists(bench))
    assert reported_lists(bench)[0].kind is EndpointListKind.UNAVAILABLE


def test_older_complete_list_does_not_mark_draining_endpoint_ready(bench: Bench) -> None:
    """An older list marked a draining endpoint as ready again."""
    drain_stream = watch_stream(bench, listed(43, entry("a", "draining"), complete=False))
    service = DiscoveryService(bench, drain_stream, response_body(listed(41, entry("a"))))
    discovery = discovery_client_for(bench, service)
    discovery.watch(True)
    bench.until(lambda: reported_lists(bench))
    discovery.fetch()
    bench.until(lambda: len(reported_lists(bench)) == 2)
    assert [
        (reported.kind, [h.status for h in reported.endpoints])
        for reported in reported_lists(bench)
    ] == [
        (EndpointListKind.CHANGES, [EndpointStatus.DRAINING]),
        (EndpointListKind.UNAVAILABLE, []),
    ]


def test_repeated_older_list_is_accepted_as_a_restart_of_discovery(bench: Bench) -> None:
    """Otherwise all of its changes would be rejected, and drains would be missed."""
    limit = FAST_LIMITS.max_stale_lists
    service = DiscoveryService(
        bench,
        *[response_body(listed(3, entry("a")))] * limit,
        watch_stream(bench, listed(4, entry("b"), complete=False)),
    )
    discovery = discovery_client_for(bench, service)
    for count in range(limit):
        discovery.fetch()
        bench.until(lambda count=count: len(reported_lists(bench)) == count + 1)  # type: ignore[misc]
    assert [reported.kind for reported in reported_lists(bench)] == [
        EndpointListKind.UNAVAILABLE
    ] * (limit - 1) + [EndpointListKind.FULL]
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == limit + 1)
    assert service.targets[-1].endswith("index=3")


def test_repeated_older_changes_lead_to_a_request_for_the_complete_list(bench: Bench) -> None:
    limit = FAST_LIMITS.max_stale_lists
    service = DiscoveryService(
        bench,
        *[watch_stream(bench, listed(3, complete=False))] * limit,
        watch_stream(bench, listed(3, entry("a"))),
    )
    discovery = discovery_client_for(bench, service)
    for count in range(limit):
        discovery.watch(True)
        bench.until(lambda count=count: len(reported_lists(bench)) == count + 1)  # type: ignore[misc]
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == limit + 1)
    assert [target.split("=")[-1] for target in service.targets] == ["41"] * limit + ["0"]
    assert reported_lists(bench)[-1].kind is EndpointListKind.FULL


def test_an_older_list_between_newer_ones_is_not_counted(bench: Bench) -> None:
    old, new = response_body(listed(3, entry("a"))), response_body(listed(50, entry("a")))
    service = DiscoveryService(bench, old, old, new, old, old, new)
    discovery = discovery_client_for(bench, service)
    for count in range(6):
        discovery.fetch()
        bench.until(lambda count=count: len(reported_lists(bench)) == count + 1)  # type: ignore[misc]
    unavailable = EndpointListKind.UNAVAILABLE
    assert [reported.kind for reported in reported_lists(bench)] == [
        unavailable,
        unavailable,
        EndpointListKind.FULL,
    ] * 2


def test_fetch_during_a_watch_does_not_end_it(bench: Bench) -> None:
    """The fetch advanced the version, so the next line of the watch was mistaken for a gap."""
    pending_lines: list[bytes] = []

    def serve_watch(connection: HttpConnection) -> Coroutine[None]:
        yield from connection.start_chunked_response()
        yield from connection.send_line(listed(42, entry("a"), complete=False))
        while True:
            while not pending_lines:
                yield Wait(bench.clock() + MS)
            yield from connection.send_line(pending_lines.pop(0))

    service = DiscoveryService(
        bench, serve_watch, response_body(listed(45, entry("a", "draining")))
    )
    discovery = discovery_client_for(bench, service)
    discovery.watch(True)
    bench.until(lambda: len(reported_lists(bench)) == 1)
    discovery.fetch()
    bench.until(lambda: len(reported_lists(bench)) == 2)
    pending_lines += [
        listed(44, entry("a"), complete=False),
        listed(46, entry("b"), complete=False),
    ]
    bench.until(lambda: len(reported_lists(bench)) == 3)
    assert [
        (reported.version, [h.status for h in reported.endpoints])
        for reported in reported_lists(bench)
    ] == [
        (42, [EndpointStatus.READY]),
        (45, [EndpointStatus.DRAINING]),
        (46, [EndpointStatus.READY]),
    ]
    assert len(service.targets) == 2

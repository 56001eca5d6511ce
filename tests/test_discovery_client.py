"""The discovery client against a stand-in: lists, changes, 503, resets, silence, gaps."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from kelpcourse.facade import HealthCheckRequest
from kelpcourse.policy.actions import CheckHealth, WatchEndpoints
from kelpcourse.policy.events import EndpointList, EndpointListKind, EndpointStatus
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.discovery_codec import decode_endpoint_list
from kelpcourse.wire.errors import InvalidMessageError
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.wire.runtime import Backoff
from tests.standins import MS, QUICK, Bench, Caller, StandIn, entry, listed


class Service:
    """Answers each connection by the next act of a script."""

    def __init__(self, bench: Bench, *script: Callable[[Caller], Coroutine[None]]) -> None:
        self.targets: list[str] = []
        self._script = list(script)
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Coroutine[None]:
        call = yield from caller.request()
        assert call is not None
        self.targets.append(call[0])
        yield from self._script.pop(0)(caller)


def stream(
    bench: Bench, *lines: bytes, then_silent: bool = True
) -> Callable[[Caller], Coroutine[None]]:
    def act(caller: Caller) -> Coroutine[None]:
        yield from caller.open_body()
        for line in lines:
            yield from caller.line(line)
        while not then_silent:
            yield Wait(bench.clock() + QUICK.watch_silence_us // 2)
            yield from caller.line(b"")
        yield from caller.silence()

    return act


def body(text: bytes) -> Callable[[Caller], Coroutine[None]]:
    def act(caller: Caller) -> Coroutine[None]:
        yield from caller.answer(200, text)

    return act


def refuse(caller: Caller) -> Coroutine[None]:
    yield from caller.answer(503, b"")


def reset(caller: Caller) -> Coroutine[None]:
    caller.reset()
    yield from ()


def silent(caller: Caller) -> Coroutine[None]:
    yield from caller.silence()


def broken_line(caller: Caller) -> Coroutine[None]:
    yield from caller.open_body()
    yield from caller.line(b'{"revision":4')


def lists(bench: Bench) -> list[EndpointList]:
    return [event for event in bench.policy.events if isinstance(event, EndpointList)]


def start(bench: Bench, service: Service, version: int = 41) -> DiscoveryClient:
    return DiscoveryClient(bench.runtime, service.stand_in.address, version)


def test_a_watch_asks_for_what_changed_and_reports_each_object(bench: Bench) -> None:
    service = Service(
        bench,
        stream(
            bench,
            listed(43, entry("a"), entry("b", "draining"), whole=False),
            b"",
            listed(44, entry("a", "gone"), whole=False),
        ),
    )
    start(bench, service).watch(True)
    bench.until(lambda: len(lists(bench)) == 2)
    first, second = lists(bench)
    assert service.targets == ["/discovery/hosts?stream=1&index=41"]
    assert (first.kind, first.version) == (EndpointListKind.CHANGES, 43)
    assert [h.status for h in first.endpoints] == [EndpointStatus.READY, EndpointStatus.DRAINING]
    assert [h.status for h in second.endpoints] == [EndpointStatus.GONE]
    assert second.endpoints[0].id == first.endpoints[0].id


def test_a_whole_list_may_answer_a_watch(bench: Bench) -> None:
    service = Service(bench, stream(bench, listed(90, entry("a"))))
    start(bench, service).watch(True)
    bench.until(lambda: lists(bench))
    assert lists(bench)[0].kind is EndpointListKind.FULL


def test_a_fetch_brings_the_whole_list(bench: Bench) -> None:
    service = Service(bench, body(listed(50, entry("a"))))
    start(bench, service).fetch()
    bench.until(lambda: lists(bench))
    assert service.targets == ["/discovery/hosts"]
    assert (lists(bench)[0].kind, lists(bench)[0].version) == (EndpointListKind.FULL, 50)


@pytest.mark.parametrize("trouble", [refuse, reset, silent, broken_line])
def test_a_failed_watch_or_fetch_is_answered_once_as_unavailable(
    bench: Bench, trouble: Callable[[Caller], Coroutine[None]]
) -> None:
    service = Service(bench, trouble, trouble)
    discovery = start(bench, service)
    discovery.watch(True)
    bench.until(lambda: lists(bench))
    discovery.fetch()
    bench.until(lambda: len(lists(bench)) == 2)
    bench.pass_us(3 * QUICK.list_timeout_us)
    assert [event.kind for event in lists(bench)] == [EndpointListKind.UNAVAILABLE] * 2
    assert len(bench.log.named("discovery_unavailable")) == 2


def test_discovery_that_is_down_is_unavailable(bench: Bench) -> None:
    service = Service(bench)
    service.stand_in.close()
    start(bench, service).watch(True)
    bench.until(lambda: lists(bench))
    assert lists(bench)[0].kind is EndpointListKind.UNAVAILABLE


def test_empty_lines_keep_a_watch_and_silence_ends_it(bench: Bench) -> None:
    quiet = Service(bench, stream(bench, listed(42, whole=False), then_silent=False))
    start(bench, quiet).watch(True)
    bench.pass_us(5 * QUICK.watch_silence_us)
    assert [event.kind for event in lists(bench)] == [EndpointListKind.CHANGES]
    dead = Service(bench, stream(bench, listed(42, whole=False)))
    start(bench, dead).watch(True)
    bench.until(lambda: len(lists(bench)) == 3)
    assert lists(bench)[-1].kind is EndpointListKind.UNAVAILABLE


def test_empty_lines_are_no_answer_to_a_watch(bench: Bench) -> None:
    def only_alive(caller: Caller) -> Coroutine[None]:
        yield from caller.open_body()
        while True:
            yield from caller.line(b"")
            yield Wait(bench.clock() + 10 * MS)

    service = Service(bench, only_alive)
    start(bench, service).watch(True)
    bench.until(lambda: lists(bench))
    assert lists(bench)[0].kind is EndpointListKind.UNAVAILABLE


def test_a_new_watch_goes_on_from_the_version_last_told(bench: Bench) -> None:
    service = Service(
        bench,
        stream(bench, listed(43, entry("a"), whole=False)),
        stream(bench, listed(44, whole=False)),
    )
    discovery = start(bench, service)
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == 1)
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == 2)
    assert service.targets[1].endswith("index=43")
    bench.pass_us(10 * MS)
    assert (
        lists(bench)[1].kind is EndpointListKind.CHANGES
    )  # the watch that was ended is not reported as lost


def test_changes_from_before_the_version_held_end_the_watch(bench: Bench) -> None:
    """Something was missed, and only a fresh call can tell what."""
    service = Service(bench, stream(bench, listed(40, entry("a"), whole=False)))
    start(bench, service, 41).watch(True)
    bench.until(lambda: lists(bench))
    assert lists(bench)[0].kind is EndpointListKind.UNAVAILABLE


def test_entries_are_read_and_checked() -> None:
    bad: list[InvalidMessageError] = []
    told = decode_endpoint_list(
        {"revision": 1, "complete": True, "members": [entry("a", since=1500.5)]}, bad.append
    )
    assert told.endpoints[0].status is EndpointStatus.READY
    assert told.endpoints[0].started_ms == 1500.5
    assert bad == []
    for name, value in [
        ("id", ""),
        ("host_port", "nowhere"),
        ("host_port", "h:99999"),
        ("phase", "asleep"),
        ("cell", -1),
        ("size", "big"),
        ("up_since_ms", float("nan")),
        ("locality", 7),
    ]:
        decode_endpoint_list(
            {"revision": 1, "complete": True, "members": [{**entry("a"), name: value}]}, bad.append
        )
        assert f"'{name}'" in str(bad.pop())
    for wrong in (
        {"revision": 1, "complete": True},
        {"revision": "1", "complete": True, "members": []},
        {"revision": 1, "complete": "so", "members": []},
    ):
        with pytest.raises(InvalidMessageError):
            decode_endpoint_list(wrong, bad.append)


def test_an_entry_that_can_not_be_used_does_not_hold_up_the_others(bench: Bench) -> None:
    told = listed(43, entry("a"), {"id": "b"}, entry("c", "draining"), whole=False)
    service = Service(bench, stream(bench, told))
    start(bench, service).watch(True)
    bench.until(lambda: lists(bench))
    assert [host.status for host in lists(bench)[0].endpoints] == [
        EndpointStatus.READY,
        EndpointStatus.DRAINING,
    ]
    assert bench.counters["discovery_messages_rejected"] == 1


def test_addresses_are_those_of_the_last_list(bench: Bench) -> None:
    service = Service(
        bench, stream(bench, listed(43, entry("a", address=("127.0.0.2", 7)), whole=False))
    )
    start(bench, service).watch(True)
    bench.until(lambda: lists(bench))
    host = lists(bench)[0].endpoints[0].id
    bench.policy.ready = [[CheckHealth(host), WatchEndpoints(False)]]
    bench.facade.report_list_unavailable()
    bench.pass_us(5 * MS)
    work = bench.facade.pick()
    assert work.health_checks == [HealthCheckRequest("a", ("127.0.0.2", 7))]
    assert work.watch is False


def moved(
    bench: Bench, old: Service, *new: Callable[[Caller], Coroutine[None]]
) -> tuple[DiscoveryClient, Service]:
    discovery = start(bench, old)
    discovery.watch(True)
    bench.until(lambda: lists(bench))
    other = Service(bench, *new)
    discovery.reconnect_to(other.stand_in.address)
    return discovery, other


def test_a_watch_moves_without_a_gap(bench: Bench) -> None:
    old = Service(bench, stream(bench, listed(42, entry("h1")), then_silent=False))
    _, new = moved(
        bench, old, stream(bench, listed(43, entry("h1"), whole=False), then_silent=False)
    )
    bench.until(lambda: len(lists(bench)) == 2)
    bench.pass_us(2 * QUICK.watch_silence_us)
    assert [told.kind for told in lists(bench)] == [EndpointListKind.FULL, EndpointListKind.CHANGES]
    assert new.targets == ["/discovery/hosts?stream=1&index=42"]
    assert bench.counters["discovery_lost"] == 0


def test_the_old_watch_serves_until_the_new_one_tells(bench: Bench) -> None:
    """Nothing is reported lost while the new address fails at first."""
    old = Service(bench, stream(bench, listed(42, entry("h1")), then_silent=False))
    _, new = moved(
        bench,
        old,
        refuse,
        reset,
        stream(bench, listed(43, entry("h2"), whole=False), then_silent=False),
    )
    bench.until(lambda: len(lists(bench)) == 2)
    assert len(new.targets) == 3
    assert [told.version for told in lists(bench)] == [42, 43]


def test_with_the_old_watch_ended_and_the_new_address_down_it_is_lost_once(bench: Bench) -> None:
    old = Service(bench, stream(bench, listed(42, entry("h1"))))
    discovery, _ = moved(bench, old, *[refuse] * 50)
    bench.until(lambda: len(lists(bench)) == 2)
    assert lists(bench)[1].kind is EndpointListKind.UNAVAILABLE
    back = Service(bench, stream(bench, listed(44, entry("h1"))))
    discovery.reconnect_to(back.stand_in.address)
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == 3)
    assert lists(bench)[2].version == 44


def test_watches_that_move_to_an_address_that_is_down_wait_longer_and_apart() -> None:
    """A new configuration moves all directors at once: at ten tries a second each, 230 of them were 2,300."""
    limits = replace(QUICK, watch_retry_us=800 * MS)
    one, other = Backoff(limits, limits.watch_retry_us), Backoff(limits, limits.watch_retry_us, 0.5)
    waits = [(one.next_us(), other.next_us()) for _ in range(12)]
    assert waits[-1] == (800 * MS, 1_200 * MS)
    assert all(later == 1.5 * sooner for sooner, later in waits)
    bench = Bench(limits)
    _, new = moved(
        bench,
        Service(bench, stream(bench, listed(42, entry("h1")), then_silent=False)),
        *[refuse] * 50,
    )
    bench.pass_us(3_000 * MS)
    assert 4 <= len(new.targets) <= 12
    bench.close()


def test_moves_close_together_end_at_the_newest_address(bench: Bench) -> None:
    old = Service(bench, stream(bench, listed(42, entry("h1")), then_silent=False))
    discovery, between = moved(bench, old, silent)
    bench.until(lambda: between.targets)
    last = Service(bench, stream(bench, listed(43, entry("h1"), whole=False), then_silent=False))
    discovery.reconnect_to(last.stand_in.address)
    bench.until(lambda: len(lists(bench)) == 2)
    bench.pass_us(2 * QUICK.watch_silence_us)
    assert [told.version for told in lists(bench)] == [42, 43]


# Lists that cross each other


def test_a_whole_list_older_than_what_was_told_brings_no_host_back(bench: Bench) -> None:
    """A host that drains was ready again by a list of before."""
    drains = stream(bench, listed(43, entry("a", "draining"), whole=False))
    service = Service(bench, drains, body(listed(41, entry("a"))))
    discovery = start(bench, service)
    discovery.watch(True)
    bench.until(lambda: lists(bench))
    discovery.fetch()
    bench.until(lambda: len(lists(bench)) == 2)
    assert [(told.kind, [h.status for h in told.endpoints]) for told in lists(bench)] == [
        (EndpointListKind.CHANGES, [EndpointStatus.DRAINING]),
        (EndpointListKind.UNAVAILABLE, []),
    ]


def test_discovery_that_keeps_to_an_older_list_has_started_over(bench: Bench) -> None:
    """Else its changes would be turned away for good, and the director would see no drain any more."""
    times = QUICK.max_stale_lists
    service = Service(
        bench,
        *[body(listed(3, entry("a")))] * times,
        stream(bench, listed(4, entry("b"), whole=False)),
    )
    discovery = start(bench, service)
    for count in range(times):
        discovery.fetch()
        bench.until(lambda count=count: len(lists(bench)) == count + 1)  # type: ignore[misc]
    assert [told.kind for told in lists(bench)] == [EndpointListKind.UNAVAILABLE] * (times - 1) + [
        EndpointListKind.FULL
    ]
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == times + 1)
    assert service.targets[-1].endswith("index=3")


def test_discovery_that_tells_changes_of_before_is_asked_for_all_that_it_has(bench: Bench) -> None:
    times = QUICK.max_stale_lists
    service = Service(
        bench,
        *[stream(bench, listed(3, whole=False))] * times,
        stream(bench, listed(3, entry("a"))),
    )
    discovery = start(bench, service)
    for count in range(times):
        discovery.watch(True)
        bench.until(lambda count=count: len(lists(bench)) == count + 1)  # type: ignore[misc]
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == times + 1)
    assert [target.split("=")[-1] for target in service.targets] == ["41"] * times + ["0"]
    assert lists(bench)[-1].kind is EndpointListKind.FULL


def test_an_older_list_between_newer_ones_starts_no_count(bench: Bench) -> None:
    old, new = body(listed(3, entry("a"))), body(listed(50, entry("a")))
    service = Service(bench, old, old, new, old, old, new)
    discovery = start(bench, service)
    for count in range(6):
        discovery.fetch()
        bench.until(lambda count=count: len(lists(bench)) == count + 1)  # type: ignore[misc]
    lost = EndpointListKind.UNAVAILABLE
    assert [told.kind for told in lists(bench)] == [lost, lost, EndpointListKind.FULL] * 2


def test_a_list_fetched_meanwhile_does_not_end_the_watch(bench: Bench) -> None:
    """The watch's next line was taken for a gap, as the fetch had moved the version on."""
    go_on: list[bytes] = []

    def watched(caller: Caller) -> Coroutine[None]:
        yield from caller.open_body()
        yield from caller.line(listed(42, entry("a"), whole=False))
        while True:
            while not go_on:
                yield Wait(bench.clock() + MS)
            yield from caller.line(go_on.pop(0))

    service = Service(bench, watched, body(listed(45, entry("a", "draining"))))
    discovery = start(bench, service)
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == 1)
    discovery.fetch()
    bench.until(lambda: len(lists(bench)) == 2)
    go_on += [listed(44, entry("a"), whole=False), listed(46, entry("b"), whole=False)]
    bench.until(lambda: len(lists(bench)) == 3)
    assert [(told.version, [h.status for h in told.endpoints]) for told in lists(bench)] == [
        (42, [EndpointStatus.READY]),
        (45, [EndpointStatus.DRAINING]),
        (46, [EndpointStatus.READY]),
    ]
    assert len(service.targets) == 2


def test_former_and_new_watch_each_keep_their_own_order(bench: Bench) -> None:
    """Both counted by one version: what the former told in between made the new one's first line look like a gap."""
    go_on: list[bytes] = []

    def former(caller: Caller) -> Coroutine[None]:
        yield from caller.open_body()
        yield from caller.line(listed(42, entry("a"), whole=False))
        while not go_on:
            yield Wait(bench.clock() + MS)
        yield from caller.line(go_on.pop(0))
        yield from caller.silence()

    def moved(caller: Caller) -> Coroutine[None]:
        yield from caller.open_body()
        go_on.append(listed(43, entry("a", "draining"), whole=False))
        while len(lists(bench)) < 2:
            yield Wait(bench.clock() + MS)
        yield from caller.line(listed(43, entry("a", "draining"), whole=False))
        yield from caller.line(listed(44, entry("b"), whole=False))
        yield from caller.silence()

    old, new = Service(bench, former), Service(bench, moved)
    discovery = start(bench, old)
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == 1)
    discovery.reconnect_to(new.stand_in.address)
    bench.until(lambda: any(told.version == 44 for told in lists(bench)))
    assert EndpointListKind.UNAVAILABLE not in {told.kind for told in lists(bench)}
    assert len(new.targets) == 1


def test_a_second_move_and_one_back_leave_one_watch(bench: Bench) -> None:
    first = Service(
        bench,
        stream(bench, listed(42, entry("a"), whole=False)),
        stream(
            bench, listed(42, whole=False), listed(43, entry("b"), whole=False), then_silent=False
        ),
    )
    other = Service(bench, silent)
    discovery = start(bench, first)
    discovery.watch(True)
    bench.until(lambda: len(lists(bench)) == 1)
    discovery.reconnect_to(other.stand_in.address)
    bench.until(lambda: other.targets)
    discovery.reconnect_to(first.stand_in.address)
    bench.until(lambda: any(told.version == 43 for told in lists(bench)))
    bench.pass_us(3 * QUICK.list_timeout_us)
    assert EndpointListKind.UNAVAILABLE not in {told.kind for told in lists(bench)}
    assert (len(first.targets), len(other.targets)) == (2, 1)


def test_an_entry_beyond_all_clocks_is_skipped_and_the_watch_goes_on(bench: Bench) -> None:
    """It ended the watch by a defect, of which the module never heard: no drain was seen any more."""
    spoilt = listed(42, entry("a", since=1e18), entry("b"), whole=False)
    service = Service(bench, stream(bench, spoilt, listed(43, entry("c"), whole=False)))
    start(bench, service).watch(True)
    bench.until(lambda: len(lists(bench)) == 2)
    assert [len(told.endpoints) for told in lists(bench)] == [1, 1]
    assert bench.counters["discovery_messages_rejected"] == 1


@pytest.mark.parametrize("call", ["watch", "fetch"])
def test_a_defect_in_a_call_is_answered_to_the_module(bench: Bench, call: str) -> None:
    service = Service(bench, silent)
    discovery = DiscoveryClient(bench.runtime, ("127.0.0.1", 99_999), 41)
    discovery.watch(True) if call == "watch" else discovery.fetch()
    bench.until(lambda: lists(bench))
    assert [told.kind for told in lists(bench)] == [EndpointListKind.UNAVAILABLE]
    assert [type(error) for error in bench.unexpected_errors] == [OverflowError]
    bench.unexpected_errors.clear()
    discovery.reconnect_to(service.stand_in.address)
    discovery.watch(True)
    bench.until(lambda: service.targets)


@pytest.mark.parametrize("trouble", [silent, broken_line, "signs", refuse, reset], ids=str)
def test_a_silent_list_is_given_up_within_the_time_of_a_call(bench: Bench, trouble: object) -> None:
    """Open and silent, half a line, empty lines without an object: none holds the module's answer back for longer."""
    act = stream(bench, then_silent=False) if trouble == "signs" else trouble
    service = Service(bench, act)  # type: ignore[arg-type]
    began_us = bench.clock()
    start(bench, service).watch(True)
    bench.until(lambda: lists(bench))
    assert [told.kind for told in lists(bench)] == [EndpointListKind.UNAVAILABLE]
    assert (
        bench.clock() - began_us <= QUICK.list_timeout_us + 20 * MS
    )  # the bench's clock, not the machine's

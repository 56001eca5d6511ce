"""Both ways of discovery, and starting over."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from kelpcourse.policy.actions import (
    BindProxy,
    SetTimer,
    WatchEndpoints,
    WithdrawEndpoint,
)
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import EndpointList, EndpointListKind, ProxyJoined, Started
from tests.fleet import (
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    endpoint_orders,
    full_list,
    make_endpoints,
)

ASK = replace(SETTINGS, discovery_is_polled=True, discovery_poll_deadline_us=8 * SECOND)
FAILED = EndpointList(EndpointListKind.UNAVAILABLE, 0, ())


def test_a_pushed_list_is_never_fetched() -> None:
    harness = PolicyHarness(listed=make_endpoints(4))
    harness.run_until(harness.now_us + 30 * SECOND)
    assert [a for _, a in harness.log if isinstance(a, WatchEndpoints)] == []


def test_a_polled_list_is_watched_from_the_start_and_once() -> None:
    harness = PolicyHarness(ASK, listed=make_endpoints(4))
    harness.send(full_list(make_endpoints(4)))
    harness.run_until(harness.now_us + 30 * SECOND)
    assert [a for _, a in harness.log if isinstance(a, WatchEndpoints)] == [WatchEndpoints(True)]


def test_a_failed_watch_is_restarted_with_backoff_within_its_deadline() -> None:
    harness = PolicyHarness(ASK, listed=make_endpoints(4))
    asked = [harness.now_us]
    for _ in range(6):
        harness.send(FAILED)
        while not any(isinstance(a, WatchEndpoints) and t > asked[-1] for t, a in harness.log):
            harness.run_until(harness.now_us + SECOND)
            assert harness.now_us - asked[-1] < ASK.discovery_poll_deadline_us
        asked.append(harness.now_us)
    gaps = [b - a for a, b in pairwise(asked)]
    assert gaps[0] <= SECOND
    assert gaps[-1] >= gaps[0]
    assert max(gaps) <= ASK.discovery_poll_deadline_us // 2


def asks_again_after(director: int) -> int:
    """Of a controller that is stepped each 10 ms, as reports come."""
    harness = PolicyHarness(
        replace(ASK, controller_index=director, controller_count=230), listed=make_endpoints(4)
    )
    harness.send(FAILED)
    for k in range(300):
        harness.now_us += SECOND // 100
        if actions_of_type(harness.send(), WatchEndpoints):
            return k
    raise AssertionError("it never asked")


def test_controllers_that_fail_together_do_not_retry_together() -> None:
    """A release ended the watches of all: discovery that has too many callers would have them all again."""
    asked = [asks_again_after(k) for k in range(230)]
    assert max(asked.count(at) for at in asked) <= 230 // 25
    assert max(asked) <= 2 * min(asked) + 1


def test_a_dropped_watch_is_restarted() -> None:
    harness = PolicyHarness(ASK, listed=make_endpoints(4))
    harness.send(full_list(make_endpoints(4)))
    harness.run_until(harness.now_us + 10 * SECOND)
    harness.send(FAILED)
    harness.run_until(harness.now_us + 2 * SECOND)
    assert len([a for _, a in harness.log if isinstance(a, WatchEndpoints)]) == 2


def test_after_a_crash_the_stale_list_serves_until_the_fresh_one_corrects_it() -> None:
    policy = RoutingPolicy(ASK)
    now = 90 * SECOND
    first = policy.step(
        now, [Started(3), EndpointList(EndpointListKind.RESTORED, 4, tuple(make_endpoints(5)))]
    )
    assert actions_of_type(first, WatchEndpoints) == [WatchEndpoints(True)]
    joined = policy.step(now + SECOND, [ProxyJoined(0, "east", 10.0, False)])
    assert actions_of_type(joined, BindProxy) != []
    fresh = policy.step(now + 2 * SECOND, [full_list(make_endpoints(4), 9)])
    assert endpoint_orders(fresh) == [WithdrawEndpoint(104)]


def test_withdrawals_are_restated_to_a_late_joiner_by_its_binding() -> None:
    harness = PolicyHarness(listed=make_endpoints(5), proxies=1)
    harness.send(full_list(make_endpoints(4)))
    harness.send(ProxyJoined(3, "east", 10.0, False))
    assert 104 not in harness.tables[0]


def test_a_timer_is_always_running() -> None:
    harness = PolicyHarness(listed=make_endpoints(2))
    for _ in range(5):
        harness.run_until(harness.now_us + SECOND)
        assert any(t.due_us > harness.now_us - SECOND for t in harness.timers)
    assert all(isinstance(t, SetTimer) for t in harness.timers)

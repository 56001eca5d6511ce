"""Tests of pushed and polled discovery, and of a start with a restored endpoint list."""

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

POLLED_DISCOVERY = replace(
    SETTINGS, discovery_is_polled=True, discovery_poll_deadline_us=8 * SECOND
)
LIST_UNAVAILABLE = EndpointList(EndpointListKind.UNAVAILABLE, 0, ())


def test_a_pushed_list_is_never_fetched() -> None:
    harness = PolicyHarness(listed=make_endpoints(4))
    harness.run_until(harness.now_us + 30 * SECOND)
    assert [a for _, a in harness.log if isinstance(a, WatchEndpoints)] == []


def test_a_polled_list_is_watched_from_the_start_and_once() -> None:
    harness = PolicyHarness(POLLED_DISCOVERY, listed=make_endpoints(4))
    harness.send(full_list(make_endpoints(4)))
    harness.run_until(harness.now_us + 30 * SECOND)
    assert [a for _, a in harness.log if isinstance(a, WatchEndpoints)] == [WatchEndpoints(True)]


def test_a_failed_watch_is_restarted_with_backoff_within_its_deadline() -> None:
    harness = PolicyHarness(POLLED_DISCOVERY, listed=make_endpoints(4))
    watched_us = [harness.now_us]
    for _ in range(6):
        harness.send(LIST_UNAVAILABLE)
        while not any(isinstance(a, WatchEndpoints) and t > watched_us[-1] for t, a in harness.log):
            harness.run_until(harness.now_us + SECOND)
            assert harness.now_us - watched_us[-1] < POLLED_DISCOVERY.discovery_poll_deadline_us
        watched_us.append(harness.now_us)
    delays_us = [b - a for a, b in pairwise(watched_us)]
    assert delays_us[0] <= SECOND
    assert delays_us[-1] >= delays_us[0]
    assert max(delays_us) <= POLLED_DISCOVERY.discovery_poll_deadline_us // 2


def steps_until_watch_retry(controller_index: int) -> int:
    """Returns the number of 10 ms steps after which a controller retries its failed watch."""
    harness = PolicyHarness(
        replace(POLLED_DISCOVERY, controller_index=controller_index, controller_count=230),
        listed=make_endpoints(4),
    )
    harness.send(LIST_UNAVAILABLE)
    for k in range(300):
        harness.now_us += SECOND // 100
        if actions_of_type(harness.send(), WatchEndpoints):
            return k
    raise AssertionError("the watch was not retried")


def test_controllers_that_fail_together_do_not_retry_together() -> None:
    """When a release ends all watches at once, simultaneous retries would overload discovery again."""
    steps = [steps_until_watch_retry(k) for k in range(230)]
    assert max(steps.count(step) for step in steps) <= 230 // 25
    assert max(steps) <= 2 * min(steps) + 1


def test_a_dropped_watch_is_restarted() -> None:
    harness = PolicyHarness(POLLED_DISCOVERY, listed=make_endpoints(4))
    harness.send(full_list(make_endpoints(4)))
    harness.run_until(harness.now_us + 10 * SECOND)
    harness.send(LIST_UNAVAILABLE)
    harness.run_until(harness.now_us + 2 * SECOND)
    assert len([a for _, a in harness.log if isinstance(a, WatchEndpoints)]) == 2


def test_after_a_crash_the_restored_list_is_used_until_a_full_list_replaces_it() -> None:
    policy = RoutingPolicy(POLLED_DISCOVERY)
    now_us = 90 * SECOND
    first = policy.step(
        now_us, [Started(3), EndpointList(EndpointListKind.RESTORED, 4, tuple(make_endpoints(5)))]
    )
    assert actions_of_type(first, WatchEndpoints) == [WatchEndpoints(True)]
    join_actions = policy.step(now_us + SECOND, [ProxyJoined(0, "east", 10.0, False)])
    assert actions_of_type(join_actions, BindProxy) != []
    full_list_actions = policy.step(now_us + 2 * SECOND, [full_list(make_endpoints(4), 9)])
    assert endpoint_orders(full_list_actions) == [WithdrawEndpoint(104)]


def test_a_late_joiner_is_bound_to_a_table_without_the_withdrawn_endpoint() -> None:
    harness = PolicyHarness(listed=make_endpoints(5), proxies=1)
    harness.send(full_list(make_endpoints(4)))
    harness.send(ProxyJoined(3, "east", 10.0, False))
    assert 104 not in harness.tables[0]


def test_a_timer_is_always_pending() -> None:
    harness = PolicyHarness(listed=make_endpoints(2))
    for _ in range(5):
        harness.run_until(harness.now_us + SECOND)
        assert any(t.due_us > harness.now_us - SECOND for t in harness.timers)
    assert all(isinstance(t, SetTimer) for t in harness.timers)

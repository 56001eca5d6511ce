"""Drains one after the other share messages, so that none waits for the end of the message window."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

import pytest

from kelpcourse.policy.actions import BindProxy, Checkpoint, WithdrawEndpoint
from kelpcourse.policy.events import EndpointStatus, ProxyJoined, ProxyLeft
from kelpcourse.policy.settings import Settings
from tests.fleet import SECOND, SETTINGS, PolicyHarness, list_changes, make_endpoint, make_endpoints

ENDPOINTS = make_endpoints(26)
PROXIES = 36
SPAN_US = 7 * SECOND  # in which the endpoints are replaced
SUCCESSOR_DELAY_US = 1_400_000


def fleet_settings(grace_us: int) -> Settings:
    return replace(
        SETTINGS,
        proxy_count=2 * PROXIES,
        max_messages_per_proxy=12,
        mean_transit_us=356_000,
        max_transit_us=890_000,
        drain_grace_us=grace_us,
        warm_up_us=14 * SECOND,
    )


def run_steadily(harness: PolicyHarness, end_us: int) -> None:
    """Runs with response times that change each second, so that each update period has updates."""
    while harness.now_us + SECOND <= end_us:
        second = harness.now_us // SECOND
        times_us = {each.id: 100_000 * (1 + (each.id + second) % 5) for each in ENDPOINTS}
        harness.run_second(ENDPOINTS, attempts=6, mean_times_us=times_us, demand=(3, 1))
    harness.run_until(end_us)


def drain_one_by_one(harness: PolicyHarness, count: int, list_period_us: int = 1) -> dict[int, int]:
    """Drains endpoints at equal intervals, lists their successors later, and returns when each drain was listed."""
    begin_us = harness.now_us
    changes = defaultdict(list)
    drains_us = {}
    for position, endpoint in enumerate(ENDPOINTS[:count]):
        drained_us = begin_us + position * SPAN_US // count
        listed_us = _next_list_us(drained_us, list_period_us)
        drains_us[endpoint.id] = listed_us
        changes[listed_us].append(replace(endpoint, status=EndpointStatus.DRAINING))
        successor = make_endpoint(500 + endpoint.id, endpoint.zone, started_us=drained_us)
        returned_us = _next_list_us(drained_us + SUCCESSOR_DELAY_US, list_period_us)
        changes[returned_us].append(successor)
    for time_us in sorted(changes):
        run_steadily(harness, time_us)
        harness.send(list_changes(changes[time_us]))
    run_steadily(harness, begin_us + 2 * SPAN_US)
    return drains_us


def _next_list_us(time_us: int, period_us: int) -> int:
    """Returns the time at which a change is listed, if all changes of a period are listed together at its end."""
    return -(-time_us // period_us) * period_us


def assert_in_time(harness: PolicyHarness, drains_us: dict[int, int]) -> None:
    """Asserts that each withdrawal reaches all proxies within the grace, with at most as many messages as allowed."""
    settings = harness.settings
    proxies = len(harness.proxies)
    ordered = {a.endpoint: t for t, a in harness.log if isinstance(a, WithdrawEndpoint)}
    message_us = proxies * (2 + settings.message_overhead_entries + 1) / 3000 * SECOND
    for endpoint, drained_us in drains_us.items():
        delivered_us = ordered[endpoint] + message_us + settings.max_transit_us
        assert delivered_us - drained_us <= settings.drain_grace_us
    sent_us = [t for t, action in harness.log if isinstance(action, Checkpoint)]
    for first_us, last_us in zip(sent_us, sent_us[12:], strict=False):
        assert last_us - first_us >= settings.message_window_us


@pytest.mark.parametrize("grace_us", [1_500_000, 2_000_000, 2_500_000, 3_400_000])
@pytest.mark.parametrize("count", [1, 4, 8, 15])
def test_drains_one_by_one_are_withdrawn_within_their_grace(grace_us: int, count: int) -> None:
    """Guards against drains that wait for seconds, as the withdrawals before them have used up all messages."""
    harness = PolicyHarness(fleet_settings(grace_us), ENDPOINTS, proxies=PROXIES)
    run_steadily(harness, harness.now_us + 12 * SECOND)
    assert_in_time(harness, drain_one_by_one(harness, count))


@pytest.mark.parametrize("list_period_us", [160_000, 400_000, 1_200_000])
@pytest.mark.parametrize("grace_us", [1_500_000, 1_700_000, 2_500_000])
@pytest.mark.parametrize("proxies", [6, 24, 36])
def test_messages_last_while_six_in_ten_endpoints_are_replaced(
    list_period_us: int, grace_us: int, proxies: int
) -> None:
    """Guards against withdrawals that stop half-way, as the first ones went out in a message each."""
    harness = PolicyHarness(fleet_settings(grace_us), ENDPOINTS, proxies=proxies)
    run_steadily(harness, harness.now_us + 12 * SECOND)
    assert_in_time(harness, drain_one_by_one(harness, 16, list_period_us))


def test_proxies_that_join_while_withdrawals_wait_are_bound() -> None:
    """Guards against joins that starve for as long as drains follow one another."""
    settings = fleet_settings(1_500_000)
    harness = PolicyHarness(settings, ENDPOINTS, proxies=PROXIES)
    run_steadily(harness, harness.now_us + 12 * SECOND)
    for endpoint in ENDPOINTS[:16]:
        harness.send(list_changes([replace(endpoint, status=EndpointStatus.DRAINING)]))
        harness.run_until(harness.now_us + SPAN_US // 32)
        if endpoint is ENDPOINTS[4]:
            rejoined = [event for proxy in range(12) for event in rejoin(proxy)]
            rejoined_us = harness.now_us
            harness.send(*rejoined)
        harness.run_until(harness.now_us + SPAN_US // 32)
    bound_us = {a.proxy: t for t, a in harness.log if isinstance(a, BindProxy)}
    assert all(0 <= bound_us[proxy] - rejoined_us <= settings.drain_grace_us for proxy in range(12))


def rejoin(proxy: int) -> list[ProxyLeft | ProxyJoined]:
    return [ProxyLeft(proxy), ProxyJoined(proxy, "east" if proxy % 2 == 0 else "west", 10.0, True)]

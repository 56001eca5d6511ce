"""Tests of subsets, used if there are more proxies than connections to an endpoint.

Proxies prefer endpoints of their own zone, and every endpoint keeps its share of all requests.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace

import pytest

from kelpcourse.policy.actions import (
    BindProxy,
    Checkpoint,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.events import Endpoint, EndpointStatus, ProxyJoined, ProxyLeft
from kelpcourse.policy.subsetting import subset_of
from tests.fleet import SECOND, SETTINGS, PolicyHarness, full_list, list_changes, make_endpoint

FEW_CONNECTIONS = replace(
    SETTINGS,
    proxy_count=120,
    min_endpoint_connections=100.0,
    max_backlog_entries=50_000.0,
    drain_grace_us=3 * SECOND,
)
# 6 endpoints in the zone east, 14 in the zone west.
ENDPOINTS = [make_endpoint(100 + k, "east" if k < 6 else "west") for k in range(20)]


def harness_with_proxies(
    east: int, west: int, settings: object = FEW_CONNECTIONS, listed: Sequence[Endpoint] = ENDPOINTS
) -> PolicyHarness:
    assert isinstance(settings, type(SETTINGS))
    harness = PolicyHarness(settings=settings, listed=listed, proxies=0)
    harness.proxies = list(range(east + west))
    harness.send(
        *(ProxyJoined(p, "east" if p < east else "west", 5.0, True) for p in harness.proxies)
    )
    harness.run_until(harness.now_us + 10 * SECOND)
    return harness


def zone_of(harness: PolicyHarness, proxy: int) -> str:
    return harness.policy.bindings.origins[proxy].zone


def request_shares(harness: PolicyHarness, zone: str) -> dict[int, float]:
    """Returns the fraction of a zone's requests that each endpoint gets by the tables of the zone's proxies."""
    shares = dict.fromkeys((endpoint.id for endpoint in ENDPOINTS), 0.0)
    zone_proxies = [proxy for proxy in harness.policy.bindings if zone_of(harness, proxy) == zone]
    for proxy in zone_proxies:
        entries = harness.tables[next(iter(harness.policy.tables.tables_of(proxy, zone)))]
        for endpoint, weight in entries.items():
            shares[endpoint] += weight / sum(entries.values()) / len(zone_proxies)
    return shares


@pytest.mark.parametrize(("east", "west"), [(60, 60), (20, 100), (100, 20), (36, 84)])
def test_every_endpoint_gets_the_same_total_whatever_the_traffic_of_each_zone(
    east: int, west: int
) -> None:
    harness = harness_with_proxies(east, west)
    total = {
        endpoint.id: (
            east * request_shares(harness, "east")[endpoint.id]
            + west * request_shares(harness, "west")[endpoint.id]
        )
        / (east + west)
        for endpoint in ENDPOINTS
    }
    assert max(total.values()) < 1.15 * min(total.values())


def test_a_zone_forwards_to_others_only_what_exceeds_its_capacity() -> None:
    # A sixth of the traffic for three tenths of the endpoints.
    harness = harness_with_proxies(20, 100)
    assert sum(request_shares(harness, "east")[endpoint.id] for endpoint in ENDPOINTS[:6]) > 0.98
    harness = harness_with_proxies(100, 20)
    assert sum(request_shares(harness, "west")[endpoint.id] for endpoint in ENDPOINTS[6:]) > 0.98
    assert sum(
        request_shares(harness, "east")[endpoint.id] for endpoint in ENDPOINTS[:6]
    ) == pytest.approx(0.3 / (5 / 6), rel=0.1)


def count_proxies_by_endpoint(harness: PolicyHarness) -> dict[int, int]:
    """Returns the number of proxies with an entry of each endpoint, the most connections that it may get."""
    counts = dict.fromkeys(harness.policy.registry.endpoints, 0)
    for proxy in harness.policy.bindings:
        for table in harness.policy.tables.tables_of(proxy, zone_of(harness, proxy)):
            for endpoint in harness.tables[table]:
                counts[endpoint] += 1
    return counts


@pytest.mark.parametrize(("east", "west"), [(60, 60), (20, 100), (36, 84)])
def test_no_endpoint_is_in_the_tables_of_more_proxies_than_it_accepts_connections(
    east: int, west: int
) -> None:
    """With tables of all endpoints, 1,600 proxies opened 1,600 connections to endpoints that accept 357."""
    large = [make_endpoint(100 + k, "east" if k % 2 else "west") for k in range(80)]
    proxy_counts = count_proxies_by_endpoint(
        harness_with_proxies(
            east, west, replace(FEW_CONNECTIONS, min_endpoint_connections=60.0), large
        )
    )
    assert min(proxy_counts.values()) > 0
    assert max(proxy_counts.values()) <= 60


def test_subset_tables_are_small_and_bound_to_all_proxies() -> None:
    """Bindings of 200 entries for 323 proxies take 23 s at a delivery rate of 3,000 entries per second."""
    harness = harness_with_proxies(60, 60)
    assert all(0 < len(entries) <= 12 for entries in harness.tables.values())
    binds = [action for _, action in harness.log if isinstance(action, BindProxy)]
    assert {b.proxy for b in binds} == set(harness.proxies)


def test_a_gone_endpoint_is_replaced_only_in_the_tables_that_contained_it() -> None:
    harness = harness_with_proxies(60, 60)
    before = {table: dict(entries) for table, entries in harness.tables.items()}
    harness.send(list_changes([make_endpoint(103, "east", EndpointStatus.GONE)]))
    harness.run_until(harness.now_us + 10 * SECOND)
    assert all(103 not in entries for entries in harness.tables.values())
    for table, entries in harness.tables.items():
        if 103 not in before[table]:
            # The number of a zone's entries may be rounded differently.
            assert len(entries.keys() ^ before[table].keys()) <= 2


def test_a_withdrawal_costs_entries_only_at_proxies_with_the_endpoint() -> None:
    """Counting an entry at every proxy delays withdrawals although there is capacity for them."""
    harness = harness_with_proxies(60, 60)
    harness.acknowledges = False
    queued_entries = harness.policy.delivery.backlog_entries(harness.now_us)
    bound_proxies = dict.fromkeys(harness.tables, 0)
    for proxy in harness.policy.bindings:
        for table in harness.policy.tables.tables_of(proxy, zone_of(harness, proxy)):
            bound_proxies[table] += 1
    holding_tables = {table for table, weights in harness.tables.items() if 103 in weights}
    entries = dict.fromkeys(harness.tables, 0)
    actions = harness.send(list_changes([make_endpoint(103, "east", EndpointStatus.GONE)]))
    assert WithdrawEndpoint(103) in actions
    for action in actions:
        if isinstance(action, SetWeight):
            entries[action.table] += 1
            holding_tables -= {action.table} if action.endpoint == 103 else set()
        elif action == WithdrawEndpoint(103):
            entries.update((table, entries[table] + 1) for table in holding_tables)
    cost = sum(bound_proxies[table] * (count + 7) for table, count in entries.items() if count)
    assert 0 < cost < 120 * 8
    assert harness.policy.delivery.backlog_entries(harness.now_us) - queued_entries == cost


@pytest.mark.parametrize("min_connections", [0.0, 120.0, 500.0])
def test_one_table_serves_all_when_connections_fit_or_are_not_limited(
    min_connections: float,
) -> None:
    harness = harness_with_proxies(
        60, 60, replace(FEW_CONNECTIONS, min_endpoint_connections=min_connections)
    )
    assert list(harness.tables) == [0]


def test_no_table_is_filled_before_the_traffic_of_each_zone_is_known() -> None:
    # Filled at the start, before any traffic was known, tables sent half of it to other zones, and their correction
    # waited for the bindings: requests across zones doubled without any fault.
    harness = PolicyHarness(settings=FEW_CONNECTIONS, listed=ENDPOINTS, proxies=0)
    harness.run_until(harness.now_us + 5 * SECOND)
    assert not harness.tables
    harness.send(*(ProxyJoined(p, "east" if p < 20 else "west", 5.0, True) for p in range(120)))
    assert sum(request_shares(harness, "east")[endpoint.id] for endpoint in ENDPOINTS[:6]) > 0.98


def test_changes_of_tables_in_use_fit_one_call() -> None:
    """1,156 entries were sent in two calls, and so as two messages to each proxy, of which one was counted."""
    large = [make_endpoint(100 + k, "east" if k % 2 else "west") for k in range(600)]
    harness = harness_with_proxies(
        60,
        60,
        replace(
            FEW_CONNECTIONS,
            min_endpoint_connections=60.0,
            delivery_entries_per_s=1e6,
            max_backlog_entries=1e6,
        ),
        large,
    )
    assert sum(map(len, harness.tables.values())) > 1_000
    before = len(harness.log)
    harness.send(
        list_changes([replace(endpoint, weight=1.0 + k % 5) for k, endpoint in enumerate(large)])
    )
    harness.run_until(harness.now_us + 10 * SECOND)
    calls, entries = list[int](), 0
    for _, action in harness.log[before:]:
        entries += isinstance(action, SetWeight)
        if isinstance(action, Checkpoint):
            calls, entries = [*calls, entries], 0
    assert sum(calls) > 1_000
    assert max(calls) <= 700


def test_a_class_without_endpoints_does_not_stop_other_classes() -> None:
    """With tables of subsets, a class without any endpoint caused a division by zero in every step."""
    bound = replace(SETTINGS.classes[1], allowed_zones=frozenset({"west"}))
    harness = harness_with_proxies(
        60, 60, replace(FEW_CONNECTIONS, classes=(SETTINGS.classes[0], bound))
    )
    harness.send(
        list_changes(
            [
                make_endpoint(endpoint.id, endpoint.zone, EndpointStatus.GONE)
                for endpoint in ENDPOINTS
                if endpoint.zone == "west"
            ]
        )
    )
    harness.run_until(harness.now_us + 5 * SECOND)
    assert any(
        harness.tables[t].keys()
        == {endpoint.id for endpoint in ENDPOINTS if endpoint.zone == "east"}
        for t in harness.tables
    )


def test_an_endpoint_of_a_zone_outside_the_settings_is_accepted() -> None:
    harness = harness_with_proxies(
        60, 60, listed=[*ENDPOINTS[:6], *(make_endpoint(200 + k, "north") for k in range(14))]
    )
    assert {endpoint for entries in harness.tables.values() for endpoint in entries} == {
        *range(100, 106),
        *range(200, 214),
    }


def test_a_zone_without_endpoints_or_without_proxies_is_accepted() -> None:
    harness = harness_with_proxies(120, 0)
    assert sum(request_shares(harness, "east").values()) == pytest.approx(1.0)
    assert request_shares(harness, "east")[100] == pytest.approx(1 / 20, rel=0.15)
    one_zone = PolicyHarness(settings=FEW_CONNECTIONS, listed=ENDPOINTS[:6], proxies=120)
    assert all(len(entries) == 6 for entries in one_zone.tables.values())


def test_traffic_of_zones_is_estimated_from_all_proxies_that_ever_joined() -> None:
    """After four in five streams broke, tables for the remaining proxies sent requests to other zones without need."""
    harness = harness_with_proxies(60, 60)
    before = {
        zone: sum(request_shares(harness, zone)[endpoint.id] for endpoint in ENDPOINTS[:6])
        for zone in ("east", "west")
    }
    harness.send(*(ProxyLeft(p) for p in range(100) if p % 10))
    harness.run_until(harness.now_us + 10 * SECOND)
    after = {
        zone: sum(request_shares(harness, zone)[endpoint.id] for endpoint in ENDPOINTS[:6])
        for zone in ("east", "west")
    }
    assert after == pytest.approx(before, rel=0.15)


def test_table_size_lets_all_proxies_be_bound_within_the_drain_grace_period() -> None:
    """A controller that takes over all proxies must bind them within the drain grace period.

    With 200 endpoints in each table, binding 240 proxies took 16 s, where the drain grace period is 4 s.
    """
    short_grace = replace(
        SETTINGS, proxy_count=240, min_endpoint_connections=500.0, drain_grace_us=4 * SECOND
    )
    endpoints = [make_endpoint(100 + k, "east" if k % 2 else "west") for k in range(200)]
    harness = harness_with_proxies(40, 40, short_grace, endpoints)
    sizes = [len(entries) for entries in harness.tables.values()]
    assert 12 <= max(sizes) <= 0.75 * 4 * 3_000 / 240
    assert {endpoint for entries in harness.tables.values() for endpoint in entries} == {
        endpoint.id for endpoint in endpoints
    }
    long_grace = harness_with_proxies(
        40, 40, replace(short_grace, drain_grace_us=40 * SECOND), endpoints
    )
    assert {len(entries) for entries in long_grace.tables.values()} == {200}


def test_tables_of_all_endpoints_are_filled_before_any_proxy_joins() -> None:
    """Only tables that depend on the traffic of each zone are filled after the first proxies have joined."""
    harness = PolicyHarness(listed=ENDPOINTS, proxies=0)
    harness.run_until(harness.now_us + 2 * SECOND)
    assert harness.tables[0].keys() == {endpoint.id for endpoint in ENDPOINTS}


def test_proxies_of_a_zone_are_spread_over_all_subsets_whatever_their_numbers() -> None:
    """With every second proxy in a zone, half of its subsets had no proxy and their endpoints got no request."""
    harness = harness_with_proxies(0, 0, replace(FEW_CONNECTIONS, min_endpoint_connections=80.0))
    assert harness.policy.tables.subset_count % 2 == 0
    subset_sizes = {
        zone: Counter(subset_of(p, harness.policy.tables.subset_count) for p in range(zone, 120, 2))
        for zone in range(2)
    }
    for counts in subset_sizes.values():
        assert set(counts) == set(range(harness.policy.tables.subset_count))
        assert max(counts.values()) <= 2 * min(counts.values())


def test_proxies_stay_bound_when_all_endpoints_are_replaced_by_a_full_list() -> None:
    """Tables without entries were laid out again, so that proxies bound to the previous tables had none."""
    harness = harness_with_proxies(60, 60)
    bound = {
        proxy
        for bound_proxies in harness.policy.tables.bound_proxies.values()
        for proxy in bound_proxies
    }
    harness.send(full_list([], 2))
    harness.run_until(harness.now_us + 4 * SECOND)
    assert not any(harness.policy.tables.entries.values())
    harness.send(
        full_list(
            [make_endpoint(500 + k, endpoint.zone) for k, endpoint in enumerate(ENDPOINTS)], 3
        )
    )
    harness.run_until(harness.now_us + 4 * SECOND)
    for proxy in bound:
        assert any(
            proxy in bound_proxies and harness.tables[t]
            for t, bound_proxies in harness.policy.tables.bound_proxies.items()
        )

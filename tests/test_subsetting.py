"""More proxies than an endpoint accepts connections: zones prefer their own, no endpoint's total changes."""

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

CROWDED = replace(
    SETTINGS,
    proxy_count=120,
    min_endpoint_connections=100.0,
    max_backlog_entries=50_000.0,
    drain_grace_us=3 * SECOND,
)
FLEET = [
    make_endpoint(100 + k, "east" if k < 6 else "west") for k in range(20)
]  # 6 in the east, 14 in the west


def joined(
    east: int, west: int, settings: object = CROWDED, listed: Sequence[Endpoint] = FLEET
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


def shares(harness: PolicyHarness, zone: str) -> dict[int, float]:
    """Of a zone's requests, over the tables that its proxies hold."""
    out = dict.fromkeys((endpoint.id for endpoint in FLEET), 0.0)
    mine = [number for number in harness.policy.bindings if zone_of(harness, number) == zone]
    for number in mine:
        entries = harness.tables[next(iter(harness.policy.tables.tables_of(number, zone)))]
        for endpoint, w in entries.items():
            out[endpoint] += w / sum(entries.values()) / len(mine)
    return out


@pytest.mark.parametrize(("east", "west"), [(60, 60), (20, 100), (100, 20), (36, 84)])
def test_every_endpoint_gets_the_same_in_total_whatever_zone_it_comes_from(
    east: int, west: int
) -> None:
    harness = joined(east, west)
    total = {
        endpoint.id: (
            east * shares(harness, "east")[endpoint.id]
            + west * shares(harness, "west")[endpoint.id]
        )
        / (east + west)
        for endpoint in FLEET
    }
    assert max(total.values()) < 1.15 * min(total.values())


def test_a_zone_forwards_to_others_only_what_exceeds_its_capacity() -> None:
    harness = joined(20, 100)  # a sixth of the traffic for three tenths of the endpoints
    assert sum(shares(harness, "east")[endpoint.id] for endpoint in FLEET[:6]) > 0.98
    harness = joined(100, 20)
    assert sum(shares(harness, "west")[endpoint.id] for endpoint in FLEET[6:]) > 0.98
    assert sum(shares(harness, "east")[endpoint.id] for endpoint in FLEET[:6]) == pytest.approx(
        0.3 / (5 / 6), rel=0.1
    )


def held(harness: PolicyHarness) -> dict[int, int]:
    """Proxies that hold an entry of each endpoint: so many connections it may get."""
    out = dict.fromkeys(harness.policy.registry.endpoints, 0)
    for number in harness.policy.bindings:
        for table in harness.policy.tables.tables_of(number, zone_of(harness, number)):
            for endpoint in harness.tables[table]:
                out[endpoint] += 1
    return out


@pytest.mark.parametrize(("east", "west"), [(60, 60), (20, 100), (36, 84)])
def test_no_endpoint_is_in_the_tables_of_more_proxies_than_it_accepts_connections(
    east: int, west: int
) -> None:
    """With tables of all endpoints, 1,600 proxies brought 1,600 connections to endpoints that accept 357."""
    large = [make_endpoint(100 + k, "east" if k % 2 else "west") for k in range(80)]
    brought = held(joined(east, west, replace(CROWDED, min_endpoint_connections=60.0), large))
    assert min(brought.values()) > 0
    assert max(brought.values()) <= 60


def test_a_subset_is_bound_and_changed_at_a_lower_cost() -> None:
    """A binding of 200 entries for 323 proxies takes a channel of 3,000 a second 23 s."""
    harness = joined(60, 60)
    assert all(0 < len(entries) <= 12 for entries in harness.tables.values())
    binds = [action for _, action in harness.log if isinstance(action, BindProxy)]
    assert {b.proxy for b in binds} == set(harness.proxies)


def test_a_gone_endpoint_is_replaced_only_in_the_tables_that_contained_it() -> None:
    harness = joined(60, 60)
    before = {table: dict(entries) for table, entries in harness.tables.items()}
    harness.send(list_changes([make_endpoint(103, "east", EndpointStatus.GONE)]))
    harness.run_until(harness.now_us + 10 * SECOND)
    assert all(103 not in entries for entries in harness.tables.values())
    for table, entries in harness.tables.items():
        if 103 not in before[table]:
            assert (
                len(entries.keys() ^ before[table].keys()) <= 2
            )  # a zone's part of the entries may round differently


def test_a_withdrawal_costs_entries_only_at_proxies_with_the_endpoint() -> None:
    """Counted at every proxy, it kept endpoints that drain waiting for capacity that was free."""
    harness = joined(60, 60)
    harness.acknowledges = False
    waits = harness.policy.delivery.backlog_entries(harness.now_us)
    holders = dict.fromkeys(harness.tables, 0)
    for number in harness.policy.bindings:
        for table in harness.policy.tables.tables_of(number, zone_of(harness, number)):
            holders[table] += 1
    held = {table for table, at in harness.tables.items() if 103 in at}
    entries = dict.fromkeys(harness.tables, 0)
    out = harness.send(list_changes([make_endpoint(103, "east", EndpointStatus.GONE)]))
    assert WithdrawEndpoint(103) in out
    for action in out:
        if isinstance(action, SetWeight):
            entries[action.table] += 1
            held -= {action.table} if action.endpoint == 103 else set()
        elif action == WithdrawEndpoint(103):
            entries.update((table, entries[table] + 1) for table in held)
    cost = sum(holders[table] * (count + 7) for table, count in entries.items() if count)
    assert 0 < cost < 120 * 8
    assert harness.policy.delivery.backlog_entries(harness.now_us) - waits == cost


@pytest.mark.parametrize("min_connections", [0.0, 120.0, 500.0])
def test_one_table_serves_all_when_connections_fit_or_are_not_limited(
    min_connections: float,
) -> None:
    harness = joined(60, 60, replace(CROWDED, min_endpoint_connections=min_connections))
    assert list(harness.tables) == [0]


def test_no_table_is_filled_before_the_traffic_of_each_zone_is_known() -> None:
    # Filled at the start by nobody's traffic, tables led half of it abroad, and mending them
    # waited behind the bindings: requests that cross zones doubled on a calm harness.
    harness = PolicyHarness(settings=CROWDED, listed=FLEET, proxies=0)
    harness.run_until(harness.now_us + 5 * SECOND)
    assert not harness.tables
    harness.send(*(ProxyJoined(p, "east" if p < 20 else "west", 5.0, True) for p in range(120)))
    assert sum(shares(harness, "east")[endpoint.id] for endpoint in FLEET[:6]) > 0.98


def test_changes_of_tables_in_use_fit_one_call() -> None:
    """1,156 entries went as two calls, and so as two messages to proxies of which one was counted."""
    large = [make_endpoint(100 + k, "east" if k % 2 else "west") for k in range(600)]
    harness = joined(
        60,
        60,
        replace(
            CROWDED,
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


def test_a_class_whose_zone_is_lost_does_not_stop_the_others() -> None:
    """With tables of a part of the endpoints a class left without any divided by nothing, and no step went through."""
    bound = replace(SETTINGS.classes[1], allowed_zones=frozenset({"west"}))
    harness = joined(60, 60, replace(CROWDED, classes=(SETTINGS.classes[0], bound)))
    harness.send(
        list_changes(
            [
                make_endpoint(endpoint.id, endpoint.zone, EndpointStatus.GONE)
                for endpoint in FLEET
                if endpoint.zone == "west"
            ]
        )
    )
    harness.run_until(harness.now_us + 5 * SECOND)
    assert any(
        harness.tables[t].keys() == {endpoint.id for endpoint in FLEET if endpoint.zone == "east"}
        for t in harness.tables
    )


def test_an_endpoint_of_a_zone_that_the_settings_do_not_name_is_accepted() -> None:
    harness = joined(
        60, 60, listed=[*FLEET[:6], *(make_endpoint(200 + k, "north") for k in range(14))]
    )
    assert {endpoint for entries in harness.tables.values() for endpoint in entries} == {
        *range(100, 106),
        *range(200, 214),
    }


def test_a_zone_without_endpoints_or_without_proxies_is_accepted() -> None:
    harness = joined(120, 0)
    assert sum(shares(harness, "east").values()) == pytest.approx(1.0)
    assert shares(harness, "east")[100] == pytest.approx(1 / 20, rel=0.15)
    lone = PolicyHarness(settings=CROWDED, listed=FLEET[:6], proxies=120)
    assert all(len(entries) == 6 for entries in lone.tables.values())


def test_traffic_is_split_by_all_proxies_seen_not_only_by_those_joined_now() -> None:
    """Four in five streams broke: by who was left, tables sent requests abroad that their zone's endpoints could do."""
    harness = joined(60, 60)
    before = {
        zone: sum(shares(harness, zone)[endpoint.id] for endpoint in FLEET[:6])
        for zone in ("east", "west")
    }
    harness.send(*(ProxyLeft(p) for p in range(100) if p % 10))
    harness.run_until(harness.now_us + 10 * SECOND)
    after = {
        zone: sum(shares(harness, zone)[endpoint.id] for endpoint in FLEET[:6])
        for zone in ("east", "west")
    }
    assert after == pytest.approx(before, rel=0.15)


def test_table_size_lets_all_proxies_be_bound_within_the_drain_grace_period() -> None:
    """A controller that all proxies come to has to bind them within a grace.

    With 200 endpoints in each table, 240 proxies took 16 s where 4 s are granted.
    """
    short = replace(
        SETTINGS, proxy_count=240, min_endpoint_connections=500.0, drain_grace_us=4 * SECOND
    )
    whole = [make_endpoint(100 + k, "east" if k % 2 else "west") for k in range(200)]
    harness = joined(40, 40, short, whole)
    sizes = [len(entries) for entries in harness.tables.values()]
    assert 12 <= max(sizes) <= 0.75 * 4 * 3_000 / 240
    assert {endpoint for entries in harness.tables.values() for endpoint in entries} == {
        endpoint.id for endpoint in whole
    }
    patient = joined(40, 40, replace(short, drain_grace_us=40 * SECOND), whole)
    assert {len(entries) for entries in patient.tables.values()} == {200}


def test_tables_of_all_endpoints_are_filled_before_any_proxy_joins() -> None:
    """Only tables fitted to where traffic comes from wait for the first proxies; others are ready when these join."""
    harness = PolicyHarness(listed=FLEET, proxies=0)
    harness.run_until(harness.now_us + 2 * SECOND)
    assert harness.tables[0].keys() == {endpoint.id for endpoint in FLEET}


def test_a_zones_proxies_are_spread_over_all_subsets_however_they_are_numbered() -> None:
    """With every second proxy in a zone, half of its groups had none, and their endpoints were left out."""
    harness = joined(0, 0, replace(CROWDED, min_endpoint_connections=80.0))
    assert harness.policy.tables.subset_count % 2 == 0
    groups = {
        zone: Counter(subset_of(p, harness.policy.tables.subset_count) for p in range(zone, 120, 2))
        for zone in range(2)
    }
    for counts in groups.values():
        assert set(counts) == set(range(harness.policy.tables.subset_count))
        assert max(counts.values()) <= 2 * min(counts.values())


def test_proxies_stay_bound_when_all_endpoints_are_gone_and_a_complete_list_comes() -> None:
    """With no entry left the tables were laid out again, and those bound to the former ones were bound to none."""
    harness = joined(60, 60)
    bound = {number for holders in harness.policy.tables.holders.values() for number in holders}
    harness.send(full_list([], 2))
    harness.run_until(harness.now_us + 4 * SECOND)
    assert not any(harness.policy.tables.entries.values())
    harness.send(
        full_list([make_endpoint(500 + k, endpoint.zone) for k, endpoint in enumerate(FLEET)], 3)
    )
    harness.run_until(harness.now_us + 4 * SECOND)
    for number in bound:
        assert any(
            number in holders and harness.tables[t]
            for t, holders in harness.policy.tables.holders.items()
        )

"""More proxies than a host accepts connections: zones prefer their own hosts, and no host's total changes."""

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
from tests.fleet import SECOND, SETTINGS, Day, changes, full, host

CROWDED = replace(
    SETTINGS,
    proxy_count=120,
    min_endpoint_connections=100.0,
    max_backlog_entries=50_000.0,
    drain_grace_us=3 * SECOND,
)
FLEET = [
    host(100 + k, "east" if k < 6 else "west") for k in range(20)
]  # 6 in the east, 14 in the west


def joined(
    east: int, west: int, settings: object = CROWDED, listed: Sequence[Endpoint] = FLEET
) -> Day:
    assert isinstance(settings, type(SETTINGS))
    day = Day(settings=settings, listed=listed, proxies=0)
    day.joined = list(range(east + west))
    day.send(*(ProxyJoined(p, "east" if p < east else "west", 5.0, True) for p in day.joined))
    day.until(day.now + 10 * SECOND)
    return day


def zone_of(day: Day, proxy: int) -> str:
    return day.policy.bindings.origins[proxy].zone


def shares(day: Day, zone: str) -> dict[int, float]:
    """Of a zone's requests, over the tables that its proxies hold."""
    out = dict.fromkeys((h.id for h in FLEET), 0.0)
    mine = [number for number in day.policy.bindings if zone_of(day, number) == zone]
    for number in mine:
        lines = day.tables[next(iter(day.policy.tables.tables_of(number, zone)))]
        for h, w in lines.items():
            out[h] += w / sum(lines.values()) / len(mine)
    return out


@pytest.mark.parametrize(("east", "west"), [(60, 60), (20, 100), (100, 20), (36, 84)])
def test_every_endpoint_gets_the_same_in_total_whatever_zone_it_comes_from(
    east: int, west: int
) -> None:
    day = joined(east, west)
    total = {
        h.id: (east * shares(day, "east")[h.id] + west * shares(day, "west")[h.id]) / (east + west)
        for h in FLEET
    }
    assert max(total.values()) < 1.15 * min(total.values())


def test_a_zone_sends_to_others_only_what_exceeds_its_capacity() -> None:
    day = joined(20, 100)  # a sixth of the traffic for three tenths of the hosts
    assert sum(shares(day, "east")[h.id] for h in FLEET[:6]) > 0.98
    day = joined(100, 20)
    assert sum(shares(day, "west")[h.id] for h in FLEET[6:]) > 0.98
    assert sum(shares(day, "east")[h.id] for h in FLEET[:6]) == pytest.approx(
        0.3 / (5 / 6), rel=0.1
    )


def held(day: Day) -> dict[int, int]:
    """Proxies that hold a line of each host: so many connections it may get."""
    out = dict.fromkeys(day.policy.registry.endpoints, 0)
    for number in day.policy.bindings:
        for table in day.policy.tables.tables_of(number, zone_of(day, number)):
            for h in day.tables[table]:
                out[h] += 1
    return out


@pytest.mark.parametrize(("east", "west"), [(60, 60), (20, 100), (36, 84)])
def test_no_endpoint_is_held_by_more_proxies_than_it_accepts_connections(
    east: int, west: int
) -> None:
    """With tables of all hosts, 1,600 proxies brought 1,600 connections to hosts that accept 357."""
    large = [host(100 + k, "east" if k % 2 else "west") for k in range(80)]
    brought = held(joined(east, west, replace(CROWDED, min_endpoint_connections=60.0), large))
    assert min(brought.values()) > 0
    assert max(brought.values()) <= 60


def test_a_subset_is_bound_and_changed_at_a_lower_cost() -> None:
    """A binding of 200 lines for 323 proxies takes a channel of 3,000 a second 23 s."""
    day = joined(60, 60)
    assert all(0 < len(lines) <= 12 for lines in day.tables.values())
    binds = [action for _, action in day.log if isinstance(action, BindProxy)]
    assert {b.proxy for b in binds} == set(day.joined)


def test_an_endpoint_that_goes_is_replaced_in_the_tables_that_held_it_and_no_others() -> None:
    day = joined(60, 60)
    before = {table: dict(lines) for table, lines in day.tables.items()}
    day.send(changes([host(103, "east", EndpointStatus.GONE)]))
    day.until(day.now + 10 * SECOND)
    assert all(103 not in lines for lines in day.tables.values())
    for table, lines in day.tables.items():
        if 103 not in before[table]:
            assert (
                len(lines.keys() ^ before[table].keys()) <= 2
            )  # a zone's part of the lines may round anew


def test_a_withdrawal_costs_entries_where_the_endpoint_is_held() -> None:
    """Counted at every proxy, it kept hosts that leave waiting for room that there was."""
    day = joined(60, 60)
    day.answers = False
    waits = day.policy.delivery.backlog_entries(day.now)
    holders = dict.fromkeys(day.tables, 0)
    for number in day.policy.bindings:
        for table in day.policy.tables.tables_of(number, zone_of(day, number)):
            holders[table] += 1
    held = {table for table, at in day.tables.items() if 103 in at}
    lines = dict.fromkeys(day.tables, 0)
    out = day.send(changes([host(103, "east", EndpointStatus.GONE)]))
    assert WithdrawEndpoint(103) in out
    for action in out:
        if isinstance(action, SetWeight):
            lines[action.table] += 1
            held -= {action.table} if action.endpoint == 103 else set()
        elif action == WithdrawEndpoint(103):
            lines.update((table, lines[table] + 1) for table in held)
    cost = sum(holders[table] * (count + 7) for table, count in lines.items() if count)
    assert 0 < cost < 120 * 8
    assert day.policy.delivery.backlog_entries(day.now) - waits == cost


@pytest.mark.parametrize("least", [0.0, 120.0, 500.0])
def test_one_table_serves_all_where_connections_fit_or_are_not_told(least: float) -> None:
    day = joined(60, 60, replace(CROWDED, min_endpoint_connections=least))
    assert list(day.tables) == [0]


def test_no_table_is_filled_before_proxies_tell_how_traffic_splits_over_zones() -> None:
    # Filled at the start by nobody's traffic, tables led half of it abroad, and mending them
    # waited behind the bindings: requests that cross zones doubled on a calm day.
    day = Day(settings=CROWDED, listed=FLEET, proxies=0)
    day.until(day.now + 5 * SECOND)
    assert not day.tables
    day.send(*(ProxyJoined(p, "east" if p < 20 else "west", 5.0, True) for p in range(120)))
    assert sum(shares(day, "east")[h.id] for h in FLEET[:6]) > 0.98


def test_changes_of_tables_in_use_fit_one_call() -> None:
    """1,156 lines went as two calls, and so as two messages to proxies of which one was counted."""
    large = [host(100 + k, "east" if k % 2 else "west") for k in range(600)]
    day = joined(
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
    assert sum(map(len, day.tables.values())) > 1_000
    before = len(day.log)
    day.send(changes([replace(h, weight=1.0 + k % 5) for k, h in enumerate(large)]))
    day.until(day.now + 10 * SECOND)
    calls, lines = list[int](), 0
    for _, action in day.log[before:]:
        lines += isinstance(action, SetWeight)
        if isinstance(action, Checkpoint):
            calls, lines = [*calls, lines], 0
    assert sum(calls) > 1_000
    assert max(calls) <= 700


def test_a_class_whose_zone_is_lost_does_not_stop_the_others() -> None:
    """With tables of a part of the hosts a class left without any divided by nothing, and no step went through."""
    bound = replace(SETTINGS.classes[1], allowed_zones=frozenset({"west"}))
    day = joined(60, 60, replace(CROWDED, classes=(SETTINGS.classes[0], bound)))
    day.send(changes([host(h.id, h.zone, EndpointStatus.GONE) for h in FLEET if h.zone == "west"]))
    day.until(day.now + 5 * SECOND)
    assert any(
        day.tables[t].keys() == {h.id for h in FLEET if h.zone == "east"} for t in day.tables
    )


def test_an_endpoint_of_a_zone_that_the_settings_do_not_name_is_accepted() -> None:
    day = joined(60, 60, listed=[*FLEET[:6], *(host(200 + k, "north") for k in range(14))])
    assert {h for lines in day.tables.values() for h in lines} == {
        *range(100, 106),
        *range(200, 214),
    }


def test_a_zone_without_endpoints_or_without_proxies_is_accepted() -> None:
    day = joined(120, 0)
    assert sum(shares(day, "east").values()) == pytest.approx(1.0)
    assert shares(day, "east")[100] == pytest.approx(1 / 20, rel=0.15)
    lone = Day(settings=CROWDED, listed=FLEET[:6], proxies=120)
    assert all(len(lines) == 6 for lines in lone.tables.values())


def test_traffic_is_split_by_all_proxies_seen_not_only_by_those_joined_now() -> None:
    """Four in five streams broke: by who was left, tables sent requests abroad that their zone's hosts could do."""
    day = joined(60, 60)
    before = {zone: sum(shares(day, zone)[h.id] for h in FLEET[:6]) for zone in ("east", "west")}
    day.send(*(ProxyLeft(p) for p in range(100) if p % 10))
    day.until(day.now + 10 * SECOND)
    after = {zone: sum(shares(day, zone)[h.id] for h in FLEET[:6]) for zone in ("east", "west")}
    assert after == pytest.approx(before, rel=0.15)


def test_tables_are_as_long_as_a_drains_grace_lets_all_proxies_be_bound_to() -> None:
    """A director that all proxies come to has to bind them within a grace.

    With 200 hosts in each table, 240 proxies took 16 s where 4 s are granted.
    """
    short = replace(
        SETTINGS, proxy_count=240, min_endpoint_connections=500.0, drain_grace_us=4 * SECOND
    )
    whole = [host(100 + k, "east" if k % 2 else "west") for k in range(200)]
    day = joined(40, 40, short, whole)
    sizes = [len(lines) for lines in day.tables.values()]
    assert 12 <= max(sizes) <= 0.75 * 4 * 3_000 / 240
    assert {h for lines in day.tables.values() for h in lines} == {h.id for h in whole}
    patient = joined(40, 40, replace(short, drain_grace_us=40 * SECOND), whole)
    assert {len(lines) for lines in patient.tables.values()} == {200}


def test_tables_of_all_endpoints_are_filled_before_any_proxy_joins() -> None:
    """Only tables fitted to where traffic comes from wait for the first proxies; others are ready when these join."""
    day = Day(listed=FLEET, proxies=0)
    day.until(day.now + 2 * SECOND)
    assert day.tables[0].keys() == {h.id for h in FLEET}


def test_a_zones_proxies_are_spread_over_all_subsets_however_they_are_numbered() -> None:
    """With every second proxy in a zone, half of its groups had none, and their hosts were left out."""
    day = joined(0, 0, replace(CROWDED, min_endpoint_connections=80.0))
    assert day.policy.tables.subset_count % 2 == 0
    groups = {
        zone: Counter(subset_of(p, day.policy.tables.subset_count) for p in range(zone, 120, 2))
        for zone in range(2)
    }
    for counts in groups.values():
        assert set(counts) == set(range(day.policy.tables.subset_count))
        assert max(counts.values()) <= 2 * min(counts.values())


def test_proxies_stay_bound_when_all_endpoints_are_gone_and_a_complete_list_comes() -> None:
    """With no line left the tables were laid out anew, and those bound to the former ones were bound to none."""
    day = joined(60, 60)
    bound = {number for holders in day.policy.tables.holders.values() for number in holders}
    day.send(full([], 2))
    day.until(day.now + 4 * SECOND)
    assert not any(day.policy.tables.entries.values())
    day.send(full([host(500 + k, h.zone) for k, h in enumerate(FLEET)], 3))
    day.until(day.now + 4 * SECOND)
    for number in bound:
        assert any(
            number in holders and day.tables[t] for t, holders in day.policy.tables.holders.items()
        )

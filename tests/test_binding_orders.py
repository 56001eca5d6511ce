"""Joined proxies are bound as the channel has room."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    BindProxy,
    Checkpoint,
    SetWeight,
)
from kelpcourse.policy.events import (
    OrdersAcknowledged,
    ProxyJoined,
    ProxyLeft,
)
from tests.fleet import (
    LARGE,
    LIMIT,
    SECOND,
    SETTINGS,
    Day,
    changes,
    full,
    host,
    hosts,
    only,
)


def test_a_joined_proxy_is_bound_to_a_table_with_entries_in_the_same_step() -> None:
    day = Day(listed=hosts(6), proxies=0)
    actions = day.send(ProxyJoined(9, "west", 5.0, False))
    assert [(b.proxy, b.classes) for b in only(actions, BindProxy)] == [(9, (0, 1))]
    assert len(day.tables[0]) == 6


def test_a_proxy_that_rejoins_is_bound_again() -> None:
    day = Day(listed=hosts(6), proxies=1)
    day.until(day.now + 2 * SECOND)
    day.send(ProxyLeft(0))
    assert only(day.send(ProxyJoined(0, "east", 5.0, False)), BindProxy) != []


def test_proxies_that_join_before_any_endpoint_is_known_are_bound_once_one_is() -> None:
    day = Day(listed=(), proxies=2)
    assert [b for _, b in day.log if isinstance(b, BindProxy)] == []
    actions = day.send(full(hosts(2)))
    actions += day.until(day.now + 3 * SECOND)
    assert {b.proxy for b in only(actions, BindProxy)} == {0, 1}


def test_proxies_that_join_together_are_bound_in_waves_within_the_backlog() -> None:
    day = Day(settings=LARGE, listed=hosts(80), proxies=70, answers=False)
    bound = {a.proxy for _, a in day.log if isinstance(a, BindProxy)}
    assert 0 < len(bound) * 80 < LIMIT
    day.until(day.now + 5 * SECOND)
    assert {
        a.proxy for _, a in day.log if isinstance(a, BindProxy)
    } == bound  # nothing is applied yet
    for _ in range(10):
        day.until(day.now + SECOND)
        number = max(a.checkpoint_id for _, a in day.log if isinstance(a, Checkpoint))
        day.send(*(OrdersAcknowledged(p, number, 300_000) for p in sorted(bound)))
        bound = {a.proxy for _, a in day.log if isinstance(a, BindProxy)}
    assert bound == set(range(70))


def test_a_proxy_that_joins_late_is_bound_to_a_large_table() -> None:
    day = Day(settings=LARGE, listed=hosts(80), proxies=70)
    day.until(day.now + 10 * SECOND)
    assert [b.proxy for b in only(day.send(ProxyJoined(99, "west", 4.0, False)), BindProxy)] == [99]


def test_bindings_come_before_table_updates_while_endpoints_are_withdrawn() -> None:
    """A proxy on its standing table was left without a host when those it held were withdrawn."""
    day = Day(settings=LARGE, listed=hosts(80), proxies=70, answers=False)
    gone = [replace(h, status=type(h.status).GONE) for h in hosts(80)[:10]]
    new = [host(500 + k, started=day.now) for k in range(20)]
    day.send(changes([*gone, *new]))
    bound = [b.proxy for _, b in day.log if isinstance(b, BindProxy)]
    number = max(a.checkpoint_id for _, a in day.log if isinstance(a, Checkpoint))
    day.until(day.now + 3 * SECOND)
    out = day.send(*(OrdersAcknowledged(p, number, 300_000) for p in bound))
    assert only(out, BindProxy)
    assert not only(out, SetWeight)


def test_a_table_larger_than_bindings_may_fill_is_bound_one_proxy_at_a_time() -> None:
    day = Day(settings=replace(LARGE, max_backlog_entries=100.0), listed=hosts(80), proxies=3)
    day.until(day.now + 6 * SECOND)
    assert {b.proxy for _, b in day.log if isinstance(b, BindProxy)} == {0, 1, 2}


def test_what_waits_for_proxies_that_rejoined_unseen_still_counts_as_backlog() -> None:
    """After an outage of the relay the orders that had piled up went out beside the bindings of all proxies again.

    4,042 lines waited where 3,600 may. Whoever is not heard to leave may be reached by both.
    """
    settings = replace(
        SETTINGS, proxy_count=40, max_backlog_entries=1200.0, delivery_entries_per_s=1000.0
    )
    day = Day(settings, listed=hosts(10), proxies=40, answers=False)
    waits = day.policy.delivery.backlog_entries(day.now)
    assert waits > 400
    bound = len(
        only(day.send(*(ProxyJoined(p, "east", 10.0, True) for p in day.joined)), BindProxy)
    )
    assert waits + bound * 11 < 1200
    assert bound < 40
    later = day.until(day.now + 4 * SECOND)
    assert len(only(later, BindProxy)) >= 20

"""Changes of entries: what is sent, in which order, within the backlog."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    SetWeight,
)
from tests.fleet import (
    LARGE,
    LIMIT,
    SECOND,
    SETTINGS,
    Day,
    changes,
    endpoint_orders,
    fail_for,
    host,
    hosts,
    only,
)


def test_small_changes_of_a_weight_are_not_sent() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    before = len([a for _, a in day.log if isinstance(a, SetWeight)])
    fail_for(day, 20)
    assert len([a for _, a in day.log if isinstance(a, SetWeight)]) == before


def entries_of(actions: list[Action], table_size: int, proxies: int) -> float:
    """Lines that a reply puts into the channel: bindings, and changes to every bound proxy."""
    binds = only(actions, BindProxy)
    changed = len(only(actions, SetWeight)) + len(endpoint_orders(actions))
    return sum(1 + table_size + len(b.classes) for b in binds) + changed * proxies


def test_changes_that_do_not_fit_wait_and_the_larger_ones_go_first() -> None:
    day = Day(settings=LARGE, listed=hosts(80), proxies=70)
    day.until(day.now + 10 * SECOND)
    grown = [host(500 + k) for k in range(60)]
    first = day.send(changes(grown)) + day.until(day.now + 2 * SECOND)
    sent = [a for a in only(first, SetWeight) if a.endpoint >= 500]
    assert 0 < len(sent) < 60
    assert entries_of(first, 80, 70) < LIMIT
    day.until(day.now + 20 * SECOND)
    assert all(day.tables[0].get(500 + k, 0.0) > 0 for k in range(60))


def test_entries_of_gone_endpoints_are_removed_in_time() -> None:
    day = Day(settings=LARGE, listed=hosts(80), proxies=70)
    day.until(day.now + 10 * SECOND)
    day.send(changes([replace(h, status=type(h.status).GONE) for h in hosts(80)[:30]]))
    day.until(day.now + 20 * SECOND)
    assert len(day.tables[0]) == 50


def test_endpoints_that_restart_together_stay_within_the_backlog() -> None:
    """A third of a large fleet comes back cold in one list while earlier orders wait unapplied."""
    day = Day(settings=LARGE, listed=hosts(80), proxies=70)
    day.until(day.now + 10 * SECOND)
    day.answers = False
    restarted = [host(h.id, h.zone, started=day.now) for h in hosts(80)[:60]]
    out = day.send(changes(restarted)) + day.until(day.now + 5 * SECOND)
    assert 0 < entries_of(out, 80, 70) + 70 * SETTINGS.message_overhead_entries < LIMIT

"""Tests of table updates: which entries are ordered, in which order and within the backlog."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    SetWeight,
)
from tests.fleet import (
    LARGE_BACKLOG_ENTRIES,
    LARGE_FLEET,
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    endpoint_orders,
    list_changes,
    make_endpoint,
    make_endpoints,
    run_with_failures,
)


def test_small_weight_changes_are_not_ordered() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    before = len([a for _, a in harness.log if isinstance(a, SetWeight)])
    run_with_failures(harness, 20)
    assert len([a for _, a in harness.log if isinstance(a, SetWeight)]) == before


def count_entries(actions: list[Action], table_size: int, proxies: int) -> float:
    """Returns the entries that actions put into the delivery queue: bindings, and changes to every bound proxy."""
    binds = actions_of_type(actions, BindProxy)
    changed = len(actions_of_type(actions, SetWeight)) + len(endpoint_orders(actions))
    return sum(1 + table_size + len(b.classes) for b in binds) + changed * proxies


def test_table_changes_over_the_backlog_limit_are_ordered_later() -> None:
    harness = PolicyHarness(settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70)
    harness.run_until(harness.now_us + 10 * SECOND)
    new_endpoints = [make_endpoint(500 + k) for k in range(60)]
    early_actions = harness.send(list_changes(new_endpoints)) + harness.run_until(
        harness.now_us + 2 * SECOND
    )
    ordered = [a for a in actions_of_type(early_actions, SetWeight) if a.endpoint >= 500]
    assert 0 < len(ordered) < 60
    assert count_entries(early_actions, 80, 70) < LARGE_BACKLOG_ENTRIES
    harness.run_until(harness.now_us + 20 * SECOND)
    assert all(harness.tables[0].get(500 + k, 0.0) > 0 for k in range(60))


def test_entries_of_many_gone_endpoints_are_all_removed() -> None:
    harness = PolicyHarness(settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70)
    harness.run_until(harness.now_us + 10 * SECOND)
    harness.send(
        list_changes(
            [
                replace(endpoint, status=type(endpoint.status).GONE)
                for endpoint in make_endpoints(80)[:30]
            ]
        )
    )
    harness.run_until(harness.now_us + 20 * SECOND)
    assert len(harness.tables[0]) == 50


def test_endpoints_that_restart_together_stay_within_the_backlog() -> None:
    """Three quarters of a large fleet are listed as warming up while earlier orders are not acknowledged."""
    harness = PolicyHarness(settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70)
    harness.run_until(harness.now_us + 10 * SECOND)
    harness.acknowledges = False
    restarted = [
        make_endpoint(endpoint.id, endpoint.zone, started_us=harness.now_us)
        for endpoint in make_endpoints(80)[:60]
    ]
    actions = harness.send(list_changes(restarted)) + harness.run_until(harness.now_us + 5 * SECOND)
    assert (
        0
        < count_entries(actions, 80, 70) + 70 * SETTINGS.message_overhead_entries
        < LARGE_BACKLOG_ENTRIES
    )

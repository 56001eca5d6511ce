"""Changes of entries: what is sent, in which order, within the backlog."""

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


def test_small_changes_of_a_weight_are_not_sent() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    before = len([a for _, a in harness.log if isinstance(a, SetWeight)])
    run_with_failures(harness, 20)
    assert len([a for _, a in harness.log if isinstance(a, SetWeight)]) == before


def entries_of(actions: list[Action], table_size: int, proxies: int) -> float:
    """Entries that a reply puts into the channel: bindings, and changes to every bound proxy."""
    binds = actions_of_type(actions, BindProxy)
    changed = len(actions_of_type(actions, SetWeight)) + len(endpoint_orders(actions))
    return sum(1 + table_size + len(b.classes) for b in binds) + changed * proxies


def test_changes_that_do_not_fit_wait_and_the_larger_ones_go_first() -> None:
    harness = PolicyHarness(settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70)
    harness.run_until(harness.now_us + 10 * SECOND)
    grown = [make_endpoint(500 + k) for k in range(60)]
    first = harness.send(list_changes(grown)) + harness.run_until(harness.now_us + 2 * SECOND)
    sent = [a for a in actions_of_type(first, SetWeight) if a.endpoint >= 500]
    assert 0 < len(sent) < 60
    assert entries_of(first, 80, 70) < LARGE_BACKLOG_ENTRIES
    harness.run_until(harness.now_us + 20 * SECOND)
    assert all(harness.tables[0].get(500 + k, 0.0) > 0 for k in range(60))


def test_entries_of_gone_endpoints_are_removed_in_time() -> None:
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
    """A third of a large fleet comes back warming up in one list while earlier orders wait unapplied."""
    harness = PolicyHarness(settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70)
    harness.run_until(harness.now_us + 10 * SECOND)
    harness.acknowledges = False
    restarted = [
        make_endpoint(endpoint.id, endpoint.zone, started_us=harness.now_us)
        for endpoint in make_endpoints(80)[:60]
    ]
    out = harness.send(list_changes(restarted)) + harness.run_until(harness.now_us + 5 * SECOND)
    assert (
        0 < entries_of(out, 80, 70) + 70 * SETTINGS.message_overhead_entries < LARGE_BACKLOG_ENTRIES
    )

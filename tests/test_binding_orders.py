"""Tests of binding joined proxies within the limits of the delivery queue."""

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
    LARGE_BACKLOG_ENTRIES,
    LARGE_FLEET,
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    full_list,
    list_changes,
    make_endpoint,
    make_endpoints,
)


def test_a_joined_proxy_is_bound_to_a_table_with_entries_in_the_same_step() -> None:
    harness = PolicyHarness(listed=make_endpoints(6), proxies=0)
    actions = harness.send(ProxyJoined(9, "west", 5.0, False))
    assert [(b.proxy, b.classes) for b in actions_of_type(actions, BindProxy)] == [(9, (0, 1))]
    assert len(harness.tables[0]) == 6


def test_a_proxy_that_rejoins_is_bound_again() -> None:
    harness = PolicyHarness(listed=make_endpoints(6), proxies=1)
    harness.run_until(harness.now_us + 2 * SECOND)
    harness.send(ProxyLeft(0))
    assert actions_of_type(harness.send(ProxyJoined(0, "east", 5.0, False)), BindProxy) != []


def test_proxies_that_join_before_any_endpoint_is_known_are_bound_when_the_first_is_listed() -> (
    None
):
    harness = PolicyHarness(listed=(), proxies=2)
    assert [b for _, b in harness.log if isinstance(b, BindProxy)] == []
    actions = harness.send(full_list(make_endpoints(2)))
    actions += harness.run_until(harness.now_us + 3 * SECOND)
    assert {b.proxy for b in actions_of_type(actions, BindProxy)} == {0, 1}


def test_proxies_that_join_together_are_bound_in_several_steps_within_the_backlog() -> None:
    harness = PolicyHarness(
        settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    bound = {a.proxy for _, a in harness.log if isinstance(a, BindProxy)}
    assert 0 < len(bound) * 80 < LARGE_BACKLOG_ENTRIES
    harness.run_until(harness.now_us + 5 * SECOND)
    # No acknowledgement has arrived yet.
    assert {a.proxy for _, a in harness.log if isinstance(a, BindProxy)} == bound
    for _ in range(10):
        harness.run_until(harness.now_us + SECOND)
        checkpoint_id = max(a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint))
        harness.send(*(OrdersAcknowledged(p, checkpoint_id, 300_000) for p in sorted(bound)))
        bound = {a.proxy for _, a in harness.log if isinstance(a, BindProxy)}
    assert bound == set(range(70))


def test_a_proxy_that_joins_late_is_bound_to_a_large_table() -> None:
    harness = PolicyHarness(settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70)
    harness.run_until(harness.now_us + 10 * SECOND)
    assert [
        b.proxy
        for b in actions_of_type(harness.send(ProxyJoined(99, "west", 4.0, False)), BindProxy)
    ] == [99]


def test_bindings_come_before_table_updates_while_endpoints_are_withdrawn() -> None:
    """Otherwise a proxy with an inherited table has no endpoint left when those in its table are withdrawn."""
    harness = PolicyHarness(
        settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    gone = [
        replace(endpoint, status=type(endpoint.status).GONE) for endpoint in make_endpoints(80)[:10]
    ]
    new = [make_endpoint(500 + k, started_us=harness.now_us) for k in range(20)]
    harness.send(list_changes([*gone, *new]))
    bound = [b.proxy for _, b in harness.log if isinstance(b, BindProxy)]
    checkpoint_id = max(a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint))
    harness.run_until(harness.now_us + 3 * SECOND)
    actions = harness.send(*(OrdersAcknowledged(p, checkpoint_id, 300_000) for p in bound))
    assert actions_of_type(actions, BindProxy)
    assert not actions_of_type(actions, SetWeight)


def test_a_table_over_the_limit_for_bindings_is_bound_to_one_proxy_at_a_time() -> None:
    harness = PolicyHarness(
        settings=replace(LARGE_FLEET, max_backlog_entries=100.0),
        listed=make_endpoints(80),
        proxies=3,
    )
    harness.run_until(harness.now_us + 6 * SECOND)
    assert {b.proxy for _, b in harness.log if isinstance(b, BindProxy)} == {0, 1, 2}


def test_entries_for_proxies_with_an_unreported_departure_still_count_as_backlog() -> None:
    """A proxy that joins again without a reported departure may receive both the queued and the new orders.

    After an outage of the relay the accumulated orders went out together with new bindings of all proxies, and 4,042
    entries were queued, where the limit is 3,600.
    """
    settings = replace(
        SETTINGS, proxy_count=40, max_backlog_entries=1200.0, delivery_entries_per_s=1000.0
    )
    harness = PolicyHarness(settings, listed=make_endpoints(10), proxies=40, acknowledges=False)
    queued_entries = harness.policy.delivery.backlog_entries(harness.now_us)
    assert queued_entries > 400
    bound = len(
        actions_of_type(
            harness.send(*(ProxyJoined(p, "east", 10.0, True) for p in harness.proxies)), BindProxy
        )
    )
    assert queued_entries + bound * 11 < 1200
    assert bound < 40
    later = harness.run_until(harness.now_us + 4 * SECOND)
    assert len(actions_of_type(later, BindProxy)) >= 20

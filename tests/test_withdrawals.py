"""Tests of withdrawals on a small fleet with a short delivery queue, by an independent delivery simulation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from kelpcourse.policy.actions import Checkpoint, SetWeight, WithdrawEndpoint
from kelpcourse.policy.budget import OrderBatch
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.draining import Withdrawals
from kelpcourse.policy.events import EndpointStatus, ProxyJoined
from kelpcourse.policy.settings import EndpointId, Settings
from tests.delivery_simulation import DeliveryHarness, LimitExceededError
from tests.fleet import (
    SECOND,
    SETTINGS,
    PolicyHarness,
    UnboundedTables,
    actions_of_type,
    endpoint_orders,
    full_list,
    list_changes,
    make_endpoint,
)

ENDPOINTS = [make_endpoint(1_000 + k, "east" if k % 2 else "west") for k in range(200)]
# A rolling restart of the controllers: this one has half of the proxies and a delivery queue of 1.8 s.
ROLLING_RESTART = replace(
    SETTINGS,
    proxy_count=240,
    min_endpoint_connections=392.0,
    delivery_entries_per_s=3_200.0,
    max_backlog_entries=5_800.0,
    drain_grace_us=3_900_000,
    mean_transit_us=226_000,
    max_transit_us=565_000,
    max_messages_per_proxy=12,
    max_unserved_us=8_600_000,
    warm_up_us=14 * SECOND,
)


def endpoint_ids(first: int, count: int) -> list[EndpointId]:
    return [endpoint.id for endpoint in ENDPOINTS[first : first + count]]


def run_release(policy_factory: Callable[[Settings], RoutingPolicy]) -> DeliveryHarness:
    """Replaces six in ten endpoints within 7 s while proxies of other controllers join.

    Raises:
        LimitExceededError: A limit is exceeded, or a proxy may send to a drained endpoint.
    """
    harness = DeliveryHarness(policy_factory, ROLLING_RESTART, ENDPOINTS)
    harness.step(full_list(ENDPOINTS))
    harness.join(range(30), lambda _: endpoint_ids(0, 5), 0.5, has_no_table=True)
    harness.run(8)
    for version, first in enumerate((0, 40, 80), 2):
        harness.step(list_changes(harness.drain(endpoint_ids(first, 40)), version))
        harness.step(
            list_changes(
                [
                    make_endpoint(5_000 + first + k, "east", started_us=harness.now_us)
                    for k in range(40)
                ],
                version,
            )
        )
        harness.join(range(30 + first // 2, 50 + first // 2), lambda _: endpoint_ids(0, 200), 1.0)
        harness.run(1)
    harness.run(8)
    return harness


@pytest.mark.parametrize("policy_factory", [RoutingPolicy, UnboundedTables])
def test_late_joiners_do_not_delay_the_next_withdrawal(
    policy_factory: Callable[[Settings], RoutingPolicy],
) -> None:
    """Repeating earlier withdrawals for a late joiner must not delay new ones.

    Forty endpoints had been withdrawn when a proxy joined. Their withdrawal was repeated with and before that of the
    next twenty, at the cost of an entry at every proxy that still had them in its table. There was no capacity for the
    60 endpoints for 4.2 s.
    """
    assert not run_release(policy_factory).policy.withdrawals.draining


def run_takeover(policy_factory: Callable[[Settings], RoutingPolicy]) -> DeliveryHarness:
    """Lets four of five controllers fail right after 30 endpoints start to drain.

    Their proxies, which have all endpoints in their tables and were not notified, join this controller within a second.

    Raises:
        LimitExceededError: A limit is exceeded, or a proxy may send to a drained endpoint.
    """
    harness = DeliveryHarness(policy_factory, ROLLING_RESTART, ENDPOINTS)
    harness.step(full_list(ENDPOINTS))
    harness.join(range(40), lambda _: endpoint_ids(0, 5), 0.5, has_no_table=True)
    harness.run(8)
    harness.step(list_changes(harness.drain(endpoint_ids(0, 30)), 2))
    harness.join(range(40, 240), lambda _: endpoint_ids(0, 200), 1.0)
    harness.run(1)
    harness.step(list_changes(harness.drain(endpoint_ids(30, 30)), 3))
    harness.run(8)
    return harness


def test_all_proxies_of_lost_controllers_are_notified_of_drains_in_time() -> None:
    """Tables must be small enough for all proxies to be bound within the drain grace period.

    In scenario "herd 41" of the simulator a binding was 157 entries at a delivery rate of 3,000 entries per second. 180
    of 240 proxies were not bound for 12 s, the withdrawals of 60 endpoints were repeated in alternation for 5 s, and
    the drain grace period of 4 s was exceeded 1,482 times.
    """
    assert not run_takeover(RoutingPolicy).policy.bindings.unbound_since_us
    with pytest.raises(LimitExceededError):
        run_takeover(UnboundedTables)


def test_entries_of_a_withdrawn_endpoint_are_removed_with_it_and_only_once() -> None:
    """A repeated withdrawal of an endpoint that is still in a table costs an entry at each proxy bound to the table."""
    harness = PolicyHarness(ROLLING_RESTART, ENDPOINTS, proxies=20, policy_factory=UnboundedTables)
    harness.run_until(harness.now_us + 8 * SECOND)
    actions = harness.send(
        list_changes([make_endpoint(n, status=EndpointStatus.GONE) for n in endpoint_ids(0, 10)])
    )
    assert {a.endpoint for a in actions_of_type(actions, SetWeight) if a.weight == 0} == set(
        endpoint_ids(0, 10)
    )
    assert {a.endpoint for a in actions_of_type(actions, WithdrawEndpoint)} == set(
        endpoint_ids(0, 10)
    )
    assert not harness.tables[0].keys() & set(endpoint_ids(0, 10))
    queued_entries = harness.policy.delivery.backlog_entries(harness.now_us)
    assert queued_entries == 20 * (10 + ROLLING_RESTART.message_overhead_entries + 1)
    harness.run_until(harness.now_us + SECOND // 10)
    harness.send(*(ProxyJoined(p, "east", 10.0, False) for p in range(100, 130)))
    repeated = harness.run_until(harness.now_us + 2 * SECOND)
    assert len(endpoint_orders(repeated)) == 10
    assert not [
        a for a in actions_of_type(repeated, SetWeight) if a.endpoint in endpoint_ids(0, 10)
    ]


def restart_after_event_stream_gap() -> DeliveryHarness:
    """Returns a harness in which 60 endpoints have restarted at once after a gap of the event stream.

    After the gap all proxies are reported as joined again.
    """
    harness = DeliveryHarness(RoutingPolicy, ROLLING_RESTART, ENDPOINTS)
    harness.step(full_list(ENDPOINTS))
    harness.join(range(76), lambda _: endpoint_ids(0, 5), 0.5, has_no_table=True)
    harness.run(10)
    harness.step(*(ProxyJoined(p, "east", 2.0, False) for p in range(76)))
    harness.run(0.5)
    harness.step(
        list_changes(
            [replace(endpoint, started_us=harness.now_us) for endpoint in ENDPOINTS[:60]], 2
        )
    )
    return harness


def test_possibly_stale_bindings_after_an_event_stream_gap_still_count_entries() -> None:
    """Proxies that are reported as joined again after a gap of the event stream may still be bound at the relay.

    After a gap of 6 s, 167 entries of the next table update went to 40 such proxies without being counted, and 6,939
    entries were queued, where the limit is 5,800.
    """
    harness = restart_after_event_stream_gap()
    harness.run(20)
    assert not harness.policy.bindings.unbound_since_us
    assert not harness.policy.bindings.possibly_stale
    assert 2_000 < harness.simulation.max_backlog_entries <= ROLLING_RESTART.max_backlog_entries


def test_a_proxy_with_an_unreported_departure_is_bound_again() -> None:
    harness = PolicyHarness(ROLLING_RESTART, ENDPOINTS, proxies=3, policy_factory=UnboundedTables)
    harness.run_until(harness.now_us + 8 * SECOND)
    harness.send(ProxyJoined(1, "east", 10.0, False))
    actions = [a for _, a in harness.log] + harness.run_until(harness.now_us + 2 * SECOND)
    assert [type(a).__name__ for a in actions].count("BindProxy") == 4
    assert not harness.policy.bindings.unbound_since_us
    assert not harness.policy.bindings.possibly_stale
    assert list(harness.policy.tables.bound_proxies[0]) == [0, 2, 1]
    assert actions_of_type(actions, Checkpoint)


def withdraw_without_entries(
    withdrawals: Withdrawals, batch: OrderBatch, endpoint: EndpointId
) -> None:
    """Orders a withdrawal without removing the endpoint's table entries, to disable that safeguard."""
    for table in withdrawals._tables.containing(endpoint):
        batch.reserve_change(table)
    batch.add_endpoint_order(WithdrawEndpoint(endpoint))


def test_the_simulation_detects_entries_left_in_tables(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Withdrawals, "withdraw", withdraw_without_entries)
    with pytest.raises(LimitExceededError):
        run_release(UnboundedTables)


def test_restarted_endpoints_leave_message_budget_for_a_withdrawal() -> None:
    """Weight reductions of warming-up endpoints must not use up the message budget.

    They were ordered whenever one more entry fitted, each in a message of its own. All twelve messages that a proxy may
    be sent within 10 s were used within 1 s, and endpoints that drained then were not withdrawn for 8 s.
    """
    harness = restart_after_event_stream_gap()
    for version, first in enumerate((60, 70), 3):
        harness.run(1.5)
        harness.step(list_changes(harness.drain(endpoint_ids(first, 10)), version))
    harness.run(12)
    assert not harness.policy.withdrawals.draining


def test_a_stalled_delivery_queue_is_not_considered_empty() -> None:
    """Entries count until they are acknowledged, even after the time that a full delivery queue takes.

    In scenario "roll 54" of the simulator, acknowledgements of a step arrived 2.4 to 3 s late. A full delivery queue
    takes 2.38 s; after that its entries were no longer counted, and 6,237 entries were queued, where the limit is
    5,800. As the stall delays withdrawals, the drain grace period is longer in this test.
    """
    harness = DeliveryHarness(
        RoutingPolicy,
        replace(ROLLING_RESTART, drain_grace_us=3 * ROLLING_RESTART.drain_grace_us),
        ENDPOINTS,
    )
    harness.step(full_list(ENDPOINTS))
    harness.join(range(2), lambda _: endpoint_ids(0, 5), 0.5, has_no_table=True)
    harness.run(8)
    harness.step(list_changes(harness.drain(endpoint_ids(0, 40)), 2))
    harness.run(1)
    harness.simulation.stall(harness.now_us, 3_000_000)
    harness.join(range(2, 33), lambda _: endpoint_ids(0, 200), 0.6)
    harness.step(list_changes(harness.drain(endpoint_ids(40, 20)), 3))
    harness.join(range(33, 60), lambda _: endpoint_ids(0, 200), 1.5)
    harness.run(4)

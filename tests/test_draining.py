"""Tests of withdrawing and restoring endpoints."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.policy.actions import (
    Checkpoint,
    RestoreEndpoint,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.draining import WITHDRAWAL_RETENTION_US
from kelpcourse.policy.events import (
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointStatus,
    OrdersAcknowledged,
    ProxyJoined,
)
from tests.fleet import (
    LARGE_FLEET,
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    endpoint_orders,
    full_list,
    list_changes,
    make_endpoint,
    make_endpoints,
)


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.GONE])
def test_a_draining_or_gone_endpoint_is_withdrawn_in_the_same_step(state: EndpointStatus) -> None:
    harness = PolicyHarness(listed=make_endpoints(6))
    harness.run_until(harness.now_us + 10 * SECOND)
    actions = harness.send(list_changes([make_endpoint(100, status=state)]))
    assert endpoint_orders(actions) == [WithdrawEndpoint(100)]
    assert SetWeight(0, 100, 0.0) in actions
    assert 100 not in harness.tables[0]


def test_an_endpoint_missing_from_a_full_list_is_withdrawn() -> None:
    harness = PolicyHarness(listed=make_endpoints(6))
    actions = harness.send(full_list(make_endpoints(5)))
    assert endpoint_orders(actions) == [WithdrawEndpoint(105)]


def test_an_unavailable_list_changes_nothing() -> None:
    harness = PolicyHarness(listed=make_endpoints(6))
    actions = harness.send(EndpointList(EndpointListKind.UNAVAILABLE, 0, ()))
    assert endpoint_orders(actions) == []
    assert len(harness.tables[0]) == 6


def test_a_withdrawn_endpoint_that_is_listed_ready_again_is_restored() -> None:
    harness = PolicyHarness(listed=make_endpoints(6))
    harness.send(list_changes([make_endpoint(100, status=EndpointStatus.DRAINING)]))
    actions = harness.send(list_changes([make_endpoint(100, started_us=harness.now_us)]))
    actions += harness.run_until(harness.now_us + 3 * SECOND)
    assert endpoint_orders(actions) == [RestoreEndpoint(100)]
    assert 100 in harness.tables[0]


def run_with_changing_weight(harness: PolicyHarness, seconds: int, listed: list[Endpoint]) -> None:
    """Runs for some seconds with a weight that changes every five seconds, so that table entries are ordered."""
    for k in range(seconds):
        harness.run_second(listed, failed={103: 0.5 * (k // 5 % 2)})


def test_a_long_gone_endpoint_is_restored_and_treated_as_any_other_when_listed_again() -> None:
    """Without a restore order every binding would restate the withdrawal forever.

    When the endpoint is listed as draining afterwards, it is withdrawn again; listed as restarted, it warms up.
    """
    harness = PolicyHarness(listed=make_endpoints(6))
    remaining = make_endpoints(6)[1:]
    harness.send(list_changes([make_endpoint(100, status=EndpointStatus.GONE)]))
    run_with_changing_weight(harness, WITHDRAWAL_RETENTION_US // SECOND - 1, remaining)
    assert RestoreEndpoint(100) not in [action for _, action in harness.log]
    run_with_changing_weight(harness, 12, remaining)
    assert [action for _, action in harness.log].count(RestoreEndpoint(100)) == 1
    assert 100 not in harness.tables[0]
    drain_actions = harness.send(
        list_changes([make_endpoint(100, status=EndpointStatus.DRAINING)], 3)
    )
    assert endpoint_orders(drain_actions) == [WithdrawEndpoint(100)]
    run_with_changing_weight(harness, WITHDRAWAL_RETENTION_US // SECOND + 12, remaining)
    harness.send(list_changes([make_endpoint(100, started_us=harness.now_us)], 4))
    run_with_changing_weight(harness, 3, remaining)
    assert 0 < harness.weight_share(100) < 0.5 / 6  # It is warming up


def test_no_endpoint_is_restored_while_a_proxy_may_still_hold_it() -> None:
    harness = PolicyHarness(
        replace(SETTINGS, max_backlog_entries=60), listed=make_endpoints(6), acknowledges=False
    )
    harness.send(list_changes([make_endpoint(100, status=EndpointStatus.GONE)]))
    assert harness.policy.bindings.unbound_since_us
    run_with_changing_weight(harness, WITHDRAWAL_RETENTION_US // SECOND + 12, make_endpoints(6)[1:])
    assert RestoreEndpoint(100) not in [action for _, action in harness.log]


def test_a_list_of_draining_endpoints_alone_leaves_an_empty_table() -> None:
    harness = PolicyHarness(listed=make_endpoints(3))
    harness.send(
        list_changes(
            [
                make_endpoint(endpoint.id, endpoint.zone, EndpointStatus.DRAINING)
                for endpoint in make_endpoints(3)
            ]
        )
    )
    harness.run_until(harness.now_us + 5 * SECOND)
    assert harness.tables[0] == {}


def test_withdrawals_are_ordered_while_bindings_fill_the_delivery_queue() -> None:
    harness = PolicyHarness(
        settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    gone = list_changes(
        [
            replace(endpoint, status=type(endpoint.status).GONE)
            for endpoint in make_endpoints(80)[:4]
        ]
    )
    assert [a.endpoint for a in actions_of_type(harness.send(gone), WithdrawEndpoint)] == [
        endpoint.id for endpoint in make_endpoints(80)[:4]
    ]


def test_successive_drains_are_withdrawn_together_when_the_delivery_queue_is_full() -> None:
    """Each withdrawal alone costs the overhead of a message to every proxy: the last of thirty was 3 s late."""
    harness = PolicyHarness(
        settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    gone = [replace(endpoint, status=type(endpoint.status).GONE) for endpoint in make_endpoints(80)]
    assert len(endpoint_orders(harness.send(list_changes(gone[:2])))) == 2
    # Only nine of them would fit.
    assert endpoint_orders(harness.send(list_changes(gone[2:13]))) == []
    checkpoint_id = max(a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint))
    actions = harness.run_until(harness.now_us + SECOND)
    actions += harness.send(
        *(OrdersAcknowledged(p, checkpoint_id, 300_000) for p in harness.proxies)
    )
    assert {a.endpoint for a in endpoint_orders(actions)} == {
        endpoint.id for endpoint in gone[2:13]
    }


def test_a_delivery_queue_too_small_for_several_withdrawals_receives_those_that_fit() -> None:
    # The backlog holds a message's overhead, a checkpoint and one endpoint for each proxy.
    small_backlog = replace(LARGE_FLEET, max_backlog_entries=9.0 * 70)
    harness = PolicyHarness(settings=small_backlog, listed=make_endpoints(4), proxies=0)
    harness.run_until(harness.now_us + SECOND)
    harness.send(*(ProxyJoined(p, "east", 10.0, True) for p in range(70)))
    harness.run_until(harness.now_us + 30 * SECOND)
    harness.proxies = list(range(70))
    checkpoint_id = max(
        (a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint)), default=0
    )
    harness.send(*(OrdersAcknowledged(p, checkpoint_id, 1000) for p in range(70)))
    harness.send(
        list_changes(
            [
                replace(endpoint, status=type(endpoint.status).GONE)
                for endpoint in make_endpoints(4)[:2]
            ]
        )
    )
    for _ in range(4):
        harness.run_until(harness.now_us + SECOND)
        checkpoint_id = max(
            (a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint)), default=0
        )
        harness.send(*(OrdersAcknowledged(p, checkpoint_id, 1000) for p in range(70)))
    assert {a.endpoint for _, a in harness.log if isinstance(a, WithdrawEndpoint)} == {100, 101}

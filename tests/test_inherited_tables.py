"""Tests of a controller that starts while proxies serve: how long they keep the tables that they inherited."""

from __future__ import annotations

import pytest

from kelpcourse.policy.actions import Action, BindProxy
from kelpcourse.policy.bindings import INHERITANCE_US
from kelpcourse.policy.events import EndpointReport, EndpointStatus, Event, ProxyJoined
from tests.fleet import (
    SECOND,
    PolicyHarness,
    actions_of_type,
    list_changes,
    make_endpoint,
    make_endpoints,
)

# The endpoint that gets three times as many attempts from inherited tables as each other one.
FAST_ENDPOINT = 100


def join_restarted_controller(
    *before: Event, has_no_table: bool = False
) -> tuple[PolicyHarness, list[Action]]:
    """Lets all proxies join a controller that has started with a list of ten endpoints.

    Args:
        before: Events before the proxies join.
        has_no_table: Whether the proxies report that they hold no table.

    Returns:
        The harness, and the actions of the step in which the proxies join.
    """
    harness = PolicyHarness(listed=make_endpoints(10), proxies=0)
    harness.run_until(harness.now_us + 3 * SECOND)
    harness.send(*before)
    harness.proxies = list(range(4))
    return harness, harness.send(
        *(ProxyJoined(p, "east" if p % 2 else "west", 10.0, has_no_table) for p in harness.proxies)
    )


def report_attempts(harness: PolicyHarness, attempts: int) -> list[Action]:
    harness.run_until(harness.now_us + SECOND)
    return harness.send(
        *(
            EndpointReport(
                endpoint.id,
                "east",
                attempts * (3 if endpoint.id == FAST_ENDPOINT else 1),
                0,
                SECOND,
                200_000,
                (),
            )
            for endpoint in make_endpoints(10)
        )
    )


def test_proxies_of_a_reconnect_storm_keep_their_tables_until_their_weights_are_learned() -> None:
    """Bound to equal weights all at once, proxies overload slow endpoints: a third of responses was late for 10 s."""
    harness, actions = join_restarted_controller()
    # A reconnect storm is not detected before the second proxy joins.
    assert actions_of_type(actions, BindProxy) == [BindProxy(0, 0, (0, 1))]
    assert actions_of_type(report_attempts(harness, 5), BindProxy) == []
    assert {b.proxy for b in actions_of_type(report_attempts(harness, 20), BindProxy)} == {1, 2, 3}
    harness.run_until(harness.now_us + 3 * SECOND)
    report_attempts(harness, 20)
    assert harness.weight_share(FAST_ENDPOINT) == pytest.approx(0.25, abs=0.03)


def test_proxies_with_inherited_tables_are_bound_after_a_time_limit_without_reports() -> None:
    harness, _ = join_restarted_controller()
    assert (
        actions_of_type(harness.run_until(harness.now_us + INHERITANCE_US - SECOND), BindProxy)
        == []
    )
    assert {
        b.proxy for b in actions_of_type(harness.run_until(harness.now_us + 2 * SECOND), BindProxy)
    } == {1, 2, 3}


@pytest.mark.parametrize(
    "before",
    [
        list_changes([make_endpoint(105, "west", EndpointStatus.GONE)]),
        list_changes([make_endpoint(105, "west", EndpointStatus.DRAINING)]),
        list_changes([make_endpoint(105, "west", started_us=52 * SECOND)]),
    ],
    ids=["gone", "draining", "warming_up"],
)
def test_proxies_are_bound_immediately_if_an_endpoint_is_not_ready_or_warms_up(
    before: Event,
) -> None:
    _, actions = join_restarted_controller(before)
    assert len(actions_of_type(actions, BindProxy)) == 4


def test_proxies_with_inherited_tables_are_bound_when_an_endpoint_drains() -> None:
    harness, _ = join_restarted_controller()
    actions = harness.send(list_changes([make_endpoint(105, "west", EndpointStatus.DRAINING)]))
    assert {b.proxy for b in actions_of_type(actions, BindProxy)} == {1, 2, 3}


def test_proxies_without_a_table_are_bound_immediately() -> None:
    _, actions = join_restarted_controller(has_no_table=True)
    assert len(actions_of_type(actions, BindProxy)) == 4


def test_proxies_are_bound_immediately_once_inherited_weights_are_learned() -> None:
    harness, _ = join_restarted_controller()
    report_attempts(harness, 20)
    actions = harness.send(*(ProxyJoined(p, "east", 10.0, False) for p in harness.proxies))
    assert len(actions_of_type(actions, BindProxy)) == 4

"""A controller that starts while proxies serve: whose tables they keep, how long, what it learns of them."""

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

FAST_ENDPOINT = 100  # the endpoint that the inherited tables send three times as much as the others


def restarted(*before: Event, fresh: bool = False) -> tuple[PolicyHarness, list[Action]]:
    """A controller that knows ten endpoints, and the step in which all proxies come to it."""
    harness = PolicyHarness(listed=make_endpoints(10), proxies=0)
    harness.run_until(harness.now_us + 3 * SECOND)
    harness.send(*before)
    harness.proxies = list(range(4))
    return harness, harness.send(
        *(ProxyJoined(p, "east" if p % 2 else "west", 10.0, fresh) for p in harness.proxies)
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


def test_proxies_of_a_reconnect_storm_keep_their_tables_until_these_are_known() -> None:
    """Bound to even weights all at once, they jammed the slow endpoints: a third of the answers late for 10 s."""
    harness, actions = restarted()
    assert actions_of_type(actions, BindProxy) == [
        BindProxy(0, 0, (0, 1))
    ]  # the first may yet be one of few
    assert actions_of_type(report_attempts(harness, 5), BindProxy) == []
    assert {b.proxy for b in actions_of_type(report_attempts(harness, 20), BindProxy)} == {1, 2, 3}
    harness.run_until(harness.now_us + 3 * SECOND)
    report_attempts(harness, 20)
    assert harness.weight_share(FAST_ENDPOINT) == pytest.approx(0.25, abs=0.03)


def test_they_are_bound_after_a_while_even_without_reports() -> None:
    harness, _ = restarted()
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
    ids=["gone", "draining", "cold"],
)
def test_they_are_bound_immediately_where_inherited_tables_could_break_a_rule(
    before: Event,
) -> None:
    _, actions = restarted(before)
    assert len(actions_of_type(actions, BindProxy)) == 4


def test_an_endpoint_that_drains_meanwhile_ends_it() -> None:
    harness, _ = restarted()
    actions = harness.send(list_changes([make_endpoint(105, "west", EndpointStatus.DRAINING)]))
    assert {b.proxy for b in actions_of_type(actions, BindProxy)} == {1, 2, 3}


def test_proxies_without_a_table_are_bound_immediately() -> None:
    _, actions = restarted(fresh=True)
    assert len(actions_of_type(actions, BindProxy)) == 4


def test_a_controller_that_has_learned_binds_immediately() -> None:
    harness, _ = restarted()
    report_attempts(harness, 20)
    actions = harness.send(*(ProxyJoined(p, "east", 10.0, False) for p in harness.proxies))
    assert len(actions_of_type(actions, BindProxy)) == 4

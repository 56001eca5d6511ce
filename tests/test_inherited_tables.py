"""Tests of a controller that starts while proxies serve: how long they keep the tables that they inherited."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.policy.actions import Action, BindProxy
from kelpcourse.policy.bindings import INHERITANCE_US
from kelpcourse.policy.events import EndpointReport, EndpointStatus, Event, ProxyJoined
from kelpcourse.policy.settings import Settings
from tests.fleet import (
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    list_changes,
    make_endpoint,
    make_endpoints,
)

# The endpoint that gets three times as many attempts from inherited tables as each other one.
FAST_ENDPOINT = 100

# A grace that is longer than the time for which inherited tables are used in any case.
LONG_GRACE = replace(SETTINGS, drain_grace_us=10 * SECOND)


def join_restarted_controller(
    *before: Event, has_no_table: bool = False, settings: Settings = LONG_GRACE
) -> tuple[PolicyHarness, list[Action]]:
    """Lets all proxies join a controller that has started with a list of ten endpoints.

    Args:
        before: Events before the proxies join.
        has_no_table: Whether the proxies report that they hold no table.
        settings: Settings of the policy.

    Returns:
        The harness, and the actions of the step in which the proxies join.
    """
    harness = PolicyHarness(settings, make_endpoints(10), proxies=0)
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


@pytest.mark.parametrize("grace_us", [1_500_000, 2_000_000, 3_400_000])
@pytest.mark.parametrize("proxies", [4, 36])
def test_proxies_are_bound_within_a_grace_as_their_tables_may_have_removed_endpoints(
    grace_us: int, proxies: int
) -> None:
    """Guards against endpoints that were removed before a restart and stay in use, as no list names them any more."""
    settings = replace(SETTINGS, drain_grace_us=grace_us, proxy_count=proxies)
    harness = PolicyHarness(settings, make_endpoints(10), proxies=0)
    harness.run_until(harness.now_us + 3 * SECOND)
    harness.proxies = list(range(proxies))
    joined_us = harness.now_us
    harness.send(*(ProxyJoined(proxy, "east", 10.0, False) for proxy in harness.proxies))
    harness.run_until(joined_us + 2 * grace_us)
    bound_us = {a.proxy: t for t, a in harness.log if isinstance(a, BindProxy)}
    entries = 10 + 1 + len(settings.classes) + settings.message_overhead_entries + 1
    last_entries = (
        proxies - 1
    ) * entries  # the first is bound as it joins, before a storm is detected
    queue_us = last_entries / settings.delivery_entries_per_s * SECOND
    assert bound_us.keys() == set(harness.proxies)
    assert max(bound_us.values()) + queue_us + settings.max_transit_us <= joined_us + grace_us
    assert max(bound_us.values()) > joined_us  # they are used as long as they may be


def test_inherited_tables_are_used_if_removed_endpoints_may_stay_in_tables() -> None:
    settings = replace(SETTINGS, drain_rule_excludes_removed=True)
    harness, _ = join_restarted_controller(settings=settings)
    actions = harness.run_until(harness.now_us + INHERITANCE_US - SECOND)
    assert actions_of_type(actions, BindProxy) == []


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

"""A director that starts while proxies serve: whose tables they keep, how long, what it learns of them."""

from __future__ import annotations

import pytest

from kelpcourse.policy.actions import Action, BindProxy
from kelpcourse.policy.bindings import INHERITANCE_US
from kelpcourse.policy.events import EndpointReport, EndpointStatus, Event, ProxyJoined
from tests.fleet import SECOND, Day, changes, host, hosts, only

FAST = 100  # the host that the tables of before send three times as much as the others


def restarted(*before: Event, fresh: bool = False) -> tuple[Day, list[Action]]:
    """A director that knows ten hosts, and the step in which all proxies come to it."""
    day = Day(listed=hosts(10), proxies=0)
    day.until(day.now + 3 * SECOND)
    day.send(*before)
    day.joined = list(range(4))
    return day, day.send(
        *(ProxyJoined(p, "east" if p % 2 else "west", 10.0, fresh) for p in day.joined)
    )


def hear(day: Day, tries: int) -> list[Action]:
    day.until(day.now + SECOND)
    return day.send(
        *(
            EndpointReport(h.id, "east", tries * (3 if h.id == FAST else 1), 0, SECOND, 200_000, ())
            for h in hosts(10)
        )
    )


def test_proxies_of_a_reconnect_storm_keep_their_tables_until_these_are_known() -> None:
    """Bound to even weights all at once, they jammed the slow hosts: a third of the answers late for 10 s."""
    day, actions = restarted()
    assert only(actions, BindProxy) == [BindProxy(0, 0, (0, 1))]  # the first may yet be one of few
    assert only(hear(day, 5), BindProxy) == []
    assert {b.proxy for b in only(hear(day, 20), BindProxy)} == {1, 2, 3}
    day.until(day.now + 3 * SECOND)
    hear(day, 20)
    assert day.share(FAST) == pytest.approx(0.25, abs=0.03)


def test_they_are_bound_after_a_while_even_without_reports() -> None:
    day, _ = restarted()
    assert only(day.until(day.now + INHERITANCE_US - SECOND), BindProxy) == []
    assert {b.proxy for b in only(day.until(day.now + 2 * SECOND), BindProxy)} == {1, 2, 3}


@pytest.mark.parametrize(
    "before",
    [
        changes([host(105, "west", EndpointStatus.GONE)]),
        changes([host(105, "west", EndpointStatus.DRAINING)]),
        changes([host(105, "west", started=52 * SECOND)]),
    ],
    ids=["gone", "draining", "cold"],
)
def test_they_are_bound_immediately_where_inherited_tables_could_break_a_rule(
    before: Event,
) -> None:
    _, actions = restarted(before)
    assert len(only(actions, BindProxy)) == 4


def test_an_endpoint_that_drains_meanwhile_ends_it() -> None:
    day, _ = restarted()
    actions = day.send(changes([host(105, "west", EndpointStatus.DRAINING)]))
    assert {b.proxy for b in only(actions, BindProxy)} == {1, 2, 3}


def test_proxies_without_a_table_are_bound_immediately() -> None:
    _, actions = restarted(fresh=True)
    assert len(only(actions, BindProxy)) == 4


def test_a_controller_that_has_learned_binds_immediately() -> None:
    day, _ = restarted()
    hear(day, 20)
    actions = day.send(*(ProxyJoined(p, "east", 10.0, False) for p in day.joined))
    assert len(only(actions, BindProxy)) == 4

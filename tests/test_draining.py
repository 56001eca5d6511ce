"""Endpoints are withdrawn and restored."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.policy.actions import (
    Checkpoint,
    RestoreEndpoint,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.draining import FORGET_AFTER_US
from kelpcourse.policy.events import (
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointStatus,
    OrdersAcknowledged,
    ProxyJoined,
)
from tests.fleet import (
    LARGE,
    SECOND,
    SETTINGS,
    Day,
    changes,
    endpoint_orders,
    full,
    host,
    hosts,
    only,
)


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.GONE])
def test_a_draining_or_gone_endpoint_is_withdrawn_in_the_same_step(state: EndpointStatus) -> None:
    day = Day(listed=hosts(6))
    day.until(day.now + 10 * SECOND)
    actions = day.send(changes([host(100, state=state)]))
    assert endpoint_orders(actions) == [WithdrawEndpoint(100)]
    assert SetWeight(0, 100, 0.0) in actions
    assert 100 not in day.tables[0]


def test_an_endpoint_missing_from_a_full_list_is_withdrawn() -> None:
    day = Day(listed=hosts(6))
    actions = day.send(full(hosts(5)))
    assert endpoint_orders(actions) == [WithdrawEndpoint(105)]


def test_an_unavailable_list_changes_nothing() -> None:
    day = Day(listed=hosts(6))
    actions = day.send(EndpointList(EndpointListKind.UNAVAILABLE, 0, ()))
    assert endpoint_orders(actions) == []
    assert len(day.tables[0]) == 6


def test_a_withdrawn_endpoint_that_is_listed_ready_again_is_restored() -> None:
    day = Day(listed=hosts(6))
    day.send(changes([host(100, state=EndpointStatus.DRAINING)]))
    actions = day.send(changes([host(100, started=day.now)]))
    actions += day.until(day.now + 3 * SECOND)
    assert endpoint_orders(actions) == [RestoreEndpoint(100)]
    assert 100 in day.tables[0]


def served(day: Day, seconds: int, listed: list[Endpoint]) -> None:
    """So long, with a weight that changes now and then, so that lines go out."""
    for k in range(seconds):
        day.second(listed, failed={103: 0.5 * (k // 5 % 2)})


def test_an_endpoint_long_gone_is_restored_and_a_late_drain_of_it_is_kept_all_the_same() -> None:
    """Bindings would restate it for good. Listed again, draining or anew, it meets the rules as before."""
    day = Day(listed=hosts(6))
    left = hosts(6)[1:]
    day.send(changes([host(100, state=EndpointStatus.GONE)]))
    served(day, FORGET_AFTER_US // SECOND - 1, left)
    assert RestoreEndpoint(100) not in [action for _, action in day.log]
    served(day, 12, left)
    assert [action for _, action in day.log].count(RestoreEndpoint(100)) == 1
    assert 100 not in day.tables[0]
    drains = day.send(changes([host(100, state=EndpointStatus.DRAINING)], 3))
    assert endpoint_orders(drains) == [WithdrawEndpoint(100)]
    served(day, FORGET_AFTER_US // SECOND + 12, left)
    day.send(changes([host(100, started=day.now)], 4))
    served(day, 3, left)
    assert 0 < day.share(100) < 0.5 / 6  # it is cold


def test_no_endpoint_is_restored_while_a_proxy_may_still_hold_it() -> None:
    day = Day(replace(SETTINGS, max_backlog_entries=60), listed=hosts(6), answers=False)
    day.send(changes([host(100, state=EndpointStatus.GONE)]))
    assert day.policy.bindings.unbound_since_us
    served(day, FORGET_AFTER_US // SECOND + 12, hosts(6)[1:])
    assert RestoreEndpoint(100) not in [action for _, action in day.log]


def test_a_list_of_draining_endpoints_alone_leaves_an_empty_table() -> None:
    day = Day(listed=hosts(3))
    day.send(changes([host(h.id, h.zone, EndpointStatus.DRAINING) for h in hosts(3)]))
    day.until(day.now + 5 * SECOND)
    assert day.tables[0] == {}


def test_withdrawals_are_ordered_though_bindings_fill_the_channel() -> None:
    day = Day(settings=LARGE, listed=hosts(80), proxies=70, answers=False)
    gone = changes([replace(h, status=type(h.status).GONE) for h in hosts(80)[:4]])
    assert [a.endpoint for a in only(day.send(gone), WithdrawEndpoint)] == [
        h.id for h in hosts(80)[:4]
    ]


def test_endpoints_that_go_one_after_another_are_withdrawn_together_in_a_full_channel() -> None:
    """Each alone costs a head for every proxy, and the last of thirty went 3 s late."""
    day = Day(settings=LARGE, listed=hosts(80), proxies=70, answers=False)
    gone = [replace(h, status=type(h.status).GONE) for h in hosts(80)]
    assert len(endpoint_orders(day.send(changes(gone[:2])))) == 2
    assert endpoint_orders(day.send(changes(gone[2:13]))) == []  # nine of them would fit
    number = max(a.checkpoint_id for _, a in day.log if isinstance(a, Checkpoint))
    out = day.until(day.now + SECOND)
    out += day.send(*(OrdersAcknowledged(p, number, 300_000) for p in day.joined))
    assert {a.endpoint for a in endpoint_orders(out)} == {h.id for h in gone[2:13]}


def test_a_channel_too_small_for_several_withdrawals_takes_what_fits() -> None:
    small = replace(
        LARGE, max_backlog_entries=9.0 * 70
    )  # a head, a checkpoint and one host for each proxy
    day = Day(settings=small, listed=hosts(4), proxies=0)
    day.until(day.now + SECOND)
    day.send(*(ProxyJoined(p, "east", 10.0, True) for p in range(70)))
    day.until(day.now + 30 * SECOND)
    day.joined = list(range(70))
    number = max((a.checkpoint_id for _, a in day.log if isinstance(a, Checkpoint)), default=0)
    day.send(*(OrdersAcknowledged(p, number, 1000) for p in range(70)))
    day.send(changes([replace(h, status=type(h.status).GONE) for h in hosts(4)[:2]]))
    for _ in range(4):
        day.until(day.now + SECOND)
        number = max((a.checkpoint_id for _, a in day.log if isinstance(a, Checkpoint)), default=0)
        day.send(*(OrdersAcknowledged(p, number, 1000) for p in range(70)))
    assert {a.endpoint for _, a in day.log if isinstance(a, WithdrawEndpoint)} == {100, 101}

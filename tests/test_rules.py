"""The five rules, each with the module alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.policy.actions import (
    BindProxy,
    Checkpoint,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.draining import FORGET_AFTER_US
from kelpcourse.policy.events import (
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointStatus,
    OrdersAccepted,
    OrdersAcknowledged,
    ProxyJoined,
    ProxyLeft,
)
from kelpcourse.policy.settings import Idempotency, RetryPolicy
from tests.fleet import (
    READ,
    SECOND,
    SETTINGS,
    WRITE,
    Day,
    changes,
    endpoint_orders,
    full,
    host,
    hosts,
    only,
)

# Rule 1: no proxy without a line


def test_a_joined_proxy_is_bound_to_a_table_with_lines_in_the_same_step() -> None:
    day = Day(listed=hosts(6), proxies=0)
    actions = day.send(ProxyJoined(9, "west", 5.0, False))
    assert [(b.proxy, b.classes) for b in only(actions, BindProxy)] == [(9, (0, 1))]
    assert len(day.tables[0]) == 6


def test_a_proxy_that_rejoins_is_bound_again() -> None:
    day = Day(listed=hosts(6), proxies=1)
    day.until(day.now + 2 * SECOND)
    day.send(ProxyLeft(0))
    assert only(day.send(ProxyJoined(0, "east", 5.0, False)), BindProxy) != []


def test_proxies_that_join_before_any_host_is_known_are_bound_once_one_is() -> None:
    day = Day(listed=(), proxies=2)
    assert [b for _, b in day.log if isinstance(b, BindProxy)] == []
    actions = day.send(full(hosts(2)))
    actions += day.until(day.now + 3 * SECOND)
    assert {b.proxy for b in only(actions, BindProxy)} == {0, 1}


def test_judged_hosts_keep_a_line_even_if_all_fail() -> None:
    listed = hosts(6)
    day = Day(listed=listed)
    for _ in range(20):
        day.second(listed, failed={h.id: 1.0 for h in listed})
    assert set(day.tables[0]) == {h.id for h in listed}
    assert all(weight > 0 for weight in day.tables[0].values())


def test_a_class_for_some_zones_has_its_own_table_of_their_hosts() -> None:
    bound = replace(WRITE, allowed_zones=frozenset({"east"}))
    day = Day(replace(SETTINGS, classes=(READ, bound)), listed=hosts(6))
    east = {h.id for h in hosts(6) if h.zone == "east"}
    assert set(day.tables[1]) == east
    assert set(day.tables[0]) == {h.id for h in hosts(6)}


def test_zone_bound_classes_have_a_table_for_each_zone() -> None:
    own = replace(READ, same_zone_only=True)
    day = Day(replace(SETTINGS, classes=(own,)), listed=hosts(6), proxies=2)
    binds = [a for _, a in day.log if isinstance(a, BindProxy)]
    for bind in binds:
        zone = SETTINGS.zones[bind.proxy % 2]
        assert set(day.tables[bind.table]) == {h.id for h in hosts(6) if h.zone == zone}


def test_a_class_whose_hosts_appear_later_is_bound_then() -> None:
    bound = replace(WRITE, allowed_zones=frozenset({"west"}))
    day = Day(replace(SETTINGS, classes=(READ, bound)), listed=[host(1), host(2)], proxies=1)
    actions = day.send(changes([host(3, "west")]))
    actions += day.until(day.now + 3 * SECOND)
    assert [b.classes for b in only(actions, BindProxy)] == [(1,)]


# Rule 2: no effect twice


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_try_that_may_have_run_is_never_ordered_again(effect: Idempotency) -> None:
    listed = hosts(6)
    day = Day(replace(SETTINGS, classes=(replace(WRITE, idempotency=effect),)), listed=listed)
    for share in (0.0, 0.3, 0.9):
        for _ in range(4):
            day.second(listed, failed={100: share}, demand=(20,))
    ways = {a.retry_policy for _, a in day.log if isinstance(a, SetAdmission)}
    assert ways == {RetryPolicy.IF_NOT_EXECUTED}


# Rule 3: drains are kept


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.GONE])
def test_a_draining_or_gone_host_is_withdrawn_in_the_same_step(state: EndpointStatus) -> None:
    day = Day(listed=hosts(6))
    day.until(day.now + 10 * SECOND)
    actions = day.send(changes([host(100, state=state)]))
    assert endpoint_orders(actions) == [WithdrawEndpoint(100)]
    assert SetWeight(0, 100, 0.0) in actions
    assert 100 not in day.tables[0]


def test_a_host_missing_from_a_full_list_is_withdrawn() -> None:
    day = Day(listed=hosts(6))
    actions = day.send(full(hosts(5)))
    assert endpoint_orders(actions) == [WithdrawEndpoint(105)]


def test_an_unavailable_list_changes_nothing() -> None:
    day = Day(listed=hosts(6))
    actions = day.send(EndpointList(EndpointListKind.UNAVAILABLE, 0, ()))
    assert endpoint_orders(actions) == []
    assert len(day.tables[0]) == 6


def test_a_withdrawn_host_that_is_listed_ready_again_comes_back() -> None:
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


def test_a_host_long_gone_is_let_back_and_a_late_drain_of_it_is_kept_all_the_same() -> None:
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


def test_no_host_is_let_back_past_a_proxy_that_may_still_hold_it() -> None:
    day = Day(replace(SETTINGS, max_backlog_entries=60), listed=hosts(6), answers=False)
    day.send(changes([host(100, state=EndpointStatus.GONE)]))
    assert day.policy.bindings.unbound_since_us
    served(day, FORGET_AFTER_US // SECOND + 12, hosts(6)[1:])
    assert RestoreEndpoint(100) not in [action for _, action in day.log]


def test_all_hosts_draining_is_served_and_leaves_an_empty_table() -> None:
    day = Day(listed=hosts(3))
    day.send(changes([host(h.id, h.zone, EndpointStatus.DRAINING) for h in hosts(3)]))
    day.until(day.now + 5 * SECOND)
    assert day.tables[0] == {}


# Rule 4: no cold host pushed over


def test_a_new_host_gets_no_more_than_its_least_capacity() -> None:
    listed = hosts(9)
    day = Day(listed=listed)
    day.until(day.now + 5 * SECOND)
    fresh = host(200, started=day.now)
    day.send(changes([fresh]))
    for _ in range(14):
        day.until(day.now + SECOND)
        age = (day.now - fresh.started_us) / SETTINGS.warm_up_us
        least = min(1.0, SETTINGS.warm_up_min_capacity + (1 - SETTINGS.warm_up_min_capacity) * age)
        if 200 in day.tables[0]:
            assert day.share(200) <= 0.1 * least * 1.1
    assert day.share(200) == pytest.approx(0.1, rel=0.1)


def test_a_restarted_host_loses_its_weight_in_the_same_step() -> None:
    day = Day(listed=hosts(6))
    day.until(day.now + 10 * SECOND)
    before = day.share(100)
    day.send(changes([host(100, started=day.now)]))
    assert day.share(100) < before * 0.3


def test_a_cold_host_stays_small_where_most_hosts_are_sick_or_cold() -> None:
    listed = hosts(4)
    day = Day(listed=listed)
    day.until(day.now + 5 * SECOND)
    cold = [host(200 + k, started=day.now) for k in range(12)]
    day.send(changes(cold))
    day.until(day.now + 3 * SECOND)
    for h in cold:
        least = SETTINGS.warm_up_min_capacity + (1 - SETTINGS.warm_up_min_capacity) * 3 / 12
        assert day.share(h.id) <= least / 16 * 1.05


def test_levels_follow_a_fleet_that_turned_cold() -> None:
    listed = hosts(8)
    day = Day(listed=listed)
    for _ in range(6):
        day.second(listed, demand=(40, 10))
    cold = [host(h.id, h.zone, started=day.now) for h in listed[:6]]
    day.send(changes(cold))
    now_listed = cold + listed[6:]
    for _ in range(3):
        day.second(now_listed, time_us=900_000, tries=10, demand=(40, 10))
    assert day.levels[0] < 0.7


# Rule 5: a short queue and few messages


def test_messages_to_a_proxy_stay_under_the_cap() -> None:
    listed = hosts(10)
    day = Day(replace(SETTINGS, max_messages_per_proxy=12), listed=listed)
    for k in range(60):
        state = EndpointStatus.DRAINING if k % 2 else EndpointStatus.READY
        day.until(day.now + SECOND // 3)
        day.send(changes([host(100 + k % 10, state=state, started=day.now)]))
    sent = [t for t, a in day.log if isinstance(a, Checkpoint)][1:]  # the first went to nobody
    assert len(sent) > 12
    assert all(len([t for t in sent if now - 10 * SECOND < t <= now]) <= 12 for now in sent)


def test_messages_that_waited_for_the_relay_count_from_when_it_took_them() -> None:
    listed = hosts(10)
    day = Day(replace(SETTINGS, max_messages_per_proxy=12), listed=listed)
    written: list[int] = []
    waits: list[tuple[int, int]] = []  # when the relay takes it, checkpoint
    for k in range(150):
        out = day.until(day.now + SECOND // 5)
        due = [(at, number) for at, number in waits if at <= day.now]
        waits = [w for w in waits if w not in due]
        written += [day.now for _ in due]
        state = EndpointStatus.DRAINING if k % 2 else EndpointStatus.READY
        out += day.send(
            *(OrdersAccepted(number) for _, number in due),
            changes([host(100 + k % 10, state=state, started=day.now)]),
        )
        back_us = (
            day.now + SECOND - k % 60 * SECOND // 5
        )  # now and then the relay is out of reach for a second
        waits += [(max(day.now, back_us), a.checkpoint_id) for a in only(out, Checkpoint)]
    assert len(written) > 24
    written = written[1:]  # the first went to nobody
    assert all(len([t for t in written if now - 10 * SECOND < t <= now]) <= 12 for now in written)


def test_ordinary_orders_wait_while_the_channel_is_slow() -> None:
    listed = hosts(10)
    day = Day(replace(SETTINGS, max_backlog_entries=300.0), listed=listed, answers=False)
    uneven = {h.id: 100_000 * (1 + k) for k, h in enumerate(listed)}
    lines = [len(only(day.second(listed, times=uneven), SetWeight)) for _ in range(12)]
    assert sum(lines[4:]) == 0


def test_a_drain_is_ordered_even_where_ordinary_orders_wait() -> None:
    day = Day(replace(SETTINGS, max_backlog_entries=300.0), listed=hosts(10), answers=False)
    day.until(day.now + 10 * SECOND)
    assert endpoint_orders(day.send(changes([host(100, state=EndpointStatus.GONE)]))) == [
        WithdrawEndpoint(100)
    ]


def test_a_class_left_with_a_cold_host_is_let_in_by_what_that_can_do() -> None:
    """A lost zone left one cold host to a class, which brought it five times its work."""
    bound = replace(WRITE, allowed_zones=frozenset({"east"}))
    listed = hosts(10)
    day = Day(replace(SETTINGS, classes=(READ, bound)), listed=listed)
    for _ in range(6):
        day.second(listed, demand=(40, 10))
    cold = host(300, "east", started=day.now)
    day.send(changes([cold]))
    actions = day.send(full([cold, *(h for h in listed if h.zone == "west")]))
    assert set(day.tables[1]) == {300}
    able = SETTINGS.warm_up_min_capacity * 200 / 10  # its least part of one host's rate
    let_in = {a.classes: a.limit for a in only(actions, SetAdmission)}[(1,)] * 40
    assert let_in <= SETTINGS.overload_factor * able


def test_a_fleet_that_restarts_as_a_whole_is_let_in_by_what_it_can_do() -> None:
    listed = hosts(10)
    day = Day(listed=listed)
    for _ in range(6):
        day.second(listed, demand=(40, 10))
    day.send(full([host(h.id, h.zone, started=day.now) for h in listed]))
    let_in = 160 * day.levels[0] + 40 * day.levels[1]
    assert let_in <= SETTINGS.overload_factor * SETTINGS.warm_up_min_capacity * 200


def test_acknowledgements_free_the_channel_when_checkpoint_numbers_start_over() -> None:
    listed = hosts(10)
    day = Day(replace(SETTINGS, max_backlog_entries=300.0), listed=listed)
    day.policy.publisher.checkpoint_id = 65530
    uneven = {h.id: 100_000 * (1 + k) for k, h in enumerate(listed)}
    lines = [len(only(day.second(listed, times=uneven), SetWeight)) for _ in range(40)]
    numbers = [a.checkpoint_id for _, a in day.log if isinstance(a, Checkpoint)]
    assert min(numbers) == 0
    assert sum(lines[numbers.index(0) :]) > 0


def test_an_acknowledgement_of_an_earlier_stream_is_disregarded() -> None:
    day = Day(listed=hosts(4), proxies=1)
    day.until(day.now + 2 * SECOND)
    day.send(ProxyLeft(0))
    assert endpoint_orders(day.send(OrdersAcknowledged(0, 1, 5))) == []
    day.send(ProxyJoined(0, "east", 10.0, False), OrdersAcknowledged(0, 999, 5))
    assert day.policy.delivery.backlog_entries(day.now) > 0

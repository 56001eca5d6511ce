"""Admission ratios by priority weight and capacity."""

from __future__ import annotations

from dataclasses import replace

import pytest

from kelpcourse.policy.actions import (
    SetAdmission,
)
from kelpcourse.policy.settings import AdmissionMode
from tests.fleet import (
    READ,
    SETTINGS,
    WRITE,
    Day,
    changes,
    full,
    host,
    hosts,
    only,
    steady,
)


def test_admission_ratios_follow_a_fleet_that_warms_up() -> None:
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


def test_a_class_left_with_a_warming_up_endpoint_is_admitted_by_its_capacity() -> None:
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


def test_a_fleet_that_restarts_together_is_admitted_by_its_capacity() -> None:
    listed = hosts(10)
    day = Day(listed=listed)
    for _ in range(6):
        day.second(listed, demand=(40, 10))
    day.send(full([host(h.id, h.zone, started=day.now) for h in listed]))
    let_in = 160 * day.levels[0] + 40 * day.levels[1]
    assert let_in <= SETTINGS.overload_factor * SETTINGS.warm_up_min_capacity * 200


def test_the_class_of_greater_priority_weight_is_admitted_first() -> None:
    day = Day(listed=hosts(10))
    steady(day)
    for _ in range(3):
        day.second(hosts(10), time_us=500_000, demand=(60, 8))
    assert day.levels[0] < 0.8
    assert day.levels[1] == 1.0


def test_classes_of_equal_priority_weight_get_the_same_fraction() -> None:
    day = Day(
        replace(SETTINGS, classes=(READ, replace(WRITE, priority_weight=READ.priority_weight))),
        listed=hosts(10),
    )
    steady(day)
    for _ in range(2):
        day.second(hosts(10), time_us=400_000, demand=(80, 20))
    assert day.levels[0] < 0.8
    assert day.levels[1] == pytest.approx(day.levels[0], abs=1e-3)


def test_no_admission_ratios_where_proxies_disregard_them() -> None:
    day = Day(replace(SETTINGS, admission_mode=AdmissionMode.NONE), listed=hosts(10))
    steady(day)
    for _ in range(5):
        day.second(hosts(10), time_us=900_000, demand=(80, 20))
    assert {a.limit for _, a in day.log if isinstance(a, SetAdmission)} <= {1.0}

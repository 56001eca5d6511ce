"""Tests of admission ratios by priority weight and capacity."""

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
    PolicyHarness,
    actions_of_type,
    full_list,
    list_changes,
    make_endpoint,
    make_endpoints,
    run_steadily,
)


def test_admission_ratios_fall_when_most_endpoints_warm_up() -> None:
    listed = make_endpoints(8)
    harness = PolicyHarness(listed=listed)
    for _ in range(6):
        harness.run_second(listed, demand=(40, 10))
    warming_up = [
        make_endpoint(endpoint.id, endpoint.zone, started_us=harness.now_us)
        for endpoint in listed[:6]
    ]
    harness.send(list_changes(warming_up))
    endpoints = warming_up + listed[6:]
    for _ in range(3):
        harness.run_second(endpoints, mean_time_us=900_000, attempts=10, demand=(40, 10))
    assert harness.admission_ratios[0] < 0.7


def test_a_class_with_one_warming_up_endpoint_left_is_admitted_by_its_capacity() -> None:
    """After the loss of a zone only one warming-up endpoint served a class, and got five times its capacity."""
    restricted = replace(WRITE, allowed_zones=frozenset({"east"}))
    listed = make_endpoints(10)
    harness = PolicyHarness(replace(SETTINGS, classes=(READ, restricted)), listed=listed)
    for _ in range(6):
        harness.run_second(listed, demand=(40, 10))
    warming_up = make_endpoint(300, "east", started_us=harness.now_us)
    harness.send(list_changes([warming_up]))
    actions = harness.send(
        full_list([warming_up, *(endpoint for endpoint in listed if endpoint.zone == "west")])
    )
    assert set(harness.tables[1]) == {300}
    # The smallest fraction, during warm-up, of the rate that one of ten endpoints served.
    endpoint_capacity_per_s = SETTINGS.warm_up_min_capacity * 200 / 10
    admitted_per_s = {a.classes: a.limit for a in actions_of_type(actions, SetAdmission)}[(1,)] * 40
    assert admitted_per_s <= SETTINGS.overload_factor * endpoint_capacity_per_s


def test_load_is_admitted_by_capacity_when_the_whole_fleet_restarts() -> None:
    listed = make_endpoints(10)
    harness = PolicyHarness(listed=listed)
    for _ in range(6):
        harness.run_second(listed, demand=(40, 10))
    harness.send(
        full_list(
            [
                make_endpoint(endpoint.id, endpoint.zone, started_us=harness.now_us)
                for endpoint in listed
            ]
        )
    )
    admitted_per_s = 160 * harness.admission_ratios[0] + 40 * harness.admission_ratios[1]
    assert admitted_per_s <= SETTINGS.overload_factor * SETTINGS.warm_up_min_capacity * 200


def test_the_class_of_greater_priority_weight_is_admitted_first() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=500_000, demand=(60, 8))
    assert harness.admission_ratios[0] < 0.8
    assert harness.admission_ratios[1] == 1.0


def test_classes_of_equal_priority_weight_get_the_same_fraction() -> None:
    harness = PolicyHarness(
        replace(SETTINGS, classes=(READ, replace(WRITE, priority_weight=READ.priority_weight))),
        listed=make_endpoints(10),
    )
    run_steadily(harness)
    for _ in range(2):
        harness.run_second(make_endpoints(10), mean_time_us=400_000, demand=(80, 20))
    assert harness.admission_ratios[0] < 0.8
    assert harness.admission_ratios[1] == pytest.approx(harness.admission_ratios[0], abs=1e-3)


def test_no_admission_ratio_is_ordered_where_proxies_ignore_them() -> None:
    harness = PolicyHarness(
        replace(SETTINGS, admission_mode=AdmissionMode.NONE), listed=make_endpoints(10)
    )
    run_steadily(harness)
    for _ in range(5):
        harness.run_second(make_endpoints(10), mean_time_us=900_000, demand=(80, 20))
    assert {a.limit for _, a in harness.log if isinstance(a, SetAdmission)} <= {1.0}

"""Tests of water filling: the greatest equal fraction under capacity, bounds and demand."""

from __future__ import annotations

import itertools

import pytest

from kelpcourse.policy.fill import equal_fraction_fill, priority_lower_bounds

CASES = [
    (demand, capacity, lower, upper)
    for demand in ([10.0, 30.0, 60.0], [5.0, 0.0, 7.0], [100.0, 1.0, 1.0])
    for capacity in (0.0, 3.0, 40.0, 99.0, 500.0)
    for lower in ([0.0, 0.0, 0.0], [0.3, 0.1, 0.0], [0.8, 0.8, 0.8])
    for upper in ([1.0, 1.0, 1.0], [0.5, 0.9, 0.4])
]


@pytest.mark.parametrize(("demand", "capacity", "lower", "upper"), CASES)
def test_admitted_rates_stay_within_capacity_demand_and_upper_bounds(
    demand: list[float], capacity: float, lower: list[float], upper: list[float]
) -> None:
    admitted = equal_fraction_fill(demand, capacity, lower, upper)
    assert sum(admitted) <= capacity + 1e-6
    for rate, offered, upper_bound in zip(admitted, demand, upper, strict=True):
        assert 0 <= rate <= offered + 1e-9
        assert rate <= upper_bound * capacity + 1e-6


@pytest.mark.parametrize(("demand", "capacity", "lower", "upper"), CASES)
def test_lower_bounds_are_met_if_they_are_feasible(
    demand: list[float], capacity: float, lower: list[float], upper: list[float]
) -> None:
    guaranteed = [
        min(offered, lower_bound * capacity, upper_bound * capacity)
        for offered, lower_bound, upper_bound in zip(demand, lower, upper, strict=True)
    ]
    admitted = equal_fraction_fill(demand, capacity, lower, upper)
    if sum(guaranteed) <= capacity:
        assert all(
            rate >= minimum - 1e-6 for rate, minimum in zip(admitted, guaranteed, strict=True)
        )
    else:
        assert sum(admitted) == pytest.approx(capacity)


def test_without_bounds_every_class_gets_the_same_fraction() -> None:
    admitted = equal_fraction_fill([10.0, 30.0, 60.0], 50.0, [0.0] * 3, [1.0] * 3)
    assert admitted == pytest.approx([5.0, 15.0, 30.0], abs=1e-4)


def test_the_admitted_fraction_is_the_greatest_feasible() -> None:
    demand, lower, upper = [10.0, 30.0, 60.0], [0.2, 0.0, 0.0], [1.0, 0.3, 1.0]
    admitted = equal_fraction_fill(demand, 50.0, lower, upper)
    fraction = min(rate / offered for rate, offered in zip(admitted, demand, strict=True))
    larger = [
        min(offered, upper_bound * 50.0, max(lower_bound * 50.0, (fraction + 0.01) * offered))
        for offered, lower_bound, upper_bound in zip(demand, lower, upper, strict=True)
    ]
    assert sum(larger) > 50.0


def test_ample_capacity_admits_all_and_zero_capacity_admits_nothing() -> None:
    assert equal_fraction_fill([10.0, 20.0], 31.0, [0.0, 0.0], [1.0, 1.0]) == [10.0, 20.0]
    assert equal_fraction_fill([10.0, 20.0], 0.0, [0.5, 0.0], [1.0, 1.0]) == [0.0, 0.0]
    assert equal_fraction_fill([0.0, 0.0], 5.0, [0.5, 0.0], [1.0, 1.0]) == [0.0, 0.0]


def test_lower_bounds_serve_the_class_of_greater_priority_weight_first() -> None:
    demand, priority_weights = [80.0, 20.0], [1.0, 3.0]
    for capacity in (10.0, 50.0, 90.0):
        admitted = equal_fraction_fill(
            demand, capacity, priority_lower_bounds(demand, priority_weights, capacity), [1.0, 1.0]
        )
        assert admitted[1] == pytest.approx(min(20.0, capacity), abs=1e-3)


def test_equal_priority_weights_add_no_lower_bounds() -> None:
    for demand, capacity in itertools.product(([8.0, 2.0], [5.0, 5.0]), (0.0, 4.0, 20.0)):
        assert priority_lower_bounds(demand, [2.0, 2.0], capacity) == [0.0, 0.0]

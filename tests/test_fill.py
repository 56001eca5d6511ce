"""The fill: the greatest equal fraction under volume, bounds and demand."""

from __future__ import annotations

import itertools

import pytest

from kelpcourse.policy.controller import fill, worth_bounds

CASES = [
    (demand, volume, lower, upper)
    for demand in ([10.0, 30.0, 60.0], [5.0, 0.0, 7.0], [100.0, 1.0, 1.0])
    for volume in (0.0, 3.0, 40.0, 99.0, 500.0)
    for lower in ([0.0, 0.0, 0.0], [0.3, 0.1, 0.0], [0.8, 0.8, 0.8])
    for upper in ([1.0, 1.0, 1.0], [0.5, 0.9, 0.4])
]


@pytest.mark.parametrize(("demand", "volume", "lower", "upper"), CASES)
def test_never_over_volume_demand_or_upper_bound(
    demand: list[float], volume: float, lower: list[float], upper: list[float]
) -> None:
    admitted = fill(demand, volume, lower, upper)
    assert sum(admitted) <= volume + 1e-6
    for x, n, up in zip(admitted, demand, upper, strict=True):
        assert 0 <= x <= n + 1e-9
        assert x <= up * volume + 1e-6


@pytest.mark.parametrize(("demand", "volume", "lower", "upper"), CASES)
def test_lower_bounds_hold_where_they_are_feasible(
    demand: list[float], volume: float, lower: list[float], upper: list[float]
) -> None:
    owed = [
        min(n, lo * volume, up * volume) for n, lo, up in zip(demand, lower, upper, strict=True)
    ]
    admitted = fill(demand, volume, lower, upper)
    if sum(owed) <= volume:
        assert all(x >= o - 1e-6 for x, o in zip(admitted, owed, strict=True))
    else:
        assert sum(admitted) == pytest.approx(volume)


def test_without_bounds_every_class_gets_the_same_fraction() -> None:
    admitted = fill([10.0, 30.0, 60.0], 50.0, [0.0] * 3, [1.0] * 3)
    assert admitted == pytest.approx([5.0, 15.0, 30.0], abs=1e-4)


def test_theta_is_the_greatest() -> None:
    demand, lower, upper = [10.0, 30.0, 60.0], [0.2, 0.0, 0.0], [1.0, 0.3, 1.0]
    admitted = fill(demand, 50.0, lower, upper)
    theta = min(x / n for x, n in zip(admitted, demand, strict=True))
    better = [
        min(n, up * 50.0, max(lo * 50.0, (theta + 0.01) * n))
        for n, lo, up in zip(demand, lower, upper, strict=True)
    ]
    assert sum(better) > 50.0


def test_plenty_admits_all_and_nothing_admits_nothing() -> None:
    assert fill([10.0, 20.0], 31.0, [0.0, 0.0], [1.0, 1.0]) == [10.0, 20.0]
    assert fill([10.0, 20.0], 0.0, [0.5, 0.0], [1.0, 1.0]) == [0.0, 0.0]
    assert fill([0.0, 0.0], 5.0, [0.5, 0.0], [1.0, 1.0]) == [0.0, 0.0]


def test_lower_bounds_serve_the_worthier_class_first() -> None:
    demand, worth = [80.0, 20.0], [1.0, 3.0]
    for volume in (10.0, 50.0, 90.0):
        admitted = fill(demand, volume, worth_bounds(demand, worth, volume), [1.0, 1.0])
        assert admitted[1] == pytest.approx(min(20.0, volume), abs=1e-3)


def test_equal_worth_leaves_the_equal_fraction() -> None:
    for demand, volume in itertools.product(([8.0, 2.0], [5.0, 5.0]), (0.0, 4.0, 20.0)):
        assert worth_bounds(demand, [2.0, 2.0], volume) == [0.0, 0.0]

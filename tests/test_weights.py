"""Weights of warming-up endpoints, of listed weights, and beside classes with tables of their own."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.fleet import (
    READ,
    SECOND,
    SETTINGS,
    WRITE,
    Day,
    changes,
    host,
    hosts,
)


def test_a_new_endpoint_gets_no_more_than_its_initial_capacity() -> None:
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


def test_a_restarted_endpoint_loses_weight_in_the_same_step() -> None:
    day = Day(listed=hosts(6))
    day.until(day.now + 10 * SECOND)
    before = day.share(100)
    day.send(changes([host(100, started=day.now)]))
    assert day.share(100) < before * 0.3


def test_a_warming_up_endpoint_stays_small_where_most_are_ejected_or_warming_up() -> None:
    listed = hosts(4)
    day = Day(listed=listed)
    day.until(day.now + 5 * SECOND)
    cold = [host(200 + k, started=day.now) for k in range(12)]
    day.send(changes(cold))
    day.until(day.now + 3 * SECOND)
    for h in cold:
        least = SETTINGS.warm_up_min_capacity + (1 - SETTINGS.warm_up_min_capacity) * 3 / 12
        assert day.share(h.id) <= least / 16 * 1.05


def test_listed_weights_count_and_an_unlisted_one_is_the_mean() -> None:
    listed = [host(1, weight=1.0), host(2, weight=3.0), host(3, weight=0.0)]
    day = Day(listed=listed)
    assert abs(day.share(2) / day.share(1) - 3) < 0.01
    assert abs(day.share(3) / day.share(1) - 2) < 0.01


def test_the_shared_table_has_residual_weights_beside_a_class_with_its_own_table() -> None:
    """A fifth of the requests may only go to half of the hosts: in all, every host gets the same."""
    bound = replace(WRITE, allowed_zones=frozenset({"east"}))
    day = Day(replace(SETTINGS, classes=(READ, bound)), listed=hosts(10))
    for _ in range(6):
        day.second(hosts(10), demand=(40, 10))
    reads, writes = day.policy.tables.classes_by_zone["east"][0]
    total = {
        h.id: 0.8 * day.share(h.id, reads)
        + 0.2 * day.tables[writes].get(h.id, 0.0) / sum(day.tables[writes].values())
        for h in hosts(10)
    }
    assert max(total.values()) < 1.2 * min(total.values())
    assert day.share(100, reads) < 0.7 * day.share(101, reads)


def test_a_class_that_fills_its_endpoints_leaves_them_a_part_of_the_shared_table() -> None:
    bound = replace(WRITE, allowed_zones=frozenset({"east"}))
    day = Day(replace(SETTINGS, classes=(READ, bound)), listed=hosts(10))
    for _ in range(6):
        day.second(hosts(10), demand=(5, 45))
    assert 0 < day.share(100, 0) < 0.05

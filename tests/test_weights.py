"""Tests of the weights of warming-up endpoints, of listed weights and of classes with their own tables."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.fleet import (
    READ,
    SECOND,
    SETTINGS,
    WRITE,
    PolicyHarness,
    list_changes,
    make_endpoint,
    make_endpoints,
)


def test_a_new_endpoint_gets_no_more_than_its_initial_capacity() -> None:
    listed = make_endpoints(9)
    harness = PolicyHarness(listed=listed)
    harness.run_until(harness.now_us + 5 * SECOND)
    new_endpoint = make_endpoint(200, started_us=harness.now_us)
    harness.send(list_changes([new_endpoint]))
    for _ in range(14):
        harness.run_until(harness.now_us + SECOND)
        age_fraction = (harness.now_us - new_endpoint.started_us) / SETTINGS.warm_up_us
        warm_up_capacity = min(
            1.0, SETTINGS.warm_up_min_capacity + (1 - SETTINGS.warm_up_min_capacity) * age_fraction
        )
        if 200 in harness.tables[0]:
            assert harness.weight_share(200) <= 0.1 * warm_up_capacity * 1.1
    assert harness.weight_share(200) == pytest.approx(0.1, rel=0.1)


def test_a_restarted_endpoint_loses_weight_in_the_same_step() -> None:
    harness = PolicyHarness(listed=make_endpoints(6))
    harness.run_until(harness.now_us + 10 * SECOND)
    before = harness.weight_share(100)
    harness.send(list_changes([make_endpoint(100, started_us=harness.now_us)]))
    assert harness.weight_share(100) < before * 0.3


def test_a_warming_up_endpoint_keeps_a_small_weight_while_most_endpoints_warm_up() -> None:
    listed = make_endpoints(4)
    harness = PolicyHarness(listed=listed)
    harness.run_until(harness.now_us + 5 * SECOND)
    warming_up = [make_endpoint(200 + k, started_us=harness.now_us) for k in range(12)]
    harness.send(list_changes(warming_up))
    harness.run_until(harness.now_us + 3 * SECOND)
    for endpoint in warming_up:
        warm_up_capacity = (
            SETTINGS.warm_up_min_capacity + (1 - SETTINGS.warm_up_min_capacity) * 3 / 12
        )
        assert harness.weight_share(endpoint.id) <= warm_up_capacity / 16 * 1.05


def test_weights_follow_listed_weights_and_a_missing_one_is_the_mean() -> None:
    listed = [
        make_endpoint(1, weight=1.0),
        make_endpoint(2, weight=3.0),
        make_endpoint(3, weight=0.0),
    ]
    harness = PolicyHarness(listed=listed)
    assert abs(harness.weight_share(2) / harness.weight_share(1) - 3) < 0.01
    assert abs(harness.weight_share(3) / harness.weight_share(1) - 2) < 0.01


def test_the_shared_table_has_residual_weights_beside_a_class_with_its_own_table() -> None:
    """A fifth of the requests may only go to half of the endpoints, but every endpoint gets the same total."""
    restricted = replace(WRITE, allowed_zones=frozenset({"east"}))
    harness = PolicyHarness(
        replace(SETTINGS, classes=(READ, restricted)), listed=make_endpoints(10)
    )
    for _ in range(6):
        harness.run_second(make_endpoints(10), demand=(40, 10))
    reads, writes = harness.policy.tables.classes_by_zone["east"][0]
    total = {
        endpoint.id: 0.8 * harness.weight_share(endpoint.id, reads)
        + 0.2 * harness.tables[writes].get(endpoint.id, 0.0) / sum(harness.tables[writes].values())
        for endpoint in make_endpoints(10)
    }
    assert max(total.values()) < 1.2 * min(total.values())
    assert harness.weight_share(100, reads) < 0.7 * harness.weight_share(101, reads)


def test_endpoints_saturated_by_their_own_class_keep_a_small_weight_in_the_shared_table() -> None:
    restricted = replace(WRITE, allowed_zones=frozenset({"east"}))
    harness = PolicyHarness(
        replace(SETTINGS, classes=(READ, restricted)), listed=make_endpoints(10)
    )
    for _ in range(6):
        harness.run_second(make_endpoints(10), demand=(5, 45))
    assert 0 < harness.weight_share(100, 0) < 0.05

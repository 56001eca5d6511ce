"""Tests of when load is shed and when shedding ends."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.fleet import READ, SETTINGS, WRITE, PolicyHarness, make_endpoints, run_steadily


def test_no_load_is_shed_without_overload() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness, 20)
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_a_few_failures_do_not_shed_load() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    for _ in range(10):
        harness.run_second(
            make_endpoints(10),
            failed={endpoint.id: 0.04 for endpoint in make_endpoints(10)},
            attempts=25,
            demand=(50, 12),
        )
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_load_is_shed_for_a_backlog_before_attempts_fail() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(2):  # Twice the demand, and no more completed requests than before
        harness.run_second(make_endpoints(10), mean_time_us=400_000, demand=(80, 20))
    assert harness.admission_ratios[0] < 0.8


def test_admission_ratios_rise_after_an_overload() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=900_000, demand=(80, 20))
    assert harness.admission_ratios[0] < 0.8
    run_steadily(harness, 20)
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_failures_independent_of_load_do_not_keep_reducing_admission_ratios() -> None:
    """About a tenth of attempts fails at any load with normal response times: the estimate must not keep falling."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(40):
        admitted_per_s = (
            (40 * harness.admission_ratios[0] + 10 * harness.admission_ratios[1]) * 4 / 10
        )
        harness.run_second(
            make_endpoints(10),
            failed={endpoint.id: 0.12 for endpoint in make_endpoints(10)},
            attempts=max(1, round(admitted_per_s)),
            demand=(40, 10),
        )
    assert harness.admission_ratios[0] > 0.9


def test_one_overload_reduces_admission_ratios_once() -> None:
    """Requests admitted before an order reached the proxies must not reduce the admission ratio a second time."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    first_ratio = harness.admission_ratios[0]
    assert first_ratio < 0.8
    harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    assert harness.admission_ratios[0] >= first_ratio * 0.5


def test_the_backlog_of_the_first_report_is_not_taken_for_an_overload() -> None:
    """The first report counts all offered requests, but not those in flight, and the capacity estimate is untested."""
    harness = PolicyHarness(listed=make_endpoints(10))
    harness.run_second(make_endpoints(10), attempts=12, demand=(40, 10))
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_the_first_reports_after_a_start_neither_shed_load_nor_lower_the_estimate() -> None:
    # A restarted controller got reports of 9 of 200 offered requests per second, of which a sixth failed, and shed load
    # for 15 s because its capacity estimate had grown from zero.
    harness = PolicyHarness(listed=make_endpoints(10))
    failed = {endpoint.id: 0.2 for endpoint in make_endpoints(10)}
    harness.run_second(make_endpoints(10), mean_time_us=450_000, failed=failed, demand=(40, 10))
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}
    assert harness.policy.capacity.requests_per_s == pytest.approx(160)
    for _ in range(4):
        harness.run_second(make_endpoints(10), mean_time_us=450_000, failed=failed, demand=(60, 15))
    assert harness.admission_ratios[0] < 0.8


def test_endpoints_saturated_by_a_zone_bound_class_do_not_shed_other_classes() -> None:
    """A zone with too few endpoints was saturated by its own class, and reads for the idle zone were rejected."""
    restricted = replace(WRITE, allowed_zones=frozenset({"east"}))
    harness = PolicyHarness(
        replace(SETTINGS, classes=(READ, restricted)), listed=make_endpoints(10)
    )
    mean_times_us = {
        endpoint.id: 1_600_000 if endpoint.zone == "east" else 120_000
        for endpoint in make_endpoints(10)
    }
    min_admission_ratio = 1.0
    for k in range(40):
        harness.run_second(make_endpoints(10), mean_times_us=mean_times_us, demand=(20, 30))
        if k >= 25:
            min_admission_ratio = min(min_admission_ratio, harness.admission_ratios[0])
    assert harness.weight_share(100) < harness.weight_share(101)
    # Response times here do not depend on how many reads the saturated zone gets.
    assert min_admission_ratio > 0.8

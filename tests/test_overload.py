"""When load is shed, and when that ends."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.fleet import READ, SETTINGS, WRITE, PolicyHarness, make_endpoints, run_steadily


def test_nothing_is_shed_while_all_is_well() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness, 20)
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_a_few_failures_shed_nothing() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    for _ in range(10):
        harness.run_second(
            make_endpoints(10),
            failed={endpoint.id: 0.04 for endpoint in make_endpoints(10)},
            attempts=25,
            demand=(50, 12),
        )
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_a_backlog_is_answered_before_anything_fails() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(2):  # twice the demand, and no more answers than before
        harness.run_second(make_endpoints(10), mean_time_us=400_000, demand=(80, 20))
    assert harness.admission_ratios[0] < 0.8


def test_admission_ratios_rise_when_the_load_has_gone() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=900_000, demand=(80, 20))
    assert harness.admission_ratios[0] < 0.8
    run_steadily(harness, 20)
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_failures_that_less_load_does_not_mend_start_no_spiral() -> None:
    """A tenth of attempts fails at any load, with sound times: the estimate must not ratchet down."""
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


def test_one_overload_is_answered_once() -> None:
    """What was admitted before an order reached the proxies is foreseen, not met again with a deeper cut."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    first = harness.admission_ratios[0]
    assert first < 0.8
    harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    assert harness.admission_ratios[0] >= first * 0.5


def test_the_first_report_starts_no_overload_by_its_backlog() -> None:
    """It counts all that came, but not what is still in hand, over a capacity estimate never tried."""
    harness = PolicyHarness(listed=make_endpoints(10))
    harness.run_second(make_endpoints(10), attempts=12, demand=(40, 10))
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}


def test_the_first_reports_after_a_start_neither_shed_load_nor_lower_the_estimate() -> None:
    # A controller that came back was notified of 9 requests a second of 200 that came, a sixth of them
    # failed, and shed for 15 s by a capacity estimate that had grown from nothing.
    harness = PolicyHarness(listed=make_endpoints(10))
    failed = {endpoint.id: 0.2 for endpoint in make_endpoints(10)}
    harness.run_second(make_endpoints(10), mean_time_us=450_000, failed=failed, demand=(40, 10))
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}
    assert harness.policy.capacity.requests_per_s == pytest.approx(160)
    for _ in range(4):
        harness.run_second(make_endpoints(10), mean_time_us=450_000, failed=failed, demand=(60, 15))
    assert harness.admission_ratios[0] < 0.8


def test_endpoints_busy_with_a_class_of_their_own_do_not_shed_the_rest() -> None:
    """A zone short of endpoints was full of its own class, and reads for the idle zone were rejected."""
    bound = replace(WRITE, allowed_zones=frozenset({"east"}))
    harness = PolicyHarness(replace(SETTINGS, classes=(READ, bound)), listed=make_endpoints(10))
    slow = {
        endpoint.id: 1_600_000 if endpoint.zone == "east" else 120_000
        for endpoint in make_endpoints(10)
    }
    low = 1.0
    for k in range(40):
        harness.run_second(make_endpoints(10), mean_times_us=slow, demand=(20, 30))
        if k >= 25:
            low = min(low, harness.admission_ratios[0])
    assert harness.weight_share(100) < harness.weight_share(101)
    assert low > 0.8  # the times stay as they are here, however few reads the full zone gets

"""Tests of the capacity estimate: it follows completed requests and the fleet."""

from __future__ import annotations

from tests.fleet import PolicyHarness, list_changes, make_endpoints, run_steadily


def test_the_estimate_does_not_fall_far_below_its_maximum() -> None:
    """Some traffic must be admitted even if response times stay high however much load is shed."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    admitted_per_proxy_per_s = 50.0
    for _ in range(40):
        admitted_per_proxy_per_s = (
            40 * harness.admission_ratios[0] + 10 * harness.admission_ratios[1]
        )
        harness.run_second(
            make_endpoints(10),
            mean_time_us=900_000,
            attempts=max(1, round(admitted_per_proxy_per_s * 4 / 10)),
            demand=(40, 10),
        )
    assert admitted_per_proxy_per_s > 0.1 * 50


def test_the_estimate_follows_a_fleet_that_grows() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=700_000, demand=(80, 20))
    low_ratio = harness.admission_ratios[0]
    more = make_endpoints(20)
    harness.send(list_changes(more))
    harness.run_second(more, mean_time_us=300_000, demand=(80, 20))
    harness.run_second(more, mean_time_us=300_000, demand=(80, 20))
    assert harness.admission_ratios[0] > low_ratio + 0.2


def test_the_estimate_grows_only_when_completed_requests_are_close_to_it() -> None:
    """Otherwise the estimate rises after a burst to twice the real capacity and hides the next overload."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(2):
        harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    for _ in range(10):  # Low load, then the same overload again
        harness.run_second(make_endpoints(10), attempts=6, mean_time_us=300_000, demand=(12, 3))
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    assert harness.admission_ratios[0] < 0.8


def test_the_estimate_of_saturated_endpoints_is_their_mean_rate_not_the_maximum() -> None:
    """Completed rates vary with which endpoints report; with their maximum a tenth too much was admitted."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for k in range(20):
        harness.run_second(
            make_endpoints(10), attempts=24 if k % 2 else 16, mean_time_us=700_000, demand=(60, 15)
        )
    assert harness.policy.capacity.requests_per_s < 215

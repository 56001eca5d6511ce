"""The capacity estimate follows completed requests and the fleet."""

from __future__ import annotations

from tests.fleet import PolicyHarness, list_changes, make_endpoints, run_steadily


def test_the_estimate_does_not_fall_far_under_its_best() -> None:
    """Even where times stay bad whatever is shed, a part of the traffic is admitted."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    admitted = 50.0
    for _ in range(40):
        admitted = 40 * harness.admission_ratios[0] + 10 * harness.admission_ratios[1]
        harness.run_second(
            make_endpoints(10),
            mean_time_us=900_000,
            attempts=max(1, round(admitted * 4 / 10)),
            demand=(40, 10),
        )
    assert admitted > 0.1 * 50


def test_the_estimate_follows_a_fleet_that_grows() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=700_000, demand=(80, 20))
    low = harness.admission_ratios[0]
    more = make_endpoints(20)
    harness.send(list_changes(more))
    harness.run_second(more, mean_time_us=300_000, demand=(80, 20))
    harness.run_second(more, mean_time_us=300_000, demand=(80, 20))
    assert harness.admission_ratios[0] > low + 0.2


def test_the_estimate_grows_only_where_completed_requests_come_near_it() -> None:
    """After a burst the estimate climbed to twice what endpoints could do and hid the next overload."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for _ in range(2):
        harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    for _ in range(10):  # few requests for a while, then the same overload again
        harness.run_second(make_endpoints(10), attempts=6, mean_time_us=300_000, demand=(12, 3))
    for _ in range(3):
        harness.run_second(make_endpoints(10), mean_time_us=600_000, demand=(80, 20))
    assert harness.admission_ratios[0] < 0.8


def test_the_estimate_of_full_endpoints_is_their_mean_rate_not_its_peaks() -> None:
    """Completed rates vary with which endpoints report; at their peaks a tenth too much was admitted."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_steadily(harness)
    for k in range(20):
        harness.run_second(
            make_endpoints(10), attempts=24 if k % 2 else 16, mean_time_us=700_000, demand=(60, 15)
        )
    assert harness.policy.capacity.requests_per_s < 215

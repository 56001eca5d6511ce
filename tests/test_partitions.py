"""Tests of endpoints behind a network partition, which are ejected and recover together."""

from __future__ import annotations

from tests.fleet import PolicyHarness, make_endpoints, run_with_failures


def all_attempts_failed(count: int) -> dict[int, float]:
    return {100 + k: 1.0 for k in range(count)}


def test_partitioned_endpoints_are_ejected_within_two_reports() -> None:
    """Half of the fleet fails in the same way, so that no endpoint is an outlier among the failing ones."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    run_with_failures(harness, 2, failed=all_attempts_failed(5))
    assert sum(harness.weight_share(100 + k) for k in range(5)) < 0.06


def test_a_partition_is_not_taken_for_an_overload() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    for _ in range(6):
        harness.run_second(
            make_endpoints(10), failed=all_attempts_failed(5), demand=(40, 10), unanswered=25
        )
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}
    assert not harness.policy.overload.shedding_load


def test_the_capacity_estimate_does_not_fall_with_a_partition() -> None:
    """The estimate follows the endpoints that respond and is not reduced for those that do not."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    before = harness.policy.capacity.requests_per_s
    run_with_failures(harness, 3, failed=all_attempts_failed(5))
    assert harness.policy.capacity.requests_per_s > 0.95 * before


def test_endpoints_recover_once_the_partition_ends() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    before = harness.policy.capacity.requests_per_s
    run_with_failures(harness, 6, failed=all_attempts_failed(5))
    run_with_failures(harness, 20)
    assert min(harness.weight_share(endpoint.id) for endpoint in make_endpoints(10)) > 0.08
    assert not any(state.partitioned for state in harness.policy.registry.endpoints.values())
    assert harness.policy.capacity.requests_per_s < 1.5 * before


def test_a_fleet_without_any_response_is_not_considered_partitioned() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    run_with_failures(harness, 4, failed=all_attempts_failed(10))
    assert all(
        abs(harness.weight_share(endpoint.id) - 0.1) < 0.01 for endpoint in make_endpoints(10)
    )


def test_few_silent_endpoints_of_a_loaded_fleet_are_not_considered_partitioned() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    run_with_failures(
        harness,
        3,
        failed={endpoint.id: 0.5 for endpoint in make_endpoints(10)} | all_attempts_failed(2),
        attempts=6,
    )
    assert not any(state.partitioned for state in harness.policy.registry.endpoints.values())

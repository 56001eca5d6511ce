"""Endpoints behind a network partition are ejected together and recover together."""

from __future__ import annotations

from tests.fleet import PolicyHarness, make_endpoints, run_with_failures


def cut_of(count: int) -> dict[int, float]:
    return {100 + k: 1.0 for k in range(count)}


def test_partitioned_endpoints_are_ejected_within_two_reports() -> None:
    """Half of the fleet fails alike: measured against each other none of them stands out."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    run_with_failures(harness, 2, failed=cut_of(5))
    assert sum(harness.weight_share(100 + k) for k in range(5)) < 0.06


def test_a_partition_is_no_overload() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    for _ in range(6):
        harness.run_second(make_endpoints(10), failed=cut_of(5), demand=(40, 10), unanswered=25)
    assert harness.admission_ratios == {0: 1.0, 1: 1.0}
    assert not harness.policy.overload.shedding_load


def test_the_capacity_estimate_does_not_fall_with_a_partition() -> None:
    """The estimate comes from the endpoints that answer: it is no less for those that did not."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    before = harness.policy.capacity.requests_per_s
    run_with_failures(harness, 3, failed=cut_of(5))
    assert harness.policy.capacity.requests_per_s > 0.95 * before


def test_endpoints_recover_once_the_partition_ends() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    before = harness.policy.capacity.requests_per_s
    run_with_failures(harness, 6, failed=cut_of(5))
    run_with_failures(harness, 20)
    assert min(harness.weight_share(endpoint.id) for endpoint in make_endpoints(10)) > 0.08
    assert not any(state.partitioned for state in harness.policy.registry.endpoints.values())
    assert harness.policy.capacity.requests_per_s < 1.5 * before


def test_a_fleet_that_answers_nothing_at_all_is_not_partitioned() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    run_with_failures(harness, 4, failed=cut_of(10))
    assert all(
        abs(harness.weight_share(endpoint.id) - 0.1) < 0.01 for endpoint in make_endpoints(10)
    )


def test_few_silent_endpoints_of_a_loaded_fleet_are_no_partition() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 6)
    run_with_failures(
        harness,
        3,
        failed={endpoint.id: 0.5 for endpoint in make_endpoints(10)} | cut_of(2),
        attempts=6,
    )
    assert not any(state.partitioned for state in harness.policy.registry.endpoints.values())

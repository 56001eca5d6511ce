"""Tests of ejecting outliers and of their recovery in steps."""

from __future__ import annotations

from tests.fleet import (
    SECOND,
    PolicyHarness,
    list_changes,
    make_endpoint,
    make_endpoints,
    run_with_failures,
)


def test_endpoints_keep_an_entry_even_if_all_attempts_fail() -> None:
    listed = make_endpoints(6)
    harness = PolicyHarness(listed=listed)
    for _ in range(20):
        harness.run_second(listed, failed={endpoint.id: 1.0 for endpoint in listed})
    assert set(harness.tables[0]) == {endpoint.id for endpoint in listed}
    assert all(weight > 0 for weight in harness.tables[0].values())


def test_a_failing_endpoint_loses_at_least_half_of_its_weight() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    run_with_failures(harness, 4, failed={100: 0.5})
    assert harness.weight_share(100) <= 0.055


def test_errors_spread_over_all_endpoints_eject_none() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    run_with_failures(harness, 8, failed={endpoint.id: 0.3 for endpoint in make_endpoints(10)})
    assert all(
        abs(harness.weight_share(endpoint.id) - 0.1) < 0.01 for endpoint in make_endpoints(10)
    )


def test_chance_failures_on_a_busy_fleet_eject_none() -> None:
    """Halving the weights of endpoints with random timeouts would overload the others."""
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    for k in range(10):
        run_with_failures(
            harness,
            1,
            failed={
                endpoint.id: 0.15 if endpoint.id % 3 == k % 3 else 0.05
                for endpoint in make_endpoints(10)
            },
        )
    assert all(
        abs(harness.weight_share(endpoint.id) - 0.1) < 0.02 for endpoint in make_endpoints(10)
    )


def test_an_unresponsive_endpoint_is_distinguished_from_loaded_ones() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    run_with_failures(
        harness, 4, failed={endpoint.id: 0.3 for endpoint in make_endpoints(10)} | {100: 1.0}
    )
    assert harness.weight_share(100) < 0.02


def test_attempts_in_flight_do_not_eject_an_endpoint_twice() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    run_with_failures(harness, 1, failed={100: 0.4})
    harness.run_until(harness.now_us + 2 * SECOND)
    assert harness.weight_share(100) > 0.02


def test_an_endpoint_that_succeeds_again_recovers_in_steps() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    run_with_failures(harness, 6, failed={100: 1.0})
    ejected_share = harness.weight_share(100)
    shares = []
    for _ in range(14):
        run_with_failures(harness, 1)
        shares.append(harness.weight_share(100))
    assert ejected_share < min(share for share in shares if share > ejected_share) < 0.08
    assert shares[-1] > 0.09


def test_an_ejected_endpoint_recovers_even_without_reports() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    run_with_failures(harness, 6, failed={100: 1.0})
    others = make_endpoints(10)[1:]
    shares = []
    # The ejected endpoint gets no attempt, so that no report mentions it.
    for _ in range(30):
        harness.run_second(others, demand=(1, 0), attempts=1)
        shares.append(harness.weight_share(100))
    assert max(shares) > 0.05


def test_a_new_endpoint_without_reports_is_not_considered_silent() -> None:
    harness = PolicyHarness(listed=make_endpoints(9))
    run_with_failures(harness, 8)
    harness.send(list_changes([make_endpoint(300)]))
    for _ in range(3):
        harness.run_second(make_endpoints(9), demand=(40, 10))
    assert harness.weight_share(300) > 0.08


def test_most_of_the_fleet_is_never_ejected() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 4)
    failed = {100 + k: 1.0 for k in range(7)}
    run_with_failures(harness, 10, failed=failed)
    full_weight = [
        endpoint.id for endpoint in make_endpoints(10) if harness.tables[0][endpoint.id] > 0.5
    ]
    assert len(full_weight) >= 6


def test_an_ejection_does_not_wait_for_the_next_update() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    run_with_failures(harness, 8)
    harness.run_second(
        make_endpoints(10),
        mean_times_us={
            endpoint.id: 150_000 + 60_000 * (endpoint.id % 4) for endpoint in make_endpoints(10)
        },
        demand=(40, 10),
    )
    before = harness.weight_share(100)
    run_with_failures(harness, 1, failed={100: 1.0})
    assert harness.weight_share(100) < 0.5 * before

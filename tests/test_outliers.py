"""Outliers are ejected and recover in steps."""

from __future__ import annotations

from tests.fleet import (
    SECOND,
    Day,
    changes,
    fail_for,
    host,
    hosts,
)


def test_endpoints_keep_an_entry_even_if_all_attempts_fail() -> None:
    listed = hosts(6)
    day = Day(listed=listed)
    for _ in range(20):
        day.second(listed, failed={h.id: 1.0 for h in listed})
    assert set(day.tables[0]) == {h.id for h in listed}
    assert all(weight > 0 for weight in day.tables[0].values())


def test_a_failing_endpoint_loses_half_of_its_weight_or_more() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    fail_for(day, 4, failed={100: 0.5})
    assert day.share(100) <= 0.055


def test_errors_spread_over_all_endpoints_eject_none() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    fail_for(day, 8, failed={h.id: 0.3 for h in hosts(10)})
    assert all(abs(day.share(h.id) - 0.1) < 0.01 for h in hosts(10))


def test_chance_failures_on_a_busy_fleet_eject_none() -> None:
    """Halving hosts for chance time-outs drowns the rest in turn."""
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    for k in range(10):
        fail_for(day, 1, failed={h.id: 0.15 if h.id % 3 == k % 3 else 0.05 for h in hosts(10)})
    assert all(abs(day.share(h.id) - 0.1) < 0.02 for h in hosts(10))


def test_a_dead_endpoint_is_told_from_loaded_ones() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    fail_for(day, 4, failed={h.id: 0.3 for h in hosts(10)} | {100: 1.0})
    assert day.share(100) < 0.02


def test_an_endpoint_is_ejected_once_for_what_was_in_flight() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    fail_for(day, 1, failed={100: 0.4})
    day.until(day.now + 2 * SECOND)
    assert day.share(100) > 0.02


def test_an_endpoint_that_succeeds_again_recovers_in_steps() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    fail_for(day, 6, failed={100: 1.0})
    low = day.share(100)
    seen = []
    for _ in range(14):
        fail_for(day, 1)
        seen.append(day.share(100))
    assert low < min(x for x in seen if x > low) < 0.08
    assert seen[-1] > 0.09


def test_an_endpoint_that_gets_too_few_attempts_recovers_all_the_same() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    fail_for(day, 6, failed={100: 1.0})
    others = hosts(10)[1:]
    seen = []
    for _ in range(
        30
    ):  # once its share is whole again it is missed, so the most it gets is what counts
        day.second(others, demand=(1, 0), tries=1)
        seen.append(day.share(100))
    assert max(seen) > 0.05


def test_an_endpoint_that_has_just_joined_is_not_taken_for_silent() -> None:
    day = Day(listed=hosts(9))
    fail_for(day, 8)
    day.send(changes([host(300)]))
    for _ in range(3):
        day.second(hosts(9), demand=(40, 10))
    assert day.share(300) > 0.08


def test_most_of_the_fleet_is_never_ejected() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 4)
    bad = {100 + k: 1.0 for k in range(7)}
    fail_for(day, 10, failed=bad)
    full_weight = [h.id for h in hosts(10) if day.tables[0][h.id] > 0.5]
    assert len(full_weight) >= 6


def test_an_ejection_does_not_wait_for_the_next_update() -> None:
    day = Day(listed=hosts(10))
    fail_for(day, 8)
    day.second(
        hosts(10), times={h.id: 150_000 + 60_000 * (h.id % 4) for h in hosts(10)}, demand=(40, 10)
    )
    before = day.share(100)
    fail_for(day, 1, failed={100: 1.0})
    assert day.share(100) < 0.5 * before

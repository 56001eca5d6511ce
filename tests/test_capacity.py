"""The capacity estimate follows completed requests and the fleet."""

from __future__ import annotations

from tests.fleet import Day, changes, hosts, steady


def test_the_estimate_does_not_fall_far_under_its_best() -> None:
    """Even where times stay bad whatever is shed, a part of the traffic is let in."""
    day = Day(listed=hosts(10))
    steady(day)
    admitted = 50.0
    for _ in range(40):
        admitted = 40 * day.levels[0] + 10 * day.levels[1]
        day.second(
            hosts(10), time_us=900_000, tries=max(1, round(admitted * 4 / 10)), demand=(40, 10)
        )
    assert admitted > 0.1 * 50


def test_the_estimate_follows_a_fleet_that_grows() -> None:
    day = Day(listed=hosts(10))
    steady(day)
    for _ in range(3):
        day.second(hosts(10), time_us=700_000, demand=(80, 20))
    low = day.levels[0]
    more = hosts(20)
    day.send(changes(more))
    day.second(more, time_us=300_000, demand=(80, 20))
    day.second(more, time_us=300_000, demand=(80, 20))
    assert day.levels[0] > low + 0.2


def test_the_estimate_grows_only_where_completed_requests_come_near_it() -> None:
    """After a burst V climbed to twice what hosts could do, unused, and hid the next overload."""
    day = Day(listed=hosts(10))
    steady(day)
    for _ in range(2):
        day.second(hosts(10), time_us=600_000, demand=(80, 20))
    for _ in range(10):  # few requests for a while, then the same overload again
        day.second(hosts(10), tries=6, time_us=300_000, demand=(12, 3))
    for _ in range(3):
        day.second(hosts(10), time_us=600_000, demand=(80, 20))
    assert day.levels[0] < 0.8


def test_the_estimate_of_full_endpoints_is_their_mean_rate_not_its_peaks() -> None:
    """Good rates swing with which hosts report; V at the peaks let in a tenth more than full hosts do."""
    day = Day(listed=hosts(10))
    steady(day)
    for k in range(20):
        day.second(hosts(10), tries=24 if k % 2 else 16, time_us=700_000, demand=(60, 15))
    assert day.policy.capacity.requests_per_s < 215

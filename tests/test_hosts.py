"""Weights: sick hosts, their return, and speeds learned from what hosts show."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import SetWeight
from kelpcourse.policy.events import EndpointReport, ProxyLeft
from tests.fleet import SECOND, SETTINGS, Day, changes, host, hosts, only


def run(day: Day, seconds: int, failed: dict[int, float] | None = None, tries: int = 20) -> None:
    for _ in range(seconds):
        day.second(hosts(10), failed=failed, tries=tries, demand=(40, 10))


def test_a_failing_host_is_halved_or_more() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    run(day, 4, failed={100: 0.5})
    assert day.share(100) <= 0.055


def test_errors_spread_over_all_hosts_blame_none() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    run(day, 8, failed={h.id: 0.3 for h in hosts(10)})
    assert all(abs(day.share(h.id) - 0.1) < 0.01 for h in hosts(10))


def test_chance_failures_on_a_busy_fleet_blame_none() -> None:
    """Halving hosts for chance time-outs drowns the rest in turn."""
    day = Day(listed=hosts(10))
    run(day, 4)
    for k in range(10):
        run(day, 1, failed={h.id: 0.15 if h.id % 3 == k % 3 else 0.05 for h in hosts(10)})
    assert all(abs(day.share(h.id) - 0.1) < 0.02 for h in hosts(10))


def test_a_dead_host_is_told_from_loaded_ones() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    run(day, 4, failed={h.id: 0.3 for h in hosts(10)} | {100: 1.0})
    assert day.share(100) < 0.02


def test_a_host_is_cut_once_for_what_was_in_flight() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    run(day, 1, failed={100: 0.4})
    day.until(day.now + 2 * SECOND)
    assert day.share(100) > 0.02


def test_a_host_with_good_answers_comes_back_in_steps() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    run(day, 6, failed={100: 1.0})
    low = day.share(100)
    seen = []
    for _ in range(14):
        run(day, 1)
        seen.append(day.share(100))
    assert low < min(x for x in seen if x > low) < 0.08
    assert seen[-1] > 0.09


def test_a_host_that_gets_too_few_tries_comes_back_all_the_same() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    run(day, 6, failed={100: 1.0})
    others = hosts(10)[1:]
    seen = []
    for _ in range(
        30
    ):  # once its share is whole again it is missed, so the most it gets is what counts
        day.second(others, demand=(1, 0), tries=1)
        seen.append(day.share(100))
    assert max(seen) > 0.05


def test_a_host_that_just_joined_is_not_held_silent() -> None:
    day = Day(listed=hosts(9))
    run(day, 8)
    day.send(changes([host(300)]))
    for _ in range(3):
        day.second(hosts(9), demand=(40, 10))
    assert day.share(300) > 0.08


def test_most_of_the_fleet_is_never_judged_sick() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    bad = {100 + k: 1.0 for k in range(7)}
    run(day, 10, failed=bad)
    full_weight = [h.id for h in hosts(10) if day.tables[0][h.id] > 0.5]
    assert len(full_weight) >= 6


def test_shares_follow_times() -> None:
    day = Day(listed=hosts(10))
    times = {h.id: 400_000 if h.id < 105 else 200_000 for h in hosts(10)}
    for _ in range(20):
        day.second(hosts(10), times=times, demand=(40, 10))
    assert day.share(109) > 1.3 * day.share(100)
    assert day.share(100) > 0.02


def test_a_host_of_which_little_is_heard_is_measured_all_the_same() -> None:
    """A director of few proxies hears two or three answers of a slow host in a report: it stayed overfull."""
    day = Day(listed=hosts(10))
    for _ in range(6):
        day.second(hosts(10), times={100: 800_000}, tries=2)
    assert day.share(100) < 0.06


def test_shares_follow_served_rate_over_busy_share_where_reported() -> None:
    day = Day(
        replace(SETTINGS, load_reports_inline=True, load_report_names=("util", "qps")),
        listed=hosts(10),
    )
    load = {h.id: (("util", 0.8 if h.id < 105 else 0.4), ("qps", 20.0)) for h in hosts(10)}
    for _ in range(40):
        day.second(hosts(10), load=load, demand=(40, 10))
    assert 1.7 < day.share(109) / day.share(100) < 2.2


def test_listed_weights_count_and_an_unlisted_one_is_the_average() -> None:
    listed = [host(1, weight=1.0), host(2, weight=3.0), host(3, weight=0.0)]
    day = Day(listed=listed)
    assert abs(day.share(2) / day.share(1) - 3) < 0.01
    assert abs(day.share(3) / day.share(1) - 2) < 0.01


def test_small_changes_of_a_weight_are_not_sent() -> None:
    day = Day(listed=hosts(10))
    run(day, 4)
    before = len([a for _, a in day.log if isinstance(a, SetWeight)])
    run(day, 20)
    assert len([a for _, a in day.log if isinstance(a, SetWeight)]) == before


def test_reports_about_hosts_that_are_gone_are_served() -> None:
    day = Day(listed=hosts(3))
    actions = day.send(
        EndpointReport(999, "east", 5, 5, SECOND, 0, ()),
        EndpointReport(100, "east", 0, 0, 0, 0, ()),
    )
    actions += day.until(day.now + 3 * SECOND)
    assert 999 not in {a.endpoint for a in only(actions, SetWeight)}


def test_a_host_that_falls_sick_is_cut_ahead_of_the_pace() -> None:
    day = Day(listed=hosts(10))
    run(day, 8)
    day.second(
        hosts(10), times={h.id: 150_000 + 60_000 * (h.id % 4) for h in hosts(10)}, demand=(40, 10)
    )
    before = day.share(100)
    run(day, 1, failed={100: 1.0})
    assert day.share(100) < 0.5 * before


def test_any_set_of_load_values_is_served() -> None:
    """A site may report the busy share without the served rate, or neither, or either for some hosts only."""
    for names in (("util",), ("qps",), ("inflight", "queue"), ()):
        day = Day(
            replace(SETTINGS, load_reports_inline=True, load_report_names=names), listed=hosts(10)
        )
        load = {h.id: tuple((name, 0.5) for name in names) for h in hosts(10) if h.id != 104}
        times = {h.id: 400_000 if h.id < 105 else 200_000 for h in hosts(10)}
        for _ in range(12):
            day.second(hosts(10), load=load, times=times, demand=(40, 10))
        assert day.share(109) > day.share(100)


# A cut path: one part of the fleet answers nothing, the rest answers


def cut_of(count: int) -> dict[int, float]:
    return {100 + k: 1.0 for k in range(count)}


def test_hosts_behind_a_cut_path_are_cut_within_two_reports() -> None:
    """Half of the fleet fails alike: measured against each other none of them stands out."""
    day = Day(listed=hosts(10))
    run(day, 6)
    run(day, 2, failed=cut_of(5))
    assert sum(day.share(100 + k) for k in range(5)) < 0.06


def test_a_cut_path_is_no_overload() -> None:
    day = Day(listed=hosts(10))
    run(day, 6)
    for _ in range(6):
        day.second(hosts(10), failed=cut_of(5), demand=(40, 10), unanswered=25)
    assert day.levels == {0: 1.0, 1: 1.0}
    assert not day.director.shedding


def test_the_good_rate_asked_for_does_not_fall_with_a_path() -> None:
    """V is heard from the hosts that answer: it is no less for hosts that did not."""
    day = Day(listed=hosts(10))
    run(day, 6)
    before = day.director.volume
    run(day, 3, failed=cut_of(5))
    assert day.director.volume > 0.95 * before


def test_hosts_come_back_once_the_path_does() -> None:
    day = Day(listed=hosts(10))
    run(day, 6)
    before = day.director.volume
    run(day, 6, failed=cut_of(5))
    run(day, 20)
    assert min(day.share(h.id) for h in hosts(10)) > 0.08
    assert not any(v.unreached for v in day.director.servers.values())
    assert day.director.volume < 1.5 * before


def test_a_fleet_that_answers_nothing_at_all_blames_no_path() -> None:
    day = Day(listed=hosts(10))
    run(day, 6)
    run(day, 4, failed=cut_of(10))
    assert all(abs(day.share(h.id) - 0.1) < 0.01 for h in hosts(10))


def test_few_silent_hosts_of_a_loaded_fleet_are_no_cut_path() -> None:
    day = Day(listed=hosts(10))
    run(day, 6)
    run(day, 3, failed={h.id: 0.5 for h in hosts(10)} | cut_of(2), tries=6)
    assert not any(v.unreached for v in day.director.servers.values())


def test_what_proxies_hold_that_left_is_not_waited_for() -> None:
    """Their requests came in by reports that will never tell how they ended."""
    day = Day(listed=hosts(10))
    run(day, 6)
    day.director.backlog = 40.0
    day.send(ProxyLeft(0), ProxyLeft(1), ProxyLeft(99))
    assert abs(day.director.backlog - 20.0) < 1e-9


def test_few_answers_of_a_host_are_weighed_with_its_kinds_mean_time() -> None:
    """With five directors each hears a few answers of a host: by these alone a sound host lost 0.3 of its share."""
    listed = [host(100 + k, kind="large" if k < 5 else "small") for k in range(10)]
    day = Day(listed=listed)
    times = {h.id: 100_000 if h.kind == "large" else 200_000 for h in listed}
    day.second(listed, times=times | {100: 200_000}, tries=4, demand=(8, 2))
    day.until(day.now + 4 * SECOND)
    assert day.share(101) > 1.3 * day.share(109)
    assert day.share(100) > 0.78 * day.share(101)

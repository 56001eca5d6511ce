"""Relative capacities are learned from response times and load reports."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    SetWeight,
)
from kelpcourse.policy.events import (
    EndpointReport,
)
from tests.fleet import LARGE, SECOND, SETTINGS, Day, host, hosts, only


def test_weights_follow_response_times() -> None:
    day = Day(listed=hosts(10))
    times = {h.id: 400_000 if h.id < 105 else 200_000 for h in hosts(10)}
    for _ in range(20):
        day.second(hosts(10), times=times, demand=(40, 10))
    assert day.share(109) > 1.3 * day.share(100)
    assert day.share(100) > 0.02


def test_an_endpoint_with_few_reports_is_measured_all_the_same() -> None:
    """A director of few proxies hears two or three answers of a slow host in a report: it stayed overfull."""
    day = Day(listed=hosts(10))
    for _ in range(6):
        day.second(hosts(10), times={100: 800_000}, tries=2)
    assert day.share(100) < 0.06


def test_weights_follow_throughput_over_utilization_where_reported() -> None:
    day = Day(
        replace(SETTINGS, load_reports_inline=True, load_report_names=("util", "qps")),
        listed=hosts(10),
    )
    load = {h.id: (("util", 0.8 if h.id < 105 else 0.4), ("qps", 20.0)) for h in hosts(10)}
    for _ in range(40):
        day.second(hosts(10), load=load, demand=(40, 10))
    assert 1.7 < day.share(109) / day.share(100) < 2.2


def test_reports_about_endpoints_that_are_gone_are_accepted() -> None:
    day = Day(listed=hosts(3))
    actions = day.send(
        EndpointReport(999, "east", 5, 5, SECOND, 0, ()),
        EndpointReport(100, "east", 0, 0, 0, 0, ()),
    )
    actions += day.until(day.now + 3 * SECOND)
    assert 999 not in {a.endpoint for a in only(actions, SetWeight)}


def test_any_set_of_load_values_is_accepted() -> None:
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


def test_few_answers_of_an_endpoint_are_averaged_with_the_mean_time_of_its_kind() -> None:
    """With five directors each hears a few answers of a host: by these alone a sound host lost 0.3 of its share."""
    listed = [host(100 + k, kind="large" if k < 5 else "small") for k in range(10)]
    day = Day(listed=listed)
    times = {h.id: 100_000 if h.kind == "large" else 200_000 for h in listed}
    day.second(listed, times=times | {100: 200_000}, tries=4, demand=(8, 2))
    day.until(day.now + 4 * SECOND)
    assert day.share(101) > 1.3 * day.share(109)
    assert day.share(100) > 0.78 * day.share(101)


def swing(tries: int) -> float:
    """How far one odd report moves a host's share after a calm minute, of its share before."""
    day = Day(listed=hosts(20), settings=LARGE, proxies=4)
    for _ in range(60):
        day.second(hosts(20), tries=tries, demand=(5 * tries, 0))
    before = day.policy.registry.endpoints[100].relative_capacity
    day.second(hosts(20), tries=tries, demand=(5 * tries, 0), times={100: 400_000})
    return 1 - day.policy.registry.endpoints[100].relative_capacity / before


def test_the_fewer_answers_are_reported_the_longer_capacities_average_them() -> None:
    assert 0 < swing(6) < swing(40) / 2


def test_the_first_reports_move_a_relative_capacity_most() -> None:
    day = Day(listed=hosts(20), settings=LARGE, proxies=4)
    steps = []
    for _ in range(4):
        before = day.policy.registry.endpoints[100].relative_capacity
        day.second(hosts(20), tries=6, demand=(30, 0), times={100: 300_000})
        steps.append(before / day.policy.registry.endpoints[100].relative_capacity)
    assert steps[1] > steps[3] > 1


def test_a_load_report_that_contradicts_response_times_is_not_believed() -> None:
    """A host says that it is idle and quick, and its answers take five times the mean."""
    told = replace(LARGE, load_reports_inline=True, load_report_names=("util", "qps"))
    day = Day(settings=told, listed=hosts(20), proxies=4)
    load = {h.id: (("util", 0.5), ("qps", 10.0)) for h in hosts(20)} | {
        100: (("util", 0.2), ("qps", 10.0))
    }
    for _ in range(8):
        day.second(hosts(20), load=load, demand=(80, 20), times={100: 1_000_000})
    assert day.share(100) < 0.6 * day.share(101)
    for _ in range(20):  # its answers are sound again: the report counts
        day.second(hosts(20), load=load, demand=(80, 20))
    assert day.share(100) > 1.2 * day.share(101)

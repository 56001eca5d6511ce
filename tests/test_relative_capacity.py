"""Tests of learning relative capacities from response times and load reports."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    SetWeight,
)
from kelpcourse.policy.events import (
    EndpointReport,
)
from tests.fleet import (
    LARGE_FLEET,
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    make_endpoint,
    make_endpoints,
)


def test_weights_follow_response_times() -> None:
    harness = PolicyHarness(listed=make_endpoints(10))
    mean_times_us = {
        endpoint.id: 400_000 if endpoint.id < 105 else 200_000 for endpoint in make_endpoints(10)
    }
    for _ in range(20):
        harness.run_second(make_endpoints(10), mean_times_us=mean_times_us, demand=(40, 10))
    assert harness.weight_share(109) > 1.3 * harness.weight_share(100)
    assert harness.weight_share(100) > 0.02


def test_an_endpoint_with_few_reported_responses_is_measured() -> None:
    """A controller of few proxies gets two or three responses per report of a slow endpoint, which stays overloaded."""
    harness = PolicyHarness(listed=make_endpoints(10))
    for _ in range(6):
        harness.run_second(make_endpoints(10), mean_times_us={100: 800_000}, attempts=2)
    assert harness.weight_share(100) < 0.06


def test_weights_follow_throughput_over_utilization_where_reported() -> None:
    harness = PolicyHarness(
        replace(SETTINGS, load_reports_inline=True, load_report_names=("util", "qps")),
        listed=make_endpoints(10),
    )
    load = {
        endpoint.id: (("util", 0.8 if endpoint.id < 105 else 0.4), ("qps", 20.0))
        for endpoint in make_endpoints(10)
    }
    for _ in range(40):
        harness.run_second(make_endpoints(10), load_reports=load, demand=(40, 10))
    assert 1.7 < harness.weight_share(109) / harness.weight_share(100) < 2.2


def test_reports_about_endpoints_that_are_gone_are_accepted() -> None:
    harness = PolicyHarness(listed=make_endpoints(3))
    actions = harness.send(
        EndpointReport(999, "east", 5, 5, SECOND, 0, ()),
        EndpointReport(100, "east", 0, 0, 0, 0, ()),
    )
    actions += harness.run_until(harness.now_us + 3 * SECOND)
    assert 999 not in {a.endpoint for a in actions_of_type(actions, SetWeight)}


def test_any_set_of_load_values_is_accepted() -> None:
    """A site may report utilization without throughput, or neither, or either for some endpoints only."""
    for names in (("util",), ("qps",), ("inflight", "queue"), ()):
        harness = PolicyHarness(
            replace(SETTINGS, load_reports_inline=True, load_report_names=names),
            listed=make_endpoints(10),
        )
        load = {
            endpoint.id: tuple((name, 0.5) for name in names)
            for endpoint in make_endpoints(10)
            if endpoint.id != 104
        }
        mean_times_us = {
            endpoint.id: 400_000 if endpoint.id < 105 else 200_000
            for endpoint in make_endpoints(10)
        }
        for _ in range(12):
            harness.run_second(
                make_endpoints(10), load_reports=load, mean_times_us=mean_times_us, demand=(40, 10)
            )
        assert harness.weight_share(109) > harness.weight_share(100)


def test_few_responses_of_an_endpoint_are_averaged_with_the_mean_time_of_its_kind() -> None:
    """Each of five controllers gets reports of few responses of an endpoint: a healthy one lost 0.3 of its weight."""
    listed = [make_endpoint(100 + k, kind="large" if k < 5 else "small") for k in range(10)]
    harness = PolicyHarness(listed=listed)
    mean_times_us = {
        endpoint.id: 100_000 if endpoint.kind == "large" else 200_000 for endpoint in listed
    }
    harness.run_second(
        listed, mean_times_us=mean_times_us | {100: 200_000}, attempts=4, demand=(8, 2)
    )
    harness.run_until(harness.now_us + 4 * SECOND)
    assert harness.weight_share(101) > 1.3 * harness.weight_share(109)
    assert harness.weight_share(100) > 0.78 * harness.weight_share(101)


def capacity_change_after_deviating_report(attempts: int) -> float:
    """Returns by which fraction one deviating report lowers a relative capacity after a minute of steady load.

    Args:
        attempts: Number of attempts in each report of an endpoint.
    """
    harness = PolicyHarness(listed=make_endpoints(20), settings=LARGE_FLEET, proxies=4)
    for _ in range(60):
        harness.run_second(make_endpoints(20), attempts=attempts, demand=(5 * attempts, 0))
    before = harness.policy.registry.endpoints[100].relative_capacity
    harness.run_second(
        make_endpoints(20),
        attempts=attempts,
        demand=(5 * attempts, 0),
        mean_times_us={100: 400_000},
    )
    return 1 - harness.policy.registry.endpoints[100].relative_capacity / before


def test_capacities_are_averaged_over_more_reports_if_reports_have_fewer_responses() -> None:
    assert (
        0
        < capacity_change_after_deviating_report(6)
        < capacity_change_after_deviating_report(40) / 2
    )


def test_the_first_reports_change_a_relative_capacity_most() -> None:
    harness = PolicyHarness(listed=make_endpoints(20), settings=LARGE_FLEET, proxies=4)
    changes = []
    for _ in range(4):
        before = harness.policy.registry.endpoints[100].relative_capacity
        harness.run_second(
            make_endpoints(20), attempts=6, demand=(30, 0), mean_times_us={100: 300_000}
        )
        changes.append(before / harness.policy.registry.endpoints[100].relative_capacity)
    assert changes[1] > changes[3] > 1


def test_a_load_report_that_contradicts_response_times_is_ignored() -> None:
    """The endpoint reports low utilization, while its responses take five times the mean."""
    settings = replace(LARGE_FLEET, load_reports_inline=True, load_report_names=("util", "qps"))
    harness = PolicyHarness(settings=settings, listed=make_endpoints(20), proxies=4)
    load = {endpoint.id: (("util", 0.5), ("qps", 10.0)) for endpoint in make_endpoints(20)} | {
        100: (("util", 0.2), ("qps", 10.0))
    }
    for _ in range(8):
        harness.run_second(
            make_endpoints(20), load_reports=load, demand=(80, 20), mean_times_us={100: 1_000_000}
        )
    assert harness.weight_share(100) < 0.6 * harness.weight_share(101)
    for _ in range(20):  # Its response times are normal again, so that the report is used
        harness.run_second(make_endpoints(20), load_reports=load, demand=(80, 20))
    assert harness.weight_share(100) > 1.2 * harness.weight_share(101)

"""Facade: reports become events for the policy, and its actions become work."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest

from kelpcourse.facade import Facade, HealthCheckRequest, InvalidReportError
from kelpcourse.memory import orders
from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    CheckHealth,
    Checkpoint,
    ClearTable,
    FetchEndpoints,
    LogMessage,
    SendToPeer,
    SetAdmission,
    SetTimer,
    SetWeight,
    WatchEndpoints,
    WithdrawEndpoint,
)
from kelpcourse.policy.events import (
    DemandReport,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    HealthCheckStatus,
    OrdersAcknowledged,
    ProxyJoined,
    ProxyLeft,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import RetryPolicy
from tests.fleet import SECOND
from tests.standins import FAST_LIMITS, MS, ScriptedPolicy


@pytest.mark.usefixtures("facade")
def test_first_step_receives_the_start_event_and_the_cached_list(policy: ScriptedPolicy) -> None:
    (step,) = policy.steps
    assert step[0] == Started(7)
    assert isinstance(step[1], EndpointList)
    assert (step[1].kind, step[1].version) == (EndpointListKind.RESTORED, 41)
    assert [(h.id, h.status) for h in step[1].endpoints] == [
        (1, EndpointStatus.READY),
        (2, EndpointStatus.DRAINING),
    ]


def test_reports_become_events_of_one_step_in_order(facade: Facade, policy: ScriptedPolicy) -> None:
    policy.scripted_actions.append([Checkpoint(905, False)])
    facade.start(2000)
    facade.report_proxy_joined(1, "east", 21.5, True)
    facade.report_attempts("h1", "west", 10, 1, 1000.0, 41.7, [("inflight", 7.0)])
    facade.report_demand(1, "write", 19, 2, 2000.0)
    facade.report_acknowledged(1, 905, 310.4)
    facade.report_proxy_left(1)
    facade.report_health_check("h1", "timeout", 400_000, ())
    facade.report_list_unavailable()
    assert not facade.tick(5000)
    assert facade.next_due_us() == 5000 + FAST_LIMITS.step_batching_us
    assert facade.tick(5000 + FAST_LIMITS.step_batching_us)
    assert policy.steps[2] == [
        ProxyJoined(1, "east", 21.5, True),
        EndpointReport(1, "west", 10, 1, SECOND, 41_700, (("inflight", 7.0),)),
        DemandReport(1, 1, 19, 2, 2 * SECOND),
        OrdersAcknowledged(1, 905, 310_400),
        ProxyLeft(1),
        HealthCheckCompleted(1, HealthCheckStatus.TIMEOUT, 400_000, ()),
        EndpointList(EndpointListKind.UNAVAILABLE, 0, ()),
    ]


def test_no_step_runs_without_a_report_or_a_due_timer(
    facade: Facade, policy: ScriptedPolicy
) -> None:
    assert facade.next_due_us() is None
    assert not facade.tick(10 * SECOND)
    assert len(policy.steps) == 1


def test_timers_fire_once_when_due_and_in_order(facade: Facade, policy: ScriptedPolicy) -> None:
    policy.scripted_actions = [[SetTimer("late", 9000), SetTimer("soon", 8000)]]
    facade.report_proxy_left(0)
    facade.tick(2000)
    facade.tick(5000)
    assert facade.next_due_us() == 8000
    assert not facade.tick(7999)
    facade.tick(8000)
    facade.tick(20_000)
    assert policy.steps[2:] == [[TimerFired("soon")], [TimerFired("late")]]


def test_actions_become_work_with_endpoint_names(facade: Facade, policy: ScriptedPolicy) -> None:
    policy.scripted_actions = [
        [
            SetWeight(0, 1, 1 / 3),
            ClearTable(2),
            BindProxy(3, 0, (0, 1)),
            WithdrawEndpoint(2),
            SetAdmission(None, (1,), 0.5, RetryPolicy.IF_NOT_EXECUTED),
            Checkpoint(9, True),
            WatchEndpoints(True),
            FetchEndpoints(),
            CheckHealth(1),
            LogMessage("seen"),
            SendToPeer(None, b"x"),
            SetWeight(0, 99, 1.0),
        ]
    ]
    facade.report_proxy_left(0)
    facade.tick(2000)
    facade.tick(5000)
    work = facade.pick()
    assert work.orders == [
        orders.SetWeight(0, "h1", 0.333333),
        orders.ClearTable(2),
        orders.BindProxy(3, 0, ("read", "write")),
        orders.WithdrawEndpoint("h2"),
        orders.SetAdmission(None, ("write",), 0.5, 1),
        orders.Checkpoint(9, True),
    ]
    assert (work.watch, work.fetches) == (True, 1)
    assert work.health_checks == [HealthCheckRequest("h1", ("127.0.0.1", 9))]
    assert work.log_messages == ["seen"]
    # The message to a peer has no connection, and the endpoint of the last weight was never listed.
    assert work.undeliverable == 2
    assert facade.pick().orders == []


@pytest.mark.parametrize(
    "report",
    [
        lambda facade: facade.report_proxy_joined(4, "east", 1.0, True),
        lambda facade: facade.report_proxy_joined(-1, "east", 1.0, True),
        lambda facade: facade.report_proxy_joined(0, "north", 1.0, True),
        lambda facade: facade.report_proxy_joined(0, "east", math.inf, True),
        lambda facade: facade.report_proxy_left(4),
        lambda facade: facade.report_acknowledged(0, -1, 1.0),
        lambda facade: facade.report_acknowledged(0, 1, math.nan),
        lambda facade: facade.report_attempts("h9", "east", 1, 0, 1.0, 1.0, ()),
        lambda facade: facade.report_attempts("h1", "east", 1, 2, 1.0, 1.0, ()),
        lambda facade: facade.report_attempts("h1", "east", 1 << 60, 0, 1.0, 1.0, ()),
        lambda facade: facade.report_attempts("h1", "east", 1, 0, 1e30, 1.0, ()),
        lambda facade: facade.report_attempts("h1", "east", 1, 0, 1.0, -1.0, ()),
        lambda facade: facade.report_attempts("h1", "east", 1, 0, 1.0, 1.0, [("util", math.nan)]),
        lambda facade: facade.report_demand(0, "sing", 1, 0, 1.0),
        lambda facade: facade.report_demand(9, "read", 1, 0, 1.0),
    ],
)
def test_a_report_with_an_unknown_or_out_of_range_value_does_not_reach_the_policy(
    facade: Facade, report: Callable[[Facade], None]
) -> None:
    with pytest.raises(InvalidReportError):
        report(facade)
    assert not facade.tick(10 * SECOND)


def test_a_failed_step_raises_and_does_not_stop_the_policy(
    facade: Facade, policy: ScriptedPolicy
) -> None:
    policy.scripted_actions = [[SetTimer("tick", 9000)]]
    facade.report_proxy_left(0)
    facade.tick(2000)
    facade.tick(5000)
    unpatched_step = policy.step
    failing = [True]

    def step(now_us: int, events: list[Event]) -> list[Action]:
        if failing.pop():
            raise ZeroDivisionError
        return unpatched_step(now_us, events)

    policy.step = step  # type: ignore[method-assign, assignment]
    with pytest.raises(ZeroDivisionError):
        facade.tick(9000)
    failing.append(False)
    assert facade.next_due_us() == 9000 + FAST_LIMITS.coroutine_restart_us
    assert facade.tick(9000 + FAST_LIMITS.coroutine_restart_us)
    assert policy.steps[-1] == [TimerFired("tick")]


def test_the_number_of_pending_timers_is_bounded(facade: Facade, policy: ScriptedPolicy) -> None:
    policy.scripted_actions = [
        [SetTimer("t", 10**9 + k) for k in range(FAST_LIMITS.max_timers + 5)]
    ]
    facade.report_proxy_left(0)
    facade.tick(2000)
    facade.tick(2000 + 10 * MS)
    assert facade.pick().undeliverable == 5


def test_the_time_passed_to_the_policy_is_monotonic(facade: Facade, policy: ScriptedPolicy) -> None:
    times: list[int] = []
    unpatched_step = policy.step

    def step(now_us: int, events: list[Event]) -> list[Action]:
        times.append(now_us)
        return unpatched_step(now_us, events)

    policy.step = step  # type: ignore[method-assign, assignment]
    for now in (50_000, 60_000, 40_000, 80_000):
        facade.report_proxy_left(0)
        facade.tick(now)
    assert times == sorted(times)
    assert len(times) > 1

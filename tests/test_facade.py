"""The door to the module: plain terms in, events to it; its actions out as plain work."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest

from kelpcourse.facade import Facade, InvalidReportError
from kelpcourse.memory import orders
from kelpcourse.memory.endpoints import EndpointRegistry
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
from tests.fleet import SECOND, SETTINGS
from tests.standins import MS, QUICK, Script, member


class Door:
    def __init__(self) -> None:
        self.module = Script(SETTINGS)
        self.facade = Facade(SETTINGS, 7, QUICK, lambda _: self.module)
        self.facade.report_known([member("h1"), member("h2", EndpointStatus.DRAINING)], 41)
        self.facade.start(1000)


def test_the_first_step_holds_the_start_and_the_restored_list() -> None:
    door = Door()
    (step,) = door.module.steps
    assert step[0] == Started(7)
    assert isinstance(step[1], EndpointList)
    assert (step[1].kind, step[1].version) == (EndpointListKind.RESTORED, 41)
    assert [(h.id, h.status) for h in step[1].endpoints] == [
        (1, EndpointStatus.READY),
        (2, EndpointStatus.DRAINING),
    ]


def test_reports_become_events_in_order_and_one_step() -> None:
    door = Door()
    facade = door.facade
    door.module.ready.append([Checkpoint(905, False)])
    facade.start(2000)
    facade.report_joined(1, "east", 21.5, True)
    facade.report_tries("h1", "west", 10, 1, 1000.0, 41.7, [("inflight", 7.0)])
    facade.report_usage(1, "write", 19, 2, 2000.0)
    facade.report_applied(1, 905, 310.4)
    facade.report_left(1)
    facade.report_probe("h1", "timeout", 400_000, ())
    facade.report_list_lost()
    assert not facade.tick(5000)
    assert facade.due_us() == 5000 + QUICK.step_batching_us
    assert facade.tick(5000 + QUICK.step_batching_us)
    assert door.module.steps[2] == [
        ProxyJoined(1, "east", 21.5, True),
        EndpointReport(1, "west", 10, 1, SECOND, 41_700, (("inflight", 7.0),)),
        DemandReport(1, 1, 19, 2, 2 * SECOND),
        OrdersAcknowledged(1, 905, 310_400),
        ProxyLeft(1),
        HealthCheckCompleted(1, HealthCheckStatus.TIMEOUT, 400_000, ()),
        EndpointList(EndpointListKind.UNAVAILABLE, 0, ()),
    ]


def test_nothing_heard_and_no_timer_due_is_no_step() -> None:
    door = Door()
    assert door.facade.due_us() is None
    assert not door.facade.tick(10 * SECOND)
    assert len(door.module.steps) == 1


def test_timers_fire_once_at_their_time_and_in_order() -> None:
    door = Door()
    door.module.ready = [[SetTimer("late", 9000), SetTimer("soon", 8000)]]
    door.facade.report_left(0)
    door.facade.tick(2000)
    door.facade.tick(5000)
    assert door.facade.due_us() == 8000
    assert not door.facade.tick(7999)
    door.facade.tick(8000)
    door.facade.tick(20_000)
    assert door.module.steps[2:] == [[TimerFired("soon")], [TimerFired("late")]]


def test_actions_become_plain_work() -> None:
    door = Door()
    door.module.ready = [
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
    door.facade.report_left(0)
    door.facade.tick(2000)
    door.facade.tick(5000)
    work = door.facade.pick()
    assert work.orders == [
        orders.SetWeight(0, "h1", 0.333333),
        orders.ClearTable(2),
        orders.BindProxy(3, 0, ("read", "write")),
        orders.WithdrawEndpoint("h2"),
        orders.SetAdmission(None, ("write",), 0.5, 1),
        orders.Checkpoint(9, True),
    ]
    assert (work.watch, work.fetches) == (True, 1)
    assert (work.probes, work.notes) == ([("h1", ("127.0.0.1", 9))], ["seen"])
    assert work.undelivered == 2  # a peer, for whom there is no word here, and a host never listed
    assert door.facade.pick().orders == []


@pytest.mark.parametrize(
    "report",
    [
        lambda f: f.report_joined(4, "east", 1.0, True),
        lambda f: f.report_joined(-1, "east", 1.0, True),
        lambda f: f.report_joined(0, "north", 1.0, True),
        lambda f: f.report_joined(0, "east", math.inf, True),
        lambda f: f.report_left(4),
        lambda f: f.report_applied(0, -1, 1.0),
        lambda f: f.report_applied(0, 1, math.nan),
        lambda f: f.report_tries("h9", "east", 1, 0, 1.0, 1.0, ()),
        lambda f: f.report_tries("h1", "east", 1, 2, 1.0, 1.0, ()),
        lambda f: f.report_tries("h1", "east", 1 << 60, 0, 1.0, 1.0, ()),
        lambda f: f.report_tries("h1", "east", 1, 0, 1e30, 1.0, ()),
        lambda f: f.report_tries("h1", "east", 1, 0, 1.0, -1.0, ()),
        lambda f: f.report_tries("h1", "east", 1, 0, 1.0, 1.0, [("util", math.nan)]),
        lambda f: f.report_usage(0, "sing", 1, 0, 1.0),
        lambda f: f.report_usage(9, "read", 1, 0, 1.0),
    ],
)
def test_what_is_unknown_or_out_of_range_does_not_reach_the_module(
    report: Callable[[Facade], None],
) -> None:
    door = Door()
    with pytest.raises(InvalidReportError):
        report(door.facade)
    assert not door.facade.tick(10 * SECOND)


def test_a_failed_step_is_told_and_does_not_stop_the_module() -> None:
    door = Door()
    door.module.ready = [[SetTimer("tick", 9000)]]
    door.facade.report_left(0)
    door.facade.tick(2000)
    door.facade.tick(5000)
    sound, failing = door.module.step, [True]

    def step(now_us: int, events: list[Event]) -> list[Action]:
        if failing.pop():
            raise ZeroDivisionError
        return sound(now_us, events)

    door.module.step = step  # type: ignore[method-assign, assignment]
    with pytest.raises(ZeroDivisionError):
        door.facade.tick(9000)
    failing.append(False)
    assert door.facade.due_us() == 9000 + QUICK.coroutine_restart_us
    assert door.facade.tick(9000 + QUICK.coroutine_restart_us)
    assert door.module.steps[-1] == [TimerFired("tick")]


def test_timers_are_bounded() -> None:
    door = Door()
    door.module.ready = [[SetTimer("t", 10**9 + k) for k in range(QUICK.max_timers + 5)]]
    door.facade.report_left(0)
    door.facade.tick(2000)
    door.facade.tick(2000 + 10 * MS)
    assert door.facade.pick().undelivered == 5


def test_time_never_goes_back_for_the_module() -> None:
    door = Door()
    times: list[int] = []
    sound = door.module.step

    def step(now_us: int, events: list[Event]) -> list[Action]:
        times.append(now_us)
        return sound(now_us, events)

    door.module.step = step  # type: ignore[method-assign, assignment]
    for now in (50_000, 60_000, 40_000, 80_000):
        door.facade.report_left(0)
        door.facade.tick(now)
    assert times == sorted(times)
    assert len(times) > 1


# Memory behind the door


def test_hosts_keep_their_number_while_gone_and_are_forgotten_beyond_the_limit() -> None:
    hosts = EndpointRegistry(3)
    hosts.take([member("a"), member("b"), member("c")], True)
    number = hosts.number("a")
    hosts.take([member("a", EndpointStatus.GONE)], False)
    assert hosts.address("a") is None
    assert hosts.number("a") == number
    hosts.take([member("a")], False)
    assert hosts.number("a") == number
    hosts.take([member("b", EndpointStatus.GONE)], False)
    hosts.take([member("c", EndpointStatus.GONE), member("d")], False)
    assert hosts.number("b") is None
    assert len(hosts) == 3


def test_names_do_not_grow_with_hosts_that_come_and_go() -> None:
    hosts = EndpointRegistry(50)
    for version in range(1000):
        hosts.take([member(f"h{version}"), member(f"h{version - 20}", EndpointStatus.GONE)], False)
    assert len(hosts) <= 50
    assert hosts.number("h999") is not None


def test_a_whole_list_names_all_there_are() -> None:
    hosts = EndpointRegistry(10)
    hosts.take([member("a"), member("b")], True)
    hosts.take([member("b")], True)
    assert hosts.address("a") is None
    assert hosts.address("b") is not None

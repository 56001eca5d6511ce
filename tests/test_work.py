"""The work of a step grows linearly with the fleet. It is counted in bytecode instructions, not in time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

from kelpcourse.policy.events import (
    DemandReport,
    EndpointReport,
    Event,
    OrdersAcknowledged,
    ProxyJoined,
)
from tests.fleet import SECOND, SETTINGS, PolicyHarness, list_changes, make_endpoint, make_endpoints

LARGE_FLEET_SETTINGS = replace(SETTINGS, max_backlog_entries=1e9, min_endpoint_connections=1.0)


def executed_instructions(work: Callable[[], object]) -> int:
    """Returns the number of bytecode instructions that the work executes."""
    count = 0

    def trace(frame: FrameType, event: str, _: object) -> Callable[[FrameType, str, Any], Any]:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def fleet_harness(size: int) -> PolicyHarness:
    harness = PolicyHarness(
        settings=replace(LARGE_FLEET_SETTINGS, proxy_count=2 * size),
        listed=make_endpoints(size),
        proxies=2 * size,
    )
    harness.run_until(harness.now_us + 3 * SECOND)
    return harness


def report_instructions(size: int) -> int:
    """Counts a step with a report on every endpoint and from every proxy while orders are due."""
    harness = fleet_harness(size)
    reports: list[Event] = [
        *(
            EndpointReport(h.id, "east", 20, 0, SECOND, 1000 * (200 + h.id % 300), ())
            for h in make_endpoints(size)
        ),
        *(DemandReport(p, k, 10, 0, SECOND) for p in range(2 * size) for k in range(2)),
    ]
    harness.run_until(harness.now_us + 2 * SECOND)
    return executed_instructions(lambda: harness.send(*reports))


def deploy_instructions(size: int) -> int:
    """Counts a step in which one list replaces nine tenths of the endpoints by endpoints that are warming up."""
    harness = fleet_harness(size)
    new = [make_endpoint(9000 + k, started_us=harness.now_us) for k in range(size * 9 // 10)]
    removed = [
        replace(h, status=type(h.status).GONE) for h in make_endpoints(size)[: size * 9 // 10]
    ]
    return executed_instructions(lambda: harness.send(list_changes([*removed, *new])))


def acknowledgement_instructions(size: int) -> int:
    harness = fleet_harness(size)
    return executed_instructions(
        lambda: harness.send(*(OrdersAcknowledged(p, 1, 1000) for p in range(2 * size)))
    )


def joining_instructions(size: int) -> int:
    """Counts a step in which all proxies join one controller at once and are bound as the delivery queue allows."""
    harness = PolicyHarness(
        settings=replace(SETTINGS, proxy_count=2 * size), listed=make_endpoints(30), proxies=0
    )
    harness.proxies = list(range(2 * size))
    return executed_instructions(
        lambda: harness.send(*(ProxyJoined(p, "east", 1.0, True) for p in harness.proxies))
    )


def test_the_work_of_a_step_grows_linearly_with_proxies_that_join_together() -> None:
    small = joining_instructions(100)
    assert small < joining_instructions(200) < 2.5 * small


def test_the_work_of_a_step_grows_linearly_with_endpoints_and_proxies() -> None:
    for measure in (report_instructions, deploy_instructions, acknowledgement_instructions):
        small = measure(60)
        assert 1000 < small < measure(120) < 2.5 * small, measure.__name__

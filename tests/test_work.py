"""A step's work grows in line with the fleet: counted in steps of the interpreter, not in time."""

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

CROWDED = replace(SETTINGS, max_backlog_entries=1e9, min_endpoint_connections=1.0)


def steps(work: Callable[[], object]) -> int:
    """Bytecode instructions of Python code that the work takes."""
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
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
        settings=replace(CROWDED, proxy_count=2 * size),
        listed=make_endpoints(size),
        proxies=2 * size,
    )
    harness.run_until(harness.now_us + 3 * SECOND)
    return harness


def report(size: int) -> int:
    """A report on every endpoint and proxy, with orders due."""
    harness = fleet_harness(size)
    reports: list[Event] = [
        *(
            EndpointReport(h.id, "east", 20, 0, SECOND, 1000 * (200 + h.id % 300), ())
            for h in make_endpoints(size)
        ),
        *(DemandReport(p, k, 10, 0, SECOND) for p in range(2 * size) for k in range(2)),
    ]
    harness.run_until(harness.now_us + 2 * SECOND)
    return steps(lambda: harness.send(*reports))


def deploy(size: int) -> int:
    """Nine tenths of the endpoints replaced by endpoints warming up in one list."""
    harness = fleet_harness(size)
    new = [make_endpoint(9000 + k, started_us=harness.now_us) for k in range(size * 9 // 10)]
    gone = [replace(h, status=type(h.status).GONE) for h in make_endpoints(size)[: size * 9 // 10]]
    return steps(lambda: harness.send(list_changes([*gone, *new])))


def acknowledgements(size: int) -> int:
    harness = fleet_harness(size)
    return steps(lambda: harness.send(*(OrdersAcknowledged(p, 1, 1000) for p in range(2 * size))))


def joining(size: int) -> int:
    """All proxies come to one controller at once and are bound as its channel has room."""
    harness = PolicyHarness(
        settings=replace(SETTINGS, proxy_count=2 * size), listed=make_endpoints(30), proxies=0
    )
    harness.proxies = list(range(2 * size))
    return steps(
        lambda: harness.send(*(ProxyJoined(p, "east", 1.0, True) for p in harness.proxies))
    )


def test_the_work_of_a_step_grows_linearly_with_proxies_that_join_together() -> None:
    small = joining(100)
    assert small < joining(200) < 2.5 * small


def test_the_work_of_a_step_grows_linearly_with_endpoints_and_proxies() -> None:
    for kind in (report, deploy, acknowledgements):
        small = kind(60)
        assert 1000 < small < kind(120) < 2.5 * small, kind.__name__

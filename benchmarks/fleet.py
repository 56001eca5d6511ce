"""Measures the cost of the policy's steps by fleet size, compared with an earlier version.

Run it with `python -m benchmarks.fleet`. Both versions are stepped alternately with the same events, each in a separate
process. Figures are medians of the rounds, in processor time. The ratio is the earlier version over the current one, so
a ratio above 1 means that the current version is faster. Memory is the peak of Python's allocator in a mass join, and
is measured separately from the times.

The worker looks up the scenarios, `cost_ms` and `memory_mb` by name in both versions, so they keep their names.
"""

from __future__ import annotations

import gc
import os
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.before import ROOT, tree_at
from benchmarks.fleet_worker import MEMORY
from kelpcourse.policy.actions import Checkpoint
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointReport,
    EndpointStatus,
    Event,
    OrdersAcknowledged,
    ProxyJoined,
)
from kelpcourse.policy.settings import Settings
from tests.fleet import SECOND, SETTINGS, full_list, list_changes, make_endpoint

BEFORE = "5b4a458"  # The last version before the policy was split into modules.
POLICY_BEFORE = "Director"  # Name of the policy's class in that version.
# Numbers of proxies and endpoints.
SIZES = [(400, 30), (640, 120), (1_600, 200), (1_600, 1_024), (3_200, 1_024)]
ROUNDS = 3


class Fleet:
    """A policy with its fleet.

    Attributes:
        endpoints: Endpoints of the fleet.
        proxies: Numbers of the proxies.
        policy: The policy.
        now_us: Time of the latest step, in microseconds.
        cpu_s: Total processor time of the steps, in seconds.
        checkpoints: Checkpoints ordered by the latest step.
    """

    def __init__(self, factory: Callable[[Settings], Any], proxies: int, endpoints: int) -> None:
        """Creates the policy and steps it with a complete endpoint list."""
        self.endpoints: list[Endpoint] = [
            make_endpoint(1_000 + k, f"z{k % 8}") for k in range(endpoints)
        ]
        self.proxies = range(proxies)
        settings = replace(
            SETTINGS,
            zones=tuple(f"z{k}" for k in range(8)),
            proxy_count=proxies,
            min_endpoint_connections=424.0,
            delivery_entries_per_s=3_400.0,
            max_backlog_entries=37_700.0,
            drain_grace_us=13_700_000,
            max_messages_per_proxy=12,
        )
        self.policy = factory(settings)
        self.now_us = 50 * SECOND
        self.cpu_s = 0.0
        self.step(full_list(self.endpoints))

    def step(self, *events: Event) -> None:
        """Advances the time by 10 ms and steps the policy."""
        self.now_us += SECOND // 100
        start_s = time.process_time()
        actions = self.policy.step(self.now_us, events)
        self.cpu_s += time.process_time() - start_s
        self.checkpoints = [a.checkpoint_id for a in actions if isinstance(a, Checkpoint)]

    def join_all(self) -> Fleet:
        """Steps the policy with the joins of all proxies; returns the fleet."""
        self.step(*(ProxyJoined(p, f"z{p % 8}", 2.0, True) for p in self.proxies))
        return self

    def run_second(self) -> None:
        """Steps the policy a hundred times; each step acknowledges the orders of the step before."""
        for _ in range(100):
            self.step(
                *(OrdersAcknowledged(p, n, 200_000) for n in self.checkpoints for p in self.proxies)
            )


def a_mass_join(fleet: Fleet) -> None:
    """Runs a step in which all proxies join and five seconds in which they are bound."""
    fleet.join_all()
    for _ in range(5):
        fleet.run_second()


def a_second(fleet: Fleet) -> None:
    """Runs a second of steps without new events, in which due orders are issued."""
    fleet.join_all().cpu_s = 0.0
    fleet.run_second()


def a_report(fleet: Fleet) -> None:
    """Runs one step with an endpoint report for each endpoint and two demand reports for each proxy."""
    fleet.join_all().cpu_s = 0.0
    reports: Sequence[Event] = [
        *(
            EndpointReport(
                endpoint.id, endpoint.zone, 20, 0, SECOND, 1000 * (200 + endpoint.id % 300), ()
            )
            for endpoint in fleet.endpoints
        ),
        *(DemandReport(p, k, 10, 0, SECOND) for p in fleet.proxies for k in range(2)),
    ]
    fleet.step(*reports)


def a_withdrawal(fleet: Fleet) -> None:
    """Runs one step in which a tenth of the endpoints start draining."""
    fleet.join_all()
    fleet.run_second()
    fleet.cpu_s = 0.0
    fleet.step(
        list_changes(
            [
                replace(endpoint, status=EndpointStatus.DRAINING)
                for endpoint in fleet.endpoints[::10]
            ]
        )
    )


def a_whole_list(fleet: Fleet) -> None:
    """Runs one step with a complete endpoint list that changes nothing."""
    fleet.join_all()
    fleet.run_second()
    fleet.cpu_s = 0.0
    fleet.step(full_list(fleet.endpoints))


def cost_ms(
    scenario: Callable[[Fleet], None],
    factory: Callable[[Settings], Any],
    proxies: int,
    endpoints: int,
) -> float:
    """Returns the processor time of a scenario's measured steps, in milliseconds."""
    fleet = Fleet(factory, proxies, endpoints)
    gc.collect()
    fleet.cpu_s = 0.0
    scenario(fleet)
    return fleet.cpu_s * 1000


def memory_mb(factory: Callable[[Settings], Any], proxies: int, endpoints: int) -> float:
    """Returns the peak of Python's allocator in a mass join, in MB."""
    tracemalloc.start()
    a_mass_join(Fleet(factory, proxies, endpoints))
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak_bytes / 1e6


class Worker:
    """A process that measures one version of the policy."""

    def __init__(self, tree: Path, policy: str) -> None:
        """Starts the process.

        Args:
            tree: Root folder of the version.
            policy: Name under which the version's `benchmarks.fleet` imports the policy.
        """
        self._process = subprocess.Popen(
            [sys.executable, str(ROOT / "benchmarks" / "fleet_worker.py"), policy],
            cwd=tree,
            env={**os.environ, "PYTHONPATH": str(tree)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def measure(self, scenario: str, proxies: int, endpoints: int) -> float:
        """Returns one figure: milliseconds of processor time, or megabytes for MEMORY."""
        if self._process.stdin is None or self._process.stdout is None:
            raise RuntimeError("the worker has no pipes")
        print(scenario, proxies, endpoints, file=self._process.stdin, flush=True)
        return float(self._process.stdout.readline())

    def close(self) -> None:
        """Stops the process."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        self._process.wait()


def compare(before: Worker, now: Worker) -> None:
    """Prints a table of both versions, which are measured alternately."""
    print("| | proxies | endpoints | before | now | before over now |")
    print("| --- | ---: | ---: | ---: | ---: | ---: |")
    scenarios = [a_second, a_mass_join, a_report, a_withdrawal, a_whole_list]
    names = [*(scenario.__name__ for scenario in scenarios), MEMORY]
    for name in names:
        unit = "MB" if name == MEMORY else "ms"
        for proxies, endpoints in SIZES:
            rounds = [
                (before.measure(name, proxies, endpoints), now.measure(name, proxies, endpoints))
                for _ in range(ROUNDS)
            ]
            old = statistics.median(first for first, _ in rounds)
            new = statistics.median(second for _, second in rounds)
            print(
                f"| {name.replace('_', ' ')}, {unit} | {proxies:,} | {endpoints:,} | {old:.1f}"
                f" | {new:.1f} | {old / new:.2f} |",
                flush=True,
            )


def main() -> None:
    """Compares the current policy with the earlier version."""
    with tree_at(BEFORE, "kelpcourse", "benchmarks", "tests") as tree:
        before = Worker(tree, POLICY_BEFORE)
        now = Worker(ROOT, RoutingPolicy.__name__)
        try:
            compare(before, now)
        finally:
            before.close()
            now.close()


if __name__ == "__main__":
    main()

"""What the policy's steps cost as the fleet grows, beside the version before: `python -m benchmarks.fleet`.

Both versions are stepped in turn with the same events, each in a process of its own. Figures are processor time,
medians of the rounds; the ratio is before over now, so above 1 is faster now. Memory is the peak that Python's
allocator holds after a mass join, measured apart from the times.
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

BEFORE = "5b4a458"  # the version before the policy was split into modules
POLICY_BEFORE = "Director"  # its name there
SIZES = [(400, 30), (640, 120), (1_600, 200), (1_600, 1_024), (3_200, 1_024)]  # proxies, hosts
ROUNDS = 3


class Fleet:
    """A policy with its fleet; the processor time of its steps is summed up."""

    def __init__(self, factory: Callable[[Settings], Any], proxies: int, hosts: int) -> None:
        """Steps the policy with a complete list."""
        self.hosts: list[Endpoint] = [make_endpoint(1_000 + k, f"z{k % 8}") for k in range(hosts)]
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
        self.took_s = 0.0
        self.step(full_list(self.hosts))

    def step(self, *events: Event) -> None:
        """Steps the policy 10 ms later."""
        self.now_us += SECOND // 100
        began_s = time.process_time()
        actions = self.policy.step(self.now_us, events)
        self.took_s += time.process_time() - began_s
        self.checkpoints = [a.checkpoint_id for a in actions if isinstance(a, Checkpoint)]

    def joined(self) -> Fleet:
        """Lets all proxies join; returns itself."""
        self.step(*(ProxyJoined(p, f"z{p % 8}", 2.0, True) for p in self.proxies))
        return self

    def second(self) -> None:
        """A hundred steps; whatever was ordered is answered in the next."""
        for _ in range(100):
            self.step(
                *(OrdersAcknowledged(p, n, 200_000) for n in self.checkpoints for p in self.proxies)
            )


def a_mass_join(fleet: Fleet) -> None:
    """All proxies come in one step, and five seconds go by in which they are bound."""
    fleet.joined()
    for _ in range(5):
        fleet.second()


def a_second(fleet: Fleet) -> None:
    """A second of steps with nothing new, orders due among them."""
    fleet.joined().took_s = 0.0
    fleet.second()


def a_report(fleet: Fleet) -> None:
    """One step with a line on each host and two on each proxy."""
    fleet.joined().took_s = 0.0
    lines: Sequence[Event] = [
        *(
            EndpointReport(h.id, h.zone, 20, 0, SECOND, 1000 * (200 + h.id % 300), ())
            for h in fleet.hosts
        ),
        *(DemandReport(p, k, 10, 0, SECOND) for p in fleet.proxies for k in range(2)),
    ]
    fleet.step(*lines)


def a_withdrawal(fleet: Fleet) -> None:
    """A tenth of the hosts drain in one step."""
    fleet.joined()
    fleet.second()
    fleet.took_s = 0.0
    fleet.step(
        list_changes([replace(h, status=EndpointStatus.DRAINING) for h in fleet.hosts[::10]])
    )


def a_whole_list(fleet: Fleet) -> None:
    """A complete list that changes nothing comes in one step."""
    fleet.joined()
    fleet.second()
    fleet.took_s = 0.0
    fleet.step(full_list(fleet.hosts))


def cost_ms(
    kind: Callable[[Fleet], None], factory: Callable[[Settings], Any], proxies: int, hosts: int
) -> float:
    """Milliseconds of processor time that a scenario's steps take."""
    fleet = Fleet(factory, proxies, hosts)
    gc.collect()
    fleet.took_s = 0.0
    kind(fleet)
    return fleet.took_s * 1000


def memory_mb(factory: Callable[[Settings], Any], proxies: int, hosts: int) -> float:
    """The peak of Python's allocator in a mass join, in MB."""
    tracemalloc.start()
    a_mass_join(Fleet(factory, proxies, hosts))
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak_bytes / 1e6


class Worker:
    """A process that measures one version."""

    def __init__(self, tree: Path, policy: str) -> None:
        """Starts it on a tree that imports the policy under this name."""
        self._process = subprocess.Popen(
            [sys.executable, str(ROOT / "benchmarks" / "fleet_worker.py"), policy],
            cwd=tree,
            env={**os.environ, "PYTHONPATH": str(tree)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def measure(self, scenario: str, proxies: int, endpoints: int) -> float:
        """Returns one figure: milliseconds of processor time, or megabytes."""
        if self._process.stdin is None or self._process.stdout is None:
            raise RuntimeError("the worker has no pipes")
        print(scenario, proxies, endpoints, file=self._process.stdin, flush=True)
        return float(self._process.stdout.readline())

    def close(self) -> None:
        """Ends the process."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        self._process.wait()


def compare(before: Worker, now: Worker) -> None:
    """Prints a table with both versions, measured in turn."""
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
    """Compares today's policy with the version before."""
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

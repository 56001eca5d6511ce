"""What the decision module's steps cost as the fleet grows, beside earlier versions: `python -m benchmarks.fleet`.

All versions are stepped by turns with the same events. Figures are processor time, medians of the rounds; the ratio is
before over now, so above 1 is faster now. The first version orders one table of all hosts, later ones a part of them to
each proxy. Memory is the peak that Python's allocator holds after a mass join, measured apart from the times.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from benchmarks.before import module_at
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
from tests.fleet import SECOND, SETTINGS, changes, full, host

ONE_TABLE = "abbb568"  # the last version with one table of all hosts
BEFORE = "37acbe9"  # the version before tables followed a drain's grace
SIZES = [(400, 30), (640, 120), (1_600, 200), (1_600, 1_024), (3_200, 1_024)]  # proxies, hosts
ROUNDS = 3


class Fleet:
    """A director with its fleet; what its steps took is summed up."""

    def __init__(self, make: Callable[[Settings], Any], proxies: int, hosts: int) -> None:
        self.hosts: list[Endpoint] = [host(1_000 + k, f"z{k % 8}") for k in range(hosts)]
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
        self.director, self.now, self.took_s = make(settings), 50 * SECOND, 0.0
        self.step(full(self.hosts))

    def step(self, *events: Event) -> None:
        self.now += SECOND // 100
        began = time.process_time()
        actions = self.director.step(self.now, events)
        self.took_s += time.process_time() - began
        self.marks = [a.checkpoint_id for a in actions if isinstance(a, Checkpoint)]

    def joined(self) -> Fleet:
        self.step(*(ProxyJoined(p, f"z{p % 8}", 2.0, True) for p in self.proxies))
        return self

    def second(self) -> None:
        """A hundred steps; whatever was ordered is answered in the next."""
        for _ in range(100):
            self.step(
                *(OrdersAcknowledged(p, n, 200_000) for n in self.marks for p in self.proxies)
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
    fleet.step(changes([replace(h, status=EndpointStatus.DRAINING) for h in fleet.hosts[::10]]))


def a_whole_list(fleet: Fleet) -> None:
    """A complete list that changes nothing comes in one step."""
    fleet.joined()
    fleet.second()
    fleet.took_s = 0.0
    fleet.step(full(fleet.hosts))


def cost_ms(
    kind: Callable[[Fleet], None], make: Callable[[Settings], Any], proxies: int, hosts: int
) -> float:
    fleet = Fleet(make, proxies, hosts)
    gc.collect()
    fleet.took_s = 0.0
    kind(fleet)
    return fleet.took_s * 1000


def memory_mb(make: Callable[[Settings], Any], proxies: int, hosts: int) -> float:
    tracemalloc.start()
    a_mass_join(Fleet(make, proxies, hosts))
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak_bytes / 1e6


def main() -> None:
    makers = [
        module_at(revision, "kelpcourse/decide.py").Director for revision in (ONE_TABLE, BEFORE)
    ]
    makers.append(RoutingPolicy)
    print(
        "| | proxies | hosts | one table, ms | before, ms | now, ms | one table over now | before over now |"
    )
    print("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    for kind in (a_second, a_mass_join, a_report, a_withdrawal, a_whole_list):
        for proxies, hosts in SIZES:
            rounds = [
                [cost_ms(kind, make, proxies, hosts) for make in makers] for _ in range(ROUNDS)
            ]
            first, old, new = (
                statistics.median(costs[k] for costs in rounds) for k in range(len(makers))
            )
            print(
                f"| {kind.__name__.replace('_', ' ')} | {proxies:,} | {hosts:,} | {first:.1f} | {old:.1f}"
                f" | {new:.1f} | {first / new:.2f} | {old / new:.2f} |",
                flush=True,
            )
    for proxies, hosts in SIZES:
        held = [memory_mb(make, proxies, hosts) for make in makers]
        print(
            f"| memory, MB | {proxies:,} | {hosts:,} | {held[0]:.1f} | {held[1]:.1f} | {held[2]:.1f}"
            f" | {held[0] / held[2]:.2f} | {held[1] / held[2]:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()

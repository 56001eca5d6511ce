"""What the decision module's steps cost as the fleet grows, beside the version before: `python -m benchmarks.fleet`.

Both versions are stepped by turns with the same events. Figures are processor time; the ratio is before over now, so
above 1 is faster now. The version before orders one table of all hosts, today's a part of them to each proxy.
"""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from benchmarks.before import module_at
from kelpcourse.decide import Director
from kelpcourse.interface import (
    Checkpoint, DemandReport, Event, Host, HostReport, HostState, OrdersApplied, ProxyJoined, Settings,
)
from tests.fleet import SECOND, SETTINGS, changes, full, host

BEFORE = "abbb568"
SIZES = [(400, 30), (400, 200), (1_600, 30), (1_600, 200), (1_600, 1_024)]  # proxies, hosts
ROUNDS = 3


class Fleet:
    """A director with its fleet; what its steps took is summed up."""

    def __init__(self, make: Callable[[Settings], Any], proxies: int, hosts: int) -> None:
        self.hosts: list[Host] = [host(1_000 + k, f"z{k % 8}") for k in range(hosts)]
        self.proxies = range(proxies)
        settings = replace(
            SETTINGS, zones=tuple(f"z{k}" for k in range(8)), proxies=proxies, connections_least=424.0,
            channel_lines_per_s=3_400.0, channel_backlog=37_700.0, drain_grace_us=13_700_000, messages_most=12)
        self.director, self.now, self.took_s = make(settings), 50 * SECOND, 0.0
        self.step(full(self.hosts))

    def step(self, *events: Event) -> None:
        self.now += SECOND // 100
        began = time.process_time()
        actions = self.director.step(self.now, events)
        self.took_s += time.process_time() - began
        self.marks = [a.number for a in actions if isinstance(a, Checkpoint)]

    def joined(self) -> Fleet:
        self.step(*(ProxyJoined(p, f"z{p % 8}", 2.0, True) for p in self.proxies))
        return self

    def second(self) -> None:
        """A hundred steps; whatever was ordered is answered in the next."""
        for _ in range(100):
            self.step(*(OrdersApplied(p, n, 200_000) for n in self.marks for p in self.proxies))


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
        *(HostReport(h.id, h.zone, 20, 0, SECOND, 1000 * (200 + h.id % 300), ()) for h in fleet.hosts),
        *(DemandReport(p, k, 10, 0, SECOND) for p in fleet.proxies for k in range(2))]
    fleet.step(*lines)


def a_withdrawal(fleet: Fleet) -> None:
    """A tenth of the hosts drain in one step."""
    fleet.joined()
    fleet.second()
    fleet.took_s = 0.0
    fleet.step(changes([replace(h, state=HostState.DRAINING) for h in fleet.hosts[::10]]))


def cost_ms(kind: Callable[[Fleet], None], make: Callable[[Settings], Any], proxies: int, hosts: int) -> float:
    fleet = Fleet(make, proxies, hosts)
    gc.collect()
    fleet.took_s = 0.0
    kind(fleet)
    return fleet.took_s * 1000


def main() -> None:
    before = module_at(BEFORE, "kelpcourse/decide.py").Director
    print("| | proxies | hosts | before, ms | now, ms | before over now |\n| --- | ---: | ---: | ---: | ---: | ---: |")
    for kind in (a_second, a_mass_join, a_report, a_withdrawal):
        for proxies, hosts in SIZES:
            rounds = [(cost_ms(kind, before, proxies, hosts), cost_ms(kind, Director, proxies, hosts))
                      for _ in range(ROUNDS)]
            old, new = (statistics.median(r[k] for r in rounds) for k in (0, 1))
            print(f"| {kind.__name__.replace('_', ' ')} | {proxies:,} | {hosts:,} | {old:.1f} | {new:.1f}"
                  f" | {old / new:.2f} |", flush=True)


if __name__ == "__main__":
    main()

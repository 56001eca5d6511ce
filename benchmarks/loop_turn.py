"""Measures the cost of a turn of the loop with many waiting tasks, compared with an earlier version.

Run it with `python -m benchmarks.loop_turn`. In each turn one of the waiting tasks is resumed; the others wait for a
distant time. Figures are medians of several rounds, in which both versions alternate in one process.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Generator
from types import ModuleType

from benchmarks.before import module_at
from kelpcourse.wire import loop as current_module

BEFORE = "8251981"  # The last commit whose loop examines every task in each turn.
DISTANT_US = 3_600_000_000
ROUNDS = 7


def now_us() -> int:
    """Returns the time of the monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


def turn_us(module: ModuleType, tasks: int, turns: int) -> float:
    """Returns the mean duration of a turn of a version's loop with waiting tasks, in microseconds."""
    loop = module.Loop(now_us, print)

    def sleep() -> Generator[object, object, None]:
        while True:
            yield module.Wait(now_us() + DISTANT_US)

    def busy() -> Generator[object, object, None]:
        while True:
            yield module.Wait(0)

    for _ in range(tasks - 1):
        loop.start("sleep", sleep())
    loop.start("busy", busy())
    run_once = loop.run_once if hasattr(loop, "run_once") else loop.turn  # Named `turn` at BEFORE.
    start_ns = time.perf_counter_ns()
    for _ in range(turns):
        run_once(None)
    elapsed_ns = time.perf_counter_ns() - start_ns
    loop.close()
    return elapsed_ns / turns / 1000


def main() -> None:
    """Prints a table of both versions."""
    before = module_at(BEFORE, "kelpcourse/wire/loop.py")
    print("| waiting tasks | before, us per turn | now, us per turn | before over now |")
    print("| ---: | ---: | ---: | ---: |")
    for tasks in (10, 100, 1_000, 10_000):
        turns = max(50, 20_000 // tasks)
        rounds = [
            (turn_us(before, tasks, turns), turn_us(current_module, tasks, turns))
            for _ in range(ROUNDS)
        ]
        old, new = (statistics.median(figures) for figures in zip(*rounds, strict=True))
        print(f"| {tasks:,} | {old:.1f} | {new:.1f} | {old / new:.1f} |")


if __name__ == "__main__":
    main()

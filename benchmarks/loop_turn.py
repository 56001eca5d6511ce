"""What a turn of the loop costs with many waiting tasks, beside the version before.

`python -m benchmarks.loop_turn`

Of the waiting tasks one is woken in each turn; the others wait for a time far off. Figures are the median of
several rounds, both versions by turns in one process.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Generator
from types import ModuleType

from benchmarks.before import module_at
from kelpcourse.wire import loop as today

BEFORE = "8251981"  # the last commit with a loop that looks at every task in each turn
FAR_US = 3_600_000_000
ROUNDS = 7


def now_us() -> int:
    """The monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


def turn_us(module: ModuleType, tasks: int, turns: int) -> float:
    """Microseconds a turn of a version's loop takes with so many waiting tasks."""
    loop = module.Loop(now_us, print)

    def far() -> Generator[object, object, None]:
        while True:
            yield module.Wait(now_us() + FAR_US)

    def busy() -> Generator[object, object, None]:
        while True:
            yield module.Wait(0)

    for _ in range(tasks - 1):
        loop.start("far", far())
    loop.start("busy", busy())
    run_once = loop.run_once if hasattr(loop, "run_once") else loop.turn  # its name at BEFORE
    began_ns = time.perf_counter_ns()
    for _ in range(turns):
        run_once(None)
    took_ns = time.perf_counter_ns() - began_ns
    loop.close()
    return took_ns / turns / 1000


def main() -> None:
    """Prints a table of both versions."""
    before = module_at(BEFORE, "kelpcourse/wire/loop.py")
    print("| waiting tasks | before, us a turn | now, us a turn | ratio |")
    print("| ---: | ---: | ---: | ---: |")
    for tasks in (10, 100, 1_000, 10_000):
        turns = max(50, 20_000 // tasks)
        rounds = [
            (turn_us(before, tasks, turns), turn_us(today, tasks, turns)) for _ in range(ROUNDS)
        ]
        old, new = (statistics.median(figures) for figures in zip(*rounds, strict=True))
        print(f"| {tasks:,} | {old:.1f} | {new:.1f} | {old / new:.1f} |")


if __name__ == "__main__":
    main()

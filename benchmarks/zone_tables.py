"""Sample endpoints, timing and table output for the benchmarks of zones."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from typing import TypeVar

from kelpcourse.limits import Limits
from kelpcourse.wire.stream import Address

LIMITS = Limits()
ENDPOINT_PORT = 5000
T = TypeVar("T")


def sample_endpoints(count: int) -> list[tuple[str, str, Address]]:
    """Returns name, zone and address of each endpoint; the addresses are on loopback."""
    return [
        (f"s-{number}", f"room-{'ab'[number % 2]}", (_loopback_host(number), ENDPOINT_PORT))
        for number in range(count)
    ]


def _loopback_host(number: int) -> str:
    return f"127.{number >> 14 & 63}.{number >> 7 & 127}.{(number & 127) + 1}"


def timed_ms(work: Callable[[], T], rounds: int = 3) -> tuple[float, T]:
    """Returns the median time of some rounds in milliseconds, and the last result."""
    times_s = []
    for _ in range(rounds):
        start_s = time.perf_counter()
        result = work()
        times_s.append(time.perf_counter() - start_s)
    return statistics.median(times_s) * 1e3, result


def print_head(title: str, *columns: str) -> None:
    """Prints the title and the head of a table; all columns but the first contain numbers."""
    print(f"\n## {title}\n")
    print(f"| {' | '.join(columns)} |")
    print(f"| --- |{' ---: |' * (len(columns) - 1)}")


def print_row(*cells: object) -> None:
    """Prints a row of a table."""
    print(f"| {' | '.join(map(str, cells))} |", flush=True)

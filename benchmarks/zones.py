"""Benchmarks of zones: loading, transfers, differences, updates, queries, memory, recovery and latency of orders.

`python -m benchmarks.zones [PART …]` prints the results as tables. Everything runs on loopback in one process, except
for the controller of the last part. Endpoints are simulated.
"""

from __future__ import annotations

import os
import sys

from benchmarks.zone_data import large_zone, memory, recovery
from benchmarks.zone_orders import orders
from benchmarks.zone_server import server

PARTS = {
    "large": large_zone,
    "memory": memory,
    "server": server,
    "recovery": recovery,
    "order": orders,
}


def main() -> None:
    """Runs the parts that are named on the command line, or all."""
    print(f"Machine: {os.cpu_count()} cores; simulated endpoints, all on loopback.")
    for name in sys.argv[1:] or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main()

"""What zones cost: loading, transfers, differences, updates, queries, memory, recovery, and the way to an order.

`python -m benchmarks.zones [PART …]` prints all of it as tables; each figure says what it counts. Everything is on
loopback, in one process but for the controller of the last part; endpoints are simulated.
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
    """Runs the parts named on the command line, or all."""
    print(f"Machine: {os.cpu_count()} cores; hosts simulated, all on loopback.")
    for name in sys.argv[1:] or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main()

"""Measures the processor time and memory of the platform's controller, compared with an earlier version.

Run it with `python -m benchmarks.platform`. Both versions of `python -m kelpcourse` run alternately for some seconds,
each with the lab's relay, discovery, 30 endpoints and 60 proxies that send reports. Processor time and resident memory
are the operating system's figures for the process.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.before import ROOT, tree_at
from kelpcourse.lab.config import READ, node_config, room_of
from kelpcourse.lab.world import Lab
from kelpcourse.zones.settings import format_address

BEFORE = "5b4a458"
DURATION_S = 8.0
ROUNDS = 3
ENDPOINT_COUNT = 30
PROXY_COUNT = 60


def resource_usage(pid: int) -> tuple[float, float]:
    """Returns the processor time of a process in seconds and its resident memory in MB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])  # Ticks in user mode and in kernel mode.
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def discovery_entry(lab: Lab, name: str) -> dict[str, object]:
    """Returns an endpoint in the format of discovery."""
    return {
        "id": name,
        "host_port": format_address(lab.endpoints[name]),
        "locality": lab.rooms[name],
        "flavor": "m2",
        "cell": 0,
        "phase": "ready",
        "size": 1.0,
        "up_since_ms": 0,
    }


def measure(tree: Path) -> tuple[float, float]:
    """Returns processor seconds per second and resident memory in MB of the version in a tree."""
    with tempfile.TemporaryDirectory() as name:
        lab = Lab(Path(name), PROXY_COUNT)
        for index in range(ENDPOINT_COUNT):
            lab.add_endpoint(f"s-{index}", room_of(index))
        lab.discovery.publish([discovery_entry(lab, endpoint) for endpoint in lab.endpoints])
        config = Path(name) / "config.json"
        config.write_bytes(
            node_config(lab.listen, lab.discovery.address, lab.relay.address, PROXY_COUNT)
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "kelpcourse"],
            cwd=tree,
            stdout=subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": str(config), "PYTHONPATH": str(tree)},
        )
        lab.loop.start("requests", lab.traffic.run())
        if not lab.run_until(lambda: all(proxy.weights(READ) for proxy in lab.proxies)):
            raise SystemExit("the controller has published no tables")
        before, _ = resource_usage(process.pid)
        lab.run_for(DURATION_S)
        after, memory = resource_usage(process.pid)
        process.kill()
        process.wait()
        lab.close()
        return (after - before) / DURATION_S, memory


def main() -> None:
    """Prints a table of both versions."""
    with tree_at(BEFORE, "kelpcourse") as tree:
        rounds = [(measure(tree), measure(ROOT)) for _ in range(ROUNDS)]
    print("| | before | now |\n| --- | ---: | ---: |")
    for index, label in ((0, "processor seconds per second"), (1, "resident memory, MB")):
        old, new = (statistics.median(r[version][index] for r in rounds) for version in (0, 1))
        print(f"| {label} | {old:.3f} | {new:.3f} |")


if __name__ == "__main__":
    main()

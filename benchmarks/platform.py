"""What the platform's run costs, beside the version before: `python -m benchmarks.platform`.

Both versions of `python -m kelpcourse` by turns, each with the lab's relay, discovery, 30 endpoints and 60 proxies that
report, for some seconds. Processor time and resident memory are the system's own figures of the process.
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
SECONDS = 8.0
ROUNDS = 3
ENDPOINTS = 30
PROXIES = 60


def figures(pid: int) -> tuple[float, float]:
    """Processor seconds so far, and resident memory in MB."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(words[11]) + int(words[12])  # in user and system mode
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def entry(lab: Lab, name: str) -> dict[str, object]:
    """An endpoint as discovery lists it."""
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


def played(tree: Path) -> tuple[float, float]:
    """Processor seconds a second and resident memory in MB of the version in a tree."""
    with tempfile.TemporaryDirectory() as name:
        lab = Lab(Path(name), PROXIES)
        for index in range(ENDPOINTS):
            lab.add_endpoint(f"s-{index}", room_of(index))
        lab.discovery.publish([entry(lab, endpoint) for endpoint in lab.endpoints])
        config = Path(name) / "config.json"
        config.write_bytes(
            node_config(lab.listen, lab.discovery.address, lab.relay.address, PROXIES)
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "kelpcourse"],
            cwd=tree,
            stdout=subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": str(config), "PYTHONPATH": str(tree)},
        )
        lab.loop.start("requests", lab.traffic.run())
        if not lab.run_until(lambda: all(proxy.weights(READ) for proxy in lab.proxies)):
            raise SystemExit("the controller publishes no tables")
        before, _ = figures(process.pid)
        lab.run_for(SECONDS)
        after, memory = figures(process.pid)
        process.kill()
        process.wait()
        lab.close()
        return (after - before) / SECONDS, memory


def main() -> None:
    """Prints a table of both versions."""
    with tree_at(BEFORE, "kelpcourse") as tree:
        rounds = [(played(tree), played(ROOT)) for _ in range(ROUNDS)]
    print("| | before | now |\n| --- | ---: | ---: |")
    for index, what in ((0, "processor seconds a second"), (1, "resident memory, MB")):
        old, new = (statistics.median(r[version][index] for r in rounds) for version in (0, 1))
        print(f"| {what} | {old:.3f} | {new:.3f} |")


if __name__ == "__main__":
    main()

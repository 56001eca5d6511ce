"""What the platform's run costs, beside the version before: `python -m benchmarks.platform`.

Both versions of `python -m kelpcourse` by turns, each with the lab's relay, discovery, 30 hosts and 60 forwarders that
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
from kelpcourse.lab.config import READ, node_config
from kelpcourse.lab.world import Lab
from kelpcourse.zones.settings import format_address

BEFORE = "5b4a458"
SECONDS = 8.0
ROUNDS = 3


def figures(pid: int) -> tuple[float, float]:
    """Processor seconds so far, and MB."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK"), pages * os.sysconf(
        "SC_PAGE_SIZE"
    ) / 1e6


def played(tree: Path) -> tuple[float, float]:
    with tempfile.TemporaryDirectory() as name:
        lab = Lab(Path(name), 60)
        for k in range(30):
            lab.add_endpoint(f"s-{k}", f"room-{'ab'[k % 2]}")
        lab.discovery.publish(
            [
                {
                    "id": h,
                    "host_port": format_address(at),
                    "locality": lab.rooms[h],
                    "flavor": "m2",
                    "cell": 0,
                    "phase": "ready",
                    "size": 1.0,
                    "up_since_ms": 0,
                }
                for h, at in lab.endpoints.items()
            ]
        )
        config = Path(name) / "config.json"
        config.write_bytes(node_config(lab.listen, lab.discovery.address, lab.relay.address, 60))
        process = subprocess.Popen(
            [sys.executable, "-m", "kelpcourse"],
            cwd=tree,
            stdout=subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": str(config), "PYTHONPATH": str(tree)},
        )
        lab.loop.start("requests", lab.traffic.run())
        if not lab.run_until(lambda: all(f.weights(READ) for f in lab.proxies)):
            raise SystemExit("the director does not steer")
        before, _ = figures(process.pid)
        lab.run_for(SECONDS)
        after, memory = figures(process.pid)
        process.kill()
        process.wait()
        lab.close()
        return (after - before) / SECONDS, memory


def main() -> None:
    with tree_at(BEFORE, "kelpcourse") as tree:
        rounds = [(played(tree), played(ROOT)) for _ in range(ROUNDS)]
    print("| | before | now |\n| --- | ---: | ---: |")
    for at, what in ((0, "processor seconds a second"), (1, "resident memory, MB")):
        old, new = (statistics.median(r[k][at] for r in rounds) for k in (0, 1))
        print(f"| {what} | {old:.3f} | {new:.3f} |")


if __name__ == "__main__":
    main()

"""Measures the steps of one version of the policy for `benchmarks.fleet`.

It is run by path with the version's tree as PYTHONPATH, and takes the name under which that tree's
`benchmarks.fleet` imports the policy. Each line on standard input asks for one figure (a scenario, proxies and
endpoints); each answer is one line with the figure.
"""

from __future__ import annotations

import sys

MEMORY = "memory"


def main() -> None:
    """Answers until standard input ends."""
    from benchmarks import fleet

    policy = getattr(fleet, sys.argv[1])
    for line in sys.stdin:
        scenario, proxies, endpoints = line.split()
        if scenario == MEMORY:
            figure = fleet.memory_mb(policy, int(proxies), int(endpoints))
        else:
            play = getattr(fleet, scenario)
            figure = fleet.cost_ms(play, policy, int(proxies), int(endpoints))
        print(figure, flush=True)


if __name__ == "__main__":
    main()

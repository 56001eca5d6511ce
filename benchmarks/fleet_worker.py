"""Measures the steps of one version of the policy for `benchmarks.fleet`.

The worker is run by its path with the version's tree as PYTHONPATH. Its argument is the name under which that tree's
`benchmarks.fleet` imports the policy. Each line on standard input requests one figure: scenario, number of proxies
and number of endpoints. The response is one line with the figure.
"""

from __future__ import annotations

import sys

MEMORY = "memory"


def main() -> None:
    """Serves requests until standard input ends."""
    from benchmarks import fleet

    policy = getattr(fleet, sys.argv[1])
    for line in sys.stdin:
        scenario, proxies, endpoints = line.split()
        if scenario == MEMORY:
            figure = fleet.memory_mb(policy, int(proxies), int(endpoints))
        else:
            run_scenario = getattr(fleet, scenario)
            figure = fleet.cost_ms(run_scenario, policy, int(proxies), int(endpoints))
        print(figure, flush=True)


if __name__ == "__main__":
    main()

"""All hosts of a class are replaced at once, half of a deployment; their successors are cold."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

from standins import Endpoint, Proxy, RequestClass, World, run, with_trouble

RULE = "Safe fail-back"
ZONES = ["room-a", "room-b"]
CLASSES = [RequestClass("board-read", 122.5), RequestClass("move-submit", 32.5, ("room-a",))]
HOSTS = 26
PROXIES = 36  # at this director, of 71
LISTED_AFTER_S = 1.0
PER_S = {"large": 24.0, "small": 10.0}  # requests a second that a warm host can serve
TROUBLE_AT_S = 15.0
END_S = 25.0

SETTINGS = {
    "az": "room-a",
    "zones": ZONES,
    "kinds": ["large", "small"],
    "discovery": "on_request",
    "family": "control",
    "me": 0,
    "siblings": 2,
    "bounds": {"peers": False, "probing": True, "connect_timeout_us": 250_000},
    "family_info": {
        "admission": "fraction",
        "blackhole_us": 7_200_000,
        "by_zone": False,
        "class_writes": [False, True],
        "conns_least": 451.0,
        "default_size": 5,
        "egress_per_s": 2500.0,
        "head": 6.0,
        "intake_per_s": 200.0,
        "messages_most": 12,
        "messages_over_us": 10_000_000,
        "one_owner": False,
        "outlier_after": 3,
        "partitions_n": 0,
        "pending_max": 2500.0,
        "period_us": 2_000_000,
        "propagation_us": 356_000,
        "proxy_count": 71,
        "selects_by": "p2c",
        "transit_max_us": 890_000,
        "usual_how": 1,
        "zone_bound": [False, False],
    },
    "invariants": {
        "ask_within_us": 10_000_000,
        "cold_from": 0.17,
        "cold_us": 14_000_000,
        "fall_us": 2_000_000,
        "full_may_have_run": True,
        "overload_factor": 3.0,
        "stop_sending_within_us": 3_400_000,
    },
    "lanes": [
        {
            "name": "board-read",
            "aim_us": 750_000,
            "hard_limit_us": 2_000_000,
            "effect": "read_like",
            "group": "all",
            "late_worth": 0.2,
            "window_us": 5_000_000,
            "worth": 1.0,
        },
        {
            "name": "move-submit",
            "aim_us": 800_000,
            "hard_limit_us": 2_000_000,
            "effect": "non_idempotent",
            "group": "all",
            "late_worth": 0.1,
            "only_zones": ["room-a"],
            "window_us": 5_000_000,
            "worth": 3.0,
        },
    ],
    "stats": {"how": "on_probe", "names": ["inflight"]},
    "weights": "off",
    "worth_by": "request",
}


def world() -> World:
    rng = random.Random(1)
    endpoints = []
    for k in range(HOSTS):
        kind = ("small", "small", "large", "large")[k % 4]
        endpoints.append(Endpoint(f"g-{k:02}", ZONES[k % 2], kind, k // 6, per_s=PER_S[kind]))
    proxies = []
    for number in range(PROXIES):
        zone = ZONES[number % 2]
        standing = {}
        for each in CLASSES:
            names = [e.name for e in endpoints if e.zone == (each.only_zones or (zone,))[0]]
            standing[each.name] = rng.sample(names, 5)
        proxies.append(Proxy(number, zone, standing))
    return World(Path(__file__).parent, SETTINGS, endpoints, proxies, CLASSES, RULE)


async def scenario(world: World) -> None:
    await asyncio.sleep(TROUBLE_AT_S)
    if with_trouble():
        await replace(world)
    await asyncio.sleep(END_S - world.now())


async def replace(world: World) -> None:
    """The hosts of room-a are replaced: one list shows their successors as ready and them as draining."""
    leaving = [each for each in world.endpoints.values() if each.zone == "room-a"]
    started = []
    for host in leaving:
        successor = Endpoint(f"h{host.name}", host.zone, host.kind, host.cell, per_s=host.per_s)
        successor.up_since_ms = int(time.time() * 1000)
        successor.listed_ready = False
        world.endpoints[successor.name] = successor
        await world.open_endpoint(successor)
        started.append(successor)
        host.phase = "draining"
    await asyncio.sleep(LISTED_AFTER_S)
    world.list_changes(started + leaving)


if __name__ == "__main__":
    sys.exit(run(world, scenario))

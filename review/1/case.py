"""A step of a rolling deploy at a deployment whose endpoint list is pushed: 3 of 18 booking nodes drain and are replaced."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

from standins import Endpoint, Proxy, RequestClass, World, run, with_trouble

RULE = "Safe drain"
ZONES = ["siracusa", "catania", "augusta"]
CLASSES = [RequestClass("availability", 87.0), RequestClass("booking-save", 43.0)]
REPLACED = 3  # of 18, up to 17% of the fleet at a time
TROUBLE_AT_S = 8.0
END_S = 30.0


def lane(name: str, aim_ms: int, limit_ms: int, worth: float) -> dict:
    return {
        "name": name,
        "aim_us": aim_ms * 1000,
        "hard_limit_us": limit_ms * 1000,
        "effect": "read_like",
        "group": "all",
        "late_worth": 0.15,
        "window_us": 5_000_000,
        "worth": worth,
    }


SETTINGS = {
    "az": "siracusa",
    "zones": ZONES,
    "kinds": ["type-a", "type-b", "type-c"],
    "discovery": "pushed",
    "family": "control",
    "me": 0,
    "siblings": 1,
    "bounds": {"peers": False, "probing": False, "connect_timeout_us": 250_000},
    "family_info": {
        "admission": "fraction",
        "blackhole_us": 7_200_000,
        "by_zone": False,
        "class_writes": [False, True],
        "conns_least": 451.0,
        "default_size": 6,
        "egress_per_s": 3500.0,
        "head": 10.0,
        "intake_per_s": 200.0,
        "messages_most": 0,
        "one_owner": False,
        "outlier_after": 5,
        "partitions_n": 0,
        "pending_max": 3500.0,
        "period_us": 1_000_000,
        "propagation_us": 270_000,
        "proxy_count": 9,
        "selects_by": "p2c",
        "transit_max_us": 810_000,
        "usual_how": 0,
        "zone_bound": [False, False],
    },
    "invariants": {
        "cold_from": 0.17,
        "cold_us": 15_000_000,
        "fall_us": 2_000_000,
        "overload_factor": 4.0,
        "stop_sending_within_us": 2_000_000,
    },
    "lanes": [lane("availability", 1500, 5000, 1.0), lane("booking-save", 800, 2000, 3.0)],
    "stats": {"how": "off", "names": []},
    "weights": "off",
    "worth_by": "request",
}


def world() -> World:
    rng = random.Random(1)
    endpoints = [Endpoint(f"n-{k:02}", ZONES[k % 3], "type-a", k // 6) for k in range(18)]
    proxies = []
    for number in range(9):
        zone = ZONES[number % 3]
        standing = rng.sample([each.name for each in endpoints if each.zone == zone], 6)
        proxies.append(Proxy(number, zone, {each.name: standing for each in CLASSES}))
    return World(Path(__file__).parent, SETTINGS, endpoints, proxies, CLASSES, RULE)


async def scenario(world: World) -> None:
    await asyncio.sleep(TROUBLE_AT_S)
    if with_trouble():
        await replace(world)
    await asyncio.sleep(END_S - world.now())


async def replace(world: World) -> None:
    """Three nodes drain, their successors start, and 4 s later the three have finished and are gone."""
    leaving = [world.endpoints[f"n-{k:02}"] for k in range(REPLACED)]
    for endpoint in leaving:
        endpoint.phase = "draining"
    world.list_changes(leaving)
    started = []
    for endpoint in leaving:
        successor = Endpoint(f"m-{endpoint.name}", endpoint.zone, "type-a", endpoint.cell)
        successor.up_since_ms = int(time.time() * 1000)
        successor.listed_ready = False
        world.endpoints[successor.name] = successor
        await world.open_endpoint(successor)
        started.append(successor)
    await asyncio.sleep(1.0)
    world.list_changes(started)
    await asyncio.sleep(4.0)
    for endpoint in leaving:
        endpoint.phase = "gone"
        endpoint.alive = False
    world.list_changes(leaving)


if __name__ == "__main__":
    sys.exit(run(world, scenario))

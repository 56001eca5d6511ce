"""The lab's deployment: two rooms and two request classes, with `move-submit` served only in room-a."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import orjson

from kelpcourse.wire.stream import Address
from kelpcourse.zones.settings import format_address

ROOMS = ("room-a", "room-b")
SUBMIT_ROOM = "room-a"
READ = "board-read"
SUBMIT = "move-submit"
DRAIN_GRACE_US = 3_400_000
MAX_WITHOUT_ENDPOINT_US = 7_200_000


def room_of(index: int) -> str:
    """Returns the room of a proxy or endpoint by its index; indexes alternate between the rooms."""
    return ROOMS[index % len(ROOMS)]


def settings(proxy_count: int) -> dict[str, object]:
    """Returns the settings of a controller, under the simulator's names."""
    return {
        "az": "room-a",
        "bounds": {"probing": True, "peers": False},
        "discovery": "on_request",
        "family": "control",
        "family_info": {
            "admission": "fraction",
            "blackhole_us": MAX_WITHOUT_ENDPOINT_US,
            "class_writes": [False, True],
            "egress_per_s": 3000.0,
            "head": 6.0,
            "messages_most": 0,
            "one_owner": False,
            "partitions_n": 0,
            "pending_max": 3000.0,
            "period_us": 1_000_000,
            "propagation_us": 50_000,
            "proxy_count": proxy_count,
            "transit_max_us": 200_000,
            "usual_how": 1,
            "zone_bound": [False, False],
        },
        "invariants": {
            "ask_within_us": 10_000_000,
            "cold_from": 0.17,
            "cold_us": 4_000_000,
            "fall_us": 2_000_000,
            "full_may_have_run": True,
            "overload_factor": 3.0,
            "stop_sending_within_us": DRAIN_GRACE_US,
        },
        "lanes": [_read_class(), _submit_class()],
        "me": 0,
        "siblings": 1,
        "stats": {"how": "none", "names": []},
        "zones": list(ROOMS),
    }


def _read_class() -> dict[str, object]:
    return {
        "aim_us": 750_000,
        "effect": "read_like",
        "group": "all",
        "hard_limit_us": 2_000_000,
        "name": READ,
        "window_us": 5_000_000,
        "worth": 1.0,
    }


def _submit_class() -> dict[str, object]:
    return {
        "aim_us": 800_000,
        "effect": "non_idempotent",
        "group": "all",
        "hard_limit_us": 2_000_000,
        "name": SUBMIT,
        "only_zones": [SUBMIT_ROOM],
        "window_us": 5_000_000,
        "worth": 3.0,
    }


def node_config(
    listen: Address,
    discovery: Address,
    relay: Address,
    proxy_count: int,
    known: Sequence[Mapping[str, object]] = (),
) -> bytes:
    """Returns the contents of a controller's configuration file.

    Args:
        listen: Address on which the controller listens.
        discovery: Address of discovery.
        relay: Address of the relay.
        proxy_count: Number of proxies.
        known: Entries of the cached endpoint list.
    """
    return orjson.dumps(
        {
            "name": "lab",
            "listen": format_address(listen),
            "discovery": format_address(discovery),
            "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "registry": {"address": format_address(relay)},
            "known": {"revision": 0, "complete": True, "members": list(known)},
            "settings": settings(proxy_count),
        }
    )

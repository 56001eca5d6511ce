"""Which controller should hold which group of proxies. Pure.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded load (Mirrokni, Thorup and Zadimoghaddam, 2016): each
group ranks all members by a hash of both and goes to the first that has room. When a member comes or goes, only its
part moves, and a few that the bound pushes on. Ring and jump hashing stand beside it for comparison.
"""

from __future__ import annotations

import bisect
import hashlib
import math
from collections.abc import Mapping, Sequence

Group = int
ROOM = 1.1  # times an even share that one member may hold, and an even share over it that it holds at least
POINTS = 64  # of a member on the ring


def score(*parts: object) -> int:
    """The same on every machine and in every process."""
    text = "\0".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def most_of(groups: int, members: int) -> int:
    return max(1, math.ceil(ROOM * groups / members)) if members else 0


def least_of(groups: int, members: int) -> int:
    return math.floor(groups / members / ROOM) if members else 0


def place(
    groups: Sequence[Group], members: Sequence[str], held: Mapping[Group, str] | None = None
) -> dict[Group, str]:
    """A member for each group. What is held stays where it is unless its member is gone or over the bound: moving a
    group costs its proxies a takeover, and an even spread is worth less."""
    if not members:
        return {}
    most, out = most_of(len(groups), len(members)), dict[Group, str]()
    load = dict.fromkeys(members, 0)
    # The highest bids first: so what is placed does not depend on the order of the groups.
    for group in sorted(groups, key=lambda g: (score(g), g)):
        holder = (held or {}).get(group)
        if holder in load and load[holder] < most:
            out[group] = holder
            load[holder] += 1
    for group in sorted(set(groups) - out.keys(), key=lambda g: (score(g), g)):
        ranked = sorted(members, key=lambda m: (-score(g_key(group), m), m))
        chosen = next(member for member in ranked if load[member] < most)
        out[group] = chosen
        load[chosen] += 1
    _lift(out, load, least_of(len(groups), len(members)))
    return out


def _lift(out: dict[Group, str], load: dict[str, int], least: int) -> None:
    """Whoever holds too little is given what it bids most for of those who hold most: a member that comes must not
    stay idle because the others are just within their bound."""
    for member in sorted(load):
        while load[member] < least:
            most = max(load.values())
            able = [g for g, holder in out.items() if load[holder] == most and holder != member]
            group = max(able, key=lambda g: (score(g_key(g), member), g))
            load[out[group]] -= 1
            out[group] = member
            load[member] += 1


def g_key(group: Group) -> str:
    return f"group {group}"


# For comparison


def ring(groups: Sequence[Group], members: Sequence[str]) -> dict[Group, str]:
    points = sorted(
        (score("point", member, k), member) for member in members for k in range(POINTS)
    )
    places = [place for place, _ in points]
    return {g: points[bisect.bisect(places, score(g_key(g))) % len(points)][1] for g in groups}


def jump(groups: Sequence[Group], members: Sequence[str]) -> dict[Group, str]:
    """Lamping and Veach, 2014. Members are numbered by their order, so one that leaves the middle shifts the rest."""
    ordered = sorted(members)
    return {g: ordered[_jump(score(g_key(g)), len(ordered))] for g in groups}


def _jump(key: int, buckets: int) -> int:
    at, following = -1, 0
    while following < buckets:
        at = following
        key = (key * 2862933555777941757 + 1) & ((1 << 64) - 1)
        following = int((at + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return at


def moved(before: Mapping[Group, str], after: Mapping[Group, str]) -> int:
    return sum(1 for group, member in before.items() if after.get(group) != member)

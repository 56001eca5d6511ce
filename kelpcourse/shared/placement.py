"""Which controller should hold which group of proxies.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): each
group ranks all members by a hash of both and goes to the first that has capacity. When a member comes or goes, only
its part moves, and the few groups that the bound displaces.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence

GroupId = int
LOAD_BOUND = 1.1  # a member holds at most this many even shares, and at least an even share over it


def stable_hash(*parts: object) -> int:
    """Returns 64 bits that are the same on every machine and in every process."""
    text = "\0".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def group_key(group: GroupId) -> str:
    """Returns the text by which a group is hashed."""
    return f"group {group}"


def max_groups_per_member(group_count: int, member_count: int) -> int:
    """Returns how many groups one member may hold."""
    if not member_count:
        return 0
    return max(1, math.ceil(LOAD_BOUND * group_count / member_count))


def min_groups_per_member(group_count: int, member_count: int) -> int:
    """Returns how many groups each member holds at least."""
    if not member_count:
        return 0
    return math.floor(group_count / member_count / LOAD_BOUND)


def place(
    groups: Sequence[GroupId],
    members: Sequence[str],
    current: Mapping[GroupId, str] | None = None,
) -> dict[GroupId, str]:
    """Returns a member for each group.

    A group stays at its current member unless that is gone or over the bound: a move costs its proxies a takeover,
    and an even spread is worth less.
    """
    if not members:
        return {}
    max_load = max_groups_per_member(len(groups), len(members))
    placed: dict[GroupId, str] = {}
    load = dict.fromkeys(members, 0)
    # By hash, so that the result does not depend on the order of the groups.
    for group in _sort_by_hash(groups):
        holder = (current or {}).get(group)
        if holder in load and load[holder] < max_load:
            placed[group] = holder
            load[holder] += 1
    for group in _sort_by_hash(set(groups) - placed.keys()):
        chosen = next(member for member in _rank_members(group, members) if load[member] < max_load)
        placed[group] = chosen
        load[chosen] += 1
    _fill_underloaded(placed, load, min_groups_per_member(len(groups), len(members)))
    return placed


def _sort_by_hash(groups: Iterable[GroupId]) -> list[GroupId]:
    return sorted(groups, key=lambda group: (stable_hash(group), group))


def _rank_members(group: GroupId, members: Sequence[str]) -> list[str]:
    """Members by descending rendezvous weight for a group."""
    key = group_key(group)
    return sorted(members, key=lambda member: (-stable_hash(key, member), member))


def _fill_underloaded(placed: dict[GroupId, str], load: dict[str, int], min_load: int) -> None:
    """Moves groups from the most loaded members to those under the minimum.

    A new member must not stay idle because the others are just within their bound.
    """
    for member in sorted(load):
        while load[member] < min_load:
            group = _select_group_to_move(placed, load, member)
            load[placed[group]] -= 1
            placed[group] = member
            load[member] += 1


def _select_group_to_move(placed: dict[GroupId, str], load: dict[str, int], member: str) -> GroupId:
    """The group of a most loaded member that ranks `member` highest."""
    highest = max(load.values())
    movable = [
        group for group, holder in placed.items() if load[holder] == highest and holder != member
    ]
    return max(movable, key=lambda group: (stable_hash(group_key(group), member), group))


def count_moved(before: Mapping[GroupId, str], after: Mapping[GroupId, str]) -> int:
    """Returns how many groups have another member than before."""
    return sum(1 for group, member in before.items() if after.get(group) != member)

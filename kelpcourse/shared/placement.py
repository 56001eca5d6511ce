"""Placement of proxy groups on controllers.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016): each
group ranks all members by a hash of group and member, and is placed on the first member below the bound. When a member
is added or removed, only its own groups move, and the few groups that the bound displaces.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence

GroupId = int
# Each member holds at most this multiple of an even share, and at least an even share divided by it.
LOAD_BOUND = 1.1


def stable_hash(*parts: object) -> int:
    """Returns a 64-bit hash that is the same on every machine and in every process."""
    text = "\0".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def group_key(group: GroupId) -> str:
    """Returns the text that represents a group in hashes."""
    return f"group {group}"


def max_groups_per_member(group_count: int, member_count: int) -> int:
    """Returns the maximum number of groups that one member may hold."""
    if not member_count:
        return 0
    return max(1, math.ceil(LOAD_BOUND * group_count / member_count))


def min_groups_per_member(group_count: int, member_count: int) -> int:
    """Returns the minimum number of groups that each member holds."""
    if not member_count:
        return 0
    return math.floor(group_count / member_count / LOAD_BOUND)


def place(
    groups: Sequence[GroupId],
    members: Sequence[str],
    current: Mapping[GroupId, str] | None = None,
) -> dict[GroupId, str]:
    """Returns a member for each group.

    A group stays on its current member unless that member is gone or over the bound: each move makes another member
    take over the group's proxies, which a more even spread does not justify.
    """
    if not members:
        return {}
    max_load = max_groups_per_member(len(groups), len(members))
    placed: dict[GroupId, str] = {}
    load = dict.fromkeys(members, 0)
    # Sorted by hash, so that the result does not depend on the order of the groups.
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
    """Returns members by descending rendezvous weight for a group."""
    key = group_key(group)
    return sorted(members, key=lambda member: (-stable_hash(key, member), member))


def _fill_underloaded(placed: dict[GroupId, str], load: dict[str, int], min_load: int) -> None:
    """Moves groups from the most loaded members to those under the minimum.

    Otherwise a new member could stay idle while the others are just within the upper bound.
    """
    for member in sorted(load):
        while load[member] < min_load:
            group = _select_group_to_move(placed, load, member)
            load[placed[group]] -= 1
            placed[group] = member
            load[member] += 1


def _select_group_to_move(placed: dict[GroupId, str], load: dict[str, int], member: str) -> GroupId:
    """Returns the group, among those on the most loaded members, that ranks `member` highest."""
    highest = max(load.values())
    movable = [
        group for group, holder in placed.items() if load[holder] == highest and holder != member
    ]
    return max(movable, key=lambda group: (stable_hash(group_key(group), member), group))


def count_moved(before: Mapping[GroupId, str], after: Mapping[GroupId, str]) -> int:
    """Returns the number of groups that are placed on another member than before."""
    return sum(1 for group, member in before.items() if after.get(group) != member)

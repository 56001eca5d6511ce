"""Hash-based placements to compare `kelpcourse.shared.placement` with: a hash ring and jump consistent hashing."""

from __future__ import annotations

import bisect
from collections.abc import Sequence

from kelpcourse.shared.placement import GroupId, group_key, stable_hash

RING_POINTS_PER_MEMBER = 64


def place_by_ring(groups: Sequence[GroupId], members: Sequence[str]) -> dict[GroupId, str]:
    """Returns a member for each group by consistent hashing on a ring."""
    points = sorted(
        (stable_hash("point", member, number), member)
        for member in members
        for number in range(RING_POINTS_PER_MEMBER)
    )
    positions = [position for position, _ in points]
    placed = {}
    for group in groups:
        index = bisect.bisect(positions, stable_hash(group_key(group))) % len(points)
        placed[group] = points[index][1]
    return placed


def place_by_jump(groups: Sequence[GroupId], members: Sequence[str]) -> dict[GroupId, str]:
    """Returns a member for each group by jump consistent hashing (Lamping and Veach, 2014).

    Members are numbered in sorted order, so a member that leaves shifts the numbers of all after it.
    """
    ordered = sorted(members)
    return {
        group: ordered[_jump_hash(stable_hash(group_key(group)), len(ordered))] for group in groups
    }


def _jump_hash(key: int, bucket_count: int) -> int:
    bucket = -1
    next_bucket = 0
    while next_bucket < bucket_count:
        bucket = next_bucket
        key = (key * 2862933555777941757 + 1) & ((1 << 64) - 1)
        next_bucket = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket

"""Tests of the placement of groups on controllers."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.hashing import place_by_jump, place_by_ring
from kelpcourse.shared.placement import (
    count_moved,
    max_groups_per_member,
    min_groups_per_member,
    place,
)


@pytest.mark.parametrize("members", [3, 5, 8])
def test_groups_are_spread_within_the_bound_and_rarely_move(members: int) -> None:
    names = [f"m{k}" for k in range(members)]
    placed = place(range(240), names)
    loads = [list(placed.values()).count(name) for name in names]
    assert max(loads) <= max_groups_per_member(240, members)
    assert place(range(240), names, placed) == placed
    without_first = place(range(240), names[1:], placed)
    held_by_first = sum(1 for holder in placed.values() if holder == names[0])
    assert (
        count_moved(placed, without_first) <= held_by_first * 1.1
    )  # Only its own groups and those that the bound displaces.
    restored = place(range(240), names, without_first)
    assert count_moved(without_first, restored) <= 240 / members * 1.1


def test_other_hashing_schemes_move_more_or_spread_less_evenly() -> None:
    """Justifies rendezvous hashing with bounded loads; docs/shared.md has figures of this comparison."""
    names = [f"m{k}" for k in range(5)]
    rendezvous_max_load = max(list(place(range(240), names).values()).count(n) for n in names)
    assert rendezvous_max_load <= max(
        list(place_by_ring(range(240), names).values()).count(n) for n in names
    )
    without = names[:2] + names[3:]
    jump_moved = count_moved(place_by_jump(range(240), names), place_by_jump(range(240), without))
    assert jump_moved > count_moved(place(range(240), names), place(range(240), without))


@given(
    st.integers(0, 40),
    st.lists(st.sampled_from("abcdef"), unique=True),
    st.dictionaries(st.integers(0, 45), st.sampled_from("abcdefgh")),
)
@settings(deadline=None, derandomize=True)
def test_every_group_is_placed_on_a_given_member(
    groups: int, members: list[str], held: dict[int, str]
) -> None:
    placed = place(range(groups), members, held)
    assert set(placed) == (set(range(groups)) if members else set())
    assert set(placed.values()) <= set(members)
    loads = [list(placed.values()).count(m) for m in members]
    assert all(
        min_groups_per_member(groups, len(members))
        <= load
        <= max_groups_per_member(groups, len(members))
        for load in loads
    )

"""Tests of the update policy."""

from __future__ import annotations

import pytest

from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.endpoint_extraction import SRV, TXT
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.records import SOA
from kelpcourse.zones.refresh import SECOND_US
from kelpcourse.zones.update_policy import (
    EndpointClass,
    RemovalHistory,
    UpdateGrant,
    classes_without_endpoints,
    name_matches,
    read_grant,
    rejection_reason,
)
from tests.zonesamples import (
    LIMITS,
    ORIGIN,
    endpoint_records,
    listed_endpoint,
    pending_version_of,
    sample_endpoints,
    zone_state_of,
    zone_with,
)


@pytest.mark.parametrize(
    ("pattern", "owner", "result"),
    [
        ("*.a.b.", "x.a.b.", True),
        ("*.a.b.", "y.x.a.b.", True),
        ("*.a.b.", "a.b.", False),
        ("a.b.", "a.b.", True),
        ("a.b.", "x.a.b.", False),
        ("*.a.b.", "xa.b.", False),
        ("*.a.b.", "x\\.a.b.", False),
    ],
)
def test_grant_pattern_matches_names(pattern: str, owner: str, result: bool) -> None:
    assert name_matches(pattern, owner) is result


def test_grant_allows_only_the_listed_names_and_types() -> None:
    grant = read_grant("k", ORIGIN, ["*.room-a", "s-1"], ["srv", "A"], 1.0, 0)
    assert grant.allows_record("_game._tcp.room-a." + ORIGIN, SRV)
    assert not grant.allows_record("_game._tcp.room-b." + ORIGIN, SRV)
    assert not grant.allows_record("s-1." + ORIGIN, TXT)
    assert grant.allows_record(ORIGIN, SOA)  # Always allowed, as each change advances the serial
    for names, types in ((["s-1.elsewhere."], []), ([], ["HOST"]), (["a..b"], [])):
        with pytest.raises(ZoneError):
            read_grant("k", ORIGIN, names, types, 1.0, 0)


def rejection_of(
    max_removed_fraction: float, removed_count: int, classes: tuple[EndpointClass, ...] = ()
) -> str:
    """Stages an update that removes `removed_count` of four endpoints, those of room-a (s-0 and s-2) first."""
    state = zone_state_of(zone_with(1, sample_endpoints()))
    names = ["s-0", "s-2", "s-1", "s-3"][:removed_count]
    pending = pending_version_of(
        state.head,
        remove=[
            r
            for r in sample_endpoints()
            if any(n in r.owner or n.encode() in r.data for n in names)
        ],
    )
    return state.stage_update(
        pending.difference(0),
        UpdateGrant("k", max_removed_fraction=max_removed_fraction),
        classes,
        0,
    )


def test_update_may_remove_at_most_the_granted_fraction() -> None:
    assert rejection_of(0.5, 2) == ""
    assert "removes 3 of 4 ready endpoints of the zone" in rejection_of(0.5, 3)
    assert rejection_of(1.0, 4) == ""
    assert rejection_of(0.0, 1)


def test_granted_fraction_applies_to_each_class() -> None:
    submit = EndpointClass("move-submit", frozenset({"room-a"}), frozenset())
    assert "removes 2 of 2 ready endpoints of class move-submit" in rejection_of(
        0.5, 2, classes=(submit,)
    )
    assert rejection_of(0.5, 1, classes=(submit,)) == ""
    assert (
        rejection_of(0.5, 2, classes=(EndpointClass("x", frozenset({"room-b"}), frozenset()),))
        == ""
    )


def test_removals_of_several_updates_within_the_window_add_up() -> None:
    endpoints = {f"s-{k}": listed_endpoint(f"s-{k}") for k in range(10)}
    removals = RemovalHistory(LIMITS.zone_removal_window_us)
    grant = UpdateGrant("k", max_removed_fraction=0.3, window_us=60 * SECOND_US)
    state = zone_state_of(zone_with(1, sample_endpoints()))
    soa_difference = pending_version_of(state.head).difference(0)

    def remove(name: str, now_us: int) -> str:
        reason = rejection_reason(
            grant, soa_difference, endpoints, {name: None}, removals, (), now_us
        )
        if not reason:
            removals.record({name: endpoints[name]}, {name: None}, now_us)
            del endpoints[name]
        return reason

    assert [remove(f"s-{k}", k) for k in range(3)] == ["", "", ""]
    assert "removes 4 of 10" in remove("s-3", 3)
    assert remove("s-3", 60 * SECOND_US + 3) == ""  # Earlier removals are outside the window
    removals.record({"s-0": None}, {"s-0": listed_endpoint("s-0")}, 60 * SECOND_US + 4)
    assert removals.removed_since(0).keys() == {"s-1", "s-2", "s-3"}


def test_draining_counts_as_a_removal_and_restoring_does_not() -> None:
    endpoints = {
        "a": listed_endpoint("a"),
        "b": listed_endpoint("b", status=EndpointStatus.DRAINING),
    }
    state = zone_state_of(zone_with(1, sample_endpoints()))
    soa_difference = pending_version_of(state.head).difference(0)
    grant = UpdateGrant("k", max_removed_fraction=0.0)
    removals = RemovalHistory(0)
    assert rejection_reason(
        grant,
        soa_difference,
        endpoints,
        {"a": listed_endpoint("a", status=EndpointStatus.DRAINING)},
        removals,
        (),
        0,
    )
    assert (
        rejection_reason(
            grant, soa_difference, endpoints, {"b": listed_endpoint("b")}, removals, (), 0
        )
        == ""
    )
    assert rejection_reason(grant, soa_difference, endpoints, {"b": None}, removals, (), 0) == ""


def test_rejected_update_leaves_the_head_unchanged() -> None:
    state = zone_state_of(zone_with(1, sample_endpoints()))
    pending = pending_version_of(
        state.head, remove=endpoint_records("s-0", address="127.0.0.10")[1:]
    )
    assert state.stage_update(
        pending.difference(0), UpdateGrant("k", max_removed_fraction=0.0), (), 0
    )
    assert sorted(state.head.records()) == sorted(state.zone.records())
    assert state.staged_updates == 0


def test_classes_without_a_ready_endpoint_are_listed() -> None:
    classes = (
        EndpointClass("any", frozenset(), frozenset()),
        EndpointClass("submit", frozenset({"room-a"}), frozenset()),
        EndpointClass("big", frozenset(), frozenset({"m8"})),
    )
    assert classes_without_endpoints(classes, [listed_endpoint("s", "room-b")]) == ["submit", "big"]
    assert classes_without_endpoints(
        classes, [listed_endpoint("s", status=EndpointStatus.DRAINING)]
    ) == [
        "any",
        "submit",
        "big",
    ]

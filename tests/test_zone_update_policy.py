"""The update policy."""

from __future__ import annotations

import pytest

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.refresh import SECOND_US
from kelpcourse.zones.update_policy import (
    EndpointClass,
    RemovalHistory,
    UpdateGrant,
    classes_without_endpoints,
    matches,
    read_grant,
    rejection_reason,
)
from tests.zoning import LIMITS, ORIGIN, draft_of, held, host, member, rooms, zone


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
def test_name_patterns_of_a_grant(pattern: str, owner: str, result: bool) -> None:
    assert matches(pattern, owner) is result


def test_a_grant_resolves_relative_names_and_rejects_what_it_does_not_list() -> None:
    grant = read_grant("k", ORIGIN, ["*.room-a", "s-1"], ["srv", "A"], 1.0, 0)
    assert grant.allows_record("_game._tcp.room-a." + ORIGIN, 33)
    assert not grant.allows_record("_game._tcp.room-b." + ORIGIN, 33)
    assert not grant.allows_record("s-1." + ORIGIN, 16)
    assert grant.allows_record(ORIGIN, 6)  # the serial
    for names, types in ((["s-1.elsewhere."], []), ([], ["HOST"]), (["a..b"], [])):
        with pytest.raises(ZoneError):
            read_grant("k", ORIGIN, names, types, 1.0, 0)


def rejection_of(
    most: float, taken: int, within_us: int = 0, classes: tuple[EndpointClass, ...] = ()
) -> str:
    """An update that takes away so many of four hosts, s-0 and s-2 of room-a first."""
    start = held(zone(1, rooms()))
    names = ["s-0", "s-2", "s-1", "s-3"][:taken]
    draft = draft_of(
        start.head,
        remove=[r for r in rooms() if any(n in r.owner or n.encode() in r.data for n in names)],
    )
    return start.stage_update(
        draft.difference(0),
        UpdateGrant("k", max_removed_fraction=most, window_us=within_us),
        classes,
        0,
    )


def test_an_update_may_remove_the_granted_fraction_and_no_more() -> None:
    assert rejection_of(0.5, 2) == ""
    assert "takes away 3 of 4 ready hosts of the zone" in rejection_of(0.5, 3)
    assert rejection_of(1.0, 4) == ""
    assert rejection_of(0.0, 1)


def test_the_granted_fraction_holds_for_each_class() -> None:
    submit = EndpointClass("move-submit", frozenset({"room-a"}), frozenset())
    assert "takes away 2 of 2 ready hosts of class move-submit" in rejection_of(
        0.5, 2, classes=(submit,)
    )
    assert rejection_of(0.5, 1, classes=(submit,)) == ""
    assert (
        rejection_of(0.5, 2, classes=(EndpointClass("x", frozenset({"room-b"}), frozenset()),))
        == ""
    )


def test_small_updates_within_the_window_add_up() -> None:
    hosts = {f"s-{k}": member(f"s-{k}") for k in range(10)}
    losses = RemovalHistory(LIMITS.zone_removal_window_us)
    grant = UpdateGrant("k", max_removed_fraction=0.3, window_us=60 * SECOND_US)
    start = held(zone(1, rooms()))
    nothing = draft_of(start.head).difference(0)

    def take(name: str, now_us: int, to: ListedEndpoint | None = None) -> str:
        why = rejection_reason(grant, nothing, hosts, {name: to}, losses, (), now_us)
        if not why:
            losses.record({name: hosts[name]}, {name: to}, now_us)
            del hosts[name]
        return why

    assert [take(f"s-{k}", k) for k in range(3)] == ["", "", ""]
    assert "takes away 4 of 10" in take("s-3", 3)
    assert take("s-3", 60 * SECOND_US + 3) == ""  # what was lost before is no longer counted
    losses.record({"s-0": None}, {"s-0": member("s-0")}, 60 * SECOND_US + 4)
    assert losses.removed_since(0).keys() == {"s-1", "s-2", "s-3"}


def test_draining_counts_as_a_removal_and_restoring_does_not() -> None:
    hosts = {"a": member("a"), "b": member("b", phase=EndpointStatus.DRAINING)}
    start = held(zone(1, rooms()))
    nothing = draft_of(start.head).difference(0)
    grant = UpdateGrant("k", max_removed_fraction=0.0)
    losses = RemovalHistory(0)
    assert rejection_reason(
        grant, nothing, hosts, {"a": member("a", phase=EndpointStatus.DRAINING)}, losses, (), 0
    )
    assert rejection_reason(grant, nothing, hosts, {"b": member("b")}, losses, (), 0) == ""
    assert rejection_reason(grant, nothing, hosts, {"b": None}, losses, (), 0) == ""


def test_a_rejected_update_leaves_the_head_as_it_was() -> None:
    start = held(zone(1, rooms()))
    draft = draft_of(start.head, remove=host("s-0", address="127.0.0.10")[1:])
    assert start.stage_update(
        draft.difference(0), UpdateGrant("k", max_removed_fraction=0.0), (), 0
    )
    assert sorted(start.head.records()) == sorted(start.zone.records())
    assert start.staged_updates == 0


def test_classes_without_an_endpoint_are_named() -> None:
    classes = (
        EndpointClass("any", frozenset(), frozenset()),
        EndpointClass("submit", frozenset({"room-a"}), frozenset()),
        EndpointClass("big", frozenset(), frozenset({"m8"})),
    )
    assert classes_without_endpoints(classes, [member("s", "room-b")]) == ["submit", "big"]
    assert classes_without_endpoints(classes, [member("s", phase=EndpointStatus.DRAINING)]) == [
        "any",
        "submit",
        "big",
    ]

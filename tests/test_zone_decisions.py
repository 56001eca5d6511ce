"""What the zones package decides: serials, belief, refreshing, grants, merging. All of it pure."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.merged_list import MergedEndpointList
from kelpcourse.zones.reconciliation import Verdict, Version, VersionReconciler, compare_versions
from kelpcourse.zones.records import Soa
from kelpcourse.zones.refresh import SECOND_US, RefreshTimer
from kelpcourse.zones.serials import (
    HALF_SERIAL_SPACE,
    SERIAL_SPACE,
    SerialOrder,
    compare_serials,
    next_serial,
)
from kelpcourse.zones.update_policy import (
    EndpointClass,
    RemovalHistory,
    UpdateGrant,
    classes_without_endpoints,
    matches,
    read_grant,
    rejection_reason,
)
from tests.zoning import LIMITS, ORIGIN, draft_of, held, host, member, rec, rooms, zone

serials = st.integers(0, SERIAL_SPACE - 1)
MS = 1000


# Serials (RFC 1982)


@given(serials, st.integers(1, HALF_SERIAL_SPACE - 1))
def test_a_serial_is_ahead_of_all_in_the_half_round_behind_it(serial: int, distance: int) -> None:
    assert compare_serials((serial + distance) % SERIAL_SPACE, serial) is SerialOrder.AHEAD
    assert compare_serials(serial, (serial + distance) % SERIAL_SPACE) is SerialOrder.BEHIND


@given(serials)
def test_half_round_is_undefined_and_the_next_one_is_ahead_and_never_0(serial: int) -> None:
    assert (
        compare_serials((serial + HALF_SERIAL_SPACE) % SERIAL_SPACE, serial)
        is SerialOrder.UNDEFINED
    )
    assert compare_serials(next_serial(serial), serial) is SerialOrder.AHEAD
    assert next_serial(serial) != 0
    assert compare_serials(serial, serial) is SerialOrder.SAME


# VersionReconciler


def version(serial: int, soa: bytes = b"soa") -> Version:
    return Version(serial, soa)


@pytest.mark.parametrize(
    ("offered", "verdict"),
    [
        (version(101), Verdict.NEWER),
        (version(100), Verdict.SAME),
        (version(99), Verdict.BEHIND),
        (version(100 + HALF_SERIAL_SPACE), Verdict.UNDEFINED),
        (version(101 + HALF_SERIAL_SPACE), Verdict.BEHIND),
        (version(99 + HALF_SERIAL_SPACE), Verdict.NEWER),
        (version(100, b"other"), Verdict.DIFFERS),
    ],
)
def test_which_version_is_believed(offered: Version, verdict: Verdict) -> None:
    assert compare_versions(version(100), offered) is verdict
    assert compare_versions(None, offered) is Verdict.NEWER


def test_a_primary_restored_from_a_backup_is_told_once_and_believed_when_the_zone_has_expired() -> (
    None
):
    belief = VersionReconciler(version(100))
    verdict, told = belief.offer("p", version(40))
    assert verdict is Verdict.BEHIND
    assert [(c.accepted_serial, c.offered_serial, c.begins) for c in told] == [(100, 40, True)]
    assert belief.offer("p", version(40)) == (Verdict.BEHIND, [])
    assert belief.contradicted
    belief.expire()
    verdict, told = belief.offer("p", version(41))
    assert verdict is Verdict.NEWER
    assert [c.begins for c in told] == [False]
    belief.accept(version(41))
    assert belief.offer("p", version(40))[0] is Verdict.BEHIND


def test_two_primaries_that_differ_are_told_apart_and_one_may_fall_silent() -> None:
    belief = VersionReconciler(version(100))
    assert belief.offer("a", version(100))[0] is Verdict.SAME
    assert belief.offer("b", version(100, b"another"))[0] is Verdict.DIFFERS
    assert [c.begins for c in belief.source_silent("b")] == [False]
    assert not belief.contradicted
    assert belief.source_silent("b") == []


# Refreshing

SOA = Soa(5, refresh=60, retry=10, expire=600, minimum=30)


def test_a_round_asks_each_primary_and_then_waits_for_the_retry() -> None:
    refresh = RefreshTimer(LIMITS, ["a", "b"], 0)
    refresh.set_soa(SOA, 0)
    assert refresh.begin_query(0) == "a"
    assert refresh.query_failed(1)
    assert refresh.begin_query(1) == "b"
    assert not refresh.query_failed(2)
    assert refresh.next_due_us() == 2 + 10 * SECOND_US
    assert refresh.begin_query(3) is None


def test_who_answered_last_is_asked_first_and_an_answer_moves_the_end_on() -> None:
    refresh = RefreshTimer(LIMITS, ["a", "b"], 0)
    refresh.set_soa(SOA, 0)
    refresh.begin_query(0)
    refresh.query_failed(0)
    refresh.begin_query(0)
    refresh.query_succeeded(7, confirmed=True)
    assert refresh.next_due_us() == 7 + 60 * SECOND_US
    assert refresh.expires_us() == 7 + 600 * SECOND_US
    assert refresh.begin_query(refresh.next_due_us()) == "b"


def test_what_does_not_confirm_does_not_move_the_end() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(SOA, 0)
    refresh.begin_query(0)
    refresh.query_succeeded(500 * SECOND_US, confirmed=False)
    assert not refresh.is_expired(600 * SECOND_US - 1)
    assert refresh.is_expired(600 * SECOND_US)


def test_a_flood_of_notify_makes_no_flood_of_questions() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(SOA, 0)
    asked = 0
    for now in range(0, 10 * SECOND_US, 1000):
        refresh.notify(now)
        if refresh.begin_query(now):
            asked += 1
            refresh.query_succeeded(now, confirmed=True)
    assert asked == 10 * SECOND_US // LIMITS.notify_batching_us


def test_a_notify_during_a_round_is_not_lost() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(SOA, 0)
    refresh.begin_query(0)
    refresh.notify(5)
    refresh.query_succeeded(10, confirmed=True)
    assert refresh.next_due_us() == 10 + LIMITS.notify_batching_us


def test_times_of_a_silly_soa_are_bounded() -> None:
    refresh = RefreshTimer(LIMITS, ["a"], 0)
    refresh.set_soa(replace(SOA, refresh=0, retry=0), 0)
    refresh.begin_query(0)
    refresh.query_succeeded(0, confirmed=True)
    assert refresh.next_due_us() == LIMITS.min_zone_refresh_us
    refresh.begin_query(refresh.next_due_us())
    refresh.query_failed(refresh.next_due_us())
    assert refresh.next_due_us() >= 2 * LIMITS.min_zone_retry_us
    refresh.set_soa(replace(SOA, refresh=1 << 31), 0)
    refresh.begin_query(refresh.next_due_us())
    refresh.query_succeeded(0, confirmed=True)
    assert refresh.next_due_us() == LIMITS.max_zone_refresh_us


# Grants


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
def test_names_of_a_grant(pattern: str, owner: str, result: bool) -> None:
    assert matches(pattern, owner) is result


def test_a_grant_as_it_is_written_and_what_it_refuses() -> None:
    grant = read_grant("k", ORIGIN, ["*.room-a", "s-1"], ["srv", "A"], 1.0, 0)
    assert grant.allows_record("_game._tcp.room-a." + ORIGIN, 33)
    assert not grant.allows_record("_game._tcp.room-b." + ORIGIN, 33)
    assert not grant.allows_record("s-1." + ORIGIN, 16)
    assert grant.allows_record(ORIGIN, 6)  # the serial
    for names, types in ((["s-1.elsewhere."], []), ([], ["HOST"]), (["a..b"], [])):
        with pytest.raises(ZoneError):
            read_grant("k", ORIGIN, names, types, 1.0, 0)


def judged(
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


def test_how_much_may_be_taken_away() -> None:
    assert judged(0.5, 2) == ""
    assert "takes away 3 of 4 ready hosts of the zone" in judged(0.5, 3)
    assert judged(1.0, 4) == ""
    assert judged(0.0, 1)


def test_a_class_may_not_lose_more_than_its_part_either() -> None:
    submit = EndpointClass("move-submit", frozenset({"room-a"}), frozenset())
    assert "takes away 2 of 2 ready hosts of class move-submit" in judged(0.5, 2, classes=(submit,))
    assert judged(0.5, 1, classes=(submit,)) == ""
    assert judged(0.5, 2, classes=(EndpointClass("x", frozenset({"room-b"}), frozenset()),)) == ""


def test_many_small_updates_do_not_add_up_to_a_large_one() -> None:
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


def test_a_drain_counts_as_taking_away_and_putting_back_never_does() -> None:
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


def test_a_refused_update_leaves_the_head_as_it_was() -> None:
    start = held(zone(1, rooms()))
    draft = draft_of(start.head, remove=host("s-0", address="127.0.0.10")[1:])
    assert start.stage_update(
        draft.difference(0), UpdateGrant("k", max_removed_fraction=0.0), (), 0
    )
    assert sorted(start.head.records()) == sorted(start.zone.records())
    assert start.staged_updates == 0


def test_classes_without_a_host_are_named() -> None:
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


# Union


def union(*sources: str, grace_us: int = 2 * SECOND_US) -> MergedEndpointList:
    return MergedEndpointList(sources or ("z",), grace_us, 100)


def test_a_return_within_the_grace_is_the_same_host_and_after_it_a_started_one() -> None:
    one = union()
    one.update("z", {"s": member("s", started=5.0)}, 0, 1_000)
    gone, _ = one.update("z", {"s": None}, 10 * MS, 1_010)
    assert [m.status for m in gone] == [EndpointStatus.GONE]
    back, _ = one.update("z", {"s": member("s", started=5.0)}, 60 * MS, 1_060)
    assert back == [member("s", started=5.0)]
    one.update("z", {"s": None}, 100 * MS, 1_100)
    back, _ = one.update("z", {"s": member("s", started=5.0)}, 100 * MS + 2 * SECOND_US + 1, 3_101)
    assert [m.started_ms for m in back] == [3_101.0]
    drained, _ = one.update(
        "z", {"s": member("s", phase=EndpointStatus.DRAINING)}, 9 * SECOND_US, 9_000
    )
    assert [(m.status, m.started_ms) for m in drained] == [(EndpointStatus.DRAINING, 3_101.0)]


def test_a_host_is_there_while_any_zone_names_it_and_drains_if_any_says_so() -> None:
    both = union("a", "b")
    both.update("a", {"s": member("s", started=5.0)}, 0, 0)
    assert both.update("b", {"s": member("s", started=9.0)}, 0, 0)[0] == [member("s", started=9.0)]
    out, _ = both.update("b", {"s": member("s", phase=EndpointStatus.DRAINING)}, 0, 0)
    assert [m.status for m in out] == [EndpointStatus.DRAINING]
    assert (
        both.update("a", {"s": None}, 0, 0)[0] != []
    )  # it started long ago now, and drains as before
    assert both.endpoints["s"].status is EndpointStatus.DRAINING
    assert [m.status for m in both.update("b", {"s": None}, 0, 0)[0]] == [EndpointStatus.GONE]


def test_zones_that_differ_on_a_host_are_told_once_and_the_first_counts() -> None:
    both = union("a", "b")
    both.update("b", {"s": member("s", address="10.0.0.2")}, 0, 0)
    out, conflicts = both.update("a", {"s": member("s", address="10.0.0.1")}, 0, 0)
    assert [m.address[0] for m in out] == ["10.0.0.1"]
    assert [(c.endpoint, c.begins) for c in conflicts] == [("s", True)]
    assert both.update("a", {"s": member("s", address="10.0.0.1", started=1.0)}, 0, 0)[1] == []
    out, conflicts = both.update("a", {"s": None}, 0, 0)
    assert [m.address[0] for m in out] == ["10.0.0.2"]
    assert [c.begins for c in conflicts] == [False]


def test_a_change_is_one_change_and_none_moves_no_version() -> None:
    one = union()
    out, _ = one.update("z", {f"s-{k}": member(f"s-{k}") for k in range(5)}, 0, 0)
    assert (len(out), one.version) == (5, 1)
    assert one.update("z", {"s-0": member("s-0")}, 0, 0) == ([], [])
    assert one.version == 1
    out, _ = one.update("z", {f"s-{k}": None for k in range(5)}, 0, 0)
    assert (len(out), one.version, one.endpoints) == (5, 2, {})


phases = st.sampled_from([EndpointStatus.READY, EndpointStatus.DRAINING])
steps = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.sampled_from("xyz"),
        st.none() | phases,
        st.integers(0, 3 * SECOND_US),
    ),
    max_size=40,
)


@given(steps)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_what_is_told_adds_up_to_the_union(
    steps: list[tuple[str, str, EndpointStatus | None, int]],
) -> None:
    both, now = union("a", "b"), 0
    said: dict[str, dict[str, EndpointStatus]] = {"a": {}, "b": {}}
    listed: dict[str, EndpointStatus] = {}
    for source, name, phase, wait in steps:
        now += wait
        said[source].pop(name, None)
        if phase is not None:
            said[source][name] = phase
        out, _ = both.update(source, {name: member(name, phase=phase) if phase else None}, now, now)
        for told in out:
            listed.pop(told.name, None)
            if told.status is not EndpointStatus.GONE:
                listed[told.name] = told.status
    expected: dict[str, EndpointStatus] = {}
    for name in {*said["a"], *said["b"]}:
        views = [view[name] for view in said.values() if name in view]
        expected[name] = (
            EndpointStatus.DRAINING if EndpointStatus.DRAINING in views else EndpointStatus.READY
        )
    assert listed == expected


def test_records_of_tests_are_read_as_written() -> None:
    assert rec("S-1", "A", "10.0.0.1").owner == "s-1." + ORIGIN

"""Zones as data: what records mean, drafts beside plain copies, history, updates as the RFC has them, answers."""

from __future__ import annotations

from collections.abc import Sequence

import dns.rcode
import dns.update
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.answer import look_up
from kelpcourse.zones.endpoint_extraction import SRV, A, EndpointExtractor
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.history import History, restore_version
from kelpcourse.zones.names import is_under, labels, relative
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.persistence import (
    ZoneChanged,
    ZoneReplay,
    decode_entry,
    encode_entry,
    encode_snapshot,
)
from kelpcourse.zones.records import Record, parse_soa
from kelpcourse.zones.serials import next_serial
from kelpcourse.zones.update import UpdateRejectedError, evaluate
from kelpcourse.zones.versions import Zone, build_zone, difference_between
from tests.zoning import LIMITS, ORIGIN, SERVICE, draft_of, held, host, rec, rooms, soa, zone

# Names


@pytest.mark.parametrize(
    ("name", "result"),
    [
        ("s-1." + ORIGIN, "s-1"),
        (ORIGIN, "@"),
        ("a.b." + ORIGIN, "a.b"),
        ("s-1.elsewhere.", "s-1.elsewhere."),
        ("a\\.games.example.org.", "a\\.games.example.org."),
    ],
)
def test_names_beside_an_origin(name: str, result: str) -> None:
    assert relative(name, ORIGIN) == result
    assert is_under(name, ORIGIN) is (result == "@" or not result.endswith("."))


def test_an_escaped_dot_is_no_border() -> None:
    assert labels("a\\.b.c.") == ("a\\.b", "c")


# Meaning


def meaning(*records: Record) -> EndpointExtractor:
    made = EndpointExtractor(ORIGIN, SERVICE)
    made.start(build_zone(ORIGIN, records))
    return made


def test_a_host_as_its_records_tell() -> None:
    made = meaning(
        *host("s-1", txt='"kind=m2" "cell=3" "phase=draining" "started=1767225600000"', weight=7)
    )
    (one,) = made.endpoints.values()
    assert (one.name, one.address, one.zone, one.kind, one.cell) == (
        "s-1",
        ("10.0.0.1", 5000),
        "room-a",
        "m2",
        3,
    )
    assert (one.status, one.weight, one.started_ms) == (
        EndpointStatus.DRAINING,
        7.0,
        1767225600000.0,
    )
    assert made.problems() == []


def test_a_host_is_announced_once_srv_and_address_both_stand() -> None:
    srv, address = host("s-1")
    assert meaning(address).endpoints == {}
    alone = meaning(srv)
    assert alone.endpoints == {}
    assert [(p.owner, p.field) for p in alone.problems()] == [("s-1." + ORIGIN, "address")]
    assert meaning(srv, rec("s-1", "AAAA", "::1")).endpoints["s-1"].address == ("::1", 5000)


@pytest.mark.parametrize(
    ("record", "owner", "field"),
    [
        (rec("s-1", "TXT", '"phase=drainin"'), "s-1", "phase"),
        (rec("s-1", "TXT", '"cell=-1"'), "s-1", "cell"),
        (rec("s-1", "TXT", '"cell=1" "cell=2"'), "s-1", "cell"),
        (rec("s-1", "TXT", '"started=now"'), "s-1", "started"),
        (rec("s-1", "TXT", '"kind="'), "s-1", "kind"),
        (rec("s-1", "TXT", '"started=99999999999999999999"'), "s-1", "started"),
        (rec(f"{SERVICE}.room-b", "SRV", "0 1 5000 s-9." + ORIGIN), "s-9", "address"),
        (rec(f"{SERVICE}.room-b", "SRV", "0 1 5000 s-1.elsewhere."), f"{SERVICE}.room-b", "target"),
        (rec(f"{SERVICE}.room-b", "SRV", "0 1 5000 ."), f"{SERVICE}.room-b", "target"),
        (
            rec(f"{SERVICE}.x.room-b", "SRV", "0 1 5000 s-1." + ORIGIN),
            f"{SERVICE}.x.room-b",
            "owner",
        ),
        (rec(f"{SERVICE}.room-b", "SRV", "0 1 0 s-2." + ORIGIN), f"{SERVICE}.room-b", "port"),
        (rec(f"{SERVICE}.room-b", "SRV", "0 1 5000 s-1." + ORIGIN), f"{SERVICE}.room-b", "target"),
        (rec("s-1", "A", "10.0.0.2"), "s-1", "address"),
    ],
)
def test_a_record_that_can_not_be_used_is_named_and_its_neighbours_count(
    record: Record, owner: str, field: str
) -> None:
    made = meaning(*host("s-1"), *host("s-3"), record)
    assert [(p.owner, p.field) for p in made.problems()] == [(f"{owner}.{ORIGIN}", field)]
    assert sorted(made.endpoints) == ["s-1", "s-3"]
    assert made.endpoints["s-1"].status is EndpointStatus.READY


def test_of_two_srv_for_one_target_the_same_counts_at_every_director() -> None:
    first, second = host("s-1", "room-a"), host("s-1", "room-b")
    for order in ([*first, *second], [*second, *first]):
        assert meaning(*order).endpoints["s-1"].zone == "room-a"
    backup = rec(f"{SERVICE}.room-0", "SRV", "9 1 5000 s-1." + ORIGIN)
    made = meaning(*first, backup)
    assert (made.endpoints["s-1"].zone, made.problems()) == ("room-a", [])


def test_a_target_moved_to_another_address_is_one_change() -> None:
    start = zone(1, host("s-1"), host("s-2"))
    made = EndpointExtractor(ORIGIN, SERVICE)
    made.start(start)
    draft = draft_of(
        start,
        [rec("s-1", "A", "10.9.9.9"), rec("s-1", "TXT", '"started=7"')],
        [rec("s-1", "A", "10.0.0.1")],
    )
    step = draft.difference(0)
    start.apply(step)
    changes = made.apply(step, start)
    assert list(changes) == ["s-1"]
    assert changes["s-1"] is not None
    assert (changes["s-1"].address[0], changes["s-1"].started_ms) == ("10.9.9.9", 7.0)


pool = [
    *rooms(3),
    *host("s-0", "room-b", "127.0.0.99"),
    rec("s-1", "TXT", '"phase=draining"'),
    rec("s-2", "AAAA", "::1"),
    rec(f"{SERVICE}.room-a", "SRV", "0 1 5000 s-1.elsewhere."),
]
moves = st.lists(
    st.lists(st.tuples(st.booleans(), st.sampled_from(pool)), min_size=1, max_size=5), max_size=12
)


def play(
    steps: Sequence[Sequence[tuple[bool, Record]]],
) -> tuple[Zone, set[Record], EndpointExtractor, History, list[Zone]]:
    """Steps on a zone by drafts, and beside it on a plain set of records."""
    one, plain = zone(1), set(zone(1).records())
    known, history, versions = (
        EndpointExtractor(ORIGIN, SERVICE),
        History(LIMITS.max_zone_history_records),
        [one.copy()],
    )
    known.start(one)
    for step in steps:
        draft = PendingVersion(one)
        for add, record in step:
            if add:
                draft.add(record)
                plain.add(record)
            else:
                assert draft.remove(record.owner, record.type, record.data) is (record in plain)
                plain.discard(record)
        if not draft.is_changed():
            continue
        draft.advance_serial()
        plain = {r for r in plain if r.type != 6} | {soa(draft.difference(0).new_serial)}
        done = draft.difference(0)
        one.apply(done)
        history.add(done)
        known.apply(done, one)
        versions.append(one.copy())
    return one, plain, known, history, versions


@given(moves)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_drafts_history_and_hosts_agree_with_plain_copies(
    steps: list[list[tuple[bool, Record]]],
) -> None:
    one, plain, known, history, versions = play(steps)
    assert set(one.records()) == plain
    assert len(one) == len(plain)
    fresh = EndpointExtractor(ORIGIN, SERVICE)
    fresh.start(one)
    assert known.endpoints == fresh.endpoints
    assert known.problems() == fresh.problems()
    for version in versions[:-1]:
        chain = history.differences_since(version.serial)
        assert chain is not None
        walked = version.copy()
        for step in chain:
            walked.apply(step)
        assert set(walked.records()) == plain
        back = restore_version(one, history, version.serial, 0)
        assert back.new_serial == next_serial(one.serial)
        former = one.copy()
        former.apply(back)
        assert {r for r in former.records() if r.type != 6} == {
            r for r in version.records() if r.type != 6
        }


def test_a_difference_that_does_not_fit_changes_nothing() -> None:
    one = zone(1, host("s-1"))
    before = sorted(one.records())
    step = draft_of(one, host("s-2"), host("s-1")).difference(0)
    one.remove(host("s-1")[0])
    one.add(rec("x", "A", "10.0.0.3"))
    with pytest.raises(ZoneError, match="no such SRV"):
        one.apply(step)
    assert sorted(one.records()) != before
    assert one.has_records("x." + ORIGIN)
    assert not one.has_records("s-2." + ORIGIN)


def test_a_ttl_changed_is_a_difference_of_all_the_set() -> None:
    one = zone(1, [rec("x", "A", "10.0.0.1"), rec("x", "A", "10.0.0.2")])
    draft = PendingVersion(one)
    draft.add(rec("x", "A", "10.0.0.3", ttl=5))
    draft.advance_serial()
    step = draft.difference(0)
    one.apply(step)
    held_set = one.record_set("x." + ORIGIN, A)
    assert held_set is not None
    assert (held_set.ttl, len(held_set.data)) == (5, 3)
    assert len([r for r in step.removed if r.type == A]) == 2


def test_history_is_bounded_and_forgets_the_oldest() -> None:
    history, one = History(8), zone(1)
    for k in range(10):
        step = draft_of(one, [rec(f"x-{k}", "A", "10.0.0.1")]).difference(0)
        one.apply(step)
        history.add(step)
    assert history.serials() == [10, 9, 8][::-1][-2:]
    assert history.differences_since(1) is None
    with pytest.raises(ZoneError, match="known: 9, 10"):
        restore_version(one, history, 3, 0)


def test_entries_of_the_store_make_the_same_zones_again() -> None:
    one = held(zone(1, rooms()))
    payloads = []
    first = difference_between(Zone(ORIGIN), one.zone, 5)
    payloads.append(encode_entry(ZoneChanged(ORIGIN, first)))
    step = draft_of(one.zone, remove=host("s-0", address="127.0.0.10")).difference(9)
    one.apply(step, 0)
    payloads.append(encode_entry(ZoneChanged(ORIGIN, step)))
    replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
    replay.run(None, payloads)
    again = replay.zones[ORIGIN]
    assert sorted(again.zone.records()) == sorted(one.zone.records())
    assert again.extractor.endpoints == one.extractor.endpoints
    assert again.confirmed_ms == 9
    from_snapshot = ZoneReplay([], SERVICE, LIMITS)
    from_snapshot.run(encode_snapshot([one], ()), [])
    other = ZoneReplay(
        [ORIGIN], SERVICE, LIMITS
    )  # the settings had left the zone out, and name it again
    other.run(encode_snapshot([], from_snapshot.unconfigured_zones()), [])
    assert other.zones[ORIGIN].history.serials() == [1]
    assert sorted(other.zones[ORIGIN].zone.records()) == sorted(one.zone.records())
    with pytest.raises(ZoneError):
        decode_entry(b"\xff\x00")


# Updates (RFC 2136)


def update(*prepare: tuple[str, ...]) -> dns.update.UpdateMessage:
    message = dns.update.UpdateMessage(ORIGIN)
    for call, *words in prepare:
        getattr(message, call)(*words)
    made = dns.message.from_wire(message.to_wire(), one_rr_per_rrset=True)
    assert isinstance(made, dns.update.UpdateMessage)
    return made


def made(start: Zone, *prepare: tuple[str, ...]) -> set[Record]:
    """What an update adds and takes away, without the SOA."""
    draft = PendingVersion(start)
    evaluate(update(*prepare), draft)
    draft.advance_serial()
    step = draft.difference(0)
    return {r for r in (*step.removed, *step.added) if r.type != 6}


@pytest.mark.parametrize(
    ("prepare", "rcode"),
    [
        (("present", "nobody"), dns.rcode.NXDOMAIN),
        (("present", "s-0", "TXT"), None),
        (("present", "s-0", "AAAA"), dns.rcode.NXRRSET),
        (("present", "s-0", "A", "127.0.0.10"), None),
        (("present", "s-0", "A", "127.0.0.11"), dns.rcode.NXRRSET),
        (("absent", "s-0"), dns.rcode.YXDOMAIN),
        (("absent", "nobody"), None),
        (("absent", "s-0", "A"), dns.rcode.YXRRSET),
        (("absent", "s-0", "MX"), None),
        (("present", "elsewhere.org."), dns.rcode.NOTZONE),
        (("add", "x.elsewhere.org.", "60", "A", "10.0.0.1"), dns.rcode.NOTZONE),
    ],
)
def test_prerequisites(prepare: tuple[str, ...], rcode: dns.rcode.Rcode | None) -> None:
    start = zone(1, rooms())
    draft = PendingVersion(start)
    if rcode is None:
        evaluate(update(prepare), draft)
    else:
        with pytest.raises(UpdateRejectedError) as error:
            evaluate(update(prepare, ("add", "y", "60", "A", "10.0.0.1")), draft)
        assert error.value.rcode == rcode


def test_changes_and_what_a_zone_keeps_whatever_is_asked() -> None:
    start = zone(1, rooms(), [rec("alias", "CNAME", "s-0." + ORIGIN)])
    assert {r.owner for r in made(start, ("delete", "s-0"))} == {"s-0." + ORIGIN}
    assert made(start, ("delete", "s-0", "A", "10.9.9.9")) == set()
    assert made(start, ("delete", "@", "NS"), ("delete", "@", "SOA"), ("delete", "@")) == set()
    assert made(start, ("delete", "@", "NS", "ns." + ORIGIN)) == set()  # the last one
    assert made(start, ("add", "alias", "60", "A", "10.0.0.1")) == set()
    assert made(start, ("add", "s-0", "60", "CNAME", "s-1." + ORIGIN)) == set()
    assert len(made(start, ("add", "alias", "60", "CNAME", "s-1." + ORIGIN))) == 2
    assert made(start, ("add", "x", "60", "A", "10.0.0.1"), ("delete", "x")) == set()
    assert len(made(start, ("replace", "s-0", "9", "A", "10.0.0.1"))) == 2


def test_a_serial_moves_by_one_or_as_the_update_says_and_never_back() -> None:
    start = zone(7)
    for told, result in ((9, 9), (6, 8), (7, 8)):
        draft = PendingVersion(start)
        text = f"ns.{ORIGIN} staff.{ORIGIN} {told} 60 10 600 30"
        evaluate(
            update(("add", "x", "60", "A", "10.0.0.1"), ("add", "@", "60", "SOA", text)), draft
        )
        draft.advance_serial()
        assert parse_soa(draft.soa_data).serial == result


# Answers


def test_questions_are_answered_out_of_the_zone() -> None:
    start = zone(1, rooms(), [rec("alias", "CNAME", "s-0." + ORIGIN)])
    found = look_up(start, f"{SERVICE}.room-a.{ORIGIN}", SRV)
    assert (len(found.answer[0]), sorted(str(r.name) for r in found.additional)) == (
        2,
        ["s-0." + ORIGIN, "s-2." + ORIGIN],
    )
    assert look_up(start, "nobody." + ORIGIN, A).rcode == dns.rcode.NXDOMAIN
    none = look_up(start, "s-0." + ORIGIN, 15)
    assert (none.rcode, none.answer, none.authority[0].ttl) == (dns.rcode.NOERROR, [], 30)
    assert (
        look_up(start, f"_tcp.room-a.{ORIGIN}", A).rcode == dns.rcode.NOERROR
    )  # names stand below it
    assert [int(r.rdtype) for r in look_up(start, "alias." + ORIGIN, A).answer] == [5, 1]
    assert len(look_up(start, "s-0." + ORIGIN, 255).answer) == 2

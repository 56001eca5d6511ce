"""Tests of endpoint extraction from SRV, A, AAAA and TXT records."""

from __future__ import annotations

import pytest

from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.endpoint_extraction import EndpointExtractor
from kelpcourse.zones.records import Record
from kelpcourse.zones.versions import build_zone
from tests.zonesamples import (
    ORIGIN,
    SERVICE,
    endpoint_records,
    pending_version_of,
    record,
    zone_with,
)


def extractor_of(*records: Record) -> EndpointExtractor:
    extractor = EndpointExtractor(ORIGIN, SERVICE)
    extractor.start(build_zone(ORIGIN, records))
    return extractor


def test_an_endpoint_has_the_attributes_of_its_records() -> None:
    extractor = extractor_of(
        *endpoint_records(
            "s-1", txt='"kind=m2" "cell=3" "phase=draining" "started=1767225600000"', weight=7
        )
    )
    (endpoint,) = extractor.endpoints.values()
    assert (endpoint.name, endpoint.address, endpoint.zone, endpoint.kind, endpoint.cell) == (
        "s-1",
        ("10.0.0.1", 5000),
        "room-a",
        "m2",
        3,
    )
    assert (endpoint.status, endpoint.weight, endpoint.started_ms) == (
        EndpointStatus.DRAINING,
        7.0,
        1767225600000.0,
    )
    assert extractor.problems() == []


def test_an_endpoint_needs_an_srv_and_an_address_record() -> None:
    srv, address = endpoint_records("s-1")
    assert extractor_of(address).endpoints == {}
    without_address = extractor_of(srv)
    assert without_address.endpoints == {}
    assert [(p.owner, p.field) for p in without_address.problems()] == [
        ("s-1." + ORIGIN, "address")
    ]
    assert extractor_of(srv, record("s-1", "AAAA", "::1")).endpoints["s-1"].address == ("::1", 5000)


@pytest.mark.parametrize(
    ("record", "owner", "field"),
    [
        (record("s-1", "TXT", '"phase=drainin"'), "s-1", "phase"),
        (record("s-1", "TXT", '"cell=-1"'), "s-1", "cell"),
        (record("s-1", "TXT", '"cell=1" "cell=2"'), "s-1", "cell"),
        (record("s-1", "TXT", '"started=now"'), "s-1", "started"),
        (record("s-1", "TXT", '"kind="'), "s-1", "kind"),
        (record("s-1", "TXT", '"started=99999999999999999999"'), "s-1", "started"),
        (record(f"{SERVICE}.room-b", "SRV", "0 1 5000 s-9." + ORIGIN), "s-9", "address"),
        (
            record(f"{SERVICE}.room-b", "SRV", "0 1 5000 s-1.elsewhere."),
            f"{SERVICE}.room-b",
            "target",
        ),
        (record(f"{SERVICE}.room-b", "SRV", "0 1 5000 ."), f"{SERVICE}.room-b", "target"),
        (
            record(f"{SERVICE}.x.room-b", "SRV", "0 1 5000 s-1." + ORIGIN),
            f"{SERVICE}.x.room-b",
            "owner",
        ),
        (record(f"{SERVICE}.room-b", "SRV", "0 1 0 s-2." + ORIGIN), f"{SERVICE}.room-b", "port"),
        (
            record(f"{SERVICE}.room-b", "SRV", "0 1 5000 s-1." + ORIGIN),
            f"{SERVICE}.room-b",
            "target",
        ),
        (record("s-1", "A", "10.0.0.2"), "s-1", "address"),
    ],
)
def test_an_unusable_record_is_reported_and_the_others_are_used(
    record: Record, owner: str, field: str
) -> None:
    extractor = extractor_of(*endpoint_records("s-1"), *endpoint_records("s-3"), record)
    assert [(p.owner, p.field) for p in extractor.problems()] == [(f"{owner}.{ORIGIN}", field)]
    assert sorted(extractor.endpoints) == ["s-1", "s-3"]
    assert extractor.endpoints["s-1"].status is EndpointStatus.READY


def test_the_choice_between_srv_records_of_one_target_does_not_depend_on_their_order() -> None:
    first, second = endpoint_records("s-1", "room-a"), endpoint_records("s-1", "room-b")
    for order in ([*first, *second], [*second, *first]):
        assert extractor_of(*order).endpoints["s-1"].zone == "room-a"
    backup = record(f"{SERVICE}.room-0", "SRV", "9 1 5000 s-1." + ORIGIN)
    extractor = extractor_of(*first, backup)
    assert (extractor.endpoints["s-1"].zone, extractor.problems()) == ("room-a", [])


def test_a_new_address_of_a_target_is_one_change() -> None:
    start = zone_with(1, endpoint_records("s-1"), endpoint_records("s-2"))
    extractor = EndpointExtractor(ORIGIN, SERVICE)
    extractor.start(start)
    pending_version = pending_version_of(
        start,
        [record("s-1", "A", "10.9.9.9"), record("s-1", "TXT", '"started=7"')],
        [record("s-1", "A", "10.0.0.1")],
    )
    update = pending_version.difference(0)
    start.apply(update)
    changes = extractor.apply(update, start)
    assert list(changes) == ["s-1"]
    assert changes["s-1"] is not None
    assert (changes["s-1"].address[0], changes["s-1"].started_ms) == ("10.9.9.9", 7.0)

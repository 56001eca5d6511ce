"""Tests of the evaluation of dynamic updates (RFC 2136)."""

from __future__ import annotations

import dns.rcode
import dns.update
import pytest

from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.records import SOA, Record, parse_soa
from kelpcourse.zones.update import UpdateRejectedError, evaluate
from kelpcourse.zones.versions import Zone
from tests.zonesamples import ORIGIN, record, sample_endpoints, zone_with


def update_message(*calls: tuple[str, ...]) -> dns.update.UpdateMessage:
    message = dns.update.UpdateMessage(ORIGIN)
    for method, *arguments in calls:
        getattr(message, method)(*arguments)
    parsed = dns.message.from_wire(message.to_wire(), one_rr_per_rrset=True)
    assert isinstance(parsed, dns.update.UpdateMessage)
    return parsed


def changes_of(zone: Zone, *calls: tuple[str, ...]) -> set[Record]:
    """Returns the records that an update adds and removes, except the SOA record."""
    pending = PendingVersion(zone)
    evaluate(update_message(*calls), pending)
    pending.advance_serial()
    difference = pending.difference(0)
    return {r for r in (*difference.removed, *difference.added) if r.type != SOA}


@pytest.mark.parametrize(
    ("calls", "rcode"),
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
def test_update_prerequisites(calls: tuple[str, ...], rcode: dns.rcode.Rcode | None) -> None:
    zone = zone_with(1, sample_endpoints())
    pending = PendingVersion(zone)
    if rcode is None:
        evaluate(update_message(calls), pending)
    else:
        with pytest.raises(UpdateRejectedError) as error:
            evaluate(update_message(calls, ("add", "y", "60", "A", "10.0.0.1")), pending)
        assert error.value.rcode == rcode


def test_update_changes_records_within_the_rules_for_soa_ns_and_cname() -> None:
    zone = zone_with(1, sample_endpoints(), [record("alias", "CNAME", "s-0." + ORIGIN)])
    assert {r.owner for r in changes_of(zone, ("delete", "s-0"))} == {"s-0." + ORIGIN}
    assert changes_of(zone, ("delete", "s-0", "A", "10.9.9.9")) == set()
    assert changes_of(zone, ("delete", "@", "NS"), ("delete", "@", "SOA"), ("delete", "@")) == set()
    assert changes_of(zone, ("delete", "@", "NS", "ns." + ORIGIN)) == set()  # The last NS record
    assert changes_of(zone, ("add", "alias", "60", "A", "10.0.0.1")) == set()
    assert changes_of(zone, ("add", "s-0", "60", "CNAME", "s-1." + ORIGIN)) == set()
    assert len(changes_of(zone, ("add", "alias", "60", "CNAME", "s-1." + ORIGIN))) == 2
    assert changes_of(zone, ("add", "x", "60", "A", "10.0.0.1"), ("delete", "x")) == set()
    assert len(changes_of(zone, ("replace", "s-0", "9", "A", "10.0.0.1"))) == 2


def test_update_advances_the_serial_by_one_or_to_a_later_serial_in_its_soa() -> None:
    zone = zone_with(7)
    for new_serial, result in ((9, 9), (6, 8), (7, 8)):
        pending = PendingVersion(zone)
        text = f"ns.{ORIGIN} staff.{ORIGIN} {new_serial} 60 10 600 30"
        evaluate(
            update_message(("add", "x", "60", "A", "10.0.0.1"), ("add", "@", "60", "SOA", text)),
            pending,
        )
        pending.advance_serial()
        assert parse_soa(pending.soa_data).serial == result

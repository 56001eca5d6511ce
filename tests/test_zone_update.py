"""Dynamic updates (RFC 2136)."""

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
    for call, *words in calls:
        getattr(message, call)(*words)
    made = dns.message.from_wire(message.to_wire(), one_rr_per_rrset=True)
    assert isinstance(made, dns.update.UpdateMessage)
    return made


def changes_of(start: Zone, *calls: tuple[str, ...]) -> set[Record]:
    """Returns the records that an update adds and removes, without the SOA record."""
    pending = PendingVersion(start)
    evaluate(update_message(*calls), pending)
    pending.advance_serial()
    step = pending.difference(0)
    return {r for r in (*step.removed, *step.added) if r.type != SOA}


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
    start = zone_with(1, sample_endpoints())
    pending = PendingVersion(start)
    if rcode is None:
        evaluate(update_message(calls), pending)
    else:
        with pytest.raises(UpdateRejectedError) as error:
            evaluate(update_message(calls, ("add", "y", "60", "A", "10.0.0.1")), pending)
        assert error.value.rcode == rcode


def test_an_update_changes_records_but_keeps_soa_ns_and_cname_rules() -> None:
    start = zone_with(1, sample_endpoints(), [record("alias", "CNAME", "s-0." + ORIGIN)])
    assert {r.owner for r in changes_of(start, ("delete", "s-0"))} == {"s-0." + ORIGIN}
    assert changes_of(start, ("delete", "s-0", "A", "10.9.9.9")) == set()
    assert (
        changes_of(start, ("delete", "@", "NS"), ("delete", "@", "SOA"), ("delete", "@")) == set()
    )
    assert changes_of(start, ("delete", "@", "NS", "ns." + ORIGIN)) == set()  # the last one
    assert changes_of(start, ("add", "alias", "60", "A", "10.0.0.1")) == set()
    assert changes_of(start, ("add", "s-0", "60", "CNAME", "s-1." + ORIGIN)) == set()
    assert len(changes_of(start, ("add", "alias", "60", "CNAME", "s-1." + ORIGIN))) == 2
    assert changes_of(start, ("add", "x", "60", "A", "10.0.0.1"), ("delete", "x")) == set()
    assert len(changes_of(start, ("replace", "s-0", "9", "A", "10.0.0.1"))) == 2


def test_the_serial_advances_by_one_or_to_the_soa_of_the_update_and_never_goes_back() -> None:
    start = zone_with(7)
    for told, result in ((9, 9), (6, 8), (7, 8)):
        pending = PendingVersion(start)
        text = f"ns.{ORIGIN} staff.{ORIGIN} {told} 60 10 600 30"
        evaluate(
            update_message(("add", "x", "60", "A", "10.0.0.1"), ("add", "@", "60", "SOA", text)),
            pending,
        )
        pending.advance_serial()
        assert parse_soa(pending.soa_data).serial == result

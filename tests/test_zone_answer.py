"""Tests of the lookup of answers in a zone."""

from __future__ import annotations

import dns.rcode

from kelpcourse.zones.answer import look_up
from kelpcourse.zones.endpoint_extraction import SRV, A
from tests.zonesamples import ORIGIN, SERVICE, record, sample_endpoints, zone_with


def test_lookup_returns_records_and_negative_answers() -> None:
    zone = zone_with(1, sample_endpoints(), [record("alias", "CNAME", "s-0." + ORIGIN)])
    srv_answer = look_up(zone, f"{SERVICE}.room-a.{ORIGIN}", SRV)
    assert (len(srv_answer.answer[0]), sorted(str(r.name) for r in srv_answer.additional)) == (
        2,
        ["s-0." + ORIGIN, "s-2." + ORIGIN],
    )
    assert look_up(zone, "nobody." + ORIGIN, A).rcode == dns.rcode.NXDOMAIN
    empty_answer = look_up(zone, "s-0." + ORIGIN, 15)
    assert (empty_answer.rcode, empty_answer.answer, empty_answer.authority[0].ttl) == (
        dns.rcode.NOERROR,
        [],
        30,
    )
    # The name is an empty non-terminal: it has no records, but a name below it has.
    assert look_up(zone, f"_tcp.room-a.{ORIGIN}", A).rcode == dns.rcode.NOERROR
    assert [int(r.rdtype) for r in look_up(zone, "alias." + ORIGIN, A).answer] == [5, 1]
    assert len(look_up(zone, "s-0." + ORIGIN, 255).answer) == 2

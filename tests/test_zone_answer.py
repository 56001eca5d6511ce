"""Answers from a zone."""

from __future__ import annotations

import dns.rcode

from kelpcourse.zones.answer import look_up
from kelpcourse.zones.endpoint_extraction import SRV, A
from tests.zonesamples import ORIGIN, SERVICE, record, sample_endpoints, zone_with


def test_queries_are_answered_from_the_zone() -> None:
    start = zone_with(1, sample_endpoints(), [record("alias", "CNAME", "s-0." + ORIGIN)])
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

"""Answers of a DNS server out of its zone, over UDP and TCP."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.rcode
import dns.tsig

from tests.zonerig import (
    Client,
    World,
    start_primary,
)
from tests.zonesamples import ORIGIN, SERVICE, endpoint_records, record, sample_endpoints, zone_with

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_queries_are_answered_over_udp_and_tcp(world: World) -> None:
    _part, client = start_primary(world)
    for tcp in (False, True):
        answer = client.query(f"{SERVICE}.room-a.{ORIGIN}", "SRV", tcp)
        assert answer.flags & dns.flags.AA
        assert len(answer.answer[0]) == 2
    assert client.query("nobody." + ORIGIN, "A").rcode() == dns.rcode.NXDOMAIN
    assert client.query("example.com.", "A").rcode() == REFUSED
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert client.query(ORIGIN, "SOA", use_edns=1).rcode() == dns.rcode.BADVERS


def test_an_answer_too_large_for_udp_is_truncated_and_complete_over_tcp(world: World) -> None:
    many = [
        r
        for k in range(60)
        for r in endpoint_records(f"host-with-a-long-name-{k}", address=f"127.0.1.{k}")
    ]
    node = world.primary(zone_with(1, many))
    client, owner = Client(world, node), f"{SERVICE}.room-a.{ORIGIN}"
    cut = client.query(owner, "SRV")
    assert cut.flags & dns.flags.TC
    assert len(cut.to_wire()) <= 512
    assert client.query(owner, "SRV", use_edns=0, payload=4096).flags & dns.flags.TC
    assert len(client.query(owner, "SRV", tcp=True).answer[0]) == 60


def test_records_of_other_types_are_served(world: World) -> None:
    node = world.primary(
        zone_with(
            1,
            sample_endpoints(),
            [record("x", "MX", "5 mail.example.org."), record("x", "TYPE65400", "\\# 2 abcd")],
        )
    )
    assert len(Client(world, node).query("x." + ORIGIN, "TYPE65400").answer) == 1

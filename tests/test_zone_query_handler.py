"""Tests of a DNS server's responses to queries over UDP and TCP."""

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
    _node, client = start_primary(world)
    for tcp in (False, True):
        response = client.query(f"{SERVICE}.room-a.{ORIGIN}", "SRV", tcp)
        assert response.flags & dns.flags.AA
        assert len(response.answer[0]) == 2
    assert client.query("nobody." + ORIGIN, "A").rcode() == dns.rcode.NXDOMAIN
    assert client.query("example.com.", "A").rcode() == REFUSED
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert client.query(ORIGIN, "SOA", use_edns=1).rcode() == dns.rcode.BADVERS


def test_response_too_large_for_udp_is_truncated_and_complete_over_tcp(world: World) -> None:
    many_endpoints = [
        r
        for k in range(60)
        for r in endpoint_records(f"host-with-a-long-name-{k}", address=f"127.0.1.{k}")
    ]
    node = world.primary(zone_with(1, many_endpoints))
    client, owner = Client(world, node), f"{SERVICE}.room-a.{ORIGIN}"
    truncated = client.query(owner, "SRV")
    assert truncated.flags & dns.flags.TC
    assert len(truncated.to_wire()) <= 512
    assert client.query(owner, "SRV", use_edns=0, payload=4096).flags & dns.flags.TC
    assert len(client.query(owner, "SRV", tcp=True).answer[0]) == 60


def test_records_of_types_without_meaning_for_endpoints_are_served(world: World) -> None:
    node = world.primary(
        zone_with(
            1,
            sample_endpoints(),
            [record("x", "MX", "5 mail.example.org."), record("x", "TYPE65400", "\\# 2 abcd")],
        )
    )
    assert len(Client(world, node).query("x." + ORIGIN, "TYPE65400").answer) == 1

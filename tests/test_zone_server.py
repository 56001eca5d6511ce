"""The sockets of a DNS server: malformed messages, idle and slow connections, and their number."""

from __future__ import annotations

import socket
from dataclasses import replace

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
import pytest

from tests.zonerig import (
    FAST_LIMITS,
    MS,
    Client,
    World,
    open_descriptor_count,
    start_primary,
)
from tests.zonesamples import ORIGIN, sample_endpoints, zone_with

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_malformed_messages_are_answered_or_dropped_and_leave_no_descriptors(world: World) -> None:
    node, client = start_primary(world)
    before = open_descriptor_count()
    loop = b"\x12\x34\0\0\0\x01\0\0\0\0\0\0\xc0\x0c\0\x01\0\x01"  # a name that points at itself
    longest = (
        b"\x12\x34\0\0\0\x01\0\0\0\0\0\0"
        + b"\x3f"
        + b"a" * 63
        + b"\x3f"
        + b"b" * 63
        + b"\x3f"
        + b"c" * 63
        + b"\x3d"
        + b"d" * 61
        + b"\0\0\x01\0\x01"
    )
    over = longest.replace(b"\x3d", b"\x3f" + b"e" * 63 + b"\x3d", 1)
    for wire, rcode in ((loop, dns.rcode.FORMERR), (over, dns.rcode.FORMERR), (longest, REFUSED)):
        assert (
            dns.message.from_wire(client.receive(client.send(wire)), continue_on_error=True).rcode()
            == rcode
        )
    for wire in (b"", b"\0" * 11, b"\xff" * 300):  # too short, or an answer: nothing is said
        client.send(wire).close()
    halves = [client.send(b"\x00\x50abc", tcp=True) for _ in range(20)]
    idle = [client.send(b"", tcp=True) for _ in range(100)]
    world.run_until(lambda: node.counters["dns_connections"] >= 100)
    world.run_for_us(500 * MS)
    assert client.query(ORIGIN, "SOA", tcp=True).rcode() == NOERROR
    for sock in (*halves, *idle):
        sock.close()
    world.run_for_us(300 * MS)
    assert open_descriptor_count() <= before + 3


def test_connections_are_bounded_and_the_longest_idle_is_evicted(world: World) -> None:
    node = world.primary(
        zone_with(1, sample_endpoints()), limits=replace(FAST_LIMITS, max_dns_tcp_connections=8)
    )
    client = Client(world, node)
    crowd = []
    for _ in range(30):
        crowd.append(socket.create_connection(node.address))
        world.run_once()
    assert client.query(ORIGIN, "SOA", tcp=True).rcode() == NOERROR
    assert node.counters["dns_connections_evicted"] >= 22
    for sock in crowd:
        sock.close()


@pytest.mark.parametrize(
    "drip", [b"\0", b"\1"]
)  # messages of no length, and a long one that never ends
def test_a_client_that_sends_slowly_is_disconnected(world: World, drip: bytes) -> None:
    _part, client = start_primary(world)
    sock = client.send(b"", tcp=True)
    sock.setblocking(False)
    for _ in range(200):
        try:
            sock.send(drip)
        except OSError:
            break
        world.run_for_us(2 * MS)
    else:
        raise AssertionError("it is held for good")

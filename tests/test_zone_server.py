"""Tests of a DNS server's sockets: malformed messages, idle and slow connections, and the limit of connections."""

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
    descriptors_before = open_descriptor_count()
    # A query whose name is a compression pointer to itself.
    pointer_loop = b"\x12\x34\0\0\0\x01\0\0\0\0\0\0\xc0\x0c\0\x01\0\x01"
    longest_name = (
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
    too_long_name = longest_name.replace(b"\x3d", b"\x3f" + b"e" * 63 + b"\x3d", 1)
    for wire, rcode in (
        (pointer_loop, dns.rcode.FORMERR),
        (too_long_name, dns.rcode.FORMERR),
        (longest_name, REFUSED),
    ):
        assert (
            dns.message.from_wire(client.receive(client.send(wire)), continue_on_error=True).rcode()
            == rcode
        )
    for wire in (b"", b"\0" * 11, b"\xff" * 300):  # Dropped: too short, or a response
        client.send(wire).close()
    partial_connections = [client.send(b"\x00\x50abc", tcp=True) for _ in range(20)]
    idle_connections = [client.send(b"", tcp=True) for _ in range(100)]
    world.run_until(lambda: node.counters["dns_connections"] >= 100)
    world.run_for_us(500 * MS)
    assert client.query(ORIGIN, "SOA", tcp=True).rcode() == NOERROR
    for sock in (*partial_connections, *idle_connections):
        sock.close()
    world.run_for_us(300 * MS)
    assert open_descriptor_count() <= descriptors_before + 3


def test_longest_idle_connection_is_evicted_at_the_connection_limit(world: World) -> None:
    node = world.primary(
        zone_with(1, sample_endpoints()), limits=replace(FAST_LIMITS, max_dns_tcp_connections=8)
    )
    client = Client(world, node)
    connections = []
    for _ in range(30):
        connections.append(socket.create_connection(node.address))
        world.run_once()
    assert client.query(ORIGIN, "SOA", tcp=True).rcode() == NOERROR
    assert node.counters["dns_connections_evicted"] >= 22
    for sock in connections:
        sock.close()


# A client that sends empty messages, and one that sends a long message without completing it.
@pytest.mark.parametrize("data", [b"\0", b"\1"])
def test_slow_client_is_disconnected(world: World, data: bytes) -> None:
    _node, client = start_primary(world)
    sock = client.send(b"", tcp=True)
    sock.setblocking(False)
    for _ in range(200):
        try:
            sock.send(data)
        except OSError:
            break
        world.run_for_us(2 * MS)
    else:
        raise AssertionError("the connection was not closed")

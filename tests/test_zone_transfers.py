"""Tests of zone transfers and NOTIFY between a primary and its secondaries."""

from __future__ import annotations

import contextlib
import socket

import dns.flags
import dns.message
import dns.rcode
import dns.tsig

from tests.zonerig import (
    KEY,
    SECOND,
    World,
    added_endpoint,
    start_primary,
)
from tests.zonesamples import ORIGIN, endpoint_records, zone_with

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_secondary_follows_with_notify_and_incremental_transfers(world: World) -> None:
    secondary_node = world.secondary(("127.0.0.1", 1))
    node, client = start_primary(world, more=f'notify "127.0.0.1:{secondary_node.address[1]}"')
    secondary_node.kill()
    follower = world.secondary(node.address, name="third")
    world.run_until(lambda: follower.serial == 1)
    assert follower.statuses == node.statuses
    assert client.update(*added_endpoint("s-9")) == NOERROR
    follower.zones.notify_received(ORIGIN)
    world.run_until(lambda: follower.serial == 2)
    assert "s-9" in follower.statuses
    assert node.counters["zone_ixfr_out"] == 1
    assert sorted(follower.zones.zone_states[ORIGIN].zone.records()) == sorted(
        node.zones.zone_states[ORIGIN].zone.records()
    )


def test_notify_is_retried_until_it_is_acknowledged(world: World) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    _node, _client = start_primary(world, more=f'notify "127.0.0.1:{sock.getsockname()[1]}"')
    received: list[tuple[bytes, tuple[str, int]]] = []

    def received_count() -> int:
        with contextlib.suppress(BlockingIOError):
            received.append(sock.recvfrom(4096))
        return len(received)

    world.run_until(lambda: received_count() >= 2)
    message = dns.message.from_wire(received[-1][0])
    assert (message.opcode(), message.answer[0][0].serial) == (dns.opcode.NOTIFY, 1)
    sock.sendto(dns.message.make_response(message).to_wire(), received[-1][1])
    world.run_for_us(3 * SECOND)
    assert received_count() == 2
    sock.close()


def test_transfer_requires_an_allowed_key_and_axfr_requires_tcp(world: World) -> None:
    _, client = start_primary(world)
    assert client.query(ORIGIN, "AXFR", tcp=True).rcode() == REFUSED
    signed = dns.message.make_query(ORIGIN, "AXFR")
    signed.use_tsig(KEY)
    assert client.exchange(signed).rcode() == dns.rcode.FORMERR
    signed = dns.message.make_query(ORIGIN, "AXFR")
    signed.use_tsig(KEY)
    assert len(client.exchange(signed, tcp=True).answer) >= 8


def test_zone_larger_than_one_message_is_transferred_completely(world: World) -> None:
    many_endpoints = [
        r
        for k in range(700)
        for r in endpoint_records(f"h-{k}", address=f"127.{k % 200}.1.{k // 200}", txt='"kind=m2"')
    ]
    node = world.primary(zone_with(1, many_endpoints))
    secondary_node = world.secondary(node.address)
    world.run_until(lambda: secondary_node.serial == 1)
    assert len(secondary_node.statuses) == 700

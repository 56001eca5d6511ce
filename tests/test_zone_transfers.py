"""Zone transfers and NOTIFY between a primary and its secondaries."""

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


def test_a_secondary_follows_by_notify_and_differences(world: World) -> None:
    second = world.secondary(("127.0.0.1", 1))
    node, client = start_primary(world, more=f'notify "127.0.0.1:{second.address[1]}"')
    second.kill()
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
    _part, _client = start_primary(world, more=f'notify "127.0.0.1:{sock.getsockname()[1]}"')
    heard: list[tuple[bytes, tuple[str, int]]] = []

    def told() -> int:
        with contextlib.suppress(BlockingIOError):
            heard.append(sock.recvfrom(4096))
        return len(heard)

    world.run_until(lambda: told() >= 2)
    message = dns.message.from_wire(heard[-1][0])
    assert (message.opcode(), message.answer[0][0].serial) == (dns.opcode.NOTIFY, 1)
    sock.sendto(dns.message.make_response(message).to_wire(), heard[-1][1])
    world.run_for_us(3 * SECOND)
    assert told() == 2
    sock.close()


def test_transfers_need_an_allowed_key_and_axfr_needs_tcp(world: World) -> None:
    _, client = start_primary(world)
    assert client.query(ORIGIN, "AXFR", tcp=True).rcode() == REFUSED
    signed = dns.message.make_query(ORIGIN, "AXFR")
    signed.use_tsig(KEY)
    assert client.exchange(signed).rcode() == dns.rcode.FORMERR
    signed = dns.message.make_query(ORIGIN, "AXFR")
    signed.use_tsig(KEY)
    assert len(client.exchange(signed, tcp=True).answer) >= 8


def test_a_zone_of_many_messages_is_transferred_completely(world: World) -> None:
    many = [
        r
        for k in range(700)
        for r in endpoint_records(f"h-{k}", address=f"127.{k % 200}.1.{k // 200}", txt='"kind=m2"')
    ]
    node = world.primary(zone_with(1, many))
    second = world.secondary(node.address)
    world.run_until(lambda: second.serial == 1)
    assert len(second.statuses) == 700

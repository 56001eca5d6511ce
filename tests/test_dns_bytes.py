"""Byte-for-byte comparison of DNS responses, transfers, NOTIFY messages and updates with recorded ones.

The expected bytes in `golden/wire/` were recorded once and are never regenerated.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import dns.flags
import dns.message
import dns.opcode
import dns.rdatatype
import dns.rrset
import dns.tsig
import pytest

from tests.zonerig import KEY, Client, World, ZoneNode, added_endpoint, update_message
from tests.zonesamples import ORIGIN, SERVICE, endpoint_records, sample_endpoints, zone_with

GOLDEN = Path(__file__).parent / "golden" / "wire"
NOW_S = 1_700_000_000


@pytest.fixture
def world(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """Services with a constant Unix time, which is part of signatures, and with record sets in a constant order."""
    monkeypatch.setattr("time.time", lambda: float(NOW_S))
    monkeypatch.setattr("random.shuffle", lambda _: None)
    test_world = World(tmp_path)
    yield test_world
    test_world.close()


def golden(name: str) -> bytes:
    return bytes.fromhex((GOLDEN / f"{name}.hex").read_text())


def primary(world: World, more: str = "") -> tuple[ZoneNode, Client]:
    many_endpoints = [
        r for k in range(40) for r in endpoint_records(f"n-{k}", "room-c", address=f"127.0.1.{k}")
    ]
    node = world.primary(zone_with(1, sample_endpoints(), many_endpoints), more=more)
    world.run_until(lambda: node.zones.zone_states[ORIGIN].zone.exists)
    return node, Client(world, node)


def exchange(client: Client, wire: bytes, tcp: bool) -> bytes:
    connection = client.send(wire, tcp)
    try:
        return client.receive(connection, tcp)
    finally:
        connection.close()


DNS_QUERIES = (
    ("a", f"s-0.{ORIGIN}", "A", False),
    ("txt", f"s-1.{ORIGIN}", "TXT", False),
    ("srv", f"{SERVICE}.room-a.{ORIGIN}", "SRV", False),
    ("soa", ORIGIN, "SOA", False),
    ("any", f"s-0.{ORIGIN}", "ANY", True),
    ("nxdomain", f"nobody.{ORIGIN}", "A", False),
    ("no-data", f"s-0.{ORIGIN}", "AAAA", False),
    ("refused", "example.com.", "A", False),
    ("truncated", f"{SERVICE}.room-c.{ORIGIN}", "SRV", False),
    ("long-over-tcp", f"{SERVICE}.room-c.{ORIGIN}", "SRV", True),
)


@pytest.mark.parametrize(("name", "owner", "rdtype", "tcp"), DNS_QUERIES)
def test_dns_responses_match_golden_bytes(
    world: World, name: str, owner: str, rdtype: str, tcp: bool
) -> None:
    _, client = primary(world)
    query = dns.message.make_query(owner, rdtype, id=4242)
    assert exchange(client, query.to_wire(), tcp) == golden(name)


def test_edns_responses_match_golden_bytes(world: World) -> None:
    _, client = primary(world)
    owner = f"{SERVICE}.room-a.{ORIGIN}"
    query = dns.message.make_query(owner, "SRV", id=4242, use_edns=0, payload=1232)
    assert exchange(client, query.to_wire(), False) == golden("edns")
    query = dns.message.make_query(owner, "SRV", id=4242, use_edns=1)
    assert exchange(client, query.to_wire(), False) == golden("bad-version")


@pytest.mark.parametrize(
    ("name", "wire"), [("unreadable", bytes(9) + b"\1\0\0"), ("status", b"\0\7\x10" + bytes(9))]
)
def test_dns_error_responses_match_golden_bytes(world: World, name: str, wire: bytes) -> None:
    _, client = primary(world)
    assert exchange(client, wire, False) == golden(name)


def signed(rdtype: str, serial: int | None = None) -> bytes:
    query = dns.message.make_query(ORIGIN, rdtype, id=4242)
    if serial is not None:
        soa = f"ns.{ORIGIN} staff.{ORIGIN} {serial} 60 10 600 30"
        query.authority.append(dns.rrset.from_text(ORIGIN, 60, "IN", "SOA", soa))
    query.use_tsig(KEY)
    return query.to_wire()


def test_transfers_match_golden_bytes(world: World) -> None:
    _, client = primary(world)
    assert exchange(client, signed("AXFR"), True) == golden("axfr")
    assert client.update(*added_endpoint("s-9")) == dns.rcode.NOERROR
    assert exchange(client, signed("IXFR", 1), True) == golden("ixfr")
    assert exchange(client, signed("IXFR", 2), True) == golden("ixfr-current")
    assert exchange(client, signed("IXFR", 2), False) == golden("ixfr-udp")
    assert exchange(client, signed("IXFR", 77), True) == golden("ixfr-whole")
    assert exchange(client, signed("AXFR"), False) == golden("axfr-udp")


def update(*calls: tuple[str, ...], key: dns.tsig.Key | None = KEY) -> bytes:
    message = update_message(*calls, key=None)
    message.id = 4242
    if key is not None:
        message.use_tsig(key)
    return message.to_wire()


def test_update_responses_match_golden_bytes(world: World) -> None:
    _, client = primary(world)
    add = added_endpoint("s-9")
    unknown = dns.tsig.Key("nobody.", KEY.secret, KEY.algorithm)
    assert exchange(client, update(*add), False) == golden("update")
    assert exchange(client, update(*add, key=None), False) == golden("update-unsigned")
    assert exchange(client, update(*add, key=unknown), False) == golden("update-bad-key")
    prerequisite = update(("present", "s-0", "AAAA"), *add)
    assert exchange(client, prerequisite, True) == golden("update-prerequisite")


def test_notify_and_its_response_match_golden_bytes(world: World) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as secondary_socket:
        secondary_socket.bind(("127.0.0.1", 0))
        secondary_socket.setblocking(False)
        _node, _ = primary(world, more=f'notify "127.0.0.1:{secondary_socket.getsockname()[1]}"')
        received: list[bytes] = []

        def notify_received() -> bool:
            try:
                received.append(secondary_socket.recv(4096))
            except BlockingIOError:
                return False
            return True

        world.run_until(notify_received)
    assert received[0][2:] == golden("notify")[2:]  # Without the ID, which is random
    secondary_node = world.secondary(("127.0.0.1", 1))
    notify = dns.message.make_query(ORIGIN, "SOA", id=4242)
    notify.set_opcode(dns.opcode.NOTIFY)
    notify.flags |= dns.flags.AA
    response = exchange(Client(world, secondary_node), notify.to_wire(), False)
    assert response == golden("notify-answer")

"""Floods of the DNS server: one client can't keep others waiting, make parsing expensive or fill the memory."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Iterator

import dns.message
import dns.rcode
import dns.tsig
import pytest

from kelpcourse.zones.datagram_queue import CLIENT_SHARE_DIVISOR, Datagram, DatagramQueue
from kelpcourse.zones.deduplication import UpdateDeduplicator
from kelpcourse.zones.message_screening import MAX_QUERY_BYTES
from kelpcourse.zones.tcp_framing import frame
from tests.zonerig import (
    KEY,
    MS,
    OTHER_SECRET_KEY,
    World,
    added_endpoint,
    start_primary,
    update_message,
)
from tests.zonesamples import LIMITS, ORIGIN

FLOOD = 150  # requests of one client that are sent before those of another
# Requests that may be handled before that of another client: those of the turn in which it is read.
MAX_OVERTAKEN = 2 * LIMITS.max_dns_requests_per_turn
CLIENTS = 32
NOERROR = dns.rcode.NOERROR


def large_update(key: dns.tsig.Key | None) -> bytes:
    changes = [("add", f"n-{number}", "60", "A", "127.0.0.1") for number in range(1_000)]
    return update_message(*changes, key=key).to_wire()


def large_query() -> bytes:
    """Returns a query with as many records as the update, in the same section."""
    update = large_update(None)
    return update[:2] + bytes(2) + update[4:]


@pytest.fixture
def parsed_sizes(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Sizes of the messages that are parsed."""
    sizes: list[int] = []
    parse = dns.message.from_wire

    def record(wire: bytes, **options: object) -> dns.message.Message:
        sizes.append(len(wire))
        return parse(wire, **options)  # type: ignore[arg-type]

    monkeypatch.setattr("dns.message.from_wire", record)
    return sizes


@pytest.mark.parametrize("tcp", [False, True], ids=["udp", "tcp"])
@pytest.mark.parametrize(
    ("wire", "rcode"),
    [
        (large_query(), dns.rcode.FORMERR),
        (large_update(key=None), dns.rcode.REFUSED),
        (large_update(key=OTHER_SECRET_KEY), dns.rcode.NOTAUTH),
    ],
    ids=["query", "unsigned", "badly_signed"],
)
def test_large_messages_of_unauthenticated_clients_are_not_parsed(
    world: World, parsed_sizes: list[int], wire: bytes, rcode: dns.rcode.Rcode, tcp: bool
) -> None:
    """Guards against a process that stands still while it parses thousands of records of an unsound message."""
    _node, client = start_primary(world)
    response = client.receive(client.send(wire, tcp), tcp)
    assert (response[3] & 15, response[:2]) == (rcode, wire[:2])
    assert max(parsed_sizes, default=0) <= MAX_QUERY_BYTES


def test_a_large_signed_update_is_applied(world: World) -> None:
    node, client = start_primary(world)
    assert client.receive(client.send(large_update(key=KEY), True), True)[3] & 15 == NOERROR
    assert len(node.zones.zone_states[ORIGIN].zone) > 1_000


def test_a_request_over_udp_does_not_wait_for_those_of_another_client(world: World) -> None:
    """Guards against answers that come late or never while another client sends at full speed."""
    node, client = start_primary(world)
    handled = node.counters["dns_messages"]
    query = dns.message.make_query(ORIGIN, "SOA").to_wire()
    with connected_udp(node.address) as flooding:
        for _ in range(FLOOD):
            flooding.send(query)
        assert client.query(ORIGIN, "SOA").rcode() == NOERROR
    assert node.counters["dns_messages"] - handled <= MAX_OVERTAKEN


def test_a_client_that_fills_a_buffer_does_not_shut_others_out(world: World) -> None:
    """Guards against answers that never come, as the system drops requests while one client sends at full speed."""
    node, _ = start_primary(world)
    query = dns.message.make_query(ORIGIN, "SOA").to_wire()
    with contextlib.ExitStack() as stack:
        flooding = stack.enter_context(connected_udp(node.address))
        flooding.setblocking(False)
        for _ in range(20_000):  # more than the buffer of a socket holds
            with contextlib.suppress(OSError):
                flooding.send(query)
        others = [stack.enter_context(connected_udp(node.address)) for _ in range(CLIENTS)]
        for other in others:
            other.setblocking(False)
            other.send(query)
        world.run_for_us(100 * MS)
        answered = sum(has_data(other) for other in others)
    assert answered >= CLIENTS // 2


def has_data(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(512))
    except BlockingIOError:
        return False


def test_a_request_over_tcp_does_not_wait_for_those_of_another_client(world: World) -> None:
    """Guards against answers that come late while another client has sent many requests on one connection."""
    node, client = start_primary(world)
    handled = node.counters["dns_messages"]
    query = frame(dns.message.make_query(ORIGIN, "SOA").to_wire())
    with socket.create_connection(node.address) as flooding:
        # The read buffer has grown to the size of the first message when it reads the others.
        flooding.sendall(frame(bytes(60_000)) + query * 2_000)
        world.run_until(lambda: node.counters["dns_messages"] > handled)
        assert client.query(ORIGIN, "SOA", tcp=True).rcode() == NOERROR
        assert client.query(ORIGIN, "SOA").rcode() == NOERROR
    assert node.counters["dns_messages"] - handled <= MAX_OVERTAKEN


def test_requests_of_a_client_that_has_reset_its_connection_are_dropped(world: World) -> None:
    """Guards against an update that takes effect after what the client has sent since on another connection."""
    node, client = start_primary(world)
    updates = [
        frame(update_message(("add", f"n-{number}", "60", "A", "127.0.0.1")).to_wire())
        for number in range(200)
    ]
    leaving = socket.create_connection(node.address)
    leaving.sendall(frame(bytes(60_000)) + b"".join(updates))
    world.run_until(lambda: node.counters["zone_updates"])
    leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    leaving.close()
    handled = node.counters["zone_updates"]
    assert client.update(*added_endpoint("s-9"), tcp=True) == NOERROR
    assert handled + 1 <= node.counters["zone_updates"] <= handled + 2


@contextlib.contextmanager
def connected_udp(address: tuple[str, int]) -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(address)
        yield sock


def test_datagrams_of_one_client_take_a_part_of_the_queue_and_the_oldest_are_dropped() -> None:
    queue = DatagramQueue(CLIENT_SHARE_DIVISOR * 2, CLIENT_SHARE_DIVISOR * 10)
    first, second = ("127.0.0.1", 1), ("127.0.0.1", 2)
    assert [queue.put(Datagram(bytes([k]), first)) for k in range(4)] == [0, 0, 1, 1]
    assert queue.put(Datagram(b"x" * 10, second)) == 0
    assert queue.put(Datagram(b"y", second)) == 1  # too large beside the other one
    taken = [queue.take() for _ in range(len(queue))]
    assert taken == [Datagram(b"\x02", first), Datagram(b"y", second), Datagram(b"\x03", first)]


def test_a_full_queue_of_datagrams_stays_within_its_limits() -> None:
    queue = DatagramQueue(64, 640)
    for port in range(200):
        for size in (1, 15, 30):
            queue.put(Datagram(b"x" * size, ("127.0.0.1", port)))
            assert len(queue) <= 64
    total_bytes = sum(len(queue.take().wire) for _ in range(len(queue)))
    assert total_bytes <= 640


def test_repetitions_that_wait_for_an_update_are_limited() -> None:
    """Guards against memory that grows while an update that waits for the disk is sent again at full speed."""
    deduplicator = UpdateDeduplicator(100, LIMITS.max_waiting_dns_repetitions)
    rcodes: list[dns.rcode.Rcode] = []
    assert deduplicator.register(b"mac", 0, rcodes.append)
    for _ in range(1_000):
        assert not deduplicator.register(b"mac", 0, rcodes.append)
    waiting = 1 + LIMITS.max_waiting_dns_repetitions
    assert rcodes == [dns.rcode.SERVFAIL] * (1_001 - waiting)
    deduplicator.complete(b"mac", NOERROR, 0)
    assert rcodes[-waiting:] == [NOERROR] * waiting

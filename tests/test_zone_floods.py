"""Floods of the DNS server: one client can't keep others waiting, make parsing expensive or fill the memory."""

from __future__ import annotations

import dns.message
import dns.rcode
import dns.tsig
import pytest

from kelpcourse.zones.message_screening import MAX_QUERY_BYTES
from tests.zonerig import (
    KEY,
    OTHER_SECRET_KEY,
    World,
    start_primary,
    update_message,
)
from tests.zonesamples import ORIGIN

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

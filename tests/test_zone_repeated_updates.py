"""An update that is sent again after a restart takes effect once, whenever the process was killed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import dns.message
import dns.rcode
import pytest

from kelpcourse.store.folder import Folder
from kelpcourse.zones.applied_updates import RETENTION_MS, AppliedUpdate, AppliedUpdates
from kelpcourse.zones.persistence import (
    ZoneChanged,
    ZoneReplay,
    ZoneSnapshotWithUpdates,
    ZoneUpdated,
    decode_entry,
    encode_entry,
    encode_snapshot,
)
from tests.zonerig import (
    FAST_LIMITS,
    MS,
    Client,
    World,
    ZoneNode,
    added_endpoint,
    start_primary,
    update_message,
)
from tests.zonesamples import LIMITS, ORIGIN, SERVICE, sample_endpoints, zone_state_of, zone_with

NOERROR = dns.rcode.NOERROR


def restarted(world: World, node: ZoneNode) -> tuple[ZoneNode, Client]:
    node.kill()
    new = world.node(node.path)
    writer = new.zones.store.writer
    assert writer is not None
    world.run_until(lambda: not writer.broken)
    return new, Client(world, new)


def send(client: Client, wire: bytes) -> dns.rcode.Rcode:
    return dns.message.from_wire(client.receive(client.send(wire)), keyring=False).rcode()


STEPS: list[Callable[[Client, bytes], object]] = [
    lambda client, wire: send(client, wire),
    lambda client, _: client.update(("delete", "s-9")),
    lambda client, _: client.update(*added_endpoint("s-8")),
]


@pytest.mark.parametrize("killed_after", range(1, len(STEPS) + 1))
@pytest.mark.parametrize("kills", [1, 3])
def test_an_update_sent_again_after_a_restart_changes_nothing(
    world: World, killed_after: int, kills: int
) -> None:
    """Guards against a removed server that is announced again by an update that its client sends once more."""
    node, client = start_primary(world)
    wire = update_message(*added_endpoint("s-9")).to_wire()
    for position, step in enumerate(STEPS, 1):
        step(client, wire)
        if position == killed_after:
            for _ in range(kills):
                node, client = restarted(world, node)
    serial = node.serial
    assert send(client, wire) == NOERROR
    assert (node.serial, "s-9" in node.statuses) == (serial, False)
    assert node.counters["zone_updates_deduplicated"] == 1


def test_updates_are_remembered_by_a_snapshot(world: World) -> None:
    limits = replace(FAST_LIMITS, min_compaction_bytes=1)
    node = world.primary(zone_with(1, sample_endpoints()), limits=limits)
    writer = node.zones.store.writer
    assert writer is not None
    world.run_until(lambda: not writer.broken)
    client = Client(world, node)
    wire = update_message(*added_endpoint("s-9")).to_wire()
    assert send(client, wire) == NOERROR
    assert client.update(("delete", "s-9")) == NOERROR
    generations = set(Folder(node.path / "state").names()) - {"lock"}
    for number in range(40):
        assert client.update(*added_endpoint(f"n-{number}")) == NOERROR
        world.run_for_us(5 * MS)
    assert generations.isdisjoint(Folder(node.path / "state").names())
    node, client = restarted(world, node)
    assert send(client, wire) == NOERROR
    assert "s-9" not in node.statuses


def test_an_update_that_did_not_become_durable_is_applied_when_it_is_sent_again(
    world: World,
) -> None:
    node, client = start_primary(world)
    wire = update_message(*added_endpoint("s-9")).to_wire()
    client.send(wire).close()
    node, client = restarted(world, node)
    assert send(client, wire) == NOERROR
    assert "s-9" in node.statuses


def test_remembered_updates_are_forgotten_when_their_signatures_have_expired() -> None:
    applied = AppliedUpdates(3)
    for number in range(5):
        applied.add(AppliedUpdate(bytes([number]), number))
    assert [update.accepted_ms for update in applied] == [2, 3, 4]
    applied.add(AppliedUpdate(b"later", RETENTION_MS + 4))
    assert [update.accepted_ms for update in applied] == [4, RETENTION_MS + 4]
    applied.forget_before(RETENTION_MS + 5)
    assert len(applied) == 0


def test_a_snapshot_with_updates_has_its_own_format_and_the_older_one_is_read() -> None:
    """The bytes of both are stored data: later versions have to read them."""
    zone = zone_state_of(zone_with(1))
    old = encode_snapshot([zone], ())
    new = encode_snapshot([zone], (), [AppliedUpdate(b"\x01\x02", 1_700_000_000_000)])
    assert new == b"\x93\xa9snapshot2" + old[len(b"\x92\xa8snapshot") :] + bytes.fromhex(
        "9192c4020102cf0000018bcfe56800"
    )
    difference = zone.difference_to(zone_with(2), 5)
    changed = encode_entry(ZoneChanged(ORIGIN, difference))
    updated = encode_entry(ZoneUpdated(ORIGIN, difference, b"\x01\x02"))
    assert updated == b"\x94\xa7updated" + changed[len(b"\x93\xa7changed") :] + b"\xc4\x02\x01\x02"
    decoded = decode_entry(new)
    assert isinstance(decoded, ZoneSnapshotWithUpdates)
    assert encode_entry(decoded) == new
    for payload, count in ((old, 0), (new, 1)):
        replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
        replay.run(payload, [])
        assert (len(replay.applied_updates), replay.zones[ORIGIN].zone.serial) == (count, 1)

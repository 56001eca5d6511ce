"""Tests of restoring former versions of a zone by commands in the state folder."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
import msgspec

from kelpcourse.zones.restore import RestoreResult
from tests.zonerig import (
    SECOND,
    SUBMIT,
    World,
    room_a_removal,
    start_primary,
)
from tests.zonesamples import ORIGIN

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_endpoints_restored_after_the_grace_period_count_as_restarted(world: World) -> None:
    node, client = start_primary(world, classes=(SUBMIT,))
    assert client.update(*room_a_removal()) == NOERROR
    assert set(node.statuses) == {"s-1", "s-3"}
    assert node.list_changes[-1] == ({"s-0": "gone", "s-2": "gone"}, False)  # In one change
    assert node.log.named("zone_classes_without_endpoints")[-1]["classes"] == ["move-submit"]
    world.run_for_us(3 * SECOND)  # Longer than the grace period
    (node.path / "state" / "command-1.json").write_bytes(
        b'{"origin":"%s","serial":1}' % ORIGIN.encode()
    )
    result_path = node.path / "state" / "answer-1.json"
    world.run_until(result_path.exists)
    assert msgspec.json.decode(result_path.read_bytes(), type=RestoreResult) == RestoreResult(3, 4)
    assert set(node.statuses) == {f"s-{k}" for k in range(4)}
    assert node.serial == 3
    assert node.endpoints["s-0"].started_ms > 1e12  # It counts as started now, so it is warming up
    assert node.endpoints["s-1"].started_ms == 0
    assert node.log.named("zone_classes_without_endpoints")[-1]["classes"] == []


def test_a_rejected_restore_reports_its_reason(world: World) -> None:
    node, _ = start_primary(world)
    for number, body in (
        (1, b'{"origin":"%s","serial":77}' % ORIGIN.encode()),
        (2, b'{"origin":"x.","serial":1}'),
        (3, b"{"),
    ):
        (node.path / "state" / f"command-{number}.json").write_bytes(body)
        result_path = node.path / "state" / f"answer-{number}.json"
        world.run_until(result_path.exists)
        assert msgspec.json.decode(result_path.read_bytes(), type=RestoreResult).error
    assert node.serial == 1

"""Tests of the store of the zones when a write is incomplete, the disk is full or a sync fails."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
import pytest

from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import HEADER_BYTES, Kind, read
from kelpcourse.store.recovery import from_bytes
from kelpcourse.zones.persistence import ZoneReplay
from tests.zonerig import (
    World,
    added_endpoint,
    start_primary,
    update_message,
)
from tests.zonesamples import LIMITS, ORIGIN, SERVICE

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_an_update_truncated_at_any_byte_is_recovered_completely_or_not_at_all(
    world: World,
) -> None:
    node, client = start_primary(world)
    for k in range(3):
        assert client.update(*added_endpoint(f"n-{k}")) == NOERROR
    final = sorted(node.zones.zone_states[ORIGIN].zone.records())
    node.kill()
    folder = Folder(node.path / "state")
    files = {name: folder.read(name) for name in folder.names()}
    journal = max(name for name in files if name.startswith("journal"))
    data = files[journal]
    records = read(Kind.JOURNAL, data).records
    versions: dict[int, int] = {}
    for cut in range(HEADER_BYTES, len(data) + 1):
        found = from_bytes({**files, journal: data[:cut]})
        if cut % 7 and cut < len(data) - 40 and len(found.records) in versions:
            # The tests of the store check each byte; this test checks each version and the end of the last record.
            continue
        replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
        replay.run(found.snapshot, [r.payload for r in found.records])
        zone_state = replay.zones[ORIGIN]
        serial = zone_state.zone.serial if zone_state.zone.exists else 0
        versions[len(found.records)] = serial
        assert {f"n-{k}" for k in range(serial - 1)} == {
            h for h in zone_state.extractor.endpoints if h[0] == "n"
        }
        assert replay.warnings == []
    assert len(records) == 4  # The zone file and three updates
    assert versions == {count: count for count in range(5)}
    assert sorted(zone_state.zone.records()) == final


class FaultyFolder(Folder):
    """A folder whose writes or syncs fail if the test sets the flag."""

    disk_full = False
    sync_fails = False

    def write(self, fd: int, data: bytes, offset: int) -> None:
        if FaultyFolder.disk_full:
            raise OSError(28, "No space left on device")
        super().write(fd, data, offset)

    def sync(self, fd: int) -> None:
        if FaultyFolder.sync_fails:
            raise OSError(5, "Input/output error")


def test_updates_are_rejected_and_queries_answered_while_the_disk_is_full(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world)
    monkeypatch.setattr(FaultyFolder, "disk_full", True)
    assert client.update(*added_endpoint("s-9")) == dns.rcode.SERVFAIL
    assert (node.serial, "s-9" in node.statuses) == (1, False)
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert node.log.named("store_failed")
    monkeypatch.setattr(FaultyFolder, "disk_full", False)
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert node.serial == 2


def test_a_failed_sync_undoes_all_pending_updates(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world)
    monkeypatch.setattr(FaultyFolder, "sync_fails", True)
    codes = client.update_all([update_message(*added_endpoint(f"n-{k}")) for k in range(5)])
    assert codes == [dns.rcode.SERVFAIL] * 5
    # No new generation exists yet.
    assert client.update(*added_endpoint("s-9")) == dns.rcode.SERVFAIL
    monkeypatch.setattr(FaultyFolder, "sync_fails", False)
    world.run_until(
        lambda: not node.zones.store.writer.broken if node.zones.store.writer else False
    )
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert (node.serial, len(node.statuses)) == (2, 5)
    node.kill()
    assert set(world.node(node.path).statuses) == {"s-0", "s-1", "s-2", "s-3", "s-9"}

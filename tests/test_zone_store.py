"""The store of the zones when a write is torn, the disk is full or a sync fails."""

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


def test_an_update_torn_at_any_byte_is_recovered_in_full_or_not_at_all(world: World) -> None:
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
            continue  # the store's own tests look at each byte; here each version and the last record's tail
        replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
        replay.run(found.snapshot, [r.payload for r in found.records])
        known = replay.zones[ORIGIN]
        serial = known.zone.serial if known.zone.exists else 0
        versions[len(found.records)] = serial
        assert {f"n-{k}" for k in range(serial - 1)} == {
            h for h in known.extractor.endpoints if h[0] == "n"
        }
        assert replay.warnings == []
    assert len(records) == 4  # the file, and three updates
    assert versions == {count: count for count in range(5)}
    assert sorted(known.zone.records()) == final


class FaultyFolder(Folder):
    full = False
    deaf = False

    def write(self, fd: int, data: bytes, at: int) -> None:
        if FaultyFolder.full:
            raise OSError(28, "No space left on device")
        super().write(fd, data, at)

    def sync(self, fd: int) -> None:
        if FaultyFolder.deaf:
            raise OSError(5, "Input/output error")


def test_a_full_disk_rejects_updates_while_queries_are_answered(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world)
    monkeypatch.setattr(FaultyFolder, "full", True)
    assert client.update(*added_endpoint("s-9")) == dns.rcode.SERVFAIL
    assert (node.serial, "s-9" in node.statuses) == (1, False)
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert node.log.named("store_failed")
    monkeypatch.setattr(FaultyFolder, "full", False)
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert node.serial == 2


def test_a_failed_sync_undoes_all_updates_that_depend_on_it(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world)
    monkeypatch.setattr(FaultyFolder, "deaf", True)
    codes = client.update_all([update_message(*added_endpoint(f"n-{k}")) for k in range(5)])
    assert codes == [dns.rcode.SERVFAIL] * 5
    assert (
        client.update(*added_endpoint("s-9")) == dns.rcode.SERVFAIL
    )  # no new generation stands yet
    monkeypatch.setattr(FaultyFolder, "deaf", False)
    world.run_until(
        lambda: not node.zones.store.writer.broken if node.zones.store.writer else False
    )
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert (node.serial, len(node.statuses)) == (2, 5)
    node.kill()
    assert set(world.node(node.path).statuses) == {"s-0", "s-1", "s-2", "s-3", "s-9"}

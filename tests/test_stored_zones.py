"""Tests that stored zones of an earlier revision are decoded to the recorded state and encoded to the same bytes."""

from __future__ import annotations

import json
import shutil
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest

from kelpcourse.limits import Limits
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import HEADER_BYTES, Kind, Record, frame, header
from kelpcourse.store.journal import Journal
from kelpcourse.store.recovery import Recovered, from_bytes
from kelpcourse.zones.persistence import ZoneReplay, decode_entry, encode_entry, encode_snapshot
from kelpcourse.zones.zone_state import ZoneState
from tests.zonerig import SECONDARY_SETTINGS, World
from tests.zonesamples import ORIGIN, SERVICE

GOLDEN_FOLDER = Path(__file__).parent / "golden" / "zones-store"
RECORDED: dict[str, Any] = json.loads((GOLDEN_FOLDER / "recorded.json").read_bytes())
SNAPSHOT, JOURNAL = "snapshot-000000000002", "journal-000000000002"
FILES = {
    path.name: path.read_bytes()
    for path in sorted(GOLDEN_FOLDER.iterdir())
    if path.name.startswith(("snapshot-", "journal-"))
}
# Zones that the settings name; the store has a third zone.
CONFIGURED_ZONES = [ORIGIN, "maps.example.org."]
ALL_ZONES = [*CONFIGURED_ZONES, "other.example.org."]
ENTRIES: list[dict[str, Any]] = RECORDED["entries"]
FRAMES = [frame(Record(entry["number"], bytes.fromhex(entry["payload"]))) for entry in ENTRIES]
FRAME_ENDS = [HEADER_BYTES + sum(map(len, FRAMES[:count])) for count in range(len(FRAMES) + 1)]


@dataclass
class OpenedStore:
    """The result of recovering and replaying the files of one store."""

    found: Recovered
    replay: ZoneReplay


def open_copy(folder: Path, files: dict[str, bytes] = FILES) -> OpenedStore:
    """Opens a copy of the store in a new folder, in the same way as at startup."""
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    journal = Journal(Folder(folder))
    found = journal.open()
    journal.close()
    return OpenedStore(found, replay_of(found))


def replay_of(found: Recovered, origins: list[str] = ALL_ZONES) -> ZoneReplay:
    replay = ZoneReplay(origins, SERVICE, Limits())
    replay.run(found.snapshot, [record.payload for record in found.records])
    return replay


def summary(replay: ZoneReplay) -> dict[str, list[int | None]]:
    """Returns the serial, the time of the last confirmation and the number of records of each zone."""
    return {
        origin: [zone.zone.serial if zone.zone.exists else None, zone.confirmed_ms, len(zone.zone)]
        for origin, zone in replay.zones.items()
    }


def plain_records(records: Iterable[tuple[str, int, int, bytes]]) -> list[list[object]]:
    return [[owner, type_, ttl, data.hex()] for owner, type_, ttl, data in records]


def plain_state(zone: ZoneState) -> dict[str, Any]:
    return {
        "serial": zone.zone.serial,
        "confirmed_ms": zone.confirmed_ms,
        "records": plain_records(zone.zone.records()),
        "history": [
            {
                "before": difference.old_serial,
                "after": difference.new_serial,
                "removed": plain_records(difference.removed),
                "added": plain_records(difference.added),
                "at_ms": difference.accepted_ms,
            }
            for difference in zone.history
        ],
        "endpoints": {
            name: [list(endpoint.address), endpoint.status.value]
            for name, endpoint in zone.extractor.endpoints.items()
        },
    }


def test_stored_zones_are_restored_to_the_recorded_state(tmp_path: Path) -> None:
    opened = open_copy(tmp_path / "store")
    assert opened.found.warnings == []
    assert not opened.found.needs_generation
    assert opened.found.generation == RECORDED["generation"]
    assert opened.found.next_number == RECORDED["next_number"]
    assert opened.replay.warnings == []
    for origin in ALL_ZONES:
        assert plain_state(opened.replay.zones[origin]) == RECORDED["zones"][origin]


@pytest.mark.parametrize("count", range(len(ENTRIES) + 1))
def test_each_entry_leads_to_the_recorded_state(count: int) -> None:
    found = from_bytes(FILES)
    del found.records[count:]
    assert summary(replay_of(found)) == RECORDED["after_entries"][count]


@pytest.mark.parametrize("entry", [RECORDED["snapshot"], *ENTRIES], ids=lambda entry: entry["tag"])
def test_a_decoded_entry_is_encoded_to_the_same_bytes(entry: dict[str, Any]) -> None:
    payload = bytes.fromhex(entry["payload"])
    assert msgspec.msgpack.decode(payload)[0] == entry["tag"]
    assert encode_entry(decode_entry(payload)) == payload


def test_the_recorded_entries_have_every_tag() -> None:
    tags = {RECORDED["snapshot"]["tag"], *(entry["tag"] for entry in ENTRIES)}
    assert tags == {"changed", "seen", "kept", "snapshot"}


def test_decoded_files_are_framed_to_the_same_bytes() -> None:
    stored = RECORDED["snapshot"]
    payload = bytes.fromhex(stored["payload"])
    assert FILES[SNAPSHOT] == header(Kind.SNAPSHOT, 2, stored["number"]) + frame(
        Record(stored["number"], payload)
    )
    assert FILES[JOURNAL] == header(Kind.JOURNAL, 2, ENTRIES[0]["number"]) + b"".join(FRAMES)


def test_the_next_snapshot_has_the_recorded_bytes() -> None:
    """Zones that the settings do not name stay in the snapshot."""
    replay = replay_of(from_bytes(FILES), CONFIGURED_ZONES)
    written = encode_snapshot(replay.zones.values(), replay.unconfigured_zones())
    assert written.hex() == RECORDED["snapshot_after"]


def test_a_truncated_journal_keeps_every_entry_before_the_cut_and_is_reported() -> None:
    for size in range(HEADER_BYTES, len(FILES[JOURNAL])):
        found = from_bytes({**FILES, JOURNAL: FILES[JOURNAL][:size]})
        count = sum(1 for end in FRAME_ENDS[1:] if end <= size)
        assert [record.payload.hex() for record in found.records] == [
            entry["payload"] for entry in ENTRIES[:count]
        ]
        incomplete = size not in FRAME_ENDS
        assert [warning.file for warning in found.warnings] == ([JOURNAL] if incomplete else [])
        assert all(warning.lost_bytes == size - FRAME_ENDS[count] for warning in found.warnings)


@pytest.mark.parametrize("count", range(len(ENTRIES)))
def test_a_journal_truncated_within_an_entry_leads_to_the_state_before_the_entry(
    count: int,
) -> None:
    for size in (FRAME_ENDS[count] + 1, FRAME_ENDS[count + 1] - 1):
        found = from_bytes({**FILES, JOURNAL: FILES[JOURNAL][:size]})
        assert summary(replay_of(found)) == RECORDED["after_entries"][count]


@pytest.mark.parametrize("index", range(len(ENTRIES)))
def test_a_damaged_record_is_reported_and_every_entry_before_it_is_kept(
    tmp_path: Path, index: int
) -> None:
    data = bytearray(FILES[JOURNAL])
    data[FRAME_ENDS[index + 1] - 1] ^= 1
    opened = open_copy(tmp_path / "store", {**FILES, JOURNAL: bytes(data)})
    assert summary(opened.replay) == RECORDED["after_entries"][index]
    inside = index + 1 < len(ENTRIES)
    assert [(warning.file, warning.alarming) for warning in opened.found.warnings] == [
        (JOURNAL, inside)
    ]
    assert (tmp_path / "store" / f"{JOURNAL}.damaged").exists() == inside


def test_a_journal_without_a_usable_header_is_reported_and_the_snapshot_is_used() -> None:
    found = from_bytes({**FILES, JOURNAL: FILES[JOURNAL][: HEADER_BYTES - 1]})
    assert found.needs_generation
    assert [warning.file for warning in found.warnings] == [JOURNAL]
    assert summary(replay_of(found)) == RECORDED["after_entries"][0]


@pytest.mark.parametrize("position", [0, HEADER_BYTES - 1, HEADER_BYTES, -1])
def test_a_damaged_snapshot_is_reported_and_the_previous_generation_leads_to_the_same_state(
    position: int,
) -> None:
    data = bytearray(FILES[SNAPSHOT])
    data[position] ^= 1
    found = from_bytes({**FILES, SNAPSHOT: bytes(data)})
    assert [(warning.file, warning.alarming) for warning in found.warnings] == [(SNAPSHOT, True)]
    replay = replay_of(found)
    assert replay.warnings == []
    for origin in ALL_ZONES:
        assert plain_state(replay.zones[origin]) == RECORDED["zones"][origin]


@pytest.mark.parametrize(
    ("payload", "expected"),
    [
        (msgspec.msgpack.encode(["unheard-of", ORIGIN, 1]), "unheard-of"),
        (bytes.fromhex(ENTRIES[0]["payload"])[:-1], "truncated"),
    ],
)
def test_an_undecodable_entry_is_reported_and_the_others_are_used(
    tmp_path: Path, payload: bytes, expected: str
) -> None:
    extra = frame(Record(RECORDED["next_number"], payload))
    opened = open_copy(tmp_path / "store", {**FILES, JOURNAL: FILES[JOURNAL] + extra})
    assert len(opened.replay.warnings) == 1
    assert expected in opened.replay.warnings[0]
    assert summary(opened.replay) == RECORDED["after_entries"][-1]


def test_a_started_service_publishes_the_stored_endpoints(tmp_path: Path) -> None:
    world = World(tmp_path)
    path = world.new_folder("secondary", None)
    shutil.copytree(GOLDEN_FOLDER, path / "state")
    settings = SECONDARY_SETTINGS.format(more='state "state"', primaries='primary "127.0.0.1:1"')
    (path / "z.kdl").write_text(settings)
    node = world.node(path)
    try:
        recorded = RECORDED["zones"][ORIGIN]
        zone = node.zones.zone_states[ORIGIN]
        assert (node.serial, zone.confirmed_ms) == (recorded["serial"], recorded["confirmed_ms"])
        assert {name: phase.value for name, phase in node.statuses.items()} == {
            name: phase for name, (_, phase) in recorded["endpoints"].items()
        }
    finally:
        world.close()

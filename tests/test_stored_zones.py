"""Stored zones: the files of an earlier revision open to the same state, byte by byte and entry by entry."""

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

GOLDEN = Path(__file__).parent / "golden" / "zones-store"
RECORDED: dict[str, Any] = json.loads((GOLDEN / "recorded.json").read_bytes())
SNAPSHOT, JOURNAL = "snapshot-000000000002", "journal-000000000002"
FILES = {
    path.name: path.read_bytes()
    for path in sorted(GOLDEN.iterdir())
    if path.name.startswith(("snapshot-", "journal-"))
}
NAMED_ZONES = [ORIGIN, "maps.example.org."]  # the settings name these; the store holds a third
ALL_ZONES = [*NAMED_ZONES, "other.example.org."]
ENTRIES: list[dict[str, Any]] = RECORDED["entries"]
FRAMES = [frame(Record(entry["number"], bytes.fromhex(entry["payload"]))) for entry in ENTRIES]
FRAME_ENDS = [HEADER_BYTES + sum(map(len, FRAMES[:count])) for count in range(len(FRAMES) + 1)]


@dataclass
class Opened:
    """What the files of one store hold."""

    found: Recovered
    replay: ZoneReplay


def open_copy(folder: Path, files: dict[str, bytes] = FILES) -> Opened:
    """The store in a folder of its own, as a start opens it."""
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    journal = Journal(Folder(folder))
    found = journal.open()
    journal.close()
    return Opened(found, replayed(found))


def replayed(found: Recovered, origins: list[str] = ALL_ZONES) -> ZoneReplay:
    replay = ZoneReplay(origins, SERVICE, Limits())
    replay.run(found.snapshot, [record.payload for record in found.records])
    return replay


def summary(replay: ZoneReplay) -> dict[str, list[int | None]]:
    """Of each zone: its serial, when its source last confirmed it, and the number of its records."""
    return {
        origin: [held.zone.serial if held.zone.exists else None, held.confirmed_ms, len(held.zone)]
        for origin, held in replay.zones.items()
    }


def plain_records(records: Iterable[tuple[str, int, int, bytes]]) -> list[list[object]]:
    return [[owner, type_, ttl, data.hex()] for owner, type_, ttl, data in records]


def plain_state(held: ZoneState) -> dict[str, Any]:
    return {
        "serial": held.zone.serial,
        "confirmed_ms": held.confirmed_ms,
        "records": plain_records(held.zone.records()),
        "history": [
            {
                "before": difference.old_serial,
                "after": difference.new_serial,
                "removed": plain_records(difference.removed),
                "added": plain_records(difference.added),
                "at_ms": difference.accepted_ms,
            }
            for difference in held.history
        ],
        "endpoints": {
            name: [list(member.address), member.status.value]
            for name, member in held.extractor.endpoints.items()
        },
    }


def test_a_stored_zone_opens_to_the_recorded_state(tmp_path: Path) -> None:
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
    assert summary(replayed(found)) == RECORDED["after_entries"][count]


@pytest.mark.parametrize("entry", [RECORDED["snapshot"], *ENTRIES], ids=lambda entry: entry["tag"])
def test_an_entry_is_encoded_to_the_bytes_it_was_read_from(entry: dict[str, Any]) -> None:
    payload = bytes.fromhex(entry["payload"])
    assert msgspec.msgpack.decode(payload)[0] == entry["tag"]
    assert encode_entry(decode_entry(payload)) == payload


def test_the_recorded_entries_have_every_tag() -> None:
    tags = {RECORDED["snapshot"]["tag"], *(entry["tag"] for entry in ENTRIES)}
    assert tags == {"changed", "seen", "kept", "snapshot"}


def test_files_are_framed_to_the_bytes_they_were_read_from() -> None:
    stored = RECORDED["snapshot"]
    payload = bytes.fromhex(stored["payload"])
    assert FILES[SNAPSHOT] == header(Kind.SNAPSHOT, 2, stored["number"]) + frame(
        Record(stored["number"], payload)
    )
    assert FILES[JOURNAL] == header(Kind.JOURNAL, 2, ENTRIES[0]["number"]) + b"".join(FRAMES)


def test_the_next_snapshot_has_the_recorded_bytes() -> None:
    """Zones that the settings do not name stay in it."""
    replay = replayed(from_bytes(FILES), NAMED_ZONES)
    written = encode_snapshot(replay.zones.values(), replay.unconfigured_zones())
    assert written.hex() == RECORDED["snapshot_after"]


def test_a_truncated_journal_keeps_every_entry_before_the_cut_and_is_named() -> None:
    for size in range(HEADER_BYTES, len(FILES[JOURNAL])):
        found = from_bytes({**FILES, JOURNAL: FILES[JOURNAL][:size]})
        count = sum(1 for end in FRAME_ENDS[1:] if end <= size)
        assert [record.payload.hex() for record in found.records] == [
            entry["payload"] for entry in ENTRIES[:count]
        ]
        torn = size not in FRAME_ENDS
        assert [warning.file for warning in found.warnings] == ([JOURNAL] if torn else [])
        assert all(warning.lost_bytes == size - FRAME_ENDS[count] for warning in found.warnings)


@pytest.mark.parametrize("count", range(len(ENTRIES)))
def test_a_journal_cut_within_an_entry_leads_to_the_state_before_it(count: int) -> None:
    for size in (FRAME_ENDS[count] + 1, FRAME_ENDS[count + 1] - 1):
        found = from_bytes({**FILES, JOURNAL: FILES[JOURNAL][:size]})
        assert summary(replayed(found)) == RECORDED["after_entries"][count]


@pytest.mark.parametrize("index", range(len(ENTRIES)))
def test_a_damaged_record_is_named_and_every_entry_before_it_is_kept(
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


def test_a_journal_without_a_usable_header_is_named_and_the_snapshot_stands() -> None:
    found = from_bytes({**FILES, JOURNAL: FILES[JOURNAL][: HEADER_BYTES - 1]})
    assert found.needs_generation
    assert [warning.file for warning in found.warnings] == [JOURNAL]
    assert summary(replayed(found)) == RECORDED["after_entries"][0]


@pytest.mark.parametrize("place", [0, HEADER_BYTES - 1, HEADER_BYTES, -1])
def test_a_damaged_snapshot_is_named_and_the_generation_before_it_leads_to_the_same_state(
    place: int,
) -> None:
    data = bytearray(FILES[SNAPSHOT])
    data[place] ^= 1
    found = from_bytes({**FILES, SNAPSHOT: bytes(data)})
    assert [(warning.file, warning.alarming) for warning in found.warnings] == [(SNAPSHOT, True)]
    replay = replayed(found)
    assert replay.warnings == []
    for origin in ALL_ZONES:
        assert plain_state(replay.zones[origin]) == RECORDED["zones"][origin]


@pytest.mark.parametrize(
    ("payload", "named"),
    [
        (msgspec.msgpack.encode(["unheard-of", ORIGIN, 1]), "unheard-of"),
        (bytes.fromhex(ENTRIES[0]["payload"])[:-1], "truncated"),
    ],
)
def test_an_entry_that_cannot_be_read_is_named_and_the_others_stand(
    tmp_path: Path, payload: bytes, named: str
) -> None:
    extra = frame(Record(RECORDED["next_number"], payload))
    opened = open_copy(tmp_path / "store", {**FILES, JOURNAL: FILES[JOURNAL] + extra})
    assert len(opened.replay.warnings) == 1
    assert named in opened.replay.warnings[0]
    assert summary(opened.replay) == RECORDED["after_entries"][-1]


def test_a_running_part_announces_the_stored_endpoints(tmp_path: Path) -> None:
    world = World(tmp_path)
    path = world.new_folder("secondary", None)
    shutil.copytree(GOLDEN, path / "state")
    settings = SECONDARY_SETTINGS.format(more='state "state"', primaries='primary "127.0.0.1:1"')
    (path / "z.kdl").write_text(settings)
    node = world.node(path)
    try:
        recorded = RECORDED["zones"][ORIGIN]
        held = node.zones.zone_states[ORIGIN]
        assert (node.serial, held.confirmed_ms) == (recorded["serial"], recorded["confirmed_ms"])
        assert {name: phase.value for name, phase in node.statuses.items()} == {
            name: phase for name, (_, phase) in recorded["endpoints"].items()
        }
    finally:
        world.close()

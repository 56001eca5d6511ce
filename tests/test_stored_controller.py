"""The state folder of a shared controller, as an earlier release wrote it, is read, and damage to it is reported.

The folder `golden/shared-disk` was written by revision 5b4a458. It holds a snapshot (of a disk with a Raft snapshot,
configurations and log entries) and a journal of later writes: a vote, a new term, every command, a no-op, a
configuration, and entries that replace others. `golden/shared-disk.json` holds the expected contents.
"""

from __future__ import annotations

import json
import shutil
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from kelpcourse.limits import Limits
from kelpcourse.shared.commands import decode_command, encode_command
from kelpcourse.shared.errors import StateLostError
from kelpcourse.shared.raft.messages import Configuration
from kelpcourse.shared.raft.persistent import (
    PersistentState,
    decode_state,
    decode_write,
    encode_state,
    encode_write,
)
from kelpcourse.shared.replicated_state import ReplicatedState
from kelpcourse.shared.storage import MemberStorage
from kelpcourse.store.frames import Kind, Record, frame, header, read
from kelpcourse.wire.loop import Loop
from kelpcourse.wire.storage import StorageThread

GOLDEN = Path(__file__).parent / "golden" / "shared-disk"
RECORDED: dict[str, Any] = json.loads((GOLDEN.parent / "shared-disk.json").read_text())
JOURNAL, SNAPSHOT = max(GOLDEN.glob("journal-*")).name, max(GOLDEN.glob("snapshot-*")).name
LAST_RECORD_BYTES = RECORDED["last_record_bytes"]
HEADER_BYTES = 24
FRAME_BYTES = 18


class StorageOpener:
    """Opens state folders, and closes them at the end of a test."""

    def __init__(self) -> None:
        self._loop = Loop(lambda: 0, lambda *_: None)
        self._opened: list[MemberStorage] = []

    def open(self, folder: Path) -> MemberStorage:
        storage = MemberStorage(
            folder,
            "n0",
            False,
            self._loop,
            Limits(),
            StorageThread(),
            lambda _: None,
            lambda _: None,
        )
        self._opened.append(storage)
        return storage

    def close(self) -> None:
        for storage in self._opened:
            storage.close()
        self._loop.close()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A copy of the golden folder."""
    return shutil.copytree(GOLDEN, tmp_path / "state")


@pytest.fixture
def storage_opener() -> Iterator[StorageOpener]:
    storage_opener = StorageOpener()
    yield storage_opener
    storage_opener.close()


def plain_config(config: Configuration | None) -> list[list[str]] | None:
    return None if config is None else [sorted(config.voters), sorted(config.learners)]


def plain_state(snapshot: bytes, commands: list[bytes]) -> dict[str, Any]:
    """Returns the replicated state after a snapshot and the commands after it, as plain lists and dictionaries."""
    state = ReplicatedState.decode(snapshot)
    for command in commands:
        state.apply(decode_command(command))
    leases, withdrawn, drained = msgspec.msgpack.decode(state.encode())
    return {
        "leases": {str(group): lease for group, lease in leases.items()},
        "withdrawn": withdrawn,
        "drained": drained,
    }


def plain_persistent_state(stored: PersistentState) -> dict[str, Any]:
    """Returns a persistent state as plain lists and dictionaries."""
    snapshot, entries = stored.snapshot, stored.entries
    commands = [entry.data for entry in entries if entry.kind.value == "data"]
    return {
        "term": stored.term,
        "vote": stored.voted_for,
        "snapshot": {
            "index": snapshot.index,
            "term": snapshot.term,
            "config": plain_config(snapshot.config),
            "ledger": plain_state(snapshot.data, []),
        },
        "entries": [
            [e.index, e.term, e.kind.value, e.data.hex(), plain_config(e.config)] for e in entries
        ],
        "ledger": plain_state(snapshot.data, commands),
    }


def test_state_of_earlier_release_is_read(folder: Path, storage_opener: StorageOpener) -> None:
    storage = storage_opener.open(folder)
    assert plain_persistent_state(storage.state) == RECORDED["whole"]
    assert storage.member_id == RECORDED["member"]
    assert storage.warnings == []


@pytest.mark.parametrize("cut_bytes", [1, FRAME_BYTES, LAST_RECORD_BYTES - 1])
def test_torn_last_write_is_reported_and_earlier_writes_are_kept(
    folder: Path, storage_opener: StorageOpener, cut_bytes: int
) -> None:
    data = (folder / JOURNAL).read_bytes()
    (folder / JOURNAL).write_bytes(data[:-cut_bytes])
    storage = storage_opener.open(folder)
    assert plain_persistent_state(storage.state) == RECORDED["without_last_write"]
    assert [(r.file, r.problem, r.lost_bytes, r.alarming) for r in storage.warnings] == [
        (JOURNAL, "the last write is incomplete", LAST_RECORD_BYTES - cut_bytes, False)
    ]


def test_damaged_last_write_is_reported_and_earlier_writes_are_kept(
    folder: Path, storage_opener: StorageOpener
) -> None:
    data = bytearray((folder / JOURNAL).read_bytes())
    data[-1] ^= 1
    (folder / JOURNAL).write_bytes(data)
    storage = storage_opener.open(folder)
    assert plain_persistent_state(storage.state) == RECORDED["without_last_write"]
    assert [(r.file, r.problem, r.lost_bytes) for r in storage.warnings] == [
        (JOURNAL, "the last write is incomplete", LAST_RECORD_BYTES)
    ]


def test_damage_inside_journal_is_reported_and_file_is_kept(
    folder: Path, storage_opener: StorageOpener
) -> None:
    """Acknowledged writes are lost, so the member must not continue without them."""
    data = bytearray((folder / JOURNAL).read_bytes())
    data[HEADER_BYTES + FRAME_BYTES] ^= 1
    (folder / JOURNAL).write_bytes(data)
    with pytest.raises(StateLostError, match=r"state is damaged: damaged before intact records"):
        storage_opener.open(folder)
    assert (folder / f"{JOURNAL}.damaged").read_bytes() == data
    assert (folder / SNAPSHOT).read_bytes() == (GOLDEN / SNAPSHOT).read_bytes()


def test_truncated_snapshot_is_reported_and_files_are_kept(
    folder: Path, storage_opener: StorageOpener
) -> None:
    data = (folder / SNAPSHOT).read_bytes()[:-3]
    (folder / SNAPSHOT).write_bytes(data)
    with pytest.raises(
        StateLostError, match=r"state is damaged: the snapshot is incomplete or damaged"
    ):
        storage_opener.open(folder)
    damaged_contents = [path.read_bytes() for path in sorted(folder.glob(f"{SNAPSHOT}*"))]
    assert damaged_contents == [data]
    assert (folder / JOURNAL).exists()


def test_unknown_entry_kind_is_reported(folder: Path, storage_opener: StorageOpener) -> None:
    """The record has a valid checksum, as if a later release had written it."""
    contents = read(Kind.JOURNAL, (folder / JOURNAL).read_bytes())
    records = [
        Record(r.number, r.payload.replace(b"nothing", b"nonsens")) for r in contents.records
    ]
    (folder / JOURNAL).write_bytes(
        header(Kind.JOURNAL, contents.generation, contents.first_number)
        + b"".join(map(frame, records))
    )
    with pytest.raises(StateLostError, match=r"an entry can't be read: .*nonsens"):
        storage_opener.open(folder)


def stored_maps(payload: bytes) -> tuple[list[str], object]:
    """Returns the decoded record with sorted members, since sets are encoded in any order."""

    def sort_members(value: object) -> object:
        if isinstance(value, dict):
            return {
                name: sorted(part) if name in ("voters", "learners") else sort_members(part)
                for name, part in value.items()
            }
        return [sort_members(part) for part in value] if isinstance(value, list) else value

    decoded = msgspec.msgpack.decode(payload)
    return list(decoded), sort_members(decoded)


def test_writes_and_states_keep_their_stored_names() -> None:
    writes = read(Kind.JOURNAL, (GOLDEN / JOURNAL).read_bytes()).records
    for record in writes:
        assert stored_maps(encode_write(decode_write(record.payload))) == stored_maps(
            record.payload
        )
    [state] = read(Kind.SNAPSHOT, (GOLDEN / SNAPSHOT).read_bytes()).records
    assert stored_maps(encode_state(decode_state(state.payload))) == stored_maps(state.payload)
    assert len(writes) == 6


@pytest.mark.parametrize("command", sorted(RECORDED["commands"]))
def test_stored_command_round_trips(command: str) -> None:
    data = bytes.fromhex(RECORDED["commands"][command])
    fields = msgspec.msgpack.decode(data)
    assert fields[0] == command
    assert msgspec.json.decode(msgspec.json.encode(decode_command(data))) == fields
    assert encode_command(decode_command(data)) == data


def test_unknown_command_tag_is_reported() -> None:
    with pytest.raises(msgspec.DecodeError, match="nonsense"):
        decode_command(msgspec.msgpack.encode(["nonsense", 1]))

"""A shared controller's disk, as an earlier release wrote it: it opens, and damage to it is named.

The folder under `golden/shared-disk` was written by revision 5b4a458. It holds a snapshot (of a disk with a Raft
snapshot, configurations and log entries) and a journal of the writes after it: a vote, a new term, every command, a
no-op, a configuration, and entries that replace others. What it means is recorded beside it in plain JSON.
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


class Opener:
    """Opens folders, and closes them at the end of a test."""

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
        for disk in self._opened:
            disk.close()
        self._loop.close()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A copy of the golden folder."""
    return shutil.copytree(GOLDEN, tmp_path / "state")


@pytest.fixture
def opener() -> Iterator[Opener]:
    made = Opener()
    yield made
    made.close()


def plain_config(config: Configuration | None) -> list[list[str]] | None:
    return None if config is None else [sorted(config.voters), sorted(config.learners)]


def plain_state(snapshot: bytes, commands: list[bytes]) -> dict[str, Any]:
    """The replicated state after a snapshot and commands that follow it; one that can't be read is passed over."""
    state = ReplicatedState.decode(snapshot)
    for command in commands:
        state.apply(decode_command(command))
    leases, withdrawn, drained = msgspec.msgpack.decode(state.encode())
    return {
        "leases": {str(group): lease for group, lease in leases.items()},
        "withdrawn": withdrawn,
        "drained": drained,
    }


def plain(stored: PersistentState) -> dict[str, Any]:
    """What a disk holds, without names of classes."""
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


def test_a_disk_of_an_earlier_release_is_read_as_it_was_written(
    folder: Path, opener: Opener
) -> None:
    storage = opener.open(folder)
    assert plain(storage.state) == RECORDED["whole"]
    assert storage.member_id == RECORDED["member"]
    assert storage.warnings == []


@pytest.mark.parametrize("cut_bytes", [1, FRAME_BYTES, LAST_RECORD_BYTES - 1])
def test_a_torn_last_write_is_named_and_every_write_before_it_is_kept(
    folder: Path, opener: Opener, cut_bytes: int
) -> None:
    data = (folder / JOURNAL).read_bytes()
    (folder / JOURNAL).write_bytes(data[:-cut_bytes])
    storage = opener.open(folder)
    assert plain(storage.state) == RECORDED["without_last_write"]
    assert [(r.file, r.problem, r.lost_bytes, r.alarming) for r in storage.warnings] == [
        (JOURNAL, "the last write is incomplete", LAST_RECORD_BYTES - cut_bytes, False)
    ]


def test_a_damaged_last_write_is_named_and_every_write_before_it_is_kept(
    folder: Path, opener: Opener
) -> None:
    data = bytearray((folder / JOURNAL).read_bytes())
    data[-1] ^= 1
    (folder / JOURNAL).write_bytes(data)
    storage = opener.open(folder)
    assert plain(storage.state) == RECORDED["without_last_write"]
    assert [(r.file, r.problem, r.lost_bytes) for r in storage.warnings] == [
        (JOURNAL, "the last write is incomplete", LAST_RECORD_BYTES)
    ]


def test_damage_inside_a_journal_is_named_and_the_file_is_kept(
    folder: Path, opener: Opener
) -> None:
    """Acknowledged writes are gone: the member must not go on as if it had never made them."""
    data = bytearray((folder / JOURNAL).read_bytes())
    data[HEADER_BYTES + FRAME_BYTES] ^= 1
    (folder / JOURNAL).write_bytes(data)
    with pytest.raises(StateLostError, match=r"state is damaged: damaged before intact records"):
        opener.open(folder)
    assert (folder / f"{JOURNAL}.damaged").read_bytes() == data
    assert (folder / SNAPSHOT).read_bytes() == (GOLDEN / SNAPSHOT).read_bytes()


def test_a_cut_snapshot_is_named_and_its_files_are_kept(folder: Path, opener: Opener) -> None:
    data = (folder / SNAPSHOT).read_bytes()[:-3]
    (folder / SNAPSHOT).write_bytes(data)
    with pytest.raises(
        StateLostError, match=r"state is damaged: the snapshot is incomplete or damaged"
    ):
        opener.open(folder)
    kept = [path.read_bytes() for path in sorted(folder.glob(f"{SNAPSHOT}*"))]
    assert kept == [data]
    assert (folder / JOURNAL).exists()


def test_an_unknown_kind_of_entry_is_named(folder: Path, opener: Opener) -> None:
    """Written with a valid checksum: by a later release."""
    contents = read(Kind.JOURNAL, (folder / JOURNAL).read_bytes())
    records = [
        Record(r.number, r.payload.replace(b"nothing", b"nonsens")) for r in contents.records
    ]
    (folder / JOURNAL).write_bytes(
        header(Kind.JOURNAL, contents.generation, contents.first_number)
        + b"".join(map(frame, records))
    )
    with pytest.raises(StateLostError, match=r"an entry can't be read: .*nonsens"):
        opener.open(folder)


def stored_maps(payload: bytes) -> tuple[list[str], object]:
    """A record's MessagePack with sorted members: sets are written in any order."""

    def sort_members(value: object) -> object:
        if isinstance(value, dict):
            return {
                name: sorted(part) if name in ("voters", "learners") else sort_members(part)
                for name, part in value.items()
            }
        return [sort_members(part) for part in value] if isinstance(value, list) else value

    decoded = msgspec.msgpack.decode(payload)
    return list(decoded), sort_members(decoded)


def test_each_write_and_state_is_written_with_the_names_that_it_had() -> None:
    writes = read(Kind.JOURNAL, (GOLDEN / JOURNAL).read_bytes()).records
    for record in writes:
        assert stored_maps(encode_write(decode_write(record.payload))) == stored_maps(
            record.payload
        )
    [state] = read(Kind.SNAPSHOT, (GOLDEN / SNAPSHOT).read_bytes()).records
    assert stored_maps(encode_state(decode_state(state.payload))) == stored_maps(state.payload)
    assert len(writes) == 6


@pytest.mark.parametrize("command", sorted(RECORDED["commands"]))
def test_each_command_is_read_as_it_was_written(command: str) -> None:
    data = bytes.fromhex(RECORDED["commands"][command])
    fields = msgspec.msgpack.decode(data)
    assert fields[0] == command
    assert msgspec.json.decode(msgspec.json.encode(decode_command(data))) == fields
    assert encode_command(decode_command(data)) == data


def test_an_unknown_tag_of_a_command_is_named() -> None:
    with pytest.raises(msgspec.DecodeError, match="nonsense"):
        decode_command(msgspec.msgpack.encode(["nonsense", 1]))

"""The persistent state of a member (paper, figure 2), the writes that change it, and their encoding.

Writes are stored as MessagePack maps. Stored names that differ from the attribute names:

| stored | attribute        |
| ------ | ---------------- |
| `vote` | `voted_for`      |
| `cut`  | `truncate_index` |

All other fields, and those of `LogEntry`, `Configuration` and `Snapshot`, are stored under their own names.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kelpcourse.shared.raft.messages import Configuration, LogEntry, MemberId, Snapshot


class StateWrite(
    msgspec.Struct,
    frozen=True,
    rename={"voted_for": "vote", "truncate_index": "cut"},
):
    """A change of the persistent state. Writes must become durable in the order of their numbers.

    Attributes:
        number: Number of the write.
        term: Current term.
        voted_for: Member that received the vote in the current term, if any.
        truncate_index: Index from which on entries are removed before `entries` are appended, if any.
        entries: Log entries to append.
        snapshot: Snapshot that replaces all entries up to its index, if any.
    """

    number: int
    term: int
    voted_for: MemberId | None
    truncate_index: int | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class PersistentState(msgspec.Struct, frozen=True, rename={"voted_for": "vote"}):
    """The persistent state of a member, as its disk holds it."""

    term: int
    voted_for: MemberId | None
    snapshot: Snapshot
    entries: tuple[LogEntry, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_write_decoder = msgspec.msgpack.Decoder(StateWrite)
_state_decoder = msgspec.msgpack.Decoder(PersistentState)


def encode_write(write: StateWrite) -> bytes:
    """Returns the encoded write."""
    return _encoder.encode(write)


def decode_write(payload: bytes) -> StateWrite:
    """Decodes a stored write. Raises msgspec.DecodeError."""
    return _write_decoder.decode(payload)


def encode_state(state: PersistentState) -> bytes:
    """Returns the encoded persistent state."""
    return _encoder.encode(state)


def decode_state(payload: bytes) -> PersistentState:
    """Decodes a stored state. Raises msgspec.DecodeError."""
    return _state_decoder.decode(payload)


def initial_state(config: Configuration) -> PersistentState:
    """Returns the state of a new member.

    Args:
        config: The configuration of a new cluster. A member that joins an existing cluster starts with an empty
            configuration, so that it starts no election, and receives the actual one from the leader.
    """
    return PersistentState(0, None, Snapshot(0, 0, config, b""))


def apply_write(state: PersistentState, write: StateWrite) -> PersistentState:
    """Returns the state after a write."""
    entries = list(state.entries)
    if write.truncate_index is not None:
        entries = [entry for entry in entries if entry.index < write.truncate_index]
    snapshot = state.snapshot
    if write.snapshot is not None:
        snapshot = write.snapshot
        entries = _entries_after(entries, snapshot)
    return PersistentState(write.term, write.voted_for, snapshot, (*entries, *write.entries))


def _entries_after(entries: list[LogEntry], snapshot: Snapshot) -> list[LogEntry]:
    """Returns the entries after a snapshot, or none if the log does not hold its last entry (paper 7)."""
    if any(entry.index == snapshot.index and entry.term == snapshot.term for entry in entries):
        return [entry for entry in entries if entry.index > snapshot.index]
    return []


def replay(start: PersistentState, payloads: Iterable[bytes]) -> PersistentState:
    """Returns the state after all stored writes, without copying the log for each write as `apply_write` does.

    Raises:
        msgspec.DecodeError: A write can't be decoded. The disk then lacks state that was acknowledged as durable, and
            the member has to join again.
    """
    writes = [decode_write(payload) for payload in payloads]
    entries = list(start.entries)
    snapshot = start.snapshot
    term = start.term
    voted_for = start.voted_for
    for write in writes:
        if write.truncate_index is not None:
            while entries and entries[-1].index >= write.truncate_index:
                entries.pop()
        if write.snapshot is not None:
            snapshot = write.snapshot
            entries = _entries_after(entries, snapshot)
        entries += write.entries
        term = write.term
        voted_for = write.voted_for
    return PersistentState(term, voted_for, snapshot, tuple(entries))

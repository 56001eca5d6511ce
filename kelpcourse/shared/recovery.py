"""What a controller's disk holds, write by write, and what it must not do if it does not remember. Pure."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kelpcourse.shared.messages import Config, Entry, Snapshot, Stored, Write

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Write)
_stored = msgspec.msgpack.Decoder(Stored)


def encode(write: Write) -> bytes:
    return _encoder.encode(write)


def decode(payload: bytes) -> Write:
    """Raises msgspec.DecodeError."""
    return _decoder.decode(payload)


def encode_stored(stored: Stored) -> bytes:
    return _encoder.encode(stored)


def decode_stored(payload: bytes) -> Stored:
    return _stored.decode(payload)


def nothing(config: Config) -> Stored:
    """The disk of a new member. `config` is that of a fleet that begins; a member that joins one starts with
    nobody in it, stands for nothing and learns the rest."""
    return Stored(0, None, Snapshot(0, 0, config, b""))


def applied(stored: Stored, write: Write) -> Stored:
    """The disk after a write."""
    entries = [e for e in stored.entries if write.cut is None or e.index < write.cut]
    snapshot = write.snapshot or stored.snapshot
    if write.snapshot is not None:
        entries = _after(entries, write.snapshot)
    return Stored(write.term, write.vote, snapshot, (*entries, *write.entries))


def _after(entries: list[Entry], snapshot: Snapshot) -> list[Entry]:
    """Entries behind a snapshot stay only if the log holds the snapshot's own entry: else they are of another
    history."""
    if any(e.index == snapshot.index and e.term == snapshot.term for e in entries):
        return [e for e in entries if e.index > snapshot.index]
    return []


def replay(start: Stored, payloads: Iterable[bytes]) -> Stored:
    """Raises msgspec.DecodeError if a write can't be read: the disk then holds less than was promised, and the
    member has to join anew."""
    writes = [decode(payload) for payload in payloads]
    entries = list(start.entries)
    snapshot, term, vote = start.snapshot, start.term, start.vote
    for write in writes:  # as `applied`, without a copy of the log for each
        if write.cut is not None:
            while entries and entries[-1].index >= write.cut:
                entries.pop()
        if write.snapshot is not None:
            entries, snapshot = _after(entries, write.snapshot), write.snapshot
        entries += write.entries
        term, vote = write.term, write.vote
    return Stored(term, vote, snapshot, tuple(entries))

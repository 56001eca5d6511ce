"""Records as they stand in a file: each with its number, length and checksum, so that damage is found. Pure.

A file starts with a header (what it is, its generation, the number of its first record), then come frames:

    marker 2 | length 4 | number 8 | CRC-32 of length, number and payload 4 | payload

All figures are big-endian. CRC-32 is zlib's (ISO 3309).
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import Enum

HEADER = struct.Struct(">4sQQ")
HEADER_SUM = struct.Struct(">I")
HEADER_BYTES = HEADER.size + HEADER_SUM.size
FRAME = struct.Struct(">2sIQI")
COVERED = struct.Struct(">IQ")
MARKER = b"\xc5\x5a"
PAYLOAD_MOST = 256 << 20  # bytes; a length beyond it is damage and is not waited for
LOOK_AHEAD = 1 << 20  # bytes after damage in which a later record is looked for


class Kind(Enum):
    JOURNAL = b"KCJ1"
    SNAPSHOT = b"KCS1"


class Damage(Enum):
    """How a file ends."""

    NONE = "none"
    TORN = "torn"  # the last write did not come through whole, as after a crash
    INSIDE = "inside"  # later records are whole: bytes were changed or lost in the middle


@dataclass(frozen=True)
class Record:
    number: int
    payload: bytes


@dataclass(frozen=True)
class Contents:
    """What a file holds up to its first damage."""

    generation: int
    first: int
    records: tuple[Record, ...]
    good_bytes: int
    damage: Damage


class Unusable(ValueError):
    """A file whose header can't be believed."""


def header(kind: Kind, generation: int, first: int) -> bytes:
    head = HEADER.pack(kind.value, generation, first)
    return head + HEADER_SUM.pack(zlib.crc32(head))


def frame(record: Record) -> bytes:
    size = len(record.payload)
    if size > PAYLOAD_MOST:
        raise ValueError(f"a record of {size} bytes, {PAYLOAD_MOST} at most")
    return (
        FRAME.pack(MARKER, size, record.number, _sum(size, record.number, record.payload))
        + record.payload
    )


def read(kind: Kind, data: bytes) -> Contents:
    """Raises Unusable if the header is cut or wrong."""
    if len(data) < HEADER_BYTES:
        raise Unusable("the header is cut")
    magic, generation, first = HEADER.unpack_from(data)
    if HEADER_SUM.unpack_from(data, HEADER.size)[0] != zlib.crc32(data[: HEADER.size]):
        raise Unusable("the header's checksum is wrong")
    if magic != kind.value:
        raise Unusable(f"not a {kind.name.lower()}")
    records: list[Record] = []
    at, number = HEADER_BYTES, first
    while at < len(data):
        record = _record_at(data, at)
        if record is None or record.number != number:
            return Contents(generation, first, tuple(records), at, _damage(data, at, number))
        records.append(record)
        at += FRAME.size + len(record.payload)
        number += 1
    return Contents(generation, first, tuple(records), at, Damage.NONE)


def _record_at(data: bytes, at: int) -> Record | None:
    if len(data) - at < FRAME.size:
        return None
    marker, size, number, checksum = FRAME.unpack_from(data, at)
    start = at + FRAME.size
    if marker != MARKER or size > PAYLOAD_MOST or start + size > len(data):
        return None
    payload = data[start : start + size]
    return Record(number, payload) if _sum(size, number, payload) == checksum else None


def _damage(data: bytes, at: int, number: int) -> Damage:
    """A record with a later number beyond the damage tells that the file went on: nothing a crash does."""
    end = min(len(data), at + LOOK_AHEAD)
    place = data.find(MARKER, at + 1, end)
    while place >= 0:
        record = _record_at(data, place)
        if record is not None and record.number > number:
            return Damage.INSIDE
        place = data.find(MARKER, place + 1, end)
    return Damage.TORN


def _sum(size: int, number: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(COVERED.pack(size, number)))

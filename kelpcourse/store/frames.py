"""The file format: records with number, length and checksum, which make damage detectable.

A file starts with a header (the kind of file, its generation, the number of its first record), followed by frames.
The fields of a frame with their sizes in bytes:

    marker 2 | length 4 | number 8 | CRC-32 of length, number and payload 4 | payload

All integers are big-endian. The checksum is the CRC-32 of zlib (ISO 3309). This module does no input or output.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import Enum

from kelpcourse.store.errors import RecordTooLargeError, UnusableFileError

HEADER = struct.Struct(">4sQQ")
HEADER_SUM = struct.Struct(">I")
HEADER_BYTES = HEADER.size + HEADER_SUM.size
FRAME = struct.Struct(">2sIQI")
CHECKED_FIELDS = struct.Struct(">IQ")
MARKER = b"\xc5\x5a"
MAX_PAYLOAD_BYTES = 256 << 20  # a greater length in a frame is treated as damage
LOOK_AHEAD_BYTES = 1 << 20  # range after damage that is searched for a later intact record


class Kind(Enum):
    """The kind of a file, with the first bytes of its header."""

    JOURNAL = b"KCJ1"
    SNAPSHOT = b"KCS1"


class Damage(Enum):
    """The damage found in a file."""

    NONE = "none"
    TORN = "torn"  # the last write is incomplete, as after a crash
    INSIDE = "inside"  # bytes before intact records were changed or lost


@dataclass(frozen=True)
class Record:
    """A payload with its number; records are numbered consecutively."""

    number: int
    payload: bytes


@dataclass(frozen=True)
class Contents:
    """The contents of a file up to the first damage.

    Attributes:
        generation: Generation of the file.
        first_number: Number of the first record.
        records: Intact records before the damage.
        intact_bytes: Size of the file up to the damage, in bytes.
        damage: Damage that was found.
    """

    generation: int
    first_number: int
    records: tuple[Record, ...]
    intact_bytes: int
    damage: Damage


def header(kind: Kind, generation: int, first_number: int) -> bytes:
    """Returns the header of a file whose first record has the number `first_number`."""
    head = HEADER.pack(kind.value, generation, first_number)
    return head + HEADER_SUM.pack(zlib.crc32(head))


def frame(record: Record) -> bytes:
    """Returns the frame of a record.

    Raises:
        RecordTooLargeError: The payload is larger than MAX_PAYLOAD_BYTES.
    """
    size_bytes = len(record.payload)
    if size_bytes > MAX_PAYLOAD_BYTES:
        raise RecordTooLargeError(size_bytes, MAX_PAYLOAD_BYTES)
    checksum = _checksum(size_bytes, record.number, record.payload)
    return FRAME.pack(MARKER, size_bytes, record.number, checksum) + record.payload


def read(kind: Kind, data: bytes) -> Contents:
    """Decodes the bytes of a file up to the first damage.

    Raises:
        UnusableFileError: The header is truncated, damaged or of another kind of file.
    """
    generation, first_number = _read_header(kind, data)
    records: list[Record] = []
    offset = HEADER_BYTES
    number = first_number
    damage = Damage.NONE
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None or record.number != number:
            damage = _damage_at(data, offset, number)
            break
        records.append(record)
        offset += FRAME.size + len(record.payload)
        number += 1
    return Contents(generation, first_number, tuple(records), offset, damage)


def _read_header(kind: Kind, data: bytes) -> tuple[int, int]:
    """Returns the generation of a file and the number of its first record."""
    if len(data) < HEADER_BYTES:
        raise UnusableFileError("the header is truncated")
    magic, generation, first_number = HEADER.unpack_from(data)
    (checksum,) = HEADER_SUM.unpack_from(data, HEADER.size)
    if checksum != zlib.crc32(data[: HEADER.size]):
        raise UnusableFileError("the checksum of the header does not match")
    if magic != kind.value:
        raise UnusableFileError(f"the file is not a {kind.name.lower()}")
    return generation, first_number


def _record_at(data: bytes, offset: int) -> Record | None:
    """Returns the intact record whose frame starts at `offset`, or None."""
    if len(data) - offset < FRAME.size:
        return None
    marker, size_bytes, number, checksum = FRAME.unpack_from(data, offset)
    start = offset + FRAME.size
    end = start + size_bytes
    if marker != MARKER or size_bytes > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if _checksum(size_bytes, number, payload) != checksum:
        return None
    return Record(number, payload)


def _damage_at(data: bytes, offset: int, number: int) -> Damage:
    """Distinguishes a torn end from damage inside: after a crash, no later record follows the damage."""
    end = min(len(data), offset + LOOK_AHEAD_BYTES)
    candidate = data.find(MARKER, offset + 1, end)
    while candidate >= 0:
        record = _record_at(data, candidate)
        if record is not None and record.number > number:
            return Damage.INSIDE
        candidate = data.find(MARKER, candidate + 1, end)
    return Damage.TORN


def _checksum(size_bytes: int, number: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(CHECKED_FIELDS.pack(size_bytes, number)))

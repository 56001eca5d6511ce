"""Framing of DNS messages over TCP: each has a prefix of two bytes with its length (RFC 1035, section 4.2.2)."""

from __future__ import annotations

from kelpcourse.wire.buffers import ReadBuffer

LENGTH_PREFIX_BYTES = 2
MAX_FRAME_BYTES = LENGTH_PREFIX_BYTES + 65_535
MIN_READ_BYTES = 512


def new_read_buffer() -> ReadBuffer:
    """Creates a buffer whose maximum size is that of the longest DNS message."""
    return ReadBuffer(MIN_READ_BYTES, MAX_FRAME_BYTES)


def frame(message: bytes) -> bytes:
    """Returns a message with its length prefix."""
    return len(message).to_bytes(LENGTH_PREFIX_BYTES, "big") + message

"""DNS messages over TCP, each after its length in two bytes (RFC 1035, section 4.2.2)."""

from __future__ import annotations

from kelpcourse.wire.buffers import ReadBuffer

LENGTH_PREFIX_BYTES = 2
MAX_FRAME_BYTES = LENGTH_PREFIX_BYTES + 65_535
MIN_READ_BYTES = 512


def new_read_buffer() -> ReadBuffer:
    """Returns a buffer that any DNS message fits into."""
    return ReadBuffer(MIN_READ_BYTES, MAX_FRAME_BYTES)


def frame(message: bytes) -> bytes:
    """Returns a message with its length in front."""
    return len(message).to_bytes(LENGTH_PREFIX_BYTES, "big") + message

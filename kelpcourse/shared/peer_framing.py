"""Length-prefixed messages on a stream: a length of four bytes, big-endian, and then the message."""

from __future__ import annotations

from kelpcourse.limits import Limits
from kelpcourse.shared.errors import PeerMessageError
from kelpcourse.wire.errors import StreamError
from kelpcourse.wire.loop import Coroutine
from kelpcourse.wire.stream import Stream

LENGTH_PREFIX_BYTES = 4


def with_length_prefix(message: bytes) -> bytes:
    """Returns a message with its length in front, as it is sent."""
    return len(message).to_bytes(LENGTH_PREFIX_BYTES, "big") + message


class MessageReader:
    """Reads length-prefixed messages from a stream."""

    def __init__(self, stream: Stream, limits: Limits) -> None:
        """Initializes a reader of a connected stream."""
        self._stream = stream
        self._max_message_bytes = limits.max_peer_message_bytes
        self._received = bytearray()
        self._buffer = memoryview(bytearray(limits.initial_read_buffer_bytes))

    def next(self, deadline_us: int) -> Coroutine[bytes]:
        """Reads one message.

        Raises:
            StreamError: The connection failed, was closed, or the message was not complete before the deadline.
            PeerMessageError: The message exceeds the size limit.
        """
        while True:
            data = self._take_message()
            if data is not None:
                return data
            count = yield from self._stream.recv_into(self._buffer, deadline_us)
            if not count:
                raise StreamError("connection closed")
            self._received += self._buffer[:count]

    def _take_message(self) -> bytes | None:
        """Removes and returns the next message if it was received completely, otherwise None."""
        if len(self._received) < LENGTH_PREFIX_BYTES:
            return None
        size = int.from_bytes(self._received[:LENGTH_PREFIX_BYTES], "big")
        if size > self._max_message_bytes:
            raise PeerMessageError(
                f"message of {size} bytes exceeds the limit of {self._max_message_bytes}"
            )
        end = LENGTH_PREFIX_BYTES + size
        if len(self._received) < end:
            return None
        data = bytes(self._received[LENGTH_PREFIX_BYTES:end])
        del self._received[:end]
        return data

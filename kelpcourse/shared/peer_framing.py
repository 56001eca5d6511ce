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


class ReceivedBytes:
    """The bytes that the readers of all connections hold because their messages are incomplete."""

    def __init__(self, max_bytes: int) -> None:
        """Initializes the count.

        Args:
            max_bytes: Maximum number of bytes of all readers together.
        """
        self.count = 0
        self.max_bytes = max_bytes


class MessageReader:
    """Reads length-prefixed messages from a stream.

    Attributes:
        max_message_bytes: Maximum size of the next message, in bytes.
    """

    def __init__(
        self, stream: Stream, limits: Limits, received_bytes: ReceivedBytes, max_message_bytes: int
    ) -> None:
        """Initializes a reader of a connected stream.

        Args:
            stream: Connected stream.
            limits: Limits, among them the size of a read.
            received_bytes: Count that all readers share.
            max_message_bytes: Maximum size of a message, in bytes.
        """
        self._stream = stream
        self._received_bytes = received_bytes
        self.max_message_bytes = max_message_bytes
        self._received = bytearray()
        self._read_bytes = limits.initial_read_buffer_bytes
        self._buffer = memoryview(bytearray(self._read_bytes))

    def next(self, deadline_us: int) -> Coroutine[bytes]:
        """Reads one message.

        Raises:
            StreamError: The connection failed, was closed, or the message was not complete before the deadline.
            PeerMessageError: The message exceeds the size limit, or all readers together hold too much.
        """
        while True:
            data = self._take_message()
            if data is not None:
                return data
            count = yield from self._stream.recv_into(self._buffer, deadline_us)
            if not count:
                raise StreamError("connection closed")
            self._received += self._buffer[:count]
            self._received_bytes.count += count
            if self._is_over_limit():
                raise PeerMessageError("incomplete messages of all connections exceed their limit")

    def close(self) -> None:
        """Releases what was received."""
        self._received_bytes.count -= len(self._received)
        self._received = bytearray()

    def _is_over_limit(self) -> bool:
        """Returns whether all readers hold too much and this one holds a part of a large message."""
        is_over = self._received_bytes.count > self._received_bytes.max_bytes
        return is_over and len(self._received) > self._read_bytes

    def _take_message(self) -> bytes | None:
        """Removes and returns the next message if it was received completely, otherwise None."""
        if len(self._received) < LENGTH_PREFIX_BYTES:
            return None
        size = int.from_bytes(self._received[:LENGTH_PREFIX_BYTES], "big")
        if size > self.max_message_bytes:
            raise PeerMessageError(
                f"message of {size} bytes exceeds the limit of {self.max_message_bytes}"
            )
        end = LENGTH_PREFIX_BYTES + size
        if len(self._received) < end:
            return None
        data = bytes(self._received[LENGTH_PREFIX_BYTES:end])
        del self._received[:end]
        self._received_bytes.count -= end
        return data

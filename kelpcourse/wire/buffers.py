"""The read buffer of a connection; messages are slices of it and are valid until the next read."""

from __future__ import annotations

from collections.abc import Iterator

from kelpcourse.wire.errors import MessageTooLongError

LENGTH_PREFIX_BYTES = 2
CARRIAGE_RETURN = 0x0D


class ReadBuffer:
    """A buffer of received bytes in order of arrival.

    It grows up to the maximum size of one message and shrinks to its minimum size when it is empty.
    """

    def __init__(self, min_bytes: int, max_bytes: int) -> None:
        """Initializes an empty buffer of `min_bytes` that may grow to `max_bytes`."""
        self._min_bytes = min_bytes
        self._max_bytes = max_bytes
        self._bytes = bytearray(min_bytes)
        self._start = 0
        self._end = 0
        self._searched = 0  # index before which there is no end of an unconsumed line

    def set_limits(self, min_bytes: int, max_bytes: int) -> None:
        """Changes both limits from the next read on, for example after a client has identified itself."""
        self._min_bytes = min_bytes
        self._max_bytes = max_bytes

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that were received but not yet consumed."""
        return self._end - self._start

    @property
    def capacity_bytes(self) -> int:
        """The current size of the buffer in bytes, used or not."""
        return len(self._bytes)

    def writable(self) -> memoryview:
        """Returns the space for the next read; slices that were returned before become invalid.

        Raises:
            MessageTooLongError: The buffer is full and has its maximum size.
        """
        if self._start == self._end:
            self._start = 0
            self._end = 0
            self._searched = 0
            if len(self._bytes) != self._min_bytes:
                self._bytes = bytearray(self._min_bytes)
        elif self._end == len(self._bytes):
            self._make_space()
        return memoryview(self._bytes)[self._end :]

    def _make_space(self) -> None:
        pending = self.pending_bytes
        size = len(self._bytes)
        if pending * 2 > size:
            if size >= self._max_bytes:
                raise MessageTooLongError(self._max_bytes)
            size = min(max(size * 2, self._min_bytes), self._max_bytes)
        # Slices may still refer to the old array, so it is not modified.
        resized = bytearray(size)
        resized[:pending] = memoryview(self._bytes)[self._start : self._end]
        self._bytes = resized
        self._searched -= self._start
        self._start = 0
        self._end = pending

    def partial_message(self) -> memoryview:
        """Returns the received part of the incomplete message at the end."""
        return memoryview(self._bytes)[self._start : self._end]

    def commit(self, count: int) -> None:
        """Adds `count` bytes that were read into the space from `writable`."""
        self._end += count

    def append(self, data: bytes | bytearray | memoryview) -> None:
        """Copies bytes that another parser has read into the buffer.

        Raises:
            MessageTooLongError: The buffer is full and has its maximum size.
        """
        rest = memoryview(data)
        while rest:
            space = self.writable()
            count = min(len(space), len(rest))
            space[:count] = rest[:count]
            self.commit(count)
            rest = rest[count:]

    def length_prefixed_messages(self) -> Iterator[memoryview]:
        """Consumes the complete messages, each preceded by its length in two bytes (RFC 1035, section 4.2.2)."""
        while self.pending_bytes >= LENGTH_PREFIX_BYTES:
            size = self._bytes[self._start] << 8 | self._bytes[self._start + 1]
            if self.pending_bytes < LENGTH_PREFIX_BYTES + size:
                return
            start = self._start + LENGTH_PREFIX_BYTES
            self._start = start + size
            yield memoryview(self._bytes)[start : self._start]

    def lines(self) -> Iterator[memoryview]:
        """Consumes the complete lines and yields them without their line ends (LF or CRLF).

        Raises:
            MessageTooLongError: The incomplete line at the end has the maximum size of the buffer.
        """
        while True:
            line_end = self._bytes.find(b"\n", max(self._start, self._searched), self._end)
            if line_end < 0:
                self._searched = self._end
                if self.pending_bytes >= self._max_bytes:
                    raise MessageTooLongError(self._max_bytes)
                return
            start = self._start
            self._start = line_end + 1
            self._searched = self._start
            has_carriage_return = line_end > start and self._bytes[line_end - 1] == CARRIAGE_RETURN
            stop = line_end - 1 if has_carriage_return else line_end
            yield memoryview(self._bytes)[start:stop]

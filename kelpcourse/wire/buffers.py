"""The buffer that a connection is read into; messages are slices of it, valid until the next read."""

from __future__ import annotations

from collections.abc import Iterator

from kelpcourse.wire.errors import MessageTooLongError

LENGTH_PREFIX_BYTES = 2
CARRIAGE_RETURN = 0x0D


class ReadBuffer:
    """Bytes in order of arrival.

    Grows up to what one message may hold, and shrinks again when it is empty.
    """

    def __init__(self, min_bytes: int, max_bytes: int) -> None:
        """Create an empty buffer of `min_bytes` that may grow to `max_bytes`."""
        self._min_bytes = min_bytes
        self._max_bytes = max_bytes
        self._bytes = bytearray(min_bytes)
        self._start = 0
        self._end = 0
        self._searched = 0  # no line end stands before this index

    def set_limits(self, min_bytes: int, max_bytes: int) -> None:
        """Change both limits from the next read on, as for a client that has identified itself."""
        self._min_bytes = min_bytes
        self._max_bytes = max_bytes

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that were received and not yet consumed."""
        return self._end - self._start

    @property
    def capacity_bytes(self) -> int:
        """The memory that the buffer takes."""
        return len(self._bytes)

    def writable(self) -> memoryview:
        """Give the space for the next read; slices handed out before are no longer valid.

        Raises:
            MessageTooLongError: The buffer is full and may not grow.
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
        # Slices may still point into the old array, so it is left as it is.
        resized = bytearray(size)
        resized[:pending] = memoryview(self._bytes)[self._start : self._end]
        self._bytes = resized
        self._searched -= self._start
        self._start = 0
        self._end = pending

    def partial_message(self) -> memoryview:
        """Give what was received of a message that is not complete."""
        return memoryview(self._bytes)[self._start : self._end]

    def commit(self, count: int) -> None:
        """Take over `count` bytes that were read into `writable()`."""
        self._end += count

    def append(self, data: bytes | bytearray | memoryview) -> None:
        """Copy in bytes that another parser has read.

        Raises:
            MessageTooLongError: The buffer is full and may not grow.
        """
        rest = memoryview(data)
        while rest:
            space = self.writable()
            count = min(len(space), len(rest))
            space[:count] = rest[:count]
            self.commit(count)
            rest = rest[count:]

    def length_prefixed_messages(self) -> Iterator[memoryview]:
        """Consume the complete messages that follow a length of two bytes (RFC 1035, section 4.2.2)."""
        while self.pending_bytes >= LENGTH_PREFIX_BYTES:
            size = self._bytes[self._start] << 8 | self._bytes[self._start + 1]
            if self.pending_bytes < LENGTH_PREFIX_BYTES + size:
                return
            start = self._start + LENGTH_PREFIX_BYTES
            self._start = start + size
            yield memoryview(self._bytes)[start : self._start]

    def lines(self) -> Iterator[memoryview]:
        """Consume the complete lines, given without their ends (LF or CRLF).

        Raises:
            MessageTooLongError: The rest is no complete line and as long as the buffer may be.
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

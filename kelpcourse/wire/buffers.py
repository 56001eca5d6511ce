"""The buffer that bytes are read into. Messages are slices of it and are valid until the next read."""

from __future__ import annotations

from collections.abc import Iterator


class TooLong(Exception):
    """A message is longer than its limit."""


class Buffer:
    """Bytes in arrival order; grows up to what one message may hold and shrinks again when it is empty."""

    def __init__(self, least: int, most: int) -> None:
        self._least = least
        self._most = most
        self._bytes = bytearray(least)
        self._start = 0
        self._end = 0
        self._searched = 0  # no line end stands before this place

    def widen(self, least: int, most: int) -> None:
        """More room from the next read on: whoever sends here is trusted with it now."""
        self._least, self._most = least, most

    @property
    def held(self) -> int:
        return self._end - self._start

    @property
    def size(self) -> int:
        return len(self._bytes)

    def space(self) -> memoryview:
        """Room for the next read; slices handed out before are no longer valid."""
        if self._start == self._end:
            self._start = self._end = self._searched = 0
            if len(self._bytes) != self._least:
                self._bytes = bytearray(self._least)
        elif self._end == len(self._bytes):
            self._make_room()
        return memoryview(self._bytes)[self._end :]

    def _make_room(self) -> None:
        held = self.held
        size = len(self._bytes)
        if held * 2 > size:
            if size >= self._most:
                raise TooLong
            size = min(max(size * 2, self._least), self._most)
        fresh = bytearray(size)  # slices may still point into the old one, so it is left as it is
        fresh[:held] = memoryview(self._bytes)[self._start : self._end]
        self._bytes = fresh
        self._searched -= self._start
        self._start, self._end = 0, held

    def rest(self) -> memoryview:
        """What is held of a line that is not whole yet."""
        return memoryview(self._bytes)[self._start : self._end]

    def filled(self, count: int) -> None:
        self._end += count

    def put(self, data: bytes | bytearray | memoryview) -> None:
        """Takes in bytes that another parser has read."""
        rest = memoryview(data)
        while rest:
            room = self.space()
            part = min(len(room), len(rest))
            room[:part] = rest[:part]
            self.filled(part)
            rest = rest[part:]

    def prefixed(self) -> Iterator[memoryview]:
        """The whole messages held that stand behind their length in two bytes (RFC 1035, section 4.2.2)."""
        while self.held >= 2:
            size = self._bytes[self._start] << 8 | self._bytes[self._start + 1]
            if self.held < 2 + size:
                return
            start, self._start = self._start + 2, self._start + 2 + size
            yield memoryview(self._bytes)[start : self._start]

    def lines(self) -> Iterator[memoryview]:
        """The whole lines held, without their ends."""
        while True:
            at = self._bytes.find(b"\n", max(self._start, self._searched), self._end)
            if at < 0:
                self._searched = self._end
                if self.held >= self._most:
                    raise TooLong
                return
            start, self._start = self._start, at + 1
            self._searched = self._start
            stop = at - 1 if at > start and self._bytes[at - 1] == 0x0D else at
            yield memoryview(self._bytes)[start:stop]

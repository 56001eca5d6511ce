"""The read buffer, whose lines are slices of it and do not depend on chunk boundaries."""

from __future__ import annotations

import pytest

from kelpcourse.wire.buffers import ReadBuffer
from kelpcourse.wire.errors import MessageTooLongError

TEXT = b"one\r\ntwo\n\r\n" + b"three" * 30 + b"\r\nfour"
LINES = [b"one", b"two", b"", b"three" * 30]


@pytest.mark.parametrize("chunk_bytes", [1, 2, 3, 7, 64, 1000])
def test_lines_do_not_depend_on_chunk_boundaries(chunk_bytes: int) -> None:
    buffer, lines = ReadBuffer(16, 1024), []
    for offset in range(0, len(TEXT), chunk_bytes):
        buffer.append(TEXT[offset : offset + chunk_bytes])
        lines += [bytes(line) for line in buffer.lines()]
    assert lines == LINES
    assert buffer.pending_bytes == len(b"four")


def test_a_line_is_a_slice_of_the_buffer_it_was_read_into() -> None:
    buffer = ReadBuffer(64, 64)
    space = buffer.writable()
    space[:6] = b"ping\r\n"
    buffer.commit(6)
    (line,) = buffer.lines()
    space[0:1] = b"P"
    assert bytes(line) == b"Ping"


def test_line_over_the_size_limit_raises() -> None:
    buffer = ReadBuffer(16, 64)
    buffer.append(b"x" * 64)
    with pytest.raises(MessageTooLongError):
        list(buffer.lines())
    full = ReadBuffer(16, 64)
    with pytest.raises(MessageTooLongError):
        full.append(b"x" * 65)


def test_line_just_under_the_size_limit_is_read() -> None:
    buffer = ReadBuffer(16, 64)
    buffer.append(b"x" * 62 + b"\r\n")
    assert [bytes(line) for line in buffer.lines()] == [b"x" * 62]


def test_buffer_shrinks_when_empty_and_stays_bounded() -> None:
    buffer = ReadBuffer(64, 4096)
    for _ in range(1000):
        buffer.append(b"y" * 700 + b"\n" + b"z" * 20)
        assert len([bytes(line) for line in buffer.lines()]) == 1
        buffer.append(b"\n")
        assert len([bytes(line) for line in buffer.lines()]) == 1
    assert buffer.capacity_bytes <= 1024
    buffer.writable()
    assert buffer.capacity_bytes == 64

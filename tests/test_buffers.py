"""The read buffer: lines as slices of it, whatever pieces the bytes come in."""

from __future__ import annotations

import pytest

from kelpcourse.wire.buffers import Buffer, TooLong

TEXT = b"one\r\ntwo\n\r\n" + b"three" * 30 + b"\r\nfour"
LINES = [b"one", b"two", b"", b"three" * 30]


@pytest.mark.parametrize("piece", [1, 2, 3, 7, 64, 1000])
def test_lines_are_the_same_whole_split_and_joined(piece: int) -> None:
    buffer, lines = Buffer(16, 1024), []
    for at in range(0, len(TEXT), piece):
        buffer.put(TEXT[at : at + piece])
        lines += [bytes(line) for line in buffer.lines()]
    assert lines == LINES
    assert buffer.held == len(b"four")


def test_a_line_is_a_slice_of_the_buffer_it_was_read_into() -> None:
    buffer = Buffer(64, 64)
    room = buffer.space()
    room[:6] = b"ping\r\n"
    buffer.filled(6)
    (line,) = buffer.lines()
    room[0:1] = b"P"
    assert bytes(line) == b"Ping"


def test_a_line_over_the_limit_is_told() -> None:
    buffer = Buffer(16, 64)
    buffer.put(b"x" * 64)
    with pytest.raises(TooLong):
        list(buffer.lines())
    full = Buffer(16, 64)
    with pytest.raises(TooLong):
        full.put(b"x" * 65)


def test_a_line_just_under_the_limit_is_read() -> None:
    buffer = Buffer(16, 64)
    buffer.put(b"x" * 62 + b"\r\n")
    assert [bytes(line) for line in buffer.lines()] == [b"x" * 62]


def test_the_buffer_shrinks_again_and_does_not_grow_with_time() -> None:
    buffer = Buffer(64, 4096)
    for _ in range(1000):
        buffer.put(b"y" * 700 + b"\n" + b"z" * 20)
        assert len([bytes(line) for line in buffer.lines()]) == 1
        buffer.put(b"\n")
        assert len([bytes(line) for line in buffer.lines()]) == 1
    assert buffer.size <= 1024
    buffer.space()
    assert buffer.size == 64

"""Reads, writes, timeouts and the end of a stream."""

from __future__ import annotations

from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.loop import Coroutine
from kelpcourse.wire.stream import Stream
from tests.loop_rig import LoopRig, SocketPair


def test_a_stream_reads_writes_times_out_and_ends(pair: SocketPair) -> None:
    rig = LoopRig()
    stream, space = Stream(pair[0]), memoryview(bytearray(8))

    def transfer() -> Coroutine[None]:
        yield from stream.send(b"hello", rig.clock.now + 10)
        rig.recorded.append((yield from stream.recv_into(space, rig.clock.now + 10)))
        try:
            yield from stream.recv_into(space, rig.clock.now + 10)
        except StreamTimeoutError as error:
            rig.recorded.append(str(error))
        rig.recorded.append((yield from stream.recv_into(space, rig.clock.now + 10)))

    rig.loop.start("transfer", transfer())
    assert pair[1].recv(10) == b"hello"
    pair[1].send(b"abc")
    rig.loop.run_once(rig.clock.now)
    rig.clock.now += 10
    rig.loop.run_once(rig.clock.now)
    assert not stream.is_stale()
    pair[1].close()
    assert stream.is_stale()
    rig.loop.run_once(rig.clock.now)
    assert rig.recorded == [3, "no data received before the deadline", 0]


def test_a_write_that_the_peer_does_not_accept_times_out(pair: SocketPair) -> None:
    rig = LoopRig()

    def transfer() -> Coroutine[None]:
        try:
            yield from Stream(pair[0]).send(b"x" * (8 << 20), rig.clock.now + 10)
        except StreamError as error:
            rig.recorded.append(str(error))

    rig.loop.start("transfer", transfer())
    rig.clock.now += 10
    rig.loop.run_once(rig.clock.now)
    assert rig.recorded == ["peer did not accept all data before the deadline"]

"""Requests that the socket buffers take only in part at first, and responses that come without pause."""

from __future__ import annotations

import socket

from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.http import HttpClient
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.wire.stream import Stream, connect
from tests.standins import FAST_LIMITS, MS, Bench, HttpConnection, HttpServer

BODY = b"[%s]" % (b"1," * 200_000 + b"1")
SMALL_BUFFER_BYTES = 4_096


def client_with_small_buffers(bench: Bench, server: HttpServer) -> Coroutine[HttpClient]:
    stream = yield from connect(server.address, bench.clock() + FAST_LIMITS.connect_timeout_us)
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    return HttpClient(stream, server.address, FAST_LIMITS)


def send_body(bench: Bench, server: HttpServer, outcomes: list[tuple[str, int]]) -> Coroutine[None]:
    """Sends the body with the deadline that all clients use, and adds the outcome and the time that it took."""
    client = yield from client_with_small_buffers(bench, server)
    begin_us = bench.clock()
    try:
        yield from client.send_request("POST", "/", BODY, bench.runtime.send_deadline_us())
        outcomes.append(("sent", bench.clock() - begin_us))
    except StreamTimeoutError:
        outcomes.append(("timed out", bench.clock() - begin_us))
    client.close()


def test_a_request_above_the_socket_buffers_is_sent(bench: Bench) -> None:
    """Guards against large calls that time out at once, as a duration was passed as the deadline of the write."""
    outcomes: list[tuple[str, int]] = []
    bodies: list[bytes] = []

    def read_late(connection: HttpConnection) -> Coroutine[None]:
        yield Wait(bench.clock() + FAST_LIMITS.send_timeout_us // 3)
        call = yield from connection.read_request()
        assert call is not None
        bodies.append(call[1])
        yield from connection.wait_for_close()

    server = HttpServer(bench.loop, read_late)
    bench.loop.start("send", send_body(bench, server, outcomes))
    bench.until(lambda: outcomes and bodies)
    assert outcomes[0][0] == "sent"
    assert bodies == [BODY]


def test_a_request_that_the_peer_does_not_read_times_out_after_the_deadline(bench: Bench) -> None:
    outcomes: list[tuple[str, int]] = []

    def never_read(_: HttpConnection) -> Coroutine[None]:
        yield Wait(bench.clock() + 1_000_000 * MS)

    server = HttpServer(bench.loop, never_read)
    bench.loop.start("send", send_body(bench, server, outcomes))
    bench.until(lambda: outcomes)
    outcome, took_us = outcomes[0]
    assert outcome == "timed out"
    assert took_us >= FAST_LIMITS.send_timeout_us


def test_other_tasks_run_while_a_stream_has_data_without_pause(bench: Bench) -> None:
    """Guards against withdrawals that wait while one peer's stream is read as long as there is something to read."""
    reads, turns = [0], [0]
    peer, own = socket.socketpair()
    chunk = b"1000\r\n" + b"x" * 4_095 + b"\n\r\n"
    peer.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 32)
    peer.shutdown(socket.SHUT_WR)

    def read_stream() -> Coroutine[None]:
        client = HttpClient(Stream(own), ("127.0.0.1", 1), FAST_LIMITS)
        yield from client.send_request("GET", "/", None, bench.clock() + MS)
        yield from client.expect_ok(bench.clock() + MS)
        try:
            while (lines := (yield from client.read_lines(bench.clock() + MS))) is not None:
                reads[0] += len(list(lines))
        except StreamError:
            client.close()

    def count_turns() -> Coroutine[None]:
        while True:
            turns[0] += 1
            yield Wait(0)

    bench.loop.start("turns", count_turns())
    bench.loop.start("read", read_stream())
    bench.until(lambda: reads[0] == 32)
    peer.close()
    assert turns[0] >= 32 * len(chunk) // FAST_LIMITS.initial_read_buffer_bytes

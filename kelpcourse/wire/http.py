"""An HTTP/1.1 client on a Stream, with h11 as the parser."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Self, cast

import h11

from kelpcourse.limits import Limits
from kelpcourse.wire.buffers import ReadBuffer
from kelpcourse.wire.errors import (
    HttpProtocolError,
    HttpStatusError,
    MessageTooLongError,
    StreamError,
)
from kelpcourse.wire.loop import Coroutine
from kelpcourse.wire.stream import Address, Stream, connect

HTTP_OK = 200


class HttpClient:
    """One connection; a response body is read as a whole, or line by line as long as it lasts."""

    def __init__(self, stream: Stream, host: Address, limits: Limits) -> None:
        """Take over a connection.

        Args:
            stream: The connection.
            host: For the Host header.
            limits: Sizes of heads and bodies, and the time of a write.
        """
        self._stream = stream
        self._host = f"{host[0]}:{host[1]}"
        self._limits = limits
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=limits.max_http_head_bytes
        )
        self._received = bytearray(limits.initial_read_buffer_bytes)
        self._lines = ReadBuffer(limits.initial_read_buffer_bytes, limits.max_http_body_bytes)

    @property
    def fd(self) -> int:
        """The descriptor of the connection."""
        return self._stream.sock.fileno()

    @property
    def is_reusable(self) -> bool:
        """Whether the connection takes another request."""
        return self._parser.our_state is h11.IDLE and self._parser.their_state is h11.IDLE

    def is_stale(self) -> bool:
        """Whether the peer of the idle connection has closed it, or sent something unasked."""
        return self._stream.is_stale()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def __enter__(self) -> Self:
        """Use the client as a context manager that closes it."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Close the connection."""
        self.close()

    def send_request(self, method: str, target: str, body: bytes | None) -> Coroutine[None]:
        """Write a request.

        Raises:
            StreamError: It could not be written whole.
        """
        headers = [("Host", self._host), ("Accept", "application/json")]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        parts = [self._parser.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        data = b"".join(part for part in parts if part)
        yield from self._stream.send(data, self._limits.send_timeout_us)

    def read_status(self, deadline_us: int) -> Coroutine[int]:
        """Read the head of a response and give its status.

        Raises:
            StreamError: The connection ended or timed out, or this is not HTTP.
        """
        event = yield from self._next_event(deadline_us)
        while isinstance(event, h11.InformationalResponse):
            event = yield from self._next_event(deadline_us)
        if not isinstance(event, h11.Response):
            raise StreamError("closed without an answer")
        return event.status_code

    def expect_ok(self, deadline_us: int) -> Coroutine[None]:
        """Read the head of a response that must have status 200.

        Raises:
            HttpStatusError: The status is another one.
            StreamError: The connection ended or timed out, or this is not HTTP.
        """
        status = yield from self.read_status(deadline_us)
        if status != HTTP_OK:
            raise HttpStatusError(status)

    def read_body(self, deadline_us: int) -> Coroutine[memoryview]:
        """Read all of a response body.

        Raises:
            StreamError: The connection ended or timed out, or the body is over its limit.
        """
        body = bytearray()
        while True:
            event = yield from self._next_event(deadline_us)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise StreamError("closed before its answer was complete")
            body += event.data
            if len(body) > self._limits.max_http_body_bytes:
                raise HttpProtocolError("a body over its limit")
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        return memoryview(body)

    def read_lines(self, deadline_us: int) -> Coroutine[Iterator[memoryview] | None]:
        """Wait for more of an open body and give the lines that are complete by now.

        The lines are valid until the next read. None means that the body has ended.

        Raises:
            StreamError: The connection broke or timed out, or a line is over its limit. The
                iterator raises this too.
        """
        event = yield from self._next_event(deadline_us)
        if not isinstance(event, h11.Data):
            return None
        try:
            self._lines.append(event.data)
        except MessageTooLongError as error:
            raise HttpProtocolError("a line over its limit") from error
        return self._complete_lines()

    def _complete_lines(self) -> Iterator[memoryview]:
        try:
            yield from self._lines.lines()
        except MessageTooLongError as error:
            raise HttpProtocolError("a line over its limit") from error

    def _next_event(self, deadline_us: int) -> Coroutine[h11.Event]:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise HttpProtocolError(str(error)) from error
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise StreamError("closed")
            if isinstance(event, h11.Event):
                return event
            count = yield from self._stream.recv_into(memoryview(self._received), deadline_us)
            # h11 takes any bytes-like object and keeps its own copy, so the array is free again.
            self._parser.receive_data(cast(bytes, memoryview(self._received)[:count]))


def connect_http(address: Address, limits: Limits, deadline_us: int) -> Coroutine[HttpClient]:
    """Open a connection to an HTTP server.

    Raises:
        ConnectError: It was not established before the deadline.
    """
    stream = yield from connect(address, deadline_us)
    return HttpClient(stream, address, limits)

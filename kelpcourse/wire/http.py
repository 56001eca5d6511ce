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
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.wire.stream import Address, Stream, connect

HTTP_OK = 200


class HttpClient:
    """An HTTP client on one connection; a response body is read completely or, if it is a stream, by lines."""

    def __init__(self, stream: Stream, host: Address, limits: Limits) -> None:
        """Initializes a client that owns a connection.

        Args:
            stream: Stream of the connection.
            host: Host and port for the Host header.
            limits: Limits of the sizes of heads and bodies.
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
        """Whether the connection can be used for another request."""
        return self._parser.our_state is h11.IDLE and self._parser.their_state is h11.IDLE

    def is_stale(self) -> bool:
        """Returns whether the peer of the idle connection has closed it or sent unsolicited data."""
        return self._stream.is_stale()

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    def __enter__(self) -> Self:
        """Returns the client, for use as a context manager that closes the connection."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Closes the connection."""
        self.close()

    def send_request(
        self, method: str, target: str, body: bytes | None, deadline_us: int
    ) -> Coroutine[None]:
        """Writes a request.

        Args:
            method: HTTP method.
            target: Path and query.
            body: JSON body, or None for a request without one.
            deadline_us: Time of the loop's clock, in microseconds, by which the request must be written.

        Raises:
            StreamError: The request could not be written completely.
        """
        headers = [("Host", self._host), ("Accept", "application/json")]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        parts = [self._parser.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        data = b"".join(part for part in parts if part)
        yield from self._stream.send(data, deadline_us)

    def read_status(self, deadline_us: int) -> Coroutine[int]:
        """Reads the head of a response and returns its status.

        Raises:
            StreamError: The connection ended or timed out, or the peer sent invalid HTTP.
        """
        event = yield from self._next_event(deadline_us)
        while isinstance(event, h11.InformationalResponse):
            event = yield from self._next_event(deadline_us)
        if not isinstance(event, h11.Response):
            raise StreamError("connection closed before a response")
        return event.status_code

    def expect_ok(self, deadline_us: int) -> Coroutine[None]:
        """Reads the head of a response that must have status 200.

        Raises:
            HttpStatusError: The response has another status.
            StreamError: The connection ended or timed out, or the peer sent invalid HTTP.
        """
        status = yield from self.read_status(deadline_us)
        if status != HTTP_OK:
            raise HttpStatusError(status)

    def read_body(self, deadline_us: int) -> Coroutine[memoryview]:
        """Reads a complete response body.

        Raises:
            StreamError: The connection ended or timed out, or the body exceeds its size limit.
        """
        body = bytearray()
        while True:
            event = yield from self._next_event(deadline_us)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise StreamError("connection closed before the response was complete")
            body += event.data
            if len(body) > self._limits.max_http_body_bytes:
                raise HttpProtocolError("body exceeds its size limit")
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        return memoryview(body)

    def read_lines(self, deadline_us: int) -> Coroutine[Iterator[memoryview] | None]:
        """Waits for more data of a streamed body and returns the lines that are complete.

        The lines are valid until the next read. None means that the body has ended.

        Raises:
            StreamError: The connection failed or timed out, or a line exceeds its size limit. The returned iterator
                raises this error too.
        """
        event = yield from self._next_event(deadline_us)
        if not isinstance(event, h11.Data):
            return None
        try:
            self._lines.append(event.data)
        except MessageTooLongError as error:
            raise HttpProtocolError("line exceeds its size limit") from error
        return self._complete_lines()

    def _complete_lines(self) -> Iterator[memoryview]:
        try:
            yield from self._lines.lines()
        except MessageTooLongError as error:
            raise HttpProtocolError("line exceeds its size limit") from error

    def _next_event(self, deadline_us: int) -> Coroutine[h11.Event]:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise HttpProtocolError(str(error)) from error
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise StreamError("connection closed")
            if isinstance(event, h11.Event):
                return event
            count = yield from self._stream.recv_into(memoryview(self._received), deadline_us)
            # h11 accepts any bytes-like object and copies it, so the array can be reused.
            self._parser.receive_data(cast(bytes, memoryview(self._received)[:count]))
            yield Wait(0)  # a peer that sends without pause must not block the other tasks


def connect_http(address: Address, limits: Limits, deadline_us: int) -> Coroutine[HttpClient]:
    """Opens a connection to an HTTP server.

    Raises:
        ConnectError: The connection could not be established before the deadline.
    """
    stream = yield from connect(address, deadline_us)
    return HttpClient(stream, address, limits)

"""HTTP/1.1 as a client, parsed by h11, over a Stream."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import cast

import h11

from kelpcourse.limits import Limits
from kelpcourse.wire.buffers import Buffer, TooLong
from kelpcourse.wire.loop import Wait, Woken
from kelpcourse.wire.stream import Act, Address, Broken, Stream, connect


class Unreadable(Broken):
    """What came is no HTTP, or longer than its limit."""


class HttpClient:
    """One connection. A body is read whole, or line by line as long as it lasts."""

    def __init__(self, stream: Stream, host: Address, limits: Limits) -> None:
        self._stream = stream
        self._host = f"{host[0]}:{host[1]}"
        self._limits = limits
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=limits.max_http_head_bytes
        )
        self._read = bytearray(limits.initial_read_buffer_bytes)
        self._body = Buffer(limits.initial_read_buffer_bytes, limits.max_http_body_bytes)

    @property
    def fd(self) -> int:
        return self._stream.sock.fileno()

    @property
    def reusable(self) -> bool:
        return self._parser.our_state is h11.IDLE and self._parser.their_state is h11.IDLE

    def gone(self) -> bool:
        return self._stream.gone()

    def close(self) -> None:
        self._stream.close()

    def request(self, method: str, target: str, body: bytes | None) -> Act[None]:
        headers = [("Host", self._host), ("Accept", "application/json")]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        parts = [self._parser.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        data = b"".join(part for part in parts if part)
        yield from self._stream.send(data, self._limits.send_timeout_us)

    def status(self, until_us: int) -> Act[int]:
        """The status of the answer."""
        event = yield from self._event(until_us)
        while isinstance(event, h11.InformationalResponse):
            event = yield from self._event(until_us)
        if not isinstance(event, h11.Response):
            raise Broken("closed without an answer")
        return event.status_code

    def whole_body(self, until_us: int) -> Act[memoryview]:
        """All of the body; it is valid until the next read."""
        body = bytearray()
        while not isinstance(event := (yield from self._event(until_us)), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise Broken("closed before its answer was whole")
            body += event.data
            if len(body) > self._limits.max_http_body_bytes:
                raise Unreadable("a body over its limit")
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        return memoryview(body)

    def some_lines(self, until_us: int) -> Act[Iterator[memoryview] | None]:
        """Waits for more of an open body; the lines that are whole now, or None at its end."""
        event = yield from self._event(until_us)
        if not isinstance(event, h11.Data):
            return None
        try:
            self._body.put(event.data)
        except TooLong:
            raise Unreadable("a line over its limit") from None
        return self._whole_lines()

    def _whole_lines(self) -> Iterator[memoryview]:
        try:
            yield from self._body.lines()
        except TooLong:
            raise Unreadable("a line over its limit") from None

    def _event(self, until_us: int) -> Act[h11.Event]:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise Unreadable(str(error)) from None
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise Broken("closed")
            if isinstance(event, h11.Event):
                return event
            count = yield from self._stream.recv_into(memoryview(self._read), until_us)
            # h11 takes any bytes-like object and keeps its own copy, so the read buffer is free again.
            self._parser.receive_data(cast(bytes, memoryview(self._read)[:count]))


def dial(address: Address, limits: Limits, until_us: int) -> Generator[Wait, Woken, HttpClient]:
    stream = yield from connect(address, until_us)
    return HttpClient(stream, address, limits)

"""An HTTP/1.1 server for simulated services; a handler decides what is sent on each connection."""

from __future__ import annotations

import socket
from collections.abc import Callable

import h11

from kelpcourse.wire.errors import StreamError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Wait
from kelpcourse.wire.stream import Address, Stream

# Longer than any run, so that connections are never closed for being idle.
IDLE_TIMEOUT_US = 3_600_000_000
READ_BYTES = 65_536
DISCARD_READ_BYTES = 4_096
# `struct linger` with a timeout of 0, with which closing the socket sends a reset.
RESET_ON_CLOSE = b"\x01\0\0\0\0\0\0\0"


class HttpConnection:
    """The server side of one HTTP connection."""

    def __init__(self, stream: Stream, loop: Loop) -> None:
        """Initializes the server side of an accepted connection."""
        self.stream = stream
        self._loop = loop
        self._parser = h11.Connection(h11.SERVER)

    def _deadline_us(self) -> int:
        return self._loop.clock() + IDLE_TIMEOUT_US

    def next_event(self) -> Coroutine[object]:
        """Returns the parser's next event; reads from the socket while the parser needs data."""
        event = self._parser.next_event()
        while event is h11.NEED_DATA:
            buffer = memoryview(bytearray(READ_BYTES))
            count = yield from self.stream.recv_into(buffer, self._deadline_us())
            self._parser.receive_data(bytes(buffer[:count]))
            event = self._parser.next_event()
        return event

    def read_request(self) -> Coroutine[tuple[str, bytes] | None]:
        """Returns the target and body of the next request, or None if the connection was closed."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        head = yield from self.next_event()
        if not isinstance(head, h11.Request):
            return None
        body = b""
        event = yield from self.next_event()
        while isinstance(event, h11.Data):
            body += event.data
            event = yield from self.next_event()
        return head.target.decode(), body

    def send_events(self, *events: h11.Event) -> Coroutine[None]:
        """Serializes and sends events."""
        data = b"".join(self._parser.send(event) or b"" for event in events)
        yield from self.stream.send(data, self._deadline_us())

    def respond(self, status: int, body: bytes) -> Coroutine[None]:
        """Sends a complete response."""
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
        yield from self.send_events(head, h11.Data(data=body), h11.EndOfMessage())

    def start_chunked_response(self) -> Coroutine[None]:
        """Sends the head of a response whose body is sent in chunks."""
        yield from self.send_events(
            h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")])
        )

    def send_line(self, text: bytes) -> Coroutine[None]:
        """Sends a line of the body as a chunk."""
        yield from self.send_events(h11.Data(data=text + b"\n"))

    def wait_for_close(self) -> Coroutine[None]:
        """Discards received data until the peer closes the connection; sends nothing."""
        buffer = memoryview(bytearray(DISCARD_READ_BYTES))
        while (yield from self.stream.recv_into(buffer, self._deadline_us())):
            pass

    def reset(self) -> None:
        """Closes the connection with a TCP reset, as a killed process does."""
        self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.stream.close()


Serve = Callable[[HttpConnection], Coroutine[None]]


class HttpServer:
    """An HTTP server on an ephemeral loopback port.

    Attributes:
        address: Address on which the server listens.
        connections: Number of connections accepted so far.
    """

    def __init__(self, loop: Loop, serve: Serve) -> None:
        """Starts listening; `serve` runs for each connection."""
        self._loop = loop
        self._serve = serve
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()
        self.connections = 0
        self._accept_task = loop.start("http server", self._accept())

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(fd=self._sock.fileno(), event_mask=READ)
            sock, _ = self._sock.accept()
            self.connections += 1
            self._loop.start(
                "http connection", self._guarded(HttpConnection(Stream(sock), self._loop))
            )

    def _guarded(self, connection: HttpConnection) -> Coroutine[None]:
        try:
            yield from self._serve(connection)
        except (StreamError, h11.RemoteProtocolError):
            pass
        finally:
            connection.stream.close()

    def close(self) -> None:
        """Stops accepting connections and closes the listening socket."""
        self._loop.stop(self._accept_task)
        self._sock.close()

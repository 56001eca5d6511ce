"""Server of DNS requests over TCP (RFC 7766), with limits on the number of connections and on their idle time."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Generator, Iterable, Iterator

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.errors import MessageTooLongError, StreamError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Task, Wait, WakeReason
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import Address, Stream
from kelpcourse.zones.dns_request import HEADER_BYTES
from kelpcourse.zones.request_handler import DnsRequestHandler
from kelpcourse.zones.tcp_framing import frame, new_read_buffer


class ClientConnection:
    """A connection of a client, with the responses that are still to be sent over it.

    Attributes:
        stream: The accepted connection.
        peer: Address of the client.
        buffer: Received data that has not been processed.
        last_message_us: Time of the last complete message, or of the accept before the first one, in microseconds.
        partial_since_us: Time since which the buffer contains an incomplete message, in microseconds; None if it
            contains none.
        responses: The messages of each response that has not been sent completely, oldest response first.
        response_added: Signal that is set when a response is added.
        pending_count: Number of requests without a response so far.
        task: Task that serves the connection; None until it is started.
    """

    def __init__(self, stream: Stream, peer: Address, now_us: int) -> None:
        """Initializes the state of a connection accepted at `now_us`."""
        self.stream = stream
        self.peer = peer
        self.buffer = new_read_buffer()
        self.last_message_us = now_us
        self.partial_since_us: int | None = None
        self.responses: deque[Iterator[bytes]] = deque()
        self.response_added = Signal()
        self.pending_count = 0
        self.task: Task | None = None

    def add_response(self, messages: Iterable[bytes]) -> None:
        """Queues the response to a request; the connection may already be closed."""
        self.pending_count -= 1
        self.responses.append(iter(messages))
        self.response_added.set()

    def deadline_us(self, limits: Limits) -> int:
        """Returns the time at which the connection is closed unless a complete message is received before.

        Receiving a part of a message does not extend the deadline.
        """
        if self.partial_since_us is not None:
            return self.partial_since_us + limits.dns_partial_message_timeout_us
        return self.last_message_us + limits.dns_idle_timeout_us

    def close(self) -> None:
        """Closes the stream and the generators of responses that have not been sent completely."""
        for messages in self.responses:
            if isinstance(messages, Generator):
                messages.close()
        self.stream.close()


class TcpServer:
    """Accepts connections on one listening TCP socket and serves them."""

    def __init__(
        self,
        sock: socket.socket,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        handler: DnsRequestHandler,
    ) -> None:
        """Initializes a server that owns the listening socket."""
        self._socket = sock
        self._loop = loop
        self._limits = limits
        self._counters = counters
        self._log = log
        self._handler = handler
        self._connections: dict[ClientConnection, None] = {}
        self.address: Address = sock.getsockname()[:2]

    def run(self) -> Coroutine[None]:
        """Accepts connections and starts a coroutine for each."""
        while True:
            yield Wait(fd=self._socket.fileno(), event_mask=READ)
            try:
                accepted, peer = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError as error:
                self._log.event(
                    "descriptors_exhausted", reason=str(error), connections=len(self._connections)
                )
                self._evict_one()
                yield Wait(self._loop.clock() + self._limits.accept_retry_us)
                continue
            if len(self._connections) >= self._limits.max_dns_tcp_connections:
                self._evict_one()
            self._start(ClientConnection(Stream(accepted), peer[:2], self._loop.clock()))

    def close(self) -> None:
        """Closes the listening socket."""
        self._socket.close()

    def _start(self, connection: ClientConnection) -> None:
        self._counters.add("dns_connections")
        self._connections[connection] = None
        connection.task = self._loop.start("dns client", self._serve(connection))

    def _evict_one(self) -> None:
        """Closes the connection that has been idle for longest, preferably one without pending requests."""
        if not self._connections:
            return
        evicted = min(
            self._connections,
            key=lambda connection: (bool(connection.pending_count), connection.last_message_us),
        )
        self._counters.add("dns_connections_evicted")
        if evicted.task is not None:
            self._loop.stop(evicted.task)

    def _serve(self, connection: ClientConnection) -> Coroutine[None]:
        try:
            is_open = True
            while is_open:
                yield from self._send_responses(connection)
                is_open = yield from self._wait(connection)
        except (StreamError, MessageTooLongError) as error:
            self._counters.add("dns_connections_broken")
            self._log.event("dns_connection_broken", reason=str(error))
        finally:
            del self._connections[connection]
            connection.close()

    def _wait(self, connection: ClientConnection) -> Coroutine[bool]:
        """Waits for data, which it processes, or for a response; returns whether the connection stays open."""
        deadline_us = None
        if not connection.pending_count:
            deadline_us = connection.deadline_us(self._limits)
        fd = connection.stream.sock.fileno()
        wake_reason = yield Wait(deadline_us, fd, READ, connection.response_added)
        connection.response_added.clear()
        if wake_reason is WakeReason.TIMED_OUT:
            return False
        if wake_reason is not WakeReason.READY:
            return True
        return (yield from self._receive(connection))

    def _receive(self, connection: ClientConnection) -> Coroutine[bool]:
        count = yield from connection.stream.recv_into(
            connection.buffer.writable(),
            self._loop.clock() + self._limits.dns_partial_message_timeout_us,
        )
        if not count:
            return False
        connection.buffer.commit(count)
        for message in connection.buffer.length_prefixed_messages():
            connection.stream.check_not_reset()
            self._handle(connection, bytes(message))
            # Queued responses are sent, and the requests of other clients served, before another request is handled.
            yield from self._send_responses(connection)
            yield Wait(0)
        if connection.buffer.pending_bytes and connection.partial_since_us is None:
            connection.partial_since_us = self._loop.clock()
        if self._loop.clock() >= connection.deadline_us(self._limits):
            return bool(connection.pending_count)
        return True

    def _handle(self, connection: ClientConnection, message: bytes) -> None:
        if len(message) < HEADER_BYTES:
            raise StreamError("message is shorter than a DNS header")
        connection.last_message_us = self._loop.clock()
        connection.partial_since_us = None
        connection.pending_count += 1
        self._handler.handle(message, connection.peer, True, connection.add_response)

    def _send_responses(self, connection: ClientConnection) -> Coroutine[None]:
        while connection.responses:
            for message in connection.responses[0]:
                deadline_us = self._loop.clock() + self._limits.dns_partial_message_timeout_us
                yield from connection.stream.send(frame(message), deadline_us)
            connection.responses.popleft()

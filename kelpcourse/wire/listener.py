"""Listener on the controller's own address: serves report collectors and pings, and evicts clients under load."""

from __future__ import annotations

import contextlib
import errno
import os
import socket

from kelpcourse.wire.buffers import ReadBuffer
from kelpcourse.wire.client_connection import ClientConnection
from kelpcourse.wire.errors import (
    MalformedLineError,
    MessageTooLongError,
    ProtocolViolationError,
    StreamError,
    StreamTimeoutError,
)
from kelpcourse.wire.loop import READ, Coroutine, Wait
from kelpcourse.wire.report_handler import ReportHandler
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address, Stream, listen


class Listener:
    """Accepts and reads connections, and limits their number and the memory of their read buffers."""

    def __init__(
        self, runtime: Runtime, address: Address, sock: socket.socket | None = None
    ) -> None:
        """Initializes a listener, whose coroutine is `run`.

        Args:
            runtime: Clock, limits, counters, log, loop and facade.
            address: Address to listen on.
            sock: Socket that listens on the address already; None means that `run` opens one.
        """
        self._sock = sock
        self._runtime = runtime
        self._address = address
        self._handler = ReportHandler(runtime)
        self._connections: dict[ClientConnection, None] = {}
        self._spare_fd = os.open(os.devnull, os.O_RDONLY)

    def run(self) -> Coroutine[None]:
        """Listens and accepts connections, indefinitely."""
        sock = self._sock
        self._sock = None  # a restart after an unexpected error opens a new socket
        while sock is None:
            sock = self._listen()
            if sock is None:
                yield Wait(self._runtime.clock() + self._runtime.limits.bind_retry_us)
        self._runtime.log.always("ready", listen=f"{self._address[0]}:{self._address[1]}")
        with sock:
            while True:
                yield Wait(fd=sock.fileno(), event_mask=READ)
                if not self._accept_all(sock):
                    yield Wait(self._runtime.clock() + self._runtime.limits.accept_retry_us)

    def _listen(self) -> socket.socket | None:
        """Opens the socket and returns it; None while the previous process still uses the address."""
        try:
            return listen(self._address, self._runtime.limits.listen_backlog)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self._runtime.log.event("address_in_use", reason=str(error))
            return None

    def _accept_all(self, sock: socket.socket) -> bool:
        """Accepts all queued connections; returns False if accepting must pause for lack of capacity."""
        while True:
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue  # the client reset the connection before it was accepted
            except OSError as error:  # usually because there are no free descriptors
                self._runtime.log.event(
                    "descriptors_exhausted", reason=str(error), connections=len(self._connections)
                )
                self._free_descriptor(sock)
                return False
            self._add_connection(Stream(accepted))
            while len(self._connections) > self._runtime.limits.max_connections:
                if not self._evict_one():
                    return False

    def _free_descriptor(self, sock: socket.socket) -> None:
        """Closes one connection, so that silent clients can't prevent a collector from connecting.

        Without a connection to close there is no descriptor even for a rejection, so the spare descriptor is released
        in order to accept the next queued connection and close it immediately.
        """
        if self._connections:
            self._evict_one()
            return
        self._runtime.counters.add("connections_evicted")
        if self._spare_fd >= 0:
            os.close(self._spare_fd)
            self._spare_fd = -1
        with contextlib.suppress(OSError):
            sock.accept()[0].close()
        with contextlib.suppress(OSError):
            self._spare_fd = os.open(os.devnull, os.O_RDONLY)

    def _add_connection(self, stream: Stream) -> None:
        limits = self._runtime.limits
        # Only short responses are ever written, so a small send buffer suffices.
        with contextlib.suppress(OSError):
            stream.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, limits.max_unauthenticated_bytes
            )
        buffer = ReadBuffer(limits.max_unauthenticated_bytes, limits.max_unauthenticated_bytes)
        connection = ClientConnection(stream, buffer, self._runtime.clock())
        self._connections[connection] = None
        self._runtime.counters.add("connections")
        connection.task = self._runtime.loop.start("client connection", self._serve(connection))

    def _evict_one(self) -> bool:
        """Closes the first connection in eviction order; returns False if that one is too new to be closed.

        A new connection may be that of a collector whose first line has not arrived yet.
        """
        connection = min(self._connections, key=lambda each: each.eviction_order)
        age_us = self._runtime.clock() - connection.accepted_us
        if age_us < self._runtime.limits.accept_retry_us:
            return False
        self._runtime.counters.add("connections_evicted")
        self._runtime.log.event(
            "connection_evicted", zone=connection.zone, connections=len(self._connections)
        )
        if connection.task is not None:
            self._runtime.loop.stop(connection.task)
        return True

    def _serve(self, connection: ClientConnection) -> Coroutine[None]:
        try:
            yield from self._read_until_closed(connection)
        except (
            ProtocolViolationError,
            MalformedLineError,
            MessageTooLongError,
            StreamTimeoutError,
        ) as error:
            self._handler.reject(connection, error)
        except StreamError as error:
            self._runtime.counters.add("connections_broken")
            self._runtime.log.event("connection_broken", zone=connection.zone, reason=str(error))
        finally:
            del self._connections[connection]
            connection.stream.close()

    def _read_until_closed(self, connection: ClientConnection) -> Coroutine[None]:
        limits = self._runtime.limits
        while True:
            space = connection.buffer.writable()
            count = yield from connection.stream.recv_into(space, connection.deadline_us(limits))
            if not count:
                return
            self._runtime.counters.add("bytes_in", count)
            connection.buffer.commit(count)
            while self._handler.handle_received(connection):
                yield Wait(0)
            if self._is_over_memory(connection):
                raise StreamError("read buffers of all connections exceed their total limit")
            yield Wait(0)  # a client that sends without pause must not block the other tasks

    def _is_over_memory(self, connection: ClientConnection) -> bool:
        """Returns whether the read buffers exceed their total limit and this connection's buffer has grown.

        A few connections may have incomplete lines of the maximum length, but hundreds of them would take too much
        memory.
        """
        limits = self._runtime.limits
        total_bytes = sum(each.buffer.capacity_bytes for each in self._connections)
        self._runtime.counters.record_max("max_read_buffer_bytes", total_bytes)
        has_grown = connection.buffer.capacity_bytes > limits.initial_read_buffer_bytes
        return total_bytes > limits.max_read_buffers_bytes and has_grown

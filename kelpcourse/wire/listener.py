"""The controller's own address: accepts report collectors and anyone who pings, and evicts some under load."""

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
    """Accepts connections, reads them and bounds how many there are and what memory they take."""

    def __init__(
        self, runtime: Runtime, address: Address, sock: socket.socket | None = None
    ) -> None:
        """Create a listener; `run` is its coroutine.

        Args:
            runtime: Clock, limits, counters, log, loop and facade.
            address: Where to listen.
            sock: A socket that listens there already.
        """
        self._sock = sock
        self._runtime = runtime
        self._address = address
        self._handler = ReportHandler(runtime)
        self._connections: dict[ClientConnection, None] = {}
        self._spare_fd = os.open(os.devnull, os.O_RDONLY)

    def run(self) -> Coroutine[None]:
        """Listen and accept connections for ever."""
        sock = self._sock
        self._sock = None  # a restart after an unexpected error opens a new one
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
        """Open the socket; None while the previous process still holds the address."""
        try:
            return listen(self._address, self._runtime.limits.listen_backlog)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self._runtime.log.event("address_in_use", reason=str(error))
            return None

    def _accept_all(self, sock: socket.socket) -> bool:
        """Accept all that wait; False if that has to pause for lack of capacity."""
        while True:
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue  # it was reset before it was accepted
            except OSError as error:  # as a rule because descriptors have run out
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
        """Close one connection, so that silent clients can't shut a collector out.

        Without connections not even a rejection is possible: the spare descriptor is given up to
        accept and close the one that waits.
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
        # Only pongs are ever written, so the system need not buffer much.
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
        """Close the connection that matters least; False if that is too new to be closed.

        A new one may be a collector in a crowd, whose first line is on its way.
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
            self._handler.handle_received(connection)
            if self._is_over_memory(connection):
                raise StreamError("read buffers are over their limit together")
            if count == len(space):
                yield Wait(0)  # a client that sends without end must not keep the others waiting

    def _is_over_memory(self, connection: ClientConnection) -> bool:
        """Whether this connection's buffer has grown past what all may hold together.

        Incomplete lines of up to the limit each are fine on a few connections, not on hundreds.
        """
        limits = self._runtime.limits
        total_bytes = sum(each.buffer.capacity_bytes for each in self._connections)
        self._runtime.counters.record_max("max_read_buffer_bytes", total_bytes)
        has_grown = connection.buffer.capacity_bytes > limits.initial_read_buffer_bytes
        return total_bytes > limits.max_read_buffers_bytes and has_grown

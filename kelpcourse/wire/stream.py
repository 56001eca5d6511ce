"""Non-blocking TCP connections, whose operations are coroutines with a deadline."""

from __future__ import annotations

import os
import socket

from kelpcourse.wire.errors import ConnectError, StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, WRITE, Coroutine, Wait, WakeReason

Address = tuple[str, int]  # host and port


class Stream:
    """A connected TCP socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Initializes a stream that owns a connected socket."""
        sock.setblocking(False)
        self.sock = sock

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    def recv_into(self, space: memoryview, deadline_us: int) -> Coroutine[int]:
        """Reads the available data, at least one byte, and returns its size; 0 means that the peer has closed.

        Raises:
            StreamTimeoutError: No data was received before the deadline.
            StreamError: The connection failed.
        """
        while True:
            try:
                return self.sock.recv_into(space)
            except BlockingIOError:
                reason = yield Wait(deadline_us, self.sock.fileno(), READ)
                if reason is WakeReason.TIMED_OUT:
                    raise StreamTimeoutError("no data received before the deadline") from None
            except OSError as error:
                raise StreamError(f"read failed: {error.strerror}") from error

    def send(self, data: bytes, deadline_us: int) -> Coroutine[None]:
        """Writes all of `data`.

        Raises:
            StreamTimeoutError: The peer did not accept all data before the deadline.
            StreamError: The connection failed.
        """
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                reason = yield Wait(deadline_us, self.sock.fileno(), WRITE)
                if reason is WakeReason.TIMED_OUT:
                    raise StreamTimeoutError(
                        "peer did not accept all data before the deadline"
                    ) from None
            except OSError as error:
                raise StreamError(f"write failed: {error.strerror}") from error

    def check_not_reset(self) -> None:
        """Checks that the peer has not reset the connection, as it does if it closes with unread data.

        Raises:
            StreamError: The peer has reset the connection.
        """
        error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise StreamError(f"connection failed: {os.strerror(error_number)}")

    def is_stale(self) -> bool:
        """Returns whether the peer of an idle connection has closed it or sent unsolicited data."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


def address_family(address: Address) -> socket.AddressFamily:
    """Returns the address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def listen(address: Address, backlog: int) -> socket.socket:
    """Opens a non-blocking listening socket.

    Args:
        address: Address to listen on; port 0 means any free port.
        backlog: Maximum number of connections that the system queues until they are accepted.

    Raises:
        OSError: The address can't be bound.
    """
    sock = socket.socket(address_family(address), socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def connect(address: Address, deadline_us: int) -> Coroutine[Stream]:
    """Opens a connection.

    Raises:
        ConnectError: The connection was not established before the deadline, or no socket could be created.
    """
    try:
        sock = socket.socket(address_family(address), socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:  # no free descriptors; the caller retries
        raise ConnectError(f"creating a socket failed: {error.strerror}") from error
    try:
        yield from _wait_connected(sock, address, deadline_us)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        sock.close()
        raise ConnectError(f"connect failed: {error.strerror}") from error
    except BaseException:
        sock.close()
        raise
    return Stream(sock)


def _wait_connected(sock: socket.socket, address: Address, deadline_us: int) -> Coroutine[None]:
    try:
        sock.connect(address)
    except BlockingIOError:
        reason = yield Wait(deadline_us, sock.fileno(), WRITE)
        if reason is WakeReason.TIMED_OUT:
            raise ConnectError("connect timed out") from None
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number)) from None

"""Non-blocking TCP connections: each operation is a coroutine with a deadline."""

from __future__ import annotations

import os
import socket

from kelpcourse.wire.errors import ConnectError, StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, WRITE, Coroutine, Wait, WakeReason

Address = tuple[str, int]  # host and port


class Stream:
    """A connected TCP socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected socket."""
        sock.setblocking(False)
        self.sock = sock

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def recv_into(self, space: memoryview, deadline_us: int) -> Coroutine[int]:
        """Read what is there, at least one byte; 0 means that the peer has closed.

        Raises:
            StreamTimeoutError: Nothing came before the deadline.
            StreamError: The connection broke.
        """
        while True:
            try:
                return self.sock.recv_into(space)
            except BlockingIOError:
                reason = yield Wait(deadline_us, self.sock.fileno(), READ)
                if reason is WakeReason.TIMED_OUT:
                    raise StreamTimeoutError("nothing came in time") from None
            except OSError as error:
                raise StreamError(f"reading: {error.strerror}") from error

    def send(self, data: bytes, deadline_us: int) -> Coroutine[None]:
        """Write all of `data`.

        Raises:
            StreamTimeoutError: The peer did not accept all of it before the deadline.
            StreamError: The connection broke.
        """
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                reason = yield Wait(deadline_us, self.sock.fileno(), WRITE)
                if reason is WakeReason.TIMED_OUT:
                    raise StreamTimeoutError("nothing was taken in time") from None
            except OSError as error:
                raise StreamError(f"writing: {error.strerror}") from error

    def is_stale(self) -> bool:
        """Whether the peer of an idle connection has closed it, or sent something unasked."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


def address_family(address: Address) -> socket.AddressFamily:
    """Give the family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def listen(address: Address, backlog: int) -> socket.socket:
    """Open a non-blocking listening socket.

    Args:
        address: Where to listen; port 0 means any free one.
        backlog: Connections that the system holds until they are accepted.

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
    """Open a connection.

    Raises:
        ConnectError: It was not established before the deadline, or there is no socket for it.
    """
    try:
        sock = socket.socket(address_family(address), socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:  # descriptors have run out: the caller retries
        raise ConnectError(f"no socket: {error.strerror}") from error
    try:
        yield from _wait_connected(sock, address, deadline_us)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        sock.close()
        raise ConnectError(f"connecting: {error.strerror}") from error
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
            raise ConnectError("connecting took too long") from None
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number)) from None

"""A TCP connection without blocking: each act is a coroutine with a time limit."""

from __future__ import annotations

import os
import socket

from kelpcourse.wire.loop import READ, WRITE, Coroutine, Wait, WakeReason

Address = tuple[str, int]


class Broken(Exception):
    """The connection can't be used any more; the text says why."""


class Refused(Broken):
    """The connection never came up."""


class Silent(Broken):
    """Nothing came within the time limit."""


class Stream:
    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock

    def close(self) -> None:
        self.sock.close()

    def recv_into(self, room: memoryview, until_us: int) -> Coroutine[int]:
        """Reads what is there, at least one byte; 0 is the end."""
        while True:
            try:
                return self.sock.recv_into(room)
            except BlockingIOError:
                woken = yield Wait(until_us, self.sock.fileno(), READ)
                if woken is WakeReason.TIMED_OUT:
                    raise Silent("nothing came in time") from None
            except OSError as error:
                raise Broken(f"reading: {error.strerror}") from None

    def send(self, data: bytes, until_us: int) -> Coroutine[None]:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                woken = yield Wait(until_us, self.sock.fileno(), WRITE)
                if woken is WakeReason.TIMED_OUT:
                    raise Silent("nothing was taken in time") from None
            except OSError as error:
                raise Broken(f"writing: {error.strerror}") from None

    def gone(self) -> bool:
        """Whether the other side has closed, or said something unasked, while nothing was going on."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True


def family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def connect(address: Address, until_us: int) -> Coroutine[Stream]:
    try:
        sock = socket.socket(family(address), socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    except OSError as error:  # descriptors used up: the caller tries again later
        raise Refused(f"no socket: {error.strerror}") from None
    try:
        yield from _dial(sock, address, until_us)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        sock.close()
        raise Refused(f"connecting: {error.strerror}") from None
    except BaseException:
        sock.close()
        raise
    return Stream(sock)


def _dial(sock: socket.socket, address: Address, until_us: int) -> Coroutine[None]:
    try:
        sock.connect(address)
    except BlockingIOError:
        woken = yield Wait(until_us, sock.fileno(), WRITE)
        if woken is WakeReason.TIMED_OUT:
            raise Refused("connecting took too long") from None
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if number:
            raise OSError(number, os.strerror(number)) from None

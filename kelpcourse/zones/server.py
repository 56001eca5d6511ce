"""DNS over UDP and TCP on the loop: bytes in, bytes out; the desk says what."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from collections.abc import Iterable, Iterator

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.buffers import ReadBuffer
from kelpcourse.wire.errors import MessageTooLongError, StreamError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Task, Wait, WakeReason
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import Address, Stream, address_family, listen
from kelpcourse.zones.desk import HEAD, Desk

MESSAGE = 2 + 65_535  # with its length, over TCP
READ_LEAST = 512


def bound(address: Address) -> socket.socket:
    """A socket for datagrams at an address of ours. Raises OSError."""
    sock = socket.socket(address_family(address), socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def pair(address: Address, queue: int) -> tuple[socket.socket, socket.socket]:
    """UDP and TCP (with so long a queue) at one address; port 0: any that is free for both. Raises OSError."""
    for _ in range(16):
        tcp = listen(address, queue)
        try:
            return bound((address[0], tcp.getsockname()[1])), tcp
        except OSError:
            tcp.close()
            if address[1]:
                raise
    raise OSError("no port is free for both UDP and TCP")


class Client:
    """A TCP connection that came in."""

    def __init__(self, stream: Stream, peer: Address, now_us: int) -> None:
        self.stream = stream
        self.peer = peer
        self.buffer = ReadBuffer(READ_LEAST, MESSAGE)
        self.heard_us = now_us  # when a message was last whole
        self.half_us: int | None = None  # since when one is not
        self.out: deque[Iterator[bytes]] = deque()
        self.more = Signal()
        self.waits = 0  # updates whose answer is still to come
        self.task: Task | None = None

    def reply(self, wires: Iterable[bytes]) -> None:
        self.out.append(iter(wires))
        self.more.set()

    def until_us(self, limits: Limits) -> int:
        """When it is let go: it asks nothing, or a message of its does not become whole. Slow drips don't
        count as life."""
        if self.half_us is not None:
            return self.half_us + limits.dns_partial_message_timeout_us
        return self.heard_us + limits.dns_idle_timeout_us


class Server:
    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        desk: Desk,
        sockets: tuple[socket.socket, socket.socket],
    ) -> None:
        self._loop = loop
        self._limits = limits
        self._counters = counters
        self._log = log
        self._desk = desk
        self._udp, self._tcp = sockets
        self._clients: dict[Client, None] = {}
        self.address: Address = self._tcp.getsockname()[:2]

    def close(self) -> None:
        self._udp.close()
        self._tcp.close()

    # UDP

    def run_udp(self) -> Coroutine[None]:
        while True:
            yield Wait(fd=self._udp.fileno(), event_mask=READ)
            for _ in range(
                self._limits.max_dns_datagrams_per_read
            ):  # the rest in the next round: others want their turn
                try:
                    wire, peer = self._udp.recvfrom(65_535)
                except BlockingIOError:
                    break
                except OSError:  # an earlier answer found nobody there
                    continue
                self._desk.handle(wire, peer[:2], False, self._datagrams_to(peer))

    def _datagrams_to(self, peer: Address) -> _Datagrams:
        return _Datagrams(self._udp, peer, self._counters)

    # TCP

    def run_tcp(self) -> Coroutine[None]:
        while True:
            yield Wait(fd=self._tcp.fileno(), event_mask=READ)
            try:
                connection, peer = self._tcp.accept()
            except BlockingIOError:
                continue
            except ConnectionAbortedError:
                continue
            except OSError as error:  # as a rule: no descriptor is left
                self._log.event(
                    "descriptors_exhausted", reason=str(error), connections=len(self._clients)
                )
                self._shed()
                yield Wait(self._loop.clock() + self._limits.accept_retry_us)
                continue
            if len(self._clients) >= self._limits.max_dns_tcp_connections:
                self._shed()
            self._welcome(Client(Stream(connection), peer[:2], self._loop.clock()))

    def _welcome(self, client: Client) -> None:
        self._counters.add("dns_connections")
        self._clients[client] = None
        client.task = self._loop.start("dns client", self._serve(client))

    def _shed(self) -> None:
        """Room for one more: who said nothing for longest goes, and nobody whose update is under way, if others
        are there."""
        if not self._clients:
            return
        quietest = min(self._clients, key=lambda c: (bool(c.waits), c.heard_us))
        self._counters.add("dns_connections_evicted")
        if quietest.task is not None:
            self._loop.stop(quietest.task)

    def _serve(self, client: Client) -> Coroutine[None]:
        try:
            while True:
                yield from self._send_all(client)
                if not (yield from self._hear(client)):
                    return
        except (StreamError, MessageTooLongError) as error:
            self._counters.add("dns_connections_broken")
            self._log.event("dns_connection_broken", reason=str(error))
        finally:
            for wires in client.out:
                if hasattr(wires, "close"):
                    wires.close()
            del self._clients[client]
            client.stream.close()

    def _hear(self, client: Client) -> Coroutine[bool]:
        """Waits for more of its messages or for an answer to one; false: it has ended, or its time is over."""
        limits = self._limits
        until_us = client.until_us(limits) if not client.waits else None
        woken = yield Wait(until_us, client.stream.sock.fileno(), READ, client.more)
        client.more.clear()
        if woken is WakeReason.TIMED_OUT:
            return False
        if woken is not WakeReason.READY:
            return True
        count = yield from client.stream.recv_into(
            client.buffer.writable(), self._loop.clock() + limits.dns_partial_message_timeout_us
        )
        if not count:
            return False
        client.buffer.commit(count)
        for message in client.buffer.length_prefixed_messages():
            if len(message) < HEAD:
                raise StreamError("no message")
            client.heard_us, client.half_us = self._loop.clock(), None
            client.waits += 1
            self._desk.handle(bytes(message), client.peer, True, self._replies_to(client))
            yield from self._send_all(client)  # it reads its answers before more is read from it
        if client.buffer.pending_bytes:
            client.half_us = client.half_us if client.half_us is not None else self._loop.clock()
        if self._loop.clock() >= client.until_us(limits):
            return bool(client.waits)
        return True

    def _replies_to(self, client: Client) -> _Replies:
        return _Replies(client)

    def _send_all(self, client: Client) -> Coroutine[None]:
        while client.out:
            wires = client.out[0]
            for wire in wires:
                until_us = self._loop.clock() + self._limits.dns_partial_message_timeout_us
                yield from client.stream.send(len(wire).to_bytes(2, "big") + wire, until_us)
            client.out.popleft()


class _Replies:
    """The way back over a connection. It may have gone when an update is settled."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def __call__(self, wires: Iterable[bytes]) -> None:
        self._client.waits -= 1
        self._client.reply(wires)


class _Datagrams:
    """The way back over UDP. A full buffer loses an answer, as the network may: the client asks again."""

    def __init__(self, sock: socket.socket, peer: Address, counters: Counters) -> None:
        self._sock = sock
        self._peer = peer
        self._counters = counters

    def __call__(self, wires: Iterable[bytes]) -> None:
        for wire in wires:
            with contextlib.suppress(OSError):
                self._sock.sendto(wire, self._peer)
                return
            self._counters.add("dns_answers_lost")

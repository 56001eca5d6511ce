"""Connections among controllers: each dials every other and speaks on its own line; what comes in is heard on theirs.

A line begins with Hello and carries length-prefixed envelopes. With TLS the name in a certificate must be the name of
the member that speaks. Messages are not kept for a peer that is away: agreement asks again by itself.
"""

from __future__ import annotations

import ssl
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.codec import BadPeerMessage, Hello, Letter, Unknown, decode, encode
from kelpcourse.shared.controller import PeerMessage
from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Task, Wait, WakeReason
from kelpcourse.wire.runtime import Backoff, EventLog
from kelpcourse.wire.stream import Address, Stream, connect, listen
from kelpcourse.wire.tls import TlsStream

HEAD = 4  # bytes of a length


@dataclass(frozen=True)
class Tls:
    """Contexts, made anew when certificates are renewed: connections that stand go on."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def name_of(member: str) -> str:
    return member.partition("@")[0]


class Line:
    """Messages on their way to one peer; the oldest go when too many wait."""

    def __init__(self, name: str, address: Address, most: int) -> None:
        self.name = name
        self.address = address
        self.waiting: deque[bytes] = deque(maxlen=most)
        self.more = Signal()


class Peers:
    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        me: str,
        address: Address,
        others: Mapping[str, Address],
        tls: Callable[[], Tls | None],
        heard: Callable[[str, PeerMessage], None],
    ) -> None:
        """`me`: our member; `others`: addresses by name."""
        self._loop = loop
        self._limits = limits
        self._counters = counters
        self._log = log
        self._me = me
        self._tls = tls
        self._heard = heard
        self._lines = {
            name: Line(name, at, limits.max_queued_peer_messages) for name, at in others.items()
        }
        self.members: dict[str, str] = {}  # by name: who last said Hello under it
        self._sock = listen(address, limits.listen_backlog)
        self._connections = 0
        self._incoming: list[Task] = []
        self.address: Address = self._sock.getsockname()[:2]

    def start(self, keep: Callable[[str, Callable[[], Coroutine[None]]], None]) -> None:
        keep("peers in", self._accept)
        for line in self._lines.values():
            keep("peer out", lambda line=line: self._speak(line))  # type: ignore[misc]

    def close(self) -> None:
        for task in self._incoming:
            self._loop.stop(task)
        self._sock.close()

    def send(self, to: str, message: PeerMessage) -> None:
        line = self._lines.get(name_of(to))
        if line is None:
            self._counters.add("peer_messages_lost")
            return
        if len(line.waiting) == line.waiting.maxlen:
            self._counters.add("peer_messages_lost")
        line.waiting.append(encode(self._me, to, message))
        line.more.set()

    # Out

    def _speak(self, line: Line) -> Coroutine[None]:
        backoff = Backoff(self._limits)
        while True:
            try:
                yield from self._speak_once(line, backoff)
            except StreamError as error:
                self._counters.add("peer_connections_broken")
                self._log.event("peer_unreachable", peer=line.name, reason=str(error))
            yield Wait(self._loop.clock() + backoff.next_us())

    def _speak_once(self, line: Line, backoff: Backoff) -> Coroutine[None]:
        clock = self._loop.clock
        stream = yield from connect(line.address, clock() + self._limits.connect_timeout_us)
        try:
            tls = self._tls()
            if tls is not None:
                stream = TlsStream(stream, tls.client, False, line.name)
                yield from stream.handshake(clock() + self._limits.peer_handshake_timeout_us)
            line.waiting.clear()  # what waited while it was away is old
            yield from self._put(stream, encode(self._me, "", Hello(self._me)))
            backoff.reset()
            self._log.event("peer_connected", peer=line.name)
            while True:
                line.more.clear()
                while line.waiting:
                    yield from self._put(stream, line.waiting.popleft())
                # Nothing is ever said on this line but by us: what can be read is its end, or TLS's own.
                woken = yield Wait(
                    clock() + self._limits.peer_heartbeat_us, stream.sock.fileno(), READ, line.more
                )
                if woken is WakeReason.READY:
                    yield from self._still_open(stream)
                elif (
                    woken is WakeReason.TIMED_OUT
                ):  # a sign of life: two followers have nothing to say to each other
                    yield from self._put(stream, encode(self._me, "", Hello(self._me)))
        finally:
            stream.close()

    def _still_open(self, stream: Stream) -> Coroutine[None]:
        try:
            count = yield from stream.recv_into(memoryview(bytearray(512)), self._loop.clock())
        except StreamTimeoutError:  # TLS has taken what came for itself
            return
        if not count:
            raise StreamError("closed")

    def _put(self, stream: Stream, data: bytes) -> Coroutine[None]:
        yield from stream.send(
            len(data).to_bytes(HEAD, "big") + data,
            self._loop.clock() + self._limits.send_timeout_us,
        )
        self._counters.add("peer_bytes_out", HEAD + len(data))

    # In

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(fd=self._sock.fileno(), event_mask=READ)
            try:
                connection, _ = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError as error:
                self._log.event(
                    "descriptors_exhausted", reason=str(error), connections=self._connections
                )
                yield Wait(self._loop.clock() + self._limits.accept_retry_us)
                continue
            if self._connections >= self._limits.max_peer_connections:
                connection.close()
                continue
            self._incoming = [task for task in self._incoming if task.wait is not None]
            self._incoming.append(self._loop.start("peer in", self._listen(Stream(connection))))

    def _listen(self, stream: Stream) -> Coroutine[None]:
        self._connections += 1
        clock = self._loop.clock
        until_us = clock() + self._limits.peer_handshake_timeout_us
        try:
            tls = self._tls()
            name = None
            if tls is not None:
                stream = TlsStream(stream, tls.server, True)
                yield from stream.handshake(until_us)
                name = stream.peer_name()
            reader = Reader(stream, self._limits)
            hello = self._read((yield from reader.next(until_us)))
            self._welcome(hello, name)
            while True:
                letter = self._read(
                    (yield from reader.next(clock() + self._limits.peer_silence_timeout_us))
                )
                self._take(letter, hello.sender)
        except (StreamError, BadPeerMessage) as error:
            self._counters.add("peer_connections_closed")
            self._log.event("peer_connection_closed", reason=str(error))
        finally:
            self._connections -= 1
            stream.close()

    def _read(self, data: bytes) -> Letter:
        self._counters.add("peer_messages_in")
        return decode(data)

    def _welcome(self, letter: Letter, certified: str | None) -> None:
        name = name_of(letter.sender)
        if not isinstance(letter.body, Hello) or letter.body.member != letter.sender:
            raise BadPeerMessage("a line that does not begin with its member")
        if name not in self._lines:
            raise BadPeerMessage(f"{name!r:.60} is no member in the settings")
        if certified is not None and certified != name:
            raise BadPeerMessage(f"{name!r:.60} with the certificate of {certified!r:.60}")
        self.members[name] = letter.sender

    def _take(self, letter: Letter, sender: str) -> None:
        if letter.sender != sender:
            raise BadPeerMessage(
                f"a message of {letter.sender!r:.60} on the line of {sender!r:.60}"
            )
        if isinstance(letter.body, Unknown | Hello):
            self._counters.add("peer_messages_unknown")
        elif letter.to != self._me:  # meant for this name with another disk, which is not us
            self._counters.add("peer_messages_misrouted")
        else:
            self._heard(sender, letter.body)


class Reader:
    """Length-prefixed messages out of a stream."""

    def __init__(self, stream: Stream, limits: Limits) -> None:
        self._stream = stream
        self._most = limits.max_peer_message_bytes
        self._held = bytearray()
        self._room = memoryview(bytearray(limits.initial_read_buffer_bytes))

    def next(self, until_us: int) -> Coroutine[bytes]:
        while True:
            if len(self._held) >= HEAD:
                size = int.from_bytes(self._held[:HEAD], "big")
                if size > self._most:
                    raise BadPeerMessage(f"a message of {size} bytes, {self._most} at most")
                if len(self._held) >= HEAD + size:
                    data = bytes(self._held[HEAD : HEAD + size])
                    del self._held[: HEAD + size]
                    return data
            count = yield from self._stream.recv_into(self._room, until_us)
            if not count:
                raise StreamError("closed")
            self._held += self._room[:count]

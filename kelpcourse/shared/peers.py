"""Connections among controllers: each dials every other one and sends on that connection only.

A connection begins with `Hello` and carries length-prefixed messages. With TLS the name in a certificate must be the
name of the member that speaks. Messages are not kept for a peer that is away: Raft sends again by itself.
"""

from __future__ import annotations

import ssl
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.controller_events import PeerMessage
from kelpcourse.shared.errors import PeerMessageError
from kelpcourse.shared.peer_codec import (
    AddressedMessage,
    Hello,
    UnsupportedMessage,
    decode,
    encode,
)
from kelpcourse.shared.peer_framing import MessageReader, with_length_prefix
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Task, Wait, WakeReason
from kelpcourse.wire.runtime import Backoff, EventLog
from kelpcourse.wire.stream import Address, Stream, connect, listen
from kelpcourse.wire.tls import TlsStream

UNEXPECTED_READ_BYTES = 512  # nothing but the connection's end is expected
MEMBER_TOKEN_SEPARATOR = "@"


@dataclass(frozen=True)
class TlsContexts:
    """Contexts for connections of both directions; replaced when certificates are renewed."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def member_name(member: MemberId) -> str:
    """Returns a member's name without the token of its disk."""
    return member.partition(MEMBER_TOKEN_SEPARATOR)[0]


class OutboundQueue:
    """Messages to one peer; the oldest are dropped when too many wait."""

    def __init__(self, name: str, address: Address, max_messages: int) -> None:
        """Starts empty."""
        self.name = name
        self.address = address
        self.messages: deque[bytes] = deque(maxlen=max_messages)
        self.not_empty = Signal()

    def put(self, message: bytes) -> bool:
        """Adds a message; false: an older one was dropped for it."""
        is_full = len(self.messages) == self.messages.maxlen
        self.messages.append(message)
        self.not_empty.set()
        return not is_full


class Peers:
    """All connections of one member."""

    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        member_id: MemberId,
        address: Address,
        peer_addresses: Mapping[str, Address],
        tls: Callable[[], TlsContexts | None],
        on_message: Callable[[MemberId, PeerMessage], None],
    ) -> None:
        """Listens at `address`; `start` starts the coroutines.

        Args:
            loop: Runs the coroutines.
            limits: Of connections and messages.
            counters: Of the process.
            log: Of the process.
            member_id: This member.
            address: Where to listen.
            peer_addresses: The other controllers, by name.
            tls: Returns the current contexts, or None for plain connections.
            on_message: Called with the sender and its message.

        Raises:
            OSError: The address can't be listened at.
        """
        self._loop = loop
        self._limits = limits
        self._counters = counters
        self._log = log
        self._member_id = member_id
        self._tls = tls
        self._on_message = on_message
        self._queues = {
            name: OutboundQueue(name, peer_address, limits.max_queued_peer_messages)
            for name, peer_address in peer_addresses.items()
        }
        self.members: dict[str, MemberId] = {}  # by name: who last said Hello under it
        self._socket = listen(address, limits.listen_backlog)
        self._connection_count = 0
        self._incoming: list[Task] = []
        self.address: Address = self._socket.getsockname()[:2]

    def start(self, supervise: Callable[[str, Callable[[], Coroutine[None]]], None]) -> None:
        """Starts the coroutines; `supervise` restarts one that fails."""
        supervise("peers in", self._accept)
        for queue in self._queues.values():
            supervise("peer out", lambda queue=queue: self._send_all(queue))  # type: ignore[misc]

    def close(self) -> None:
        """Stops what comes in."""
        for task in self._incoming:
            self._loop.stop(task)
        self._socket.close()

    def send(self, recipient: MemberId, message: PeerMessage) -> None:
        """Queues a message, if the recipient is in the settings."""
        queue = self._queues.get(member_name(recipient))
        if queue is None:
            self._counters.add("peer_messages_lost")
            return
        if not queue.put(encode(self._member_id, recipient, message)):
            self._counters.add("peer_messages_lost")

    # Outgoing connections

    def _send_all(self, queue: OutboundQueue) -> Coroutine[None]:
        backoff = Backoff(self._limits)
        while True:
            try:
                yield from self._send_on_connection(queue, backoff)
            except StreamError as error:
                self._counters.add("peer_connections_broken")
                self._log.event("peer_unreachable", peer=queue.name, reason=str(error))
            yield Wait(self._loop.clock() + backoff.next_us())

    def _send_on_connection(self, queue: OutboundQueue, backoff: Backoff) -> Coroutine[None]:
        clock = self._loop.clock
        stream = yield from connect(queue.address, clock() + self._limits.connect_timeout_us)
        try:
            tls = self._tls()
            if tls is not None:
                stream = TlsStream(stream, tls.client, False, queue.name)
                yield from stream.handshake(clock() + self._limits.peer_handshake_timeout_us)
            queue.messages.clear()  # what waited while the peer was away is obsolete
            yield from self._send_hello(stream)
            backoff.reset()
            self._log.event("peer_connected", peer=queue.name)
            yield from self._send_queued(stream, queue)
        finally:
            stream.close()

    def _send_queued(self, stream: Stream, queue: OutboundQueue) -> Coroutine[None]:
        clock = self._loop.clock
        while True:
            queue.not_empty.clear()
            while queue.messages:
                yield from self._send_message(stream, queue.messages.popleft())
            # The peer sends nothing here: what can be read is the connection's end, or TLS's own.
            woken = yield Wait(
                clock() + self._limits.peer_heartbeat_us,
                stream.sock.fileno(),
                READ,
                queue.not_empty,
            )
            if woken is WakeReason.READY:
                yield from self._check_open(stream)
            elif woken is WakeReason.TIMED_OUT:
                # A heartbeat: two followers have nothing else to say to each other.
                yield from self._send_hello(stream)

    def _check_open(self, stream: Stream) -> Coroutine[None]:
        buffer = memoryview(bytearray(UNEXPECTED_READ_BYTES))
        try:
            count = yield from stream.recv_into(buffer, self._loop.clock())
        except StreamTimeoutError:  # TLS has taken what came for itself
            return
        if not count:
            raise StreamError("closed")

    def _send_hello(self, stream: Stream) -> Coroutine[None]:
        hello = encode(self._member_id, "", Hello(self._member_id))
        yield from self._send_message(stream, hello)

    def _send_message(self, stream: Stream, data: bytes) -> Coroutine[None]:
        frame = with_length_prefix(data)
        yield from stream.send(frame, self._loop.clock() + self._limits.send_timeout_us)
        self._counters.add("peer_bytes_out", len(frame))

    # Incoming connections

    def _accept(self) -> Coroutine[None]:
        while True:
            yield Wait(fd=self._socket.fileno(), event_mask=READ)
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError as error:
                self._log.event(
                    "descriptors_exhausted", reason=str(error), connections=self._connection_count
                )
                yield Wait(self._loop.clock() + self._limits.accept_retry_us)
                continue
            if self._connection_count >= self._limits.max_peer_connections:
                connection.close()
                continue
            self._incoming = [task for task in self._incoming if task.wait is not None]
            task = self._loop.start("peer in", self._receive_all(Stream(connection)))
            self._incoming.append(task)

    def _receive_all(self, stream: Stream) -> Coroutine[None]:
        self._connection_count += 1
        clock = self._loop.clock
        deadline_us = clock() + self._limits.peer_handshake_timeout_us
        try:
            tls = self._tls()
            certified_name = None
            if tls is not None:
                stream = TlsStream(stream, tls.server, True)
                yield from stream.handshake(deadline_us)
                certified_name = stream.peer_name()
            reader = MessageReader(stream, self._limits)
            hello = self._decode((yield from reader.next(deadline_us)))
            self._check_hello(hello, certified_name)
            while True:
                silence_us = clock() + self._limits.peer_silence_timeout_us
                message = self._decode((yield from reader.next(silence_us)))
                self._handle(message, hello.sender)
        except (StreamError, PeerMessageError) as error:
            self._counters.add("peer_connections_closed")
            self._log.event("peer_connection_closed", reason=str(error))
        finally:
            self._connection_count -= 1
            stream.close()

    def _decode(self, data: bytes) -> AddressedMessage:
        self._counters.add("peer_messages_in")
        return decode(data)

    def _check_hello(self, message: AddressedMessage, certified_name: str | None) -> None:
        name = member_name(message.sender)
        if not isinstance(message.body, Hello) or message.body.member != message.sender:
            raise PeerMessageError("a connection that does not begin with its member")
        if name not in self._queues:
            raise PeerMessageError(f"{name!r:.60} is no member in the settings")
        if certified_name is not None and certified_name != name:
            raise PeerMessageError(f"{name!r:.60} with the certificate of {certified_name!r:.60}")
        self.members[name] = message.sender

    def _handle(self, message: AddressedMessage, connected: MemberId) -> None:
        if message.sender != connected:
            raise PeerMessageError(
                f"a message of {message.sender!r:.60} on the connection of {connected!r:.60}"
            )
        if isinstance(message.body, UnsupportedMessage | Hello):
            self._counters.add("peer_messages_unknown")
        elif message.recipient != self._member_id:
            # For this name with another disk, which is another member.
            self._counters.add("peer_messages_misrouted")
        else:
            self._on_message(connected, message.body)

"""Connections among controllers: each controller connects to every other one and sends on that connection only.

A connection starts with `Hello` and carries length-prefixed messages. With TLS, the common name in a certificate must
be the name of the sending member. Messages queued while a peer is not connected are discarded, because Raft repeats
what is still needed.
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

# Size of the read buffer of outgoing connections, on which peers send nothing but the end of the connection.
CLOSE_CHECK_BUFFER_BYTES = 512
MEMBER_TOKEN_SEPARATOR = "@"


@dataclass(frozen=True)
class TlsContexts:
    """TLS contexts for incoming and outgoing connections, replaced when certificates are renewed."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def member_name(member: MemberId) -> str:
    """Returns a member's name without the token of its state folder."""
    return member.partition(MEMBER_TOKEN_SEPARATOR)[0]


class OutboundQueue:
    """Queue of messages to one peer, which drops the oldest message when it is full."""

    def __init__(self, name: str, address: Address, max_messages: int) -> None:
        """Initializes an empty queue."""
        self.name = name
        self.address = address
        self.messages: deque[bytes] = deque(maxlen=max_messages)
        self.not_empty = Signal()

    def put(self, message: bytes) -> bool:
        """Adds a message.

        Returns:
            False if the queue was full, so that the oldest message was dropped.
        """
        is_full = len(self.messages) == self.messages.maxlen
        self.messages.append(message)
        self.not_empty.set()
        return not is_full


class Peers:
    """All connections of one member.

    Attributes:
        members: Member that sent the latest valid `Hello` under each name.
        address: Address on which this member listens.
    """

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
        """Opens the listening socket; `start` starts the coroutines.

        Args:
            loop: Loop that runs the coroutines.
            limits: Limits of connections and messages.
            counters: Counters of the process.
            log: Log of the process.
            member_id: Id of this member.
            address: Address to listen on.
            peer_addresses: Addresses of the other controllers by name.
            tls: Function that returns the current TLS contexts, or None for connections without TLS.
            on_message: Function that is called with the sender and the message.

        Raises:
            OSError: The address can't be listened on.
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
        self.members: dict[str, MemberId] = {}
        self._socket = listen(address, limits.listen_backlog)
        self._connection_count = 0
        self._incoming_tasks: list[Task] = []
        self.address: Address = self._socket.getsockname()[:2]

    def start(self, supervise: Callable[[str, Callable[[], Coroutine[None]]], None]) -> None:
        """Starts the coroutines; `supervise` restarts one that fails."""
        supervise("peers in", self._accept)
        for queue in self._queues.values():
            supervise("peer out", lambda queue=queue: self._send_all(queue))  # type: ignore[misc]

    def close(self) -> None:
        """Closes the listening socket and stops the coroutines of incoming connections."""
        for task in self._incoming_tasks:
            self._loop.stop(task)
        self._socket.close()

    def send(self, recipient: MemberId, message: PeerMessage) -> None:
        """Queues a message; a message to a recipient that is not in the settings is dropped and counted."""
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
            queue.messages.clear()  # messages queued while the peer was not connected are obsolete
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
            # The peer sends no messages here: readable data means the end of the connection, or data of TLS itself.
            woken = yield Wait(
                clock() + self._limits.peer_heartbeat_us,
                stream.sock.fileno(),
                READ,
                queue.not_empty,
            )
            if woken is WakeReason.READY:
                yield from self._check_open(stream)
            elif woken is WakeReason.TIMED_OUT:
                # Two followers exchange no other messages, so without heartbeats their connection would time out.
                yield from self._send_hello(stream)

    def _check_open(self, stream: Stream) -> Coroutine[None]:
        buffer = memoryview(bytearray(CLOSE_CHECK_BUFFER_BYTES))
        try:
            count = yield from stream.recv_into(buffer, self._loop.clock())
        except StreamTimeoutError:  # only TLS itself had data to process
            return
        if not count:
            raise StreamError("connection closed")

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
            self._incoming_tasks = [task for task in self._incoming_tasks if task.wait is not None]
            task = self._loop.start("peer in", self._receive_all(Stream(connection)))
            self._incoming_tasks.append(task)

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
                silence_deadline_us = clock() + self._limits.peer_silence_timeout_us
                message = self._decode((yield from reader.next(silence_deadline_us)))
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
            raise PeerMessageError("the first message is not a Hello of its sender")
        if name not in self._queues:
            raise PeerMessageError(f"{name!r:.60} is not a member in the settings")
        if certified_name is not None and certified_name != name:
            raise PeerMessageError(
                f"{name!r:.60} presented the certificate of {certified_name!r:.60}"
            )
        self.members[name] = message.sender

    def _handle(self, message: AddressedMessage, connected_member: MemberId) -> None:
        if message.sender != connected_member:
            raise PeerMessageError(
                f"message from {message.sender!r:.60} on the connection of {connected_member!r:.60}"
            )
        if isinstance(message.body, UnsupportedMessage | Hello):
            self._counters.add("peer_messages_unknown")
        elif message.recipient != self._member_id:
            # The recipient has the name of this member but another state folder, so it is another member.
            self._counters.add("peer_messages_misrouted")
        else:
            self._on_message(connected_member, message.body)

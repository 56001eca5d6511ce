"""Connections among controllers: each controller connects to every other one and sends on that connection only.

A connection starts with `Hello` and carries length-prefixed messages. With TLS, the common name in a certificate must
be the name of the sending member. Messages queued while a peer is not connected are discarded, because Raft repeats
what is still needed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.controller_events import PeerMessage
from kelpcourse.shared.incoming_peers import IncomingPeers
from kelpcourse.shared.peer_codec import Hello, encode
from kelpcourse.shared.peer_framing import with_length_prefix
from kelpcourse.shared.peer_identity import TlsContexts, member_name
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Wait, WakeReason
from kelpcourse.wire.runtime import Backoff, EventLog
from kelpcourse.wire.stream import Address, Stream, connect, listen
from kelpcourse.wire.tls import TlsStream

# Size of the read buffer of outgoing connections, on which peers send nothing but the end of the connection.
CLOSE_CHECK_BUFFER_BYTES = 512


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
        self._queues = {
            name: OutboundQueue(name, peer_address, limits.max_queued_peer_messages)
            for name, peer_address in peer_addresses.items()
        }
        self._socket = listen(address, limits.listen_backlog)
        self._incoming = IncomingPeers(
            loop,
            limits,
            counters,
            log,
            member_id,
            self._queues.keys(),
            self._socket,
            tls,
            on_message,
        )
        self.address: Address = self._socket.getsockname()[:2]

    @property
    def members(self) -> Mapping[str, MemberId]:
        """Member that sent the latest valid `Hello` under each name."""
        return self._incoming.members

    def start(self, supervise: Callable[[str, Callable[[], Coroutine[None]]], None]) -> None:
        """Starts the coroutines; `supervise` restarts one that fails."""
        supervise("peers in", self._incoming.accept)
        for queue in self._queues.values():
            supervise("peer out", lambda queue=queue: self._send_all(queue))  # type: ignore[misc]

    def close(self) -> None:
        """Closes the listening socket and stops the coroutines of incoming connections."""
        self._incoming.close()
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

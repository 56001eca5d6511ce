"""Incoming connections from other controllers: accepts them, identifies their members and reads their messages.

A connection starts with `Hello`. Until then it may be anybody's, so it has little time and memory, and the oldest such
connections are closed if there are many.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Collection

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.controller_events import PeerMessage
from kelpcourse.shared.errors import PeerMessageError
from kelpcourse.shared.peer_codec import AddressedMessage, Hello, UnsupportedMessage, decode
from kelpcourse.shared.peer_framing import MessageReader, ReceivedBytes
from kelpcourse.shared.peer_identity import TlsContexts, member_name
from kelpcourse.shared.raft.messages import MemberId
from kelpcourse.wire.errors import StreamError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Task, Wait
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import Stream
from kelpcourse.wire.tls import TlsStream


class IncomingConnection:
    """An accepted connection.

    Attributes:
        stream: The connection.
        member: The member that has identified itself; None before.
        task: Task that reads the connection; None until it is started.
    """

    def __init__(self, stream: Stream) -> None:
        """Initializes the state of a connection whose member is unknown."""
        self.stream = stream
        self.member: MemberId | None = None
        self.task: Task | None = None


class IncomingPeers:
    """All incoming connections of one member.

    Attributes:
        members: Member that sent the latest valid `Hello` under each name.
    """

    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        member_id: MemberId,
        names: Collection[str],
        sock: socket.socket,
        tls: Callable[[], TlsContexts | None],
        on_message: Callable[[MemberId, PeerMessage], None],
    ) -> None:
        """Initializes the connections; `accept` is the coroutine.

        Args:
            loop: Loop that runs the coroutines.
            limits: Limits of connections and messages.
            counters: Counters of the process.
            log: Log of the process.
            member_id: Id of this member.
            names: Names of the other controllers in the settings.
            sock: Listening socket.
            tls: Function that returns the current TLS contexts, or None for connections without TLS.
            on_message: Function that is called with the sender and the message.
        """
        self._loop = loop
        self._limits = limits
        self._counters = counters
        self._log = log
        self._member_id = member_id
        self._names = frozenset(names)
        self._socket = sock
        self._tls = tls
        self._on_message = on_message
        self._received_bytes = ReceivedBytes(limits.max_peer_buffers_bytes)
        self._unidentified: dict[IncomingConnection, None] = {}  # oldest first
        self._by_member: dict[MemberId, IncomingConnection] = {}
        self.members: dict[str, MemberId] = {}

    def accept(self) -> Coroutine[None]:
        """Accepts connections and starts a coroutine for each, indefinitely."""
        while True:
            yield Wait(fd=self._socket.fileno(), event_mask=READ)
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError as error:
                self._log.event(
                    "descriptors_exhausted", reason=str(error), connections=self._count()
                )
                self._close_oldest_unidentified()
                yield Wait(self._loop.clock() + self._limits.accept_retry_us)
                continue
            if len(self._unidentified) >= self._limits.max_peer_handshakes:
                self._close_oldest_unidentified()
            elif self._count() >= self._limits.max_peer_connections:
                accepted.close()
                continue
            self._start(IncomingConnection(Stream(accepted)))

    def close(self) -> None:
        """Stops the coroutines of all connections, which closes them."""
        for connection in (*self._unidentified, *self._by_member.values()):
            self._stop(connection)

    def _count(self) -> int:
        return len(self._unidentified) + len(self._by_member)

    def _start(self, connection: IncomingConnection) -> None:
        self._unidentified[connection] = None
        connection.task = self._loop.start("peer in", self._serve(connection))

    def _stop(self, connection: IncomingConnection) -> None:
        if connection.task is not None:
            self._loop.stop(connection.task)

    def _close_oldest_unidentified(self) -> None:
        """Closes the connection that has not been identified for longest, so that members can still connect."""
        oldest = next(iter(self._unidentified), None)
        if oldest is not None:
            self._counters.add("peer_connections_evicted")
            self._stop(oldest)

    def _serve(self, connection: IncomingConnection) -> Coroutine[None]:
        try:
            yield from self._receive_all(connection)
        except (StreamError, PeerMessageError) as error:
            self._counters.add("peer_connections_closed")
            self._log.event("peer_connection_closed", reason=str(error))
        finally:
            self._unidentified.pop(connection, None)
            if connection.member and self._by_member.get(connection.member) is connection:
                del self._by_member[connection.member]
            connection.stream.close()

    def _receive_all(self, connection: IncomingConnection) -> Coroutine[None]:
        deadline_us = self._loop.clock() + self._limits.peer_handshake_timeout_us
        tls = self._tls()
        certified_name = None
        if tls is not None:
            tls_stream = TlsStream(connection.stream, tls.server, True)
            connection.stream = tls_stream
            yield from tls_stream.handshake(deadline_us)
            certified_name = tls_stream.peer_name()
        reader = MessageReader(
            connection.stream,
            self._limits,
            self._received_bytes,
            self._limits.max_peer_hello_bytes,
        )
        try:
            hello = self._decode((yield from reader.next(deadline_us)))
            self._identify(connection, hello, certified_name)
            reader.max_message_bytes = self._limits.max_peer_message_bytes
            yield from self._handle_all(reader, hello.sender)
        finally:
            reader.close()

    def _handle_all(self, reader: MessageReader, member: MemberId) -> Coroutine[None]:
        while True:
            silence_deadline_us = self._loop.clock() + self._limits.peer_silence_timeout_us
            message = self._decode((yield from reader.next(silence_deadline_us)))
            self._handle(message, member)
            yield Wait(0)  # a peer that sends without pause must not block the other tasks

    def _decode(self, data: bytes) -> AddressedMessage:
        self._counters.add("peer_messages_in")
        return decode(data)

    def _identify(
        self, connection: IncomingConnection, message: AddressedMessage, certified_name: str | None
    ) -> None:
        """Checks the first message and closes the former connection of its member.

        A member sends on one connection only. What it wrote to a former one and what was not read yet is obsolete.
        """
        name = member_name(message.sender)
        if not isinstance(message.body, Hello) or message.body.member != message.sender:
            raise PeerMessageError("the first message is not a Hello of its sender")
        if name not in self._names:
            raise PeerMessageError(f"{name!r:.60} is not a member in the settings")
        if certified_name is not None and certified_name != name:
            raise PeerMessageError(
                f"{name!r:.60} presented the certificate of {certified_name!r:.60}"
            )
        former = self._by_member.get(message.sender)
        if former is not None:
            self._stop(former)
        del self._unidentified[connection]
        connection.member = message.sender
        self._by_member[message.sender] = connection
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

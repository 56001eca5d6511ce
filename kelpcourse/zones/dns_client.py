"""DNS client: sends queries to other servers over UDP and TCP and verifies the responses."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from functools import partial

import dns.exception
import dns.flags
import dns.message
import dns.rdatatype
import dns.tsig

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.errors import MessageTooLongError, StreamError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Wait, WakeReason
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import Stream, address_family, connect
from kelpcourse.wire.worker import run_in_thread
from kelpcourse.zones.dns_request import MAX_MESSAGE_BYTES
from kelpcourse.zones.errors import (
    UnreadableResponseError,
    UnrelatedResponseError,
    UnsignedResponseError,
)
from kelpcourse.zones.names import canonical, to_name
from kelpcourse.zones.reconciliation import Version
from kelpcourse.zones.records import canonical_data, soa_serial
from kelpcourse.zones.settings import DnsPeer
from kelpcourse.zones.tcp_framing import frame, new_read_buffer
from kelpcourse.zones.transfer import AXFR, IXFR

UDP_ATTEMPTS = 2  # number of UDP queries before TCP is used
SigningContext = dns.tsig.HMACTSig | dns.tsig.GSSTSig | None
PARSE_ERRORS = (dns.exception.DNSException, ValueError, IndexError)


def make_query(origin: str, rdtype: dns.rdatatype.RdataType, peer: DnsPeer) -> dns.message.Message:
    """Creates a query, which is signed if the peer has a key."""
    query = dns.message.make_query(to_name(origin), rdtype, flags=0)
    if peer.key is not None:
        query.use_tsig(peer.key)
    return query


def soa_version(message: dns.message.Message, origin: str) -> Version | None:
    """Returns the version of the zone given by the SOA record in a response, or None if it has no SOA record."""
    for rrset in message.answer:
        is_soa = rrset.rdtype == dns.rdatatype.SOA and canonical(rrset.name) == origin
        if is_soa and len(rrset) == 1:
            data = canonical_data(rrset[0])
            return Version(soa_serial(data), data)
    return None


class DnsClient:
    """Sends queries to other DNS servers."""

    def __init__(self, loop: Loop, limits: Limits, counters: Counters, log: EventLog) -> None:
        """Initializes a client; its attributes are also used by the components that send queries with it."""
        self.loop = loop
        self.limits = limits
        self.counters = counters
        self.log = log

    def query(self, query: dns.message.Message, peer: DnsPeer) -> Coroutine[dns.message.Message]:
        """Sends a query over UDP, or over TCP after a timeout or a truncated response, and returns the response.

        Raises:
            StreamError: No UDP socket could be opened, or the TCP connection failed.
            ZoneError: The response over TCP cannot be used.
        """
        for _ in range(UDP_ATTEMPTS):
            message = yield from self.query_udp(query, peer)
            if message is None:
                continue
            if not message.flags & dns.flags.TC:
                return message
            break
        exchange = TcpExchange(self, peer, query)
        try:
            yield from exchange.open()
            response = yield from exchange.receive()
            return response.message
        finally:
            exchange.close()

    def query_udp(
        self, query: dns.message.Message, peer: DnsPeer
    ) -> Coroutine[dns.message.Message | None]:
        """Sends a query over UDP and returns the response; None if none was received before the deadline.

        Each query uses a new local port, and its socket receives datagrams from the peer only. Datagrams with another
        ID, question or signature are presumably forged; they are ignored until the real response is received
        (RFC 5452).

        Raises:
            StreamError: No socket could be opened.
        """
        try:
            sock = socket.socket(
                address_family(peer.address), socket.SOCK_DGRAM | socket.SOCK_NONBLOCK
            )
        except OSError as error:
            raise StreamError(f"socket cannot be opened: {error.strerror}") from error
        try:
            sock.connect(peer.address)
            sock.send(query.to_wire())
            return (yield from self._receive_udp(sock, query, peer))
        except OSError:  # ICMP error: no process listens at the address
            return None
        finally:
            sock.close()

    def _receive_udp(
        self, sock: socket.socket, query: dns.message.Message, peer: DnsPeer
    ) -> Coroutine[dns.message.Message | None]:
        deadline_us = self.loop.clock() + self.limits.soa_query_timeout_us
        while True:
            wake_reason = yield Wait(deadline_us, sock.fileno(), READ)
            if wake_reason is WakeReason.TIMED_OUT:
                return None
            message = _verified_response(sock.recv(MAX_MESSAGE_BYTES), query, peer)
            if message is not None:
                return message
            self.counters.add("zone_answers_unverified")


@dataclass(frozen=True)
class TcpResponse:
    """One message of a response over TCP.

    Attributes:
        wire: The message in wire format.
        message: The parsed message.
    """

    wire: bytes
    message: dns.message.Message


class TcpExchange:
    """A query over TCP and the messages of its response; the response to a transfer query can have many messages."""

    def __init__(self, client: DnsClient, peer: DnsPeer, query: dns.message.Message) -> None:
        """Initializes an exchange without a connection; `open` connects."""
        self._loop = client.loop
        self._limits = client.limits
        self._peer = peer
        self._query = query
        self._buffer = new_read_buffer()
        self._stream: Stream | None = None
        self._signing_context: SigningContext = None  # TSIG context of the messages received so far

    def open(self) -> Coroutine[None]:
        """Connects and sends the query.

        Raises:
            StreamError: The connection failed.
        """
        connect_deadline_us = self._loop.clock() + self._limits.soa_query_timeout_us
        self._stream = yield from connect(self._peer.address, connect_deadline_us)
        wire = self._query.to_wire()
        send_deadline_us = self._loop.clock() + self._limits.send_timeout_us
        yield from self._stream.send(frame(wire), send_deadline_us)

    def receive(self) -> Coroutine[TcpResponse]:
        """Receives the next message; a large one is parsed in a thread.

        Raises:
            StreamError: The connection failed, or no data was received before the deadline.
            ZoneError: The message cannot be used.
        """
        wire = yield from self._receive_frame()
        if len(wire) <= self._limits.max_inline_zone_bytes:
            return self._parse(wire)
        return (yield from run_in_thread(partial(self._parse, wire)))

    def close(self) -> None:
        """Closes the connection."""
        if self._stream is not None:
            self._stream.close()

    def _receive_frame(self) -> Coroutine[bytes]:
        if self._stream is None:
            raise StreamError("not connected")
        deadline_us = self._loop.clock() + self._limits.transfer_silence_us
        while True:
            for message in self._buffer.length_prefixed_messages():
                return bytes(message)
            try:
                space = self._buffer.writable()
            except MessageTooLongError as error:
                raise StreamError("message exceeds its size limit") from error
            count = yield from self._stream.recv_into(space, deadline_us)
            if not count:
                raise StreamError("connection closed before the end of the response")
            self._buffer.commit(count)

    def _parse(self, wire: bytes) -> TcpResponse:
        is_transfer = self._query.question[0].rdtype in (AXFR, IXFR)
        try:
            message = _read_response(
                wire, self._query, self._peer, self._signing_context, is_transfer
            )
        except PARSE_ERRORS as error:
            raise UnreadableResponseError(error) from error
        if message.id != self._query.id or not message.flags & dns.flags.QR:
            raise UnrelatedResponseError(self._query.id, message.id)
        self._signing_context = message.tsig_ctx
        return TcpResponse(wire, message)


def _read_response(
    wire: bytes,
    query: dns.message.Message,
    peer: DnsPeer,
    signing_context: SigningContext = None,
    is_transfer: bool = False,
) -> dns.message.Message:
    """Parses a response and verifies its signature; errors of dnspython are not converted.

    Not every message of a transfer has to be signed (RFC 8945, section 5.3.1).
    """
    keyring = {peer.key.name: peer.key} if peer.key is not None else None
    message = dns.message.from_wire(
        wire,
        keyring=keyring,
        request_mac=query.mac or b"",
        one_rr_per_rrset=True,
        tsig_ctx=signing_context,
        multi=is_transfer,
        xfr=is_transfer,
    )
    if peer.key is not None and not is_transfer and not message.had_tsig:
        raise UnsignedResponseError
    return message


def _verified_response(
    wire: bytes, query: dns.message.Message, peer: DnsPeer
) -> dns.message.Message | None:
    try:
        message = _read_response(wire, query, peer)
        return message if query.is_response(message) else None
    except PARSE_ERRORS:
        return None

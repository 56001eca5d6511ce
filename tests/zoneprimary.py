"""A DNS primary for tests, which sends correct or incorrect responses over UDP and TCP as the test configures it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import dns.flags
import dns.message
import dns.rdatatype

from kelpcourse.wire.errors import StreamError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Wait
from kelpcourse.wire.stream import Address, Stream
from kelpcourse.zones.answer import build_rrset
from kelpcourse.zones.records import SOA, Record
from kelpcourse.zones.sockets import bind_udp_and_tcp
from kelpcourse.zones.tcp_framing import frame, new_read_buffer
from kelpcourse.zones.transfer import axfr_records, transfer_messages
from kelpcourse.zones.versions import Zone
from tests.zonerig import KEY

NO_DEADLINE_US = 1 << 60
UNLIMITED_MESSAGES = 1 << 30

# Function that returns the records of an IXFR response, given the serial of the client's version.
RecordsSince = Callable[[int], Sequence[Record]]
ForgedResponses = Callable[[dns.message.Message], list[bytes]]


class ScriptedPrimary:
    """A primary of one zone.

    Attributes:
        zone: The zone whose SOA record is sent in responses to SOA queries.
        transferred_zone: The zone that is sent in transfers; None for `zone`.
        ixfr: Function that returns the records of IXFR responses; None for full transfers.
        max_transfer_messages: Number of messages of a transfer after which the connection is closed.
        silent: Whether queries get no response.
        forged_responses: Function that returns messages to send over UDP before the response to a query.
        queries: Record types of the queries received so far.
        address: Address of the primary for UDP and TCP.
    """

    def __init__(self, loop: Loop, zone: Zone, signed: bool = True) -> None:
        self.loop = loop
        self.zone = zone
        self.transferred_zone: Zone | None = None
        self.ixfr: RecordsSince | None = None
        self.max_transfer_messages = UNLIMITED_MESSAGES
        self.silent = False
        self.forged_responses: ForgedResponses = lambda _: []
        self.queries: list[str] = []
        self._ring = {KEY.name: KEY} if signed else None
        (self._udp,), self._tcp = bind_udp_and_tcp(("127.0.0.1", 0), 16)
        self.address: Address = self._tcp.getsockname()
        loop.start("primary udp", self._run_udp())
        loop.start("primary tcp", self._run_tcp())

    def _read(self, wire: bytes) -> dns.message.Message:
        query = dns.message.from_wire(wire, keyring=self._ring)
        self.queries.append(dns.rdatatype.to_text(query.question[0].rdtype))
        return query

    def _run_udp(self) -> Coroutine[None]:
        while True:
            yield Wait(fd=self._udp.fileno(), event_mask=READ)
            wire, peer = self._udp.recvfrom(65_535)
            query = self._read(wire)
            for forged in self.forged_responses(query):
                self._udp.sendto(forged, peer)
            if not self.silent:
                self._udp.sendto(self.soa_response(query, self.zone).to_wire(), peer)

    def soa_response(self, query: dns.message.Message, zone: Zone) -> dns.message.Message:
        response = dns.message.make_response(query)
        response.flags |= dns.flags.AA
        response.answer.append(build_rrset(zone.origin, SOA, 60, (zone.soa_data,)))
        return response

    def _run_tcp(self) -> Coroutine[None]:
        while True:
            yield Wait(fd=self._tcp.fileno(), event_mask=READ)
            connection, _ = self._tcp.accept()
            self.loop.start("primary client", self._serve_until_closed(Stream(connection)))

    def _serve_until_closed(self, stream: Stream) -> Coroutine[None]:
        try:
            yield from self._serve(stream)
        except StreamError:
            pass
        finally:
            stream.close()

    def _serve(self, stream: Stream) -> Coroutine[None]:
        buffer = new_read_buffer()
        while True:
            for wire in buffer.length_prefixed_messages():
                query = self._read(bytes(wire))
                if self.silent:
                    continue
                for count, response in enumerate(self._response_messages(query)):
                    if count >= self.max_transfer_messages:
                        return
                    yield from stream.send(frame(response), NO_DEADLINE_US)
            count = yield from stream.recv_into(buffer.writable(), NO_DEADLINE_US)
            if not count:
                return
            buffer.commit(count)

    def _response_messages(self, query: dns.message.Message) -> list[bytes]:
        rdtype = query.question[0].rdtype
        if rdtype == dns.rdatatype.SOA:
            return [self.soa_response(query, self.zone).to_wire()]
        records: Sequence[Record] = axfr_records(self.transferred_zone or self.zone)
        if rdtype == dns.rdatatype.IXFR and self.ixfr is not None:
            records = self.ixfr(query.authority[0][0].serial)
        return list(transfer_messages(query, records))

    def close(self) -> None:
        self._udp.close()
        self._tcp.close()

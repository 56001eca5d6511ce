"""A parsed DNS request with the function that sends its response, and the encoding of responses."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import dns.message
import dns.rcode

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.stream import Address
from kelpcourse.zones.names import canonical

SendMessages = Callable[[Iterable[bytes]], None]

HEADER_BYTES = 12  # RFC 1035, section 4.1.1
RESPONSE_FLAG = 0x80  # QR bit in the third byte of the header
TRUNCATED_FLAG = 0x02  # TC bit in the third byte of the header
# Opcode and RD bits in the third byte of the header, which a response copies from the request.
ECHOED_FLAGS = 0x79
MAX_PLAIN_UDP_BYTES = 512  # maximum message size over UDP without EDNS (RFC 1035, section 4.2.1)
MAX_MESSAGE_BYTES = 65_535


@dataclass(frozen=True)
class DnsRequest:
    """A parsed request, whose signature was verified if it has one.

    Attributes:
        message: The parsed request.
        peer: Address of the client.
        over_tcp: Whether the request was received over TCP rather than UDP.
        send: Function that sends the messages of the response, in wire format, to the client.
    """

    message: dns.message.Message
    peer: Address
    over_tcp: bool
    send: SendMessages

    @property
    def key_name(self) -> str:
        """The name of the TSIG key with which the request is signed; empty if it is not signed."""
        if self.message.had_tsig and self.message.keyname:
            return canonical(self.message.keyname)
        return ""


def header_response(wire: bytes, rcode: dns.rcode.Rcode) -> bytes:
    """Returns a response that consists of a header, for a request that was not parsed completely."""
    return wire[:2] + bytes([RESPONSE_FLAG | wire[2] & ECHOED_FLAGS, rcode]) + bytes(8)


class Responder:
    """Encodes responses within the size limits and sends them."""

    def __init__(self, limits: Limits, counters: Counters) -> None:
        """Initializes a responder with the limit on UDP responses and the counters of responses."""
        self._limits = limits
        self._counters = counters

    def new_response(self, request: DnsRequest) -> dns.message.Message:
        """Creates an empty response, which announces the server's UDP payload size if the request uses EDNS."""
        return dns.message.make_response(
            request.message, our_payload=self._limits.max_dns_udp_bytes
        )

    def send(self, request: DnsRequest, response: dns.message.Message) -> None:
        """Sends a response, truncated if it is too large for UDP (RFC 2181, section 9)."""
        request.send([self._encode(request, response)])

    def send_rcode(self, request: DnsRequest, rcode: dns.rcode.Rcode) -> None:
        """Sends a response without records that has this response code, and counts it by the code."""
        self._counters.add(f"dns_{dns.rcode.to_text(rcode).lower()}")
        response = self.new_response(request)
        response.set_rcode(rcode)
        request.send([response.to_wire()])

    def _encode(self, request: DnsRequest, response: dns.message.Message) -> bytes:
        if request.over_tcp:
            return response.to_wire(max_size=MAX_MESSAGE_BYTES, prefer_truncation=True)
        accepted_bytes = MAX_PLAIN_UDP_BYTES
        if request.message.edns >= 0:
            accepted_bytes = max(MAX_PLAIN_UDP_BYTES, request.message.payload)
        max_bytes = min(accepted_bytes, self._limits.max_dns_udp_bytes)
        wire = response.to_wire(max_size=max_bytes, prefer_truncation=True)
        if wire[2] & TRUNCATED_FLAG:
            self._counters.add("dns_truncated")
        return wire

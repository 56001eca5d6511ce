"""Handler of DNS requests, independent of sockets: parses each message and passes it to the handler of its opcode.

The response is sent by calling the function that is passed with the message: immediately, or, for an update, as soon as
its outcome is known. Responses are created from the durable version of a zone.
"""

from __future__ import annotations

from collections.abc import Mapping

import dns.exception
import dns.message
import dns.opcode
import dns.rcode
import dns.tsig
import dns.update

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import Address
from kelpcourse.zones.dns_request import (
    HEADER_BYTES,
    RESPONSE_FLAG,
    DnsRequest,
    Responder,
    SendMessages,
    header_response,
)
from kelpcourse.zones.handler_context import HandlerContext
from kelpcourse.zones.message_screening import (
    find_signature,
    is_oversized_query,
    opcode_of,
    verify,
)
from kelpcourse.zones.notify_handler import NotifyHandler
from kelpcourse.zones.query_handler import QueryHandler
from kelpcourse.zones.settings import ZoneSettings, format_address
from kelpcourse.zones.signatures import (
    SIGNATURE_ERRORS,
    signature_error_response,
    signature_rcode,
)
from kelpcourse.zones.transfer_handler import TransferHandler
from kelpcourse.zones.update_handler import UpdateHandler
from kelpcourse.zones.zone_state import ZoneState


class DnsRequestHandler:
    """Parses requests and passes them to the handlers that respond to them."""

    def __init__(
        self,
        zones: Mapping[str, ZoneState],
        settings: Mapping[str, ZoneSettings],
        keys: Mapping[str, dns.tsig.Key],
        limits: Limits,
        counters: Counters,
        log: EventLog,
        context: HandlerContext,
    ) -> None:
        """Creates the handlers of queries, transfers, NOTIFY messages and updates.

        Args:
            zones: Zones by origin.
            settings: Settings of the zones by origin.
            keys: TSIG keys by name.
            limits: Limits on responses, transfers and pending updates.
            counters: Counters of requests and their outcomes.
            log: Log of rejected messages, updates and transfers.
            context: Service to which updates and NOTIFY messages are passed.
        """
        self._key_ring = {key.name: key for key in keys.values()}
        self._counters = counters
        self._log = log
        self._responder = Responder(limits, counters)
        transfers = TransferHandler(settings, limits, counters, log, self._responder)
        self._queries = QueryHandler(zones, counters, self._responder, transfers)
        self._notifies = NotifyHandler(settings, counters, context, self._responder)
        self._updates = UpdateHandler(
            zones, settings, limits, counters, log, context, self._responder
        )

    def handle(self, wire: bytes, peer: Address, over_tcp: bool, send: SendMessages) -> None:
        """Handles a message; `send` is called exactly once, with the messages of the response or with none.

        Messages that are responses are dropped: two servers that respond to each other's responses would never stop.
        """
        self._counters.add("dns_messages")
        if len(wire) < HEADER_BYTES or wire[2] & RESPONSE_FLAG:
            self._counters.add("dns_dropped")
            send(())
            return
        try:
            if not self._passes_screening(wire, peer, send):
                return
            message = dns.message.from_wire(wire, keyring=self._key_ring, one_rr_per_rrset=True)
        except SIGNATURE_ERRORS as error:
            self._reject_signature(wire, error, peer, send)
            return
        except (dns.exception.DNSException, ValueError, IndexError) as error:
            self._reject_message(wire, f"{type(error).__name__}: {error}", peer, send)
            return
        self._dispatch(DnsRequest(message, peer, over_tcp, send))

    def _passes_screening(self, wire: bytes, peer: Address, send: SendMessages) -> bool:
        """Returns whether a message is to be parsed; otherwise its response has been sent.

        Raises:
            TruncatedMessageError: The message ends within a record.
            DNSException: The message is malformed or its signature is invalid.
        """
        if opcode_of(wire) != dns.opcode.UPDATE:
            if is_oversized_query(wire):
                self._reject_message(wire, "too large for a query", peer, send)
                return False
            return True
        signature = find_signature(wire)
        if signature is None:
            self._updates.log_denied("", "not signed", "")
            send([header_response(wire, dns.rcode.REFUSED)])
            return False
        verify(wire, signature, self._key_ring)
        return True

    def _reject_message(self, wire: bytes, reason: str, peer: Address, send: SendMessages) -> None:
        self._counters.add("dns_messages_rejected")
        self._log.event("dns_message_rejected", peer=format_address(peer), reason=reason)
        send([header_response(wire, dns.rcode.FORMERR)])

    def _dispatch(self, request: DnsRequest) -> None:
        message = request.message
        if message.edns > 0:
            self._responder.send_rcode(request, dns.rcode.BADVERS)
        elif isinstance(message, dns.update.UpdateMessage):
            self._updates.handle(request, message)
        elif message.opcode() == dns.opcode.NOTIFY:
            self._notifies.handle(request)
        elif message.opcode() != dns.opcode.QUERY:
            self._responder.send_rcode(request, dns.rcode.NOTIMP)
        elif len(message.question) != 1:
            self._responder.send_rcode(request, dns.rcode.FORMERR)
        else:
            self._queries.handle(request, message.question[0])

    def _reject_signature(
        self, wire: bytes, error: Exception, peer: Address, send: SendMessages
    ) -> None:
        rcode = signature_rcode(error)
        self._counters.add("dns_signatures_rejected")
        self._log.event(
            "dns_signature_rejected", peer=format_address(peer), reason=dns.rcode.to_text(rcode)
        )
        response = signature_error_response(wire, rcode, self._key_ring)
        send([response] if response is not None else ())

"""Handler of queries, which are answered from the durable versions of the zones (RFC 1034, section 4.3.2)."""

from __future__ import annotations

from collections.abc import Mapping

import dns.rcode
import dns.rdataclass
import dns.rrset

from kelpcourse.memory.counters import Counters
from kelpcourse.zones.answer import fill_response, look_up
from kelpcourse.zones.dns_request import DnsRequest, Responder
from kelpcourse.zones.names import canonical, is_under
from kelpcourse.zones.transfer import AXFR, IXFR
from kelpcourse.zones.transfer_handler import TransferHandler
from kelpcourse.zones.zone_state import ZoneState


class QueryHandler:
    """Answers queries; queries for a transfer are passed to the transfer handler."""

    def __init__(
        self,
        zones: Mapping[str, ZoneState],
        counters: Counters,
        responder: Responder,
        transfers: TransferHandler,
    ) -> None:
        """Initializes a handler.

        Args:
            zones: Zones by origin, in the order in which they are searched for the queried name.
            counters: Counters of queries.
            responder: Sender of the responses.
            transfers: Handler of AXFR and IXFR queries.
        """
        self._zones = zones
        self._counters = counters
        self._responder = responder
        self._transfers = transfers

    def handle(self, request: DnsRequest, question: dns.rrset.RRset) -> None:
        """Responds to a query that has exactly one question."""
        owner = canonical(question.name)
        type_ = question.rdtype
        self._counters.add("dns_queries")
        zone = self._zone_of(owner)
        if zone is None or question.rdclass != dns.rdataclass.IN:
            self._responder.send_rcode(request, dns.rcode.REFUSED)
        elif not zone.zone.exists or zone.reconciler.expired:
            # An expired zone is not served (RFC 1034, section 4.3.5).
            self._responder.send_rcode(request, dns.rcode.SERVFAIL)
        elif type_ in (AXFR, IXFR):
            self._transfers.handle(request, zone, owner)
        else:
            response = self._responder.new_response(request)
            fill_response(response, look_up(zone.zone, owner, int(type_)))
            self._responder.send(request, response)

    def _zone_of(self, owner: str) -> ZoneState | None:
        return next((zone for origin, zone in self._zones.items() if is_under(owner, origin)), None)

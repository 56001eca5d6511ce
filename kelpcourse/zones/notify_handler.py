"""Received NOTIFY messages (RFC 1996): a hint to query the primaries, accepted from primaries only."""

from __future__ import annotations

from collections.abc import Mapping

import dns.flags
import dns.message
import dns.rcode

from kelpcourse.memory.counters import Counters
from kelpcourse.zones.dns_request import DnsRequest, Responder
from kelpcourse.zones.handler_context import HandlerContext
from kelpcourse.zones.names import canonical
from kelpcourse.zones.settings import ZoneSettings


class NotifyHandler:
    """Acknowledges NOTIFY messages and passes them on."""

    def __init__(
        self,
        settings: Mapping[str, ZoneSettings],
        counters: Counters,
        context: HandlerContext,
        responder: Responder,
    ) -> None:
        """Takes the settings of the zones by origin, which name the primaries."""
        self._settings = settings
        self._counters = counters
        self._context = context
        self._responder = responder

    def handle(self, request: DnsRequest) -> None:
        """Answers a NOTIFY; a forged one only causes a query to the true primary."""
        origin = canonical(request.message.question[0].name) if request.message.question else ""
        settings = self._settings.get(origin)
        if settings is None or not settings.primaries:
            self._responder.reject(request, dns.rcode.NOTAUTH)
            return
        if not _is_from_primary(request, settings):
            self._responder.reject(request, dns.rcode.REFUSED)
            return
        self._counters.add("zone_notifies_received")
        self._context.notify_received(origin)
        response = dns.message.make_response(request.message)
        response.flags |= dns.flags.AA
        request.send([response.to_wire()])


def _is_from_primary(request: DnsRequest, settings: ZoneSettings) -> bool:
    """Whether the address or the key is that of a primary."""
    for primary in settings.primaries:
        if request.peer[0] == primary.address[0]:
            return True
        if primary.key is not None and request.key_name == canonical(primary.key.name):
            return True
    return False

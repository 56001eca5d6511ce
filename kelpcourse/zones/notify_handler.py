"""Handler of NOTIFY messages (RFC 1996), which are accepted from primaries only and trigger a query to them."""

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
    """Responds to NOTIFY messages and passes them to the service."""

    def __init__(
        self,
        settings: Mapping[str, ZoneSettings],
        counters: Counters,
        context: HandlerContext,
        responder: Responder,
    ) -> None:
        """Initializes a handler.

        Args:
            settings: Settings of the zones by origin, which contain the primaries.
            counters: Counters of received messages.
            context: Service to which accepted messages are passed.
            responder: Sender of rejections.
        """
        self._settings = settings
        self._counters = counters
        self._context = context
        self._responder = responder

    def handle(self, request: DnsRequest) -> None:
        """Responds to a NOTIFY message.

        A forged message has no other effect than a query to the configured primaries.
        """
        origin = canonical(request.message.question[0].name) if request.message.question else ""
        settings = self._settings.get(origin)
        if settings is None or not settings.primaries:
            self._responder.send_rcode(request, dns.rcode.NOTAUTH)
            return
        if not _is_from_primary(request, settings):
            self._responder.send_rcode(request, dns.rcode.REFUSED)
            return
        self._counters.add("zone_notifies_received")
        self._context.notify_received(origin)
        response = dns.message.make_response(request.message)
        response.flags |= dns.flags.AA
        request.send([response.to_wire()])


def _is_from_primary(request: DnsRequest, settings: ZoneSettings) -> bool:
    """Returns whether the request comes from the address of a primary or is signed with the key of one."""
    for primary in settings.primaries:
        if request.peer[0] == primary.address[0]:
            return True
        if primary.key is not None and request.key_name == canonical(primary.key.name):
            return True
    return False

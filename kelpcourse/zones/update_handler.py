"""Dynamic updates (RFC 2136): who may make them, and a response once the outcome is known."""

from __future__ import annotations

from collections.abc import Mapping

import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.update

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.runtime import EventLog
from kelpcourse.zones.deduplication import UpdateDeduplicator
from kelpcourse.zones.dns_request import DnsRequest, Responder
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.handler_context import HandlerContext, PendingUpdate
from kelpcourse.zones.names import canonical
from kelpcourse.zones.settings import ZoneSettings
from kelpcourse.zones.update import UpdateRejectedError, evaluate
from kelpcourse.zones.update_policy import UpdateGrant
from kelpcourse.zones.versions import Difference
from kelpcourse.zones.zone_state import ZoneState

REMEMBERED_RESPONSES_PER_PENDING_UPDATE = 16


class UpdateHandler:
    """Checks updates, stages them to be made durable and answers them."""

    def __init__(
        self,
        zones: Mapping[str, ZoneState],
        settings: Mapping[str, ZoneSettings],
        limits: Limits,
        counters: Counters,
        log: EventLog,
        context: HandlerContext,
        responder: Responder,
    ) -> None:
        """Takes the zones and their settings by origin; the settings hold the grants."""
        self._zones = zones
        self._settings = settings
        self._counters = counters
        self._log = log
        self._context = context
        self._responder = responder
        self._deduplicator = UpdateDeduplicator(
            limits.max_pending_dns_updates * REMEMBERED_RESPONSES_PER_PENDING_UPDATE
        )

    def handle(self, request: DnsRequest, message: dns.update.UpdateMessage) -> None:
        """Makes an update, or rejects it; the response may be sent later."""
        self._counters.add("zone_updates")
        if len(message.zone) != 1 or message.zone[0].rdtype != dns.rdatatype.SOA:
            self._responder.reject(request, dns.rcode.FORMERR)
            return
        origin = canonical(message.zone[0].name)
        zone = self._zones.get(origin)
        if zone is None or message.zone[0].rdclass != dns.rdataclass.IN:
            self._responder.reject(request, dns.rcode.NOTAUTH)
            return
        grant = self._grant_of(request.key_name, origin)
        if grant is None:
            reason = f"key {request.key_name} may not update" if request.key_name else "not signed"
            self.log_denied(origin, reason, request.key_name)
            self._responder.reject(request, dns.rcode.REFUSED)
            return
        mac = bytes(message.mac or b"")

        def send_response(rcode: dns.rcode.Rcode) -> None:
            self._responder.reject(request, rcode)

        if not self._deduplicator.register(mac, self._context.now_us(), send_response):
            self._counters.add("zone_updates_deduplicated")
            return
        self._apply(message, zone, grant)

    def log_denied(self, origin: str, reason: str, key_name: str) -> None:
        """Counts and logs an update that the update policy denies."""
        self._counters.add("zone_updates_denied")
        self._log.event("zone_update_denied", zone=origin, reason=reason, key=key_name)

    def _grant_of(self, key_name: str, origin: str) -> UpdateGrant | None:
        if not key_name:
            return None
        for grant in self._settings[origin].grants:
            if grant.key == key_name:
                return grant
        return None

    def _apply(
        self, message: dns.update.UpdateMessage, zone: ZoneState, grant: UpdateGrant
    ) -> None:
        """Every way out completes the update in the deduplicator, which sends the responses."""
        mac = bytes(message.mac or b"")
        staged_us = self._context.now_us()

        def complete(rcode: dns.rcode.Rcode) -> None:
            self._deduplicator.complete(mac, rcode, self._context.now_us())

        def on_settled(durable: bool) -> None:
            complete(dns.rcode.NOERROR if durable else dns.rcode.SERVFAIL)

        if not zone.head.exists:
            complete(dns.rcode.SERVFAIL)
            return
        try:
            difference = self._evaluate(message, zone)
        except UpdateRejectedError as error:
            self._log_rejected(error, zone, grant)
            complete(error.rcode)
            return
        if difference is None:
            complete(dns.rcode.NOERROR)
            return
        denied_reason = self._stage_in_head(difference, zone, grant, staged_us)
        if denied_reason:
            self.log_denied(zone.origin, denied_reason, grant.key)
            complete(dns.rcode.REFUSED)
            return
        if not self._context.stage(PendingUpdate(zone, difference, on_settled)):
            zone.undo_update(difference)
            self._log.event("zone_update_throttled", zone=zone.origin, key=grant.key)
            complete(dns.rcode.SERVFAIL)

    def _evaluate(self, message: dns.update.UpdateMessage, zone: ZoneState) -> Difference | None:
        """Returns None if the update changes nothing (RFC 2136, section 3.4.2.7)."""
        pending_version = zone.new_pending_version()
        evaluate(message, pending_version)
        if not pending_version.is_changed():
            return None
        pending_version.advance_serial()
        return pending_version.difference(self._context.unix_ms())

    def _stage_in_head(
        self, difference: Difference, zone: ZoneState, grant: UpdateGrant, now_us: int
    ) -> str:
        """Returns why the update is denied; empty if it is part of the head now."""
        try:
            return zone.stage_update(difference, grant, self._context.classes, now_us)
        except ZoneError as error:
            return str(error)

    def _log_rejected(
        self, error: UpdateRejectedError, zone: ZoneState, grant: UpdateGrant
    ) -> None:
        self._log.event(
            "zone_update_rejected",
            zone=zone.origin,
            key=grant.key,
            reason=str(error),
            rcode=dns.rcode.to_text(error.rcode),
        )

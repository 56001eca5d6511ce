"""Handler of dynamic updates (RFC 2136), which checks permissions and responds once the outcome is known."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial

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

Complete = Callable[[dns.rcode.Rcode], None]


class UpdateHandler:
    """Checks updates, stages them to be made durable and responds to them."""

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
        """Initializes a handler.

        Args:
            zones: Zones by origin.
            settings: Settings of the zones by origin, which contain the update grants.
            limits: Limits, among them the maximum number of pending updates.
            counters: Counters of updates and their outcomes.
            log: Log of denied, rejected and throttled updates.
            context: Service that makes updates durable.
            responder: Sender of the responses.
        """
        self._zones = zones
        self._settings = settings
        self._counters = counters
        self._log = log
        self._context = context
        self._responder = responder
        self._deduplicator = UpdateDeduplicator(
            limits.max_remembered_dns_updates,
            limits.max_waiting_dns_repetitions,
            context.applied_updates(),
        )

    def handle(self, request: DnsRequest, message: dns.update.UpdateMessage) -> None:
        """Applies or rejects an update; the response may be sent after this method returns."""
        self._counters.add("zone_updates")
        if len(message.zone) != 1 or message.zone[0].rdtype != dns.rdatatype.SOA:
            self._responder.send_rcode(request, dns.rcode.FORMERR)
            return
        origin = canonical(message.zone[0].name)
        zone = self._zones.get(origin)
        if zone is None or message.zone[0].rdclass != dns.rdataclass.IN:
            self._responder.send_rcode(request, dns.rcode.NOTAUTH)
            return
        grant = self._grant_of(request.key_name, origin)
        if grant is None:
            reason = f"key {request.key_name} has no grant" if request.key_name else "not signed"
            self.log_denied(origin, reason, request.key_name)
            self._responder.send_rcode(request, dns.rcode.REFUSED)
            return
        mac = bytes(message.mac or b"")

        def send_response(rcode: dns.rcode.Rcode) -> None:
            self._responder.send_rcode(request, rcode)

        if not self._deduplicator.register(mac, self._context.now_us(), send_response):
            self._counters.add("zone_updates_deduplicated")
        else:
            self._apply(message, zone, grant)
        _release_records(message)

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
        """Applies an update; each outcome completes it in the deduplicator, which sends the responses."""
        mac = bytes(message.mac or b"")
        staged_us = self._context.now_us()

        def complete(rcode: dns.rcode.Rcode) -> None:
            self._deduplicator.complete(mac, rcode, self._context.now_us())

        if not zone.head.exists:
            complete(dns.rcode.SERVFAIL)
            return
        try:
            difference = self._evaluate(message, zone)
        except UpdateRejectedError as error:
            self._log_rejected(error, zone, grant)
            self._complete_when_durable(zone, grant, error.rcode, complete)
            return
        if difference is None:
            self._complete_when_durable(zone, grant, dns.rcode.NOERROR, complete)
            return
        denied_reason = self._stage_in_head(difference, zone, grant, staged_us)
        if denied_reason:
            self.log_denied(zone.origin, denied_reason, grant.key)
            self._complete_when_durable(zone, grant, dns.rcode.REFUSED, complete)
            return
        on_settled = partial(_report_outcome, complete, dns.rcode.NOERROR)
        if not self._context.stage(PendingUpdate(zone, difference, on_settled, mac)):
            zone.undo_update(difference)
            self._log_throttled(zone, grant)
            complete(dns.rcode.SERVFAIL)

    def _complete_when_durable(
        self, zone: ZoneState, grant: UpdateGrant, rcode: dns.rcode.Rcode, complete: Complete
    ) -> None:
        """Completes an update that changes nothing with a response that was derived from the head.

        The response waits until the head is durable: a crash or a failed write would take back what it rests on.
        """
        on_settled = partial(_report_outcome, complete, rcode)
        if not self._context.when_head_durable(zone, on_settled):
            self._log_throttled(zone, grant)
            complete(dns.rcode.SERVFAIL)

    def _evaluate(self, message: dns.update.UpdateMessage, zone: ZoneState) -> Difference | None:
        """Returns the records that an update changes, or None if it changes none (RFC 2136, section 3.4.2.7)."""
        pending_version = zone.new_pending_version()
        evaluate(message, pending_version)
        if not pending_version.is_changed():
            return None
        pending_version.advance_serial()
        return pending_version.difference(self._context.unix_ms())

    def _stage_in_head(
        self, difference: Difference, zone: ZoneState, grant: UpdateGrant, now_us: int
    ) -> str:
        """Stages an update in the head and returns an empty string, or returns why the update is denied."""
        try:
            return zone.stage_update(difference, grant, self._context.classes, now_us)
        except ZoneError as error:
            return str(error)

    def _log_throttled(self, zone: ZoneState, grant: UpdateGrant) -> None:
        self._log.event("zone_update_throttled", zone=zone.origin, key=grant.key)

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


def _report_outcome(complete: Complete, rcode: dns.rcode.Rcode, durable: bool) -> None:
    """Completes an update with a response code, or with SERVFAIL if what it rests on was not made durable."""
    complete(rcode if durable else dns.rcode.SERVFAIL)


def _release_records(message: dns.update.UpdateMessage) -> None:
    """Removes what a response doesn't need, because a large update may wait for the disk together with many others."""
    message.prerequisite.clear()
    message.update.clear()
    message.index.clear()
    message.wire = None

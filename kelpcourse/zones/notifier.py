"""Sender of NOTIFY messages (RFC 1996), which announce each new version of a zone to one secondary."""

from __future__ import annotations

import dns.flags
import dns.opcode
import dns.rdatatype

from kelpcourse.wire.errors import StreamError
from kelpcourse.wire.loop import Coroutine, Signal, Wait, WakeReason
from kelpcourse.zones.answer import soa_rrset
from kelpcourse.zones.dns_client import DnsClient, make_query
from kelpcourse.zones.settings import DnsPeer
from kelpcourse.zones.zone_state import ZoneState


class Notifier:
    """Announces new versions of a zone to one secondary, with retries until it responds (RFC 1996, section 3.6)."""

    def __init__(self, client: DnsClient, zone: ZoneState, secondary: DnsPeer) -> None:
        """Initializes a notifier; `run` is its coroutine."""
        self._client = client
        self._zone = zone
        self._secondary = secondary
        self._changed = Signal()

    def zone_changed(self) -> None:
        """Requests an announcement of the zone's new version."""
        self._changed.set()

    def run(self) -> Coroutine[None]:
        """Sends NOTIFY messages for each new version until the secondary responds or the attempts are used up."""
        while True:
            yield Wait(signal=self._changed)
            self._changed.clear()
            yield from self._notify()

    def _notify(self) -> Coroutine[None]:
        """Sends NOTIFY messages for the current version; stops early if the zone changes again."""
        backoff_us = self._client.limits.notify_retry_us
        for _ in range(self._client.limits.max_notify_attempts):
            is_acknowledged = yield from self._send()
            if is_acknowledged:
                return
            deadline_us = self._client.loop.clock() + backoff_us
            wake_reason = yield Wait(deadline_us, signal=self._changed)
            if wake_reason is WakeReason.SIGNALLED:
                return
            backoff_us *= 2
        self._client.log.event(
            "zone_notify_failed", zone=self._zone.origin, secondary=str(self._secondary)
        )

    def _send(self) -> Coroutine[bool]:
        query = make_query(self._zone.origin, dns.rdatatype.SOA, self._secondary)
        query.set_opcode(dns.opcode.NOTIFY)
        query.flags |= dns.flags.AA
        query.answer.append(soa_rrset(self._zone.zone))
        self._client.counters.add("zone_notifies_sent")
        try:
            response = yield from self._client.query_udp(query, self._secondary)
        except StreamError:
            return False
        return response is not None

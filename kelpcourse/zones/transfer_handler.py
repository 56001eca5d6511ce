"""Handler of transfer queries: access control and the choice between AXFR (RFC 5936) and IXFR (RFC 1995)."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

import dns.message
import dns.rcode
import dns.rdatatype

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.runtime import EventLog
from kelpcourse.zones.answer import fill_response, look_up
from kelpcourse.zones.dns_request import DnsRequest, Responder
from kelpcourse.zones.records import SOA, Record
from kelpcourse.zones.settings import ZoneSettings, format_address
from kelpcourse.zones.transfer import (
    AXFR,
    IXFR,
    axfr_records,
    ixfr_records,
    transfer_messages,
)
from kelpcourse.zones.zone_state import ZoneState


@dataclass(frozen=True)
class _TransferContent:
    kind: str  # "axfr" for a full transfer, "ixfr" for an incremental one
    records: Sequence[Record]


class TransferHandler:
    """Responds to transfer queries, with a limited number of concurrent transfers."""

    def __init__(
        self,
        settings: Mapping[str, ZoneSettings],
        limits: Limits,
        counters: Counters,
        log: EventLog,
        responder: Responder,
    ) -> None:
        """Initializes a handler.

        Args:
            settings: Settings of the zones by origin, which contain the keys that allow transfers.
            limits: Limits, among them the maximum number of concurrent transfers.
            counters: Counters of transfers.
            log: Log of transfers and rejections.
            responder: Sender of the responses that are not transfers.
        """
        self._settings = settings
        self._limits = limits
        self._counters = counters
        self._log = log
        self._responder = responder
        self._running_transfers = 0

    def handle(self, request: DnsRequest, zone: ZoneState, owner: str) -> None:
        """Responds to an AXFR or IXFR query for `owner`, a name in `zone`."""
        rdtype = request.message.question[0].rdtype
        if owner != zone.origin:
            self._responder.send_rcode(request, dns.rcode.NOTAUTH)
        elif not self._is_allowed(request, zone):
            self._log.event(
                "zone_transfer_rejected",
                zone=zone.origin,
                peer=format_address(request.peer),
                key=request.key_name,
            )
            self._responder.send_rcode(request, dns.rcode.REFUSED)
        elif not request.over_tcp and rdtype == AXFR:
            self._responder.send_rcode(request, dns.rcode.FORMERR)  # RFC 5936, section 4.2
        elif not request.over_tcp:
            self._send_soa(request, zone)
        elif self._running_transfers >= self._limits.max_outgoing_zone_transfers:
            self._responder.send_rcode(request, dns.rcode.REFUSED)
        else:
            request.send(self._start_transfer(request, zone))

    def _is_allowed(self, request: DnsRequest, zone: ZoneState) -> bool:
        if not request.key_name:
            return False
        return request.key_name in self._settings[zone.origin].transfer_keys

    def _send_soa(self, request: DnsRequest, zone: ZoneState) -> None:
        """Sends the SOA record only, so that the client repeats the query over TCP (RFC 1995, section 2)."""
        response = dns.message.make_response(request.message)
        fill_response(response, look_up(zone.zone, zone.origin, SOA))
        self._responder.send(request, response)

    def _start_transfer(self, request: DnsRequest, zone: ZoneState) -> Iterator[bytes]:
        """Collects all records at once, because the zone may change while a slow client reads the response."""
        content = _select_content(request.message, zone)
        self._counters.add(f"zone_{content.kind}_out")
        self._log.event(
            "zone_transfer_sent",
            zone=zone.origin,
            kind=content.kind,
            serial=zone.zone.serial,
            records=len(content.records),
            peer=format_address(request.peer),
        )
        return self._count_running(transfer_messages(request.message, content.records))

    def _count_running(self, messages: Iterator[bytes]) -> Iterator[bytes]:
        self._running_transfers += 1
        try:
            yield from messages
        finally:
            self._running_transfers -= 1


def _select_content(message: dns.message.Message, zone: ZoneState) -> _TransferContent:
    """Returns the records to transfer; for an IXFR query the full zone if the history lacks the client's version."""
    serial = _client_serial(message)
    if serial is not None:
        if serial == zone.zone.serial:
            return _TransferContent("ixfr", axfr_records(zone.zone)[:1])
        differences = zone.history.differences_since(serial)
        if differences is not None:
            return _TransferContent("ixfr", ixfr_records(zone.zone, differences))
    return _TransferContent("axfr", axfr_records(zone.zone))


def _client_serial(message: dns.message.Message) -> int | None:
    """Returns the serial of the SOA record in the authority section of an IXFR query.

    Returns None for an AXFR query and if there is no SOA record.
    """
    if message.question[0].rdtype != IXFR:
        return None
    for record_set in message.authority:
        if record_set.rdtype == dns.rdatatype.SOA and len(record_set):
            serial: int = record_set[0].serial
            return serial
    return None

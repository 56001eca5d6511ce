"""What comes in over DNS and what is said to it, without sockets: questions, transfers, NOTIFY, updates.

A message is answered at once or, an update, when its fate is known: the answer then goes to whoever sent it, over the
`reply` that came with the message. Answers are made from the version that is durable.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import dns.tsig
import dns.update

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import Address
from kelpcourse.zones.answer import fill, look_up
from kelpcourse.zones.deduplication import UpdateDeduplicator
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import canonical, is_under
from kelpcourse.zones.records import SOA, canonical_data, parse_soa
from kelpcourse.zones.settings import ZoneSettings, format_address
from kelpcourse.zones.transfer import AXFR, IXFR, incremental, messages, whole
from kelpcourse.zones.update import UpdateRejectedError, evaluate
from kelpcourse.zones.update_policy import EndpointClass, UpdateGrant
from kelpcourse.zones.versions import Difference
from kelpcourse.zones.zone_state import ZoneState

Reply = Callable[[Iterable[bytes]], None]
HEAD = 12  # bytes of a message's header
QR = 0x80
ERRORS: tuple[tuple[type[Exception], dns.rcode.Rcode], ...] = (
    (dns.tsig.BadTime, dns.rcode.BADTIME),
    (dns.tsig.BadSignature, dns.rcode.BADSIG),
    (dns.message.UnknownTSIGKey, dns.rcode.BADKEY),
    (dns.tsig.BadKey, dns.rcode.BADKEY),
    (dns.tsig.BadAlgorithm, dns.rcode.BADKEY),
)
TSIG_ERRORS = tuple(kind for kind, _ in ERRORS)


@dataclass(frozen=True)
class Request:
    message: dns.message.Message
    wire: bytes
    peer: Address
    tcp: bool
    reply: Reply

    @property
    def key(self) -> str:
        """The name of the key that signed it; empty: none did."""
        return (
            canonical(self.message.keyname)
            if self.message.had_tsig and self.message.keyname
            else ""
        )


@dataclass(frozen=True)
class Ticket:
    """An update that waits for the disk."""

    zone: ZoneState
    difference: Difference
    settle: Callable[[bool], None]  # durable or not


class Backstage(Protocol):
    """What the desk asks of the service round it."""

    @property
    def classes(self) -> tuple[EndpointClass, ...]: ...

    def clock(self) -> int: ...

    def unix_ms(self) -> int: ...

    def stage(self, ticket: Ticket) -> bool: ...

    def notified(self, origin: str) -> None: ...


class Desk:
    def __init__(
        self,
        zones: Mapping[str, ZoneState],
        settings: Mapping[str, ZoneSettings],
        keys: Mapping[str, dns.tsig.Key],
        limits: Limits,
        counters: Counters,
        log: EventLog,
        backstage: Backstage,
    ) -> None:
        self._zones = zones
        self._settings = settings
        self._ring = {key.name: key for key in keys.values()}
        self._limits = limits
        self._counters = counters
        self._log = log
        self._backstage = backstage
        self._deduplicator = UpdateDeduplicator(limits.max_pending_dns_updates * 16)
        self._transfers = 0

    def handle(self, wire: bytes, peer: Address, tcp: bool, reply: Reply) -> None:
        """Takes a message in. What is no question is dropped: an answer to an answer would go on for ever."""
        self._counters.add("dns_messages")
        if len(wire) < HEAD or wire[2] & QR:
            self._counters.add("dns_dropped")
            reply(())
            return
        if (wire[2] >> 3 & 15) == dns.opcode.UPDATE and wire[10:12] == b"\0\0":
            # Nothing behind the update, so no signature: a flood of these must not cost a reading each.
            self._counters.add("zone_updates_denied")
            self._log.event("zone_update_denied", zone="", reason="not signed", key="")
            reply([wire[:2] + bytes([QR | wire[2] & 0x79, dns.rcode.REFUSED]) + bytes(8)])
            return
        try:
            message = dns.message.from_wire(wire, keyring=self._ring, one_rr_per_rrset=True)
        except TSIG_ERRORS as error:
            self._refuse_signature(wire, error, peer, reply)
            return
        except (dns.exception.DNSException, ValueError, IndexError) as error:
            self._counters.add("dns_messages_rejected")
            self._log.event(
                "dns_message_rejected",
                peer=format_address(peer),
                reason=f"{type(error).__name__}: {error}",
            )
            reply([wire[:2] + bytes([QR | wire[2] & 0x79, dns.rcode.FORMERR]) + bytes(8)])
            return
        self._serve(Request(message, wire, peer, tcp, reply))

    def _serve(self, request: Request) -> None:
        message = request.message
        if message.edns > 0:
            self._say(request, dns.rcode.BADVERS)
        elif message.opcode() == dns.opcode.UPDATE:
            self._update(request)
        elif message.opcode() == dns.opcode.NOTIFY:
            self._notify(request)
        elif message.opcode() != dns.opcode.QUERY:
            self._say(request, dns.rcode.NOTIMP)
        elif len(message.question) != 1:
            self._say(request, dns.rcode.FORMERR)
        else:
            self._query(request, message.question[0])

    # Signatures

    def _refuse_signature(self, wire: bytes, error: Exception, peer: Address, reply: Reply) -> None:
        """NOTAUTH with the reason (RFC 8945, section 5.2). Only a clock that is off is told under the key: who
        does not know the secret learns nothing else."""
        code = next(code for kind, code in ERRORS if isinstance(error, kind))
        self._counters.add("dns_signatures_rejected")
        self._log.event(
            "dns_signature_rejected", peer=format_address(peer), reason=dns.rcode.to_text(code)
        )
        try:
            query = dns.message.from_wire(wire, keyring=False)
        except (dns.exception.DNSException, ValueError):
            reply(())
            return
        response = dns.message.make_response(query)
        response.set_rcode(dns.rcode.NOTAUTH)
        assert query.keyname is not None
        asked: Any = query.tsig[0] if query.tsig is not None else None
        if code == dns.rcode.BADTIME:
            response.use_tsig(
                self._ring,
                query.keyname,
                asked.fudge,
                None,
                code,
                round(time.time()).to_bytes(6, "big"),
                asked.algorithm,
            )
            response.request_mac = asked.mac
        else:
            bare = asked.replace(mac=b"", error=code, other=b"", original_id=query.id)
            response.additional.append(_tsig_set(query.keyname, bare))
        reply([response.to_wire()])

    # Questions

    def _query(self, request: Request, question: dns.rrset.RRset) -> None:
        owner, type_ = canonical(question.name), question.rdtype
        self._counters.add("dns_queries")
        zone = self._zone_of(owner)
        if zone is None or question.rdclass != dns.rdataclass.IN:
            self._say(request, dns.rcode.REFUSED)
        elif (
            not zone.zone.exists or zone.reconciler.expired
        ):  # RFC 1034, 4.3.5: what has expired is not told
            self._say(request, dns.rcode.SERVFAIL)
        elif type_ in (AXFR, IXFR):
            self._transfer(request, zone, owner)
        else:
            response = dns.message.make_response(
                request.message, our_payload=self._limits.max_dns_udp_bytes
            )
            fill(response, look_up(zone.zone, owner, int(type_)))
            request.reply([self._wire(response, request)])

    def _zone_of(self, owner: str) -> ZoneState | None:
        return next((zone for origin, zone in self._zones.items() if is_under(owner, origin)), None)

    def _wire(self, response: dns.message.Message, request: Request) -> bytes:
        """Over UDP an answer that does not fit is cut and marked so: the client comes back over TCP."""
        if request.tcp:
            return response.to_wire(max_size=65_535, prefer_truncation=True)
        room = max(512, request.message.payload) if request.message.edns >= 0 else 512
        wire = response.to_wire(
            max_size=min(room, self._limits.max_dns_udp_bytes), prefer_truncation=True
        )
        if wire[2] & 0x02:
            self._counters.add("dns_truncated")
        return wire

    def _say(self, request: Request, rcode: dns.rcode.Rcode) -> None:
        self._counters.add(f"dns_{dns.rcode.to_text(rcode).lower()}")
        response = dns.message.make_response(
            request.message, our_payload=self._limits.max_dns_udp_bytes
        )
        response.set_rcode(rcode)
        request.reply([response.to_wire()])

    # Transfers

    def _transfer(self, request: Request, zone: ZoneState, owner: str) -> None:
        rdtype = request.message.question[0].rdtype
        if owner != zone.origin:
            self._say(request, dns.rcode.NOTAUTH)
        elif not request.key or request.key not in self._settings[zone.origin].transfer_keys:
            self._log.event(
                "zone_transfer_rejected",
                zone=zone.origin,
                peer=format_address(request.peer),
                key=request.key,
            )
            self._say(request, dns.rcode.REFUSED)
        elif not request.tcp and rdtype == AXFR:
            self._say(request, dns.rcode.FORMERR)  # RFC 5936, section 4.2
        elif not request.tcp:
            response = dns.message.make_response(request.message)
            fill(
                response, look_up(zone.zone, zone.origin, SOA)
            )  # the SOA alone: come over TCP (RFC 1995)
            request.reply([self._wire(response, request)])
        elif self._transfers >= self._limits.max_outgoing_zone_transfers:
            self._say(request, dns.rcode.REFUSED)
        else:
            request.reply(self._send_zone(request, zone))

    def _send_zone(self, request: Request, zone: ZoneState) -> Iterator[bytes]:
        """All records are taken hold of at once: the zone may change while a slow client reads."""
        records, steps = None, None
        if request.message.question[0].rdtype == IXFR:
            known = [
                r for r in request.message.authority if r.rdtype == dns.rdatatype.SOA and len(r)
            ]
            serial = known[0][0].serial if known else None
            if serial == zone.zone.serial:
                records = whole(zone.zone)[:1]
            elif (
                serial is not None and (steps := zone.history.differences_since(serial)) is not None
            ):
                records = incremental(zone.zone, steps)
        kind = "ixfr" if records is not None else "axfr"
        if records is None:
            records = whole(zone.zone)
        self._counters.add(f"zone_{kind}_out")
        self._log.event(
            "zone_transfer_sent",
            zone=zone.origin,
            kind=kind,
            serial=zone.zone.serial,
            records=len(records),
            peer=format_address(request.peer),
        )
        return self._counted(messages(request.message, records))

    def _counted(self, wires: Iterator[bytes]) -> Iterator[bytes]:
        self._transfers += 1
        try:
            yield from wires
        finally:
            self._transfers -= 1

    # NOTIFY

    def _notify(self, request: Request) -> None:
        """Only a hint to ask (RFC 1996): whoever lies by it gains a question to the true primary."""
        origin = canonical(request.message.question[0].name) if request.message.question else ""
        settings = self._settings.get(origin)
        if settings is None or not settings.primaries:
            self._say(request, dns.rcode.NOTAUTH)
            return
        keys = {canonical(p.key.name) for p in settings.primaries if p.key is not None}
        if (
            request.peer[0] not in {p.address[0] for p in settings.primaries}
            and request.key not in keys
        ):
            self._say(request, dns.rcode.REFUSED)
            return
        self._counters.add("zone_notifies_received")
        self._backstage.notified(origin)
        response = dns.message.make_response(request.message)
        response.flags |= dns.flags.AA
        request.reply([response.to_wire()])

    # Updates

    def _update(self, request: Request) -> None:
        message = request.message
        assert isinstance(message, dns.update.UpdateMessage)
        self._counters.add("zone_updates")
        if len(message.zone) != 1 or message.zone[0].rdtype != dns.rdatatype.SOA:
            self._say(request, dns.rcode.FORMERR)
            return
        origin = canonical(message.zone[0].name)
        zone = self._zones.get(origin)
        if zone is None or message.zone[0].rdclass != dns.rdataclass.IN:
            self._say(request, dns.rcode.NOTAUTH)
            return
        grant = self._grant(origin, request)
        if grant is None:
            why = f"key {request.key} may not update" if request.key else "not signed"
            self._refused(request, origin, dns.rcode.REFUSED, why)
            return
        mac = bytes(message.mac or b"")

        def tell(rcode: dns.rcode.Rcode) -> None:
            self._say(request, rcode)

        if not self._deduplicator.register(mac, self._backstage.clock(), tell):
            self._counters.add("zone_updates_deduplicated")
            return
        self._make(request, zone, grant, mac)

    def _grant(self, origin: str, request: Request) -> UpdateGrant | None:
        if not request.key:
            return None
        return next((g for g in self._settings[origin].grants if g.key == request.key), None)

    def _make(self, request: Request, zone: ZoneState, grant: UpdateGrant, mac: bytes) -> None:
        backstage, now_us = self._backstage, self._backstage.clock()

        def done(rcode: dns.rcode.Rcode) -> None:
            self._deduplicator.complete(mac, rcode, backstage.clock())

        if not zone.head.exists:
            done(dns.rcode.SERVFAIL)
            return
        draft = zone.new_pending_version()
        try:
            assert isinstance(request.message, dns.update.UpdateMessage)
            evaluate(request.message, draft)
        except UpdateRejectedError as error:
            self._log.event(
                "zone_update_rejected",
                zone=zone.origin,
                key=grant.key,
                reason=str(error),
                rcode=dns.rcode.to_text(error.rcode),
            )
            done(error.rcode)
            return
        if not draft.is_changed():  # all of it stands already (RFC 2136, section 3.4.2.7)
            done(dns.rcode.NOERROR)
            return
        draft.advance_serial()
        difference = draft.difference(backstage.unix_ms())
        try:
            why = zone.stage_update(difference, grant, backstage.classes, now_us)
        except ZoneError as error:
            why = str(error)
        if why:
            self._refused(None, zone.origin, dns.rcode.REFUSED, why, grant.key)
            done(dns.rcode.REFUSED)
            return

        def settle(durable: bool) -> None:
            done(dns.rcode.NOERROR if durable else dns.rcode.SERVFAIL)

        if not backstage.stage(Ticket(zone, difference, settle)):
            zone.undo_update(difference)
            self._log.event("zone_update_throttled", zone=zone.origin, key=grant.key)
            done(dns.rcode.SERVFAIL)

    def _refused(
        self, request: Request | None, origin: str, rcode: dns.rcode.Rcode, why: str, key: str = ""
    ) -> None:
        self._counters.add("zone_updates_denied")
        self._log.event(
            "zone_update_denied",
            zone=origin,
            reason=why,
            key=key or (request.key if request else ""),
        )
        if request is not None:
            self._say(request, rcode)


def _tsig_set(name: dns.name.Name, rdata: Any) -> dns.rrset.RRset:
    made = dns.rrset.RRset(name, dns.rdataclass.ANY, dns.rdatatype.TSIG)
    made.update_ttl(0)
    made.items[rdata] = None
    return made


def serial_of(message: dns.message.Message, origin: str) -> tuple[int, bytes] | None:
    """The serial and data of the SOA in an answer."""
    for each in message.answer:
        if each.rdtype == dns.rdatatype.SOA and canonical(each.name) == origin and len(each) == 1:
            data = canonical_data(each[0])
            return parse_soa(data).serial, data
    return None

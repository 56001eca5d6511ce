"""Zone transfers in both directions: messages of AXFR (RFC 5936) and IXFR (RFC 1995). No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataset
import dns.rdatatype
import dns.renderer
import dns.transaction
import dns.xfr

from kelpcourse.limits import Limits
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import canonical, is_under, labels, to_name
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.reconciliation import Version
from kelpcourse.zones.records import SOA, Record, canonical_data
from kelpcourse.zones.versions import Difference, Zone, build_zone

MESSAGE_BYTES = (
    16_000  # of records in one message going out: names can't point further (RFC 1035, 4.1.4), and
)
# whoever reads it is done with it soon
RR = struct.Struct(">HHIH")
Renderer: Any = dns.renderer.Renderer
AXFR = dns.rdatatype.AXFR
IXFR = dns.rdatatype.IXFR


# Out


def whole(zone: Zone) -> list[Record]:
    """The records of an AXFR: the SOA first and last."""
    soa = _soa_record(zone)
    return [soa, *(r for r in zone.records() if r.type != SOA or r.owner != zone.origin), soa]


def incremental(zone: Zone, differences: Sequence[Difference]) -> list[Record]:
    """The records of an IXFR answer: the SOA held, each difference between its two SOAs, the SOA held."""
    now = _soa_record(zone)
    out = [now]
    for step in differences:
        for records in (step.removed, step.added):
            out += sorted(records, key=lambda r: r.type != SOA)  # its SOA begins each part
    return [*out, now]


def _soa_record(zone: Zone) -> Record:
    held = zone.record_set(zone.origin, SOA)
    assert held is not None
    return Record(zone.origin, SOA, held.ttl, next(iter(held.data)))


def messages(query: dns.message.Message, records: Sequence[Record]) -> Iterator[bytes]:
    """The answer in wire form, message by message; with a signed question all are signed (RFC 8945, 5.3.1)."""
    head = dns.message.make_response(query)
    origin = canonical(query.question[0].name)
    context: Any = None
    at = 0
    while at < len(records):
        renderer = Renderer(query.id, int(head.flags | dns.flags.AA))
        renderer.add_question(query.question[0].name, query.question[0].rdtype)
        parts, size, start = list[bytes](), 0, at
        while at < len(records) and (not parts or size < MESSAGE_BYTES):
            parts.append(_wire(records[at], origin))
            size += len(parts[-1])
            at += 1
        # Records are kept as they go over the wire: they need not be read to be written again.
        renderer.output.write(b"".join(parts))
        renderer.counts[dns.renderer.ANSWER] += at - start
        renderer.write_header()
        if head.want_tsig_sign:
            context = _sign(renderer, head, context)
        yield renderer.get_wire()


def _wire(record: Record, origin: str) -> bytes:
    """The origin stands in the question, right behind the header: names end there (RFC 1035, section 4.1.4)."""
    name = b"".join(
        bytes((len(label),)) + label
        for label in to_name(record.owner).labels[: len(labels(record.owner)) - len(labels(origin))]
    )
    return b"%b\xc0\x0c%b%b" % (
        name,
        RR.pack(record.type, 1, record.ttl, len(record.data)),
        record.data,
    )


def _sign(renderer: Any, head: dns.message.Message, context: Any) -> Any:
    asked: Any = head.tsig[0] if head.tsig is not None else None
    return renderer.add_multi_tsig(
        context,
        head.keyname,
        head.keyring,
        asked.fudge,
        head.id,
        0,
        b"",
        head.request_mac,
        asked.algorithm,
    )


# In


class Unfit(ZoneError):
    """Differences that don't fit the version held: the whole zone is to be fetched."""


class Incoming:
    """One transfer coming in, message by message, into a zone or a difference of its own: until it is whole,
    nothing of it is to be seen anywhere."""

    def __init__(
        self,
        held: Zone,
        query: dns.message.Message,
        rdtype: dns.rdatatype.RdataType,
        is_udp: bool,
        limits: Limits,
    ) -> None:
        self._held = held
        self._limits = limits
        self._draft = _Sink(held, limits)
        self._bytes = 0
        self.query = query
        serial = held.serial if held.exists and rdtype == IXFR else None
        self._inbound = dns.xfr.Inbound(
            self._draft, rdtype, serial, is_udp, raise_on_serial_went_backwards=False
        )

    def take(self, wire: bytes, message: dns.message.Message) -> bool:
        """True once it is whole. Raises ZoneError, Unfit or dns.xfr.UseTCP."""
        self._bytes += len(wire)
        if self._bytes > self._limits.max_incoming_transfer_bytes:
            raise ZoneError(f"a transfer over {self._limits.max_incoming_transfer_bytes} bytes")
        try:
            return bool(self._inbound.process_message(message))
        except (dns.xfr.UseTCP, ZoneError):
            raise
        except (dns.exception.DNSException, ValueError, KeyError) as error:
            kind = Unfit if self._inbound.incremental else ZoneError
            raise kind(f"{self._held.origin}: {type(error).__name__}: {error}") from None

    def result(self) -> tuple[Zone | None, PendingVersion | None]:
        """A whole zone, or a draft with differences; neither: nothing was newer."""
        return self._draft.result()


class _Sink(dns.transaction.TransactionManager):
    """What dnspython's transfer writes into: the few calls of a transaction that it makes."""

    def __init__(self, held: Zone, limits: Limits) -> None:
        self._held = held
        self._limits = limits
        self._origin = dns.name.from_text(held.origin)
        self._records: list[Record] | None = None
        self._draft: PendingVersion | None = None
        self._done = False

    def origin_information(self) -> tuple[dns.name.Name, bool, dns.name.Name]:
        return self._origin, False, self._origin

    def get_class(self) -> dns.rdataclass.RdataClass:
        return dns.rdataclass.IN

    def reader(self) -> dns.transaction.Transaction:
        raise NotImplementedError

    def writer(self, replacement: bool = False) -> Any:
        self._records = [] if replacement else None
        self._draft = None if replacement else PendingVersion(self._held)
        return self

    def add(self, name: dns.name.Name, rdataset: dns.rdataset.Rdataset) -> None:
        owner = canonical(name)
        if not is_under(owner, self._held.origin):
            raise ZoneError(f"{owner} is not in {self._held.origin}")
        for rdata in rdataset:
            record = Record(owner, int(rdataset.rdtype), int(rdataset.ttl), canonical_data(rdata))
            if self._records is not None:
                self._records.append(record)
                if len(self._records) > self._limits.max_zone_records:
                    raise ZoneError(f"more than {self._limits.max_zone_records} records")
            elif self._draft is not None:
                self._draft.add(record)

    def replace(self, name: dns.name.Name, rdataset: dns.rdataset.Rdataset) -> None:
        """Only ever the SOA of the new version."""
        if self._draft is not None:
            self._draft.remove_set(canonical(name), int(rdataset.rdtype))
        self.add(name, rdataset)

    def delete_exact(self, name: dns.name.Name, rdataset: dns.rdataset.Rdataset) -> None:
        assert self._draft is not None
        for rdata in rdataset:
            if not self._draft.remove(canonical(name), int(rdataset.rdtype), canonical_data(rdata)):
                raise Unfit(f"{name}: no such record to be removed")

    def commit(self) -> None:
        self._done = True

    def rollback(self) -> None:
        self._records = self._draft = None

    def result(self) -> tuple[Zone | None, PendingVersion | None]:
        if not self._done:
            return None, None
        if self._records is not None:
            return build_zone(self._held.origin, self._records), None
        return None, self._draft


def offered(zone: Zone | None, draft: PendingVersion | None) -> Version | None:
    """The version that came, to be judged before it is believed."""
    data = zone.soa_data if zone is not None else draft.soa_data if draft is not None else b""
    return Version(int.from_bytes(data[-20:-16], "big"), data) if data else None


def check_fits(zone: Zone) -> None:
    """A zone as it must be to be served. Raises ZoneError."""
    soa = zone.record_set(zone.origin, SOA)
    if soa is None or len(soa.data) != 1:
        raise ZoneError(f"{zone.origin} has not exactly one SOA")

"""Encoding of the messages of outgoing zone transfers, AXFR (RFC 5936) and IXFR (RFC 1995), without I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from typing import Any

import dns.flags
import dns.message
import dns.rdataclass
import dns.rdatatype
import dns.renderer

from kelpcourse.zones.errors import MissingSoaError
from kelpcourse.zones.names import canonical, labels, to_name
from kelpcourse.zones.records import SOA, Record
from kelpcourse.zones.versions import Difference, Zone

AXFR = dns.rdatatype.AXFR
IXFR = dns.rdatatype.IXFR

# Size of the records in a message, in bytes, at which the message is complete and a new one begins. A compression
# pointer cannot refer to a name beyond 16 383 bytes (RFC 1035, section 4.1.4), and a reader that parses one message at
# a time blocks only briefly for a small one.
MESSAGE_RECORD_BYTES = 16_000
RECORD_HEADER = struct.Struct(">HHIH")  # type, class, TTL and length of the data
# Compression pointer to the name in the question, which follows the 12 bytes of the header.
ORIGIN_POINTER = b"\xc0\x0c"

_Renderer: Any = dns.renderer.Renderer  # `Any` because the methods have incomplete type annotations


def axfr_records(zone: Zone) -> list[Record]:
    """Returns the records of an AXFR response, which starts and ends with the SOA record."""
    soa = _soa_record(zone)
    others = [
        record for record in zone.records() if record.type != SOA or record.owner != zone.origin
    ]
    return [soa, *others, soa]


def ixfr_records(zone: Zone, differences: Sequence[Difference]) -> list[Record]:
    """Returns the records of an incremental IXFR response (RFC 1995, section 4).

    The response starts and ends with the current SOA record. In between, the removed and the added records of each
    difference start with the SOA record of their version.
    """
    current_soa = _soa_record(zone)
    records = [current_soa]
    for difference in differences:
        records += _soa_first(difference.removed)
        records += _soa_first(difference.added)
    return [*records, current_soa]


def transfer_messages(query: dns.message.Message, records: Sequence[Record]) -> Iterator[bytes]:
    """Yields the messages of a response in wire format, all signed if the query is (RFC 8945, section 5.3.1)."""
    response = dns.message.make_response(query)
    origin = canonical(query.question[0].name)
    request_tsig: Any = response.tsig[0] if response.tsig is not None else None
    signing_context: Any = None
    for encoded_records in _batches(records, origin):
        renderer = _Renderer(query.id, int(response.flags | dns.flags.AA))
        renderer.add_question(query.question[0].name, query.question[0].rdtype)
        # Records are stored in wire format, so they are appended without being parsed again.
        renderer.output.write(b"".join(encoded_records))
        renderer.counts[dns.renderer.ANSWER] += len(encoded_records)
        renderer.write_header()
        if response.want_tsig_sign:
            signing_context = renderer.add_multi_tsig(
                signing_context,
                response.keyname,
                response.keyring,
                request_tsig.fudge,
                response.id,
                0,
                b"",
                response.request_mac,
                request_tsig.algorithm,
            )
        yield renderer.get_wire()


def _soa_record(zone: Zone) -> Record:
    record_set = zone.record_set(zone.origin, SOA)
    if record_set is None:
        raise MissingSoaError(zone.origin)
    return Record(zone.origin, SOA, record_set.ttl, next(iter(record_set.data)))


def _soa_first(records: Sequence[Record]) -> list[Record]:
    return sorted(records, key=lambda record: record.type != SOA)


def _batches(records: Sequence[Record], origin: str) -> Iterator[list[bytes]]:
    """Yields the encoded records of each message; the last record of a message may exceed `MESSAGE_RECORD_BYTES`."""
    batch: list[bytes] = []
    batch_bytes = 0
    for record in records:
        if batch_bytes >= MESSAGE_RECORD_BYTES:
            yield batch
            batch = []
            batch_bytes = 0
        encoded = _encode(record, origin)
        batch.append(encoded)
        batch_bytes += len(encoded)
    if batch:
        yield batch


def _encode(record: Record, origin: str) -> bytes:
    """Encodes a record, whose owner ends in a pointer to the origin in the question (RFC 1035, section 4.1.4)."""
    label_count = len(labels(record.owner)) - len(labels(origin))
    owner_labels = to_name(record.owner).labels[:label_count]
    owner = b"".join(bytes((len(label),)) + label for label in owner_labels)
    header = RECORD_HEADER.pack(record.type, dns.rdataclass.IN, record.ttl, len(record.data))
    return owner + ORIGIN_POINTER + header + record.data

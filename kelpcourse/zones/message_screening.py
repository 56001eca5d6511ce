"""Checks of DNS requests before dnspython parses them, so that unauthenticated clients can't make parsing expensive.

The cost of parsing grows with the number of records and options, and other tasks wait meanwhile. Queries therefore have
a small maximum size and number of records. Updates may be large, so their signature is verified first.
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import dns.message
import dns.name
import dns.opcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.tsig

from kelpcourse.zones.dns_request import HEADER_BYTES
from kelpcourse.zones.errors import TruncatedMessageError

KeyRing = Mapping[dns.name.Name, dns.tsig.Key]

MAX_QUERY_BYTES = 2_048
MAX_QUERY_RECORDS = 4  # an SOA record, OPT and TSIG are used
RECORD_COUNTS = struct.Struct("!4H")
RECORD_COUNTS_START = 4
RECORD_FIELDS = struct.Struct(
    "!HHIH"
)  # type, class, TTL, size of the data (RFC 1035, section 4.1.3)
QUESTION_FIELDS_BYTES = 4
POINTER_BYTES = 2
POINTER_MASK = 0xC0  # two highest bits of a label's length octet (RFC 1035, section 4.1.4)


@dataclass(frozen=True)
class Signature:
    """The TSIG record at the end of a request.

    Attributes:
        start: Index of the record in the message.
        key_name: Name of the key.
        rdata: Data of the record.
        questions_end: Index after the question section of the message.
        fields: Fields and data of the record, in wire format, without its name.
    """

    start: int
    key_name: dns.name.Name
    rdata: dns.rdata.Rdata
    questions_end: int
    fields: bytes


def opcode_of(wire: bytes) -> int:
    """Returns the opcode in the header of a message."""
    return wire[2] >> 3 & 15


def is_oversized_query(wire: bytes) -> bool:
    """Returns whether a message that is not an update is larger or has more records than any query needs."""
    _, *record_counts = _counts(wire)
    return len(wire) > MAX_QUERY_BYTES or sum(record_counts) > MAX_QUERY_RECORDS


def find_signature(wire: bytes) -> Signature | None:
    """Returns the signature of a message; None if the last record is not a TSIG record.

    Raises:
        TruncatedMessageError: The message ends within a record.
        DNSException: The signature is malformed.
    """
    question_count, *record_counts = _counts(wire)
    position = HEADER_BYTES
    try:
        for _ in range(question_count):
            position = _skip_name(wire, position) + QUESTION_FIELDS_BYTES
        questions_end = position
        start = fields_start = position
        type_ = class_ = size = 0
        for _ in range(sum(record_counts)):
            start = position
            fields_start = _skip_name(wire, start)
            type_, class_, _, size = RECORD_FIELDS.unpack_from(wire, fields_start)
            position = fields_start + RECORD_FIELDS.size + size
    except (IndexError, struct.error) as error:
        raise TruncatedMessageError(len(wire)) from error
    if position > len(wire):
        raise TruncatedMessageError(len(wire))
    if type_ != dns.rdatatype.TSIG or not record_counts[-1]:
        return None
    key_name, _ = dns.name.from_wire(wire, start)
    data_start = fields_start + RECORD_FIELDS.size
    rdata = dns.rdata.from_wire(
        dns.rdataclass.RdataClass(class_), dns.rdatatype.TSIG, wire, data_start, size
    )
    return Signature(start, key_name, rdata, questions_end, wire[fields_start:position])


def verify(wire: bytes, signature: Signature, keys: KeyRing) -> None:
    """Verifies the signature of a request.

    Raises:
        UnknownTSIGKey: There is no key of this name.
        BadSignature: The signature is not that of the message.
        BadTime: The message was signed too long ago, or is from the future.
        BadKey: The key is not used with the algorithm of the signature.
    """
    key = keys.get(signature.key_name)
    if key is None:
        raise dns.message.UnknownTSIGKey
    validate: Callable[..., object] = dns.tsig.validate
    validate(
        wire,
        key,
        signature.key_name,
        signature.rdata,
        int(time.time()),
        b"",
        signature.start,
        None,
        False,
    )


def without_records(wire: bytes, signature: Signature) -> bytes:
    """Returns a message that consists of the header, the questions and the signature of a request."""
    question_count, *_ = _counts(wire)
    header = wire[:RECORD_COUNTS_START] + RECORD_COUNTS.pack(question_count, 0, 0, 1)
    questions = wire[HEADER_BYTES : signature.questions_end]
    return header + questions + signature.key_name.to_digestable() + signature.fields


def _counts(wire: bytes) -> tuple[int, int, int, int]:
    """Returns the numbers of questions, answers, authority records and additional records in the header."""
    questions, answers, authority, additional = RECORD_COUNTS.unpack_from(wire, RECORD_COUNTS_START)
    return questions, answers, authority, additional


def _skip_name(wire: bytes, position: int) -> int:
    """Returns the index after a name, which ends with the root label or a compression pointer."""
    while size := wire[position]:
        if size & POINTER_MASK:
            return position + POINTER_BYTES
        position += 1 + size
    return position + 1

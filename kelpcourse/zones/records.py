"""Records of a zone in the form in which versions are stored. This module does no input or output.

Record data is kept in the canonical wire form (RFC 4034, section 6.2), which is compact, fast to hash and written to
the journal without conversion. dnspython parses it where its fields are needed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import dns.rdata
import dns.rdataclass
import dns.rdatatype

SOA = int(dns.rdatatype.SOA)
NS = int(dns.rdatatype.NS)
CNAME = int(dns.rdatatype.CNAME)
# An SOA record ends with five 32-bit numbers, after two names of variable length (RFC 1035, section 3.3.13).
SOA_NUMBER_BYTES = 4
SOA_NUMBERS_BYTES = 5 * SOA_NUMBER_BYTES


class Record(NamedTuple):
    """A record of a zone. The order of the fields is the stored format.

    Attributes:
        owner: Absolute owner name, in lower case.
        type: Number of the record type.
        ttl: Time to live, in seconds.
        data: Record data in canonical wire form.
    """

    owner: str
    type: int
    ttl: int
    data: bytes


@dataclass(frozen=True)
class Soa:
    """The numbers of an SOA record (RFC 1035, section 3.3.13), with times in seconds."""

    serial: int
    refresh: int
    retry: int
    expire: int
    minimum: int


@dataclass(slots=True)
class RecordSet:
    """All records of one owner and type, which share a TTL (RFC 2181, section 5.2)."""

    ttl: int
    data: dict[bytes, None]


def type_name(type_: int) -> str:
    """Returns the mnemonic of a record type, such as SRV."""
    return dns.rdatatype.to_text(dns.rdatatype.RdataType.make(type_))


def parse_record_data(type_: int, data: bytes) -> dns.rdata.Rdata:
    """Parses record data into dnspython's form."""
    rdtype = dns.rdatatype.RdataType.make(type_)
    return dns.rdata.from_wire(dns.rdataclass.IN, rdtype, data, 0, len(data))


def canonical_data(rdata: dns.rdata.Rdata) -> bytes:
    """Returns the canonical wire form of record data (RFC 4034, section 6.2)."""
    wire = rdata.to_digestable()
    assert wire is not None
    return wire


def parse_soa(data: bytes) -> Soa:
    """Parses the numbers of an SOA record."""
    start = len(data) - SOA_NUMBERS_BYTES
    numbers = [
        int.from_bytes(data[offset : offset + SOA_NUMBER_BYTES], "big")
        for offset in range(start, start + SOA_NUMBERS_BYTES, SOA_NUMBER_BYTES)
    ]
    return Soa(*numbers)


def soa_serial(data: bytes) -> int:
    """Returns the serial of an SOA record."""
    return int.from_bytes(data[-SOA_NUMBERS_BYTES : SOA_NUMBER_BYTES - SOA_NUMBERS_BYTES], "big")


def with_serial(data: bytes, serial: int) -> bytes:
    """Returns the data of an SOA record with its serial replaced."""
    start = len(data) - SOA_NUMBERS_BYTES
    return (
        data[:start] + serial.to_bytes(SOA_NUMBER_BYTES, "big") + data[start + SOA_NUMBER_BYTES :]
    )

"""Zone files (RFC 1035, section 5), parsed directly into records with the zone file reader of dnspython."""

from __future__ import annotations

from pathlib import Path
from typing import cast

import dns.exception
import dns.name
import dns.rdata
import dns.rdataclass
import dns.tokenizer
import dns.transaction
import dns.zonefile

from kelpcourse.limits import Limits
from kelpcourse.zones.errors import (
    AliasConflictError,
    OutOfZoneError,
    TooManyRecordsError,
    ZoneError,
    ZoneFileError,
)
from kelpcourse.zones.incoming_transfer import check_servable
from kelpcourse.zones.names import canonical, is_under, to_name
from kelpcourse.zones.records import (
    CNAME,
    SOA,
    Record,
    canonical_data,
    parse_record_data,
    type_name,
)
from kelpcourse.zones.versions import Zone, build_zone


def read_zone_file(path: Path, origin: str, limits: Limits) -> Zone:
    """Reads and parses a zone file.

    Raises:
        ZoneFileError: The file cannot be read, has a syntax error or has a zone that cannot be served. The error names
            the file and, if it concerns a line, the line.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ZoneFileError(str(path), str(error.strerror)) from error
    except UnicodeDecodeError as error:
        raise ZoneFileError(str(path), "the file is not valid UTF-8") from error
    return parse_zone_text(text, origin, limits, str(path))


def parse_zone_text(text: str, origin: str, limits: Limits, name: str = "zone") -> Zone:
    """Parses the text of a zone file.

    $INCLUDE is rejected, because only the file itself is watched for changes.

    Args:
        text: Text of the file.
        origin: Canonical name of the zone's origin.
        limits: Limits with the maximum number of records.
        name: Name of the file in errors.

    Raises:
        ZoneFileError: The text has an error, or the zone cannot be served.
    """
    sink = _RecordSink(origin, limits)
    tokenizer = dns.tokenizer.Tokenizer(text, filename=name)
    reader = dns.zonefile.Reader(
        tokenizer,
        dns.rdataclass.IN,
        cast(dns.transaction.Transaction, sink),
        allow_include=False,
    )
    reader.current_origin = reader.last_name = to_name(origin)
    try:
        reader.read()
    except ZoneError as error:
        raise ZoneFileError(name, str(error), _line_number(tokenizer, text)) from error
    except (dns.exception.DNSException, ValueError) as error:
        _, reader_line = tokenizer.where()
        reason = str(error).removeprefix(f"{name}:{reader_line}: ")
        raise ZoneFileError(name, reason, _line_number(tokenizer, text)) from error
    zone = build_zone(origin, sink.records)
    try:
        check_servable(zone)
        _check_aliases(zone)
    except ZoneError as error:
        raise ZoneFileError(name, str(error)) from error
    return zone


def format_zone(zone: Zone) -> str:
    """Returns the text of a zone file; zones with the same records have the same text."""
    lines = [f"$ORIGIN {zone.origin}"]
    for record in sorted(zone.records(), key=lambda record: _file_order(record, zone.origin)):
        data = parse_record_data(record.type, record.data).to_text()
        lines.append(f"{record.owner} {record.ttl} IN {type_name(record.type)} {data}")
    return "\n".join(lines) + "\n"


def _file_order(record: Record, origin: str) -> tuple[bool, bool, str, int, bytes]:
    """Returns the sort key of a record: the SOA record first, then the other records of the origin, then the rest."""
    return record.owner != origin, record.type != SOA, record.owner, record.type, record.data


def _line_number(tokenizer: dns.tokenizer.Tokenizer, text: str) -> int:
    """Returns the number of the line with the last character that was consumed.

    The tokenizer's own line number also counts a line end that was read and put back.
    """
    read_count = tokenizer.file.tell()
    if tokenizer.ungotten_char is not None:
        read_count -= 1
    return text.count("\n", 0, max(0, read_count - 1)) + 1


def _check_aliases(zone: Zone) -> None:
    """Checks that no name has a CNAME record and other records (RFC 1034, section 3.6.2).

    Raises:
        AliasConflictError: A name has both.
    """
    for owner in zone.owners():
        types = set(zone.types(owner))
        if CNAME in types and len(types) > 1:
            other_types = types - {CNAME}
            raise AliasConflictError(owner, sorted(type_name(each) for each in other_types))


class _RecordSink:
    """The methods of a dnspython transaction that dnspython's zone file reader calls."""

    def __init__(self, origin: str, limits: Limits) -> None:
        self.records: list[Record] = []
        self.manager = self
        self._origin = origin
        self._max_records = limits.max_zone_records

    def origin_information(self) -> tuple[dns.name.Name, bool, dns.name.Name]:
        """Returns the root as the origin: the reader ignores names outside its zone, which must be reported here."""
        return dns.name.root, False, dns.name.root

    def check_put_rdataset(self, check: object) -> None:
        """Ignores the check of the reader, which needs whole record sets; `_check_aliases` replaces it."""

    def _set_origin(self, name: dns.name.Name) -> None:
        """Ignores $ORIGIN, which the reader applies to the names after it and which does not change the zone."""

    def add(self, name: dns.name.Name, ttl: int, rdata: dns.rdata.Rdata) -> None:
        owner = canonical(name)
        if not is_under(owner, self._origin):
            raise OutOfZoneError(owner, self._origin)
        if len(self.records) >= self._max_records:
            raise TooManyRecordsError(self._max_records)
        self.records.append(Record(owner, int(rdata.rdtype), ttl, canonical_data(rdata)))

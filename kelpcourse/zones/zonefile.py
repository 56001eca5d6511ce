"""Zone files (RFC 1035, section 5), parsed with dnspython's reader directly into records."""

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
    """Reads a zone file.

    Raises:
        ZoneFileError: it cannot be read, with the file and, where there is one, the line.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ZoneFileError(str(path), str(error.strerror)) from error
    except UnicodeDecodeError as error:
        raise ZoneFileError(str(path), "not UTF-8") from error
    return parse_zone_text(text, origin, limits, str(path))


def parse_zone_text(text: str, origin: str, limits: Limits, name: str = "zone") -> Zone:
    """Parses the text of a zone file; `name` stands for the file in errors.

    $INCLUDE is rejected, as only the file itself is watched for changes.

    Raises:
        ZoneFileError: the text has a mistake, or the zone cannot be served.
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
    """Returns the text of a zone file; equal zones give equal texts."""
    lines = [f"$ORIGIN {zone.origin}"]
    for record in sorted(zone.records(), key=lambda record: _file_order(record, zone.origin)):
        data = parse_record_data(record.type, record.data).to_text()
        lines.append(f"{record.owner} {record.ttl} IN {type_name(record.type)} {data}")
    return "\n".join(lines) + "\n"


def _file_order(record: Record, origin: str) -> tuple[bool, bool, str, int, bytes]:
    """The origin's records come first, with the SOA record before all."""
    return record.owner != origin, record.type != SOA, record.owner, record.type, record.data


def _line_number(tokenizer: dns.tokenizer.Tokenizer, text: str) -> int:
    """Returns the line of the last character that was needed.

    The tokenizer's own count includes a line end that it only looked at.
    """
    read_count = tokenizer.file.tell()
    if tokenizer.ungotten_char is not None:
        read_count -= 1
    return text.count("\n", 0, max(0, read_count - 1)) + 1


def _check_aliases(zone: Zone) -> None:
    """Raises AliasConflictError if a name has a CNAME and other records (RFC 1034, 3.6.2)."""
    for owner in zone.owners():
        types = set(zone.types(owner))
        if CNAME in types and len(types) > 1:
            other_types = types - {CNAME}
            raise AliasConflictError(owner, sorted(type_name(each) for each in other_types))


class _RecordSink:
    """The calls of a dnspython transaction that its zone file reader makes."""

    def __init__(self, origin: str, limits: Limits) -> None:
        self.records: list[Record] = []
        self.manager = self
        self._origin = origin
        self._max_records = limits.max_zone_records

    def origin_information(self) -> tuple[dns.name.Name, bool, dns.name.Name]:
        """Claims the root: the reader ignores names outside its zone, and they must be reported."""
        return dns.name.root, False, dns.name.root

    def check_put_rdataset(self, check: object) -> None:
        """Drops the reader's check, which needs whole sets; `_check_aliases` replaces it."""

    def _set_origin(self, name: dns.name.Name) -> None:
        """$ORIGIN applies to the records that follow it; the zone stays the same."""

    def add(self, name: dns.name.Name, ttl: int, rdata: dns.rdata.Rdata) -> None:
        owner = canonical(name)
        if not is_under(owner, self._origin):
            raise OutOfZoneError(owner, self._origin)
        if len(self.records) >= self._max_records:
            raise TooManyRecordsError(self._max_records)
        self.records.append(Record(owner, int(rdata.rdtype), ttl, canonical_data(rdata)))

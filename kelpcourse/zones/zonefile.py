"""Zone files (RFC 1035, section 5) through dnspython's reader, straight into records."""

from __future__ import annotations

from pathlib import Path
from typing import Any, cast

import dns.exception
import dns.name
import dns.rdata
import dns.rdataclass
import dns.tokenizer
import dns.transaction
import dns.zonefile

from kelpcourse.limits import Limits
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import canonical, is_under, to_name
from kelpcourse.zones.records import CNAME, Record, canonical_data, parse_record_data, type_name
from kelpcourse.zones.transfer import check_fits
from kelpcourse.zones.versions import Zone, build_zone


def read_zone_file(path: Path, origin: str, limits: Limits) -> Zone:
    """Raises ZoneError with file and line."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ZoneError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ZoneError(f"{path}: not UTF-8") from None
    return parse_zone_text(text, origin, limits, str(path))


def parse_zone_text(text: str, origin: str, limits: Limits, name: str = "zone") -> Zone:
    """A zone as it stands in a file. $INCLUDE is refused: one file is read, and read again, as a whole."""
    sink = _Sink(origin, limits)
    tokens = dns.tokenizer.Tokenizer(text, filename=name)
    reader = dns.zonefile.Reader(
        tokens, dns.rdataclass.IN, cast(dns.transaction.Transaction, sink), allow_include=False
    )
    reader.current_origin = reader.last_name = to_name(origin)
    try:
        reader.read()
    except ZoneError as error:
        raise ZoneError(f"{name}:{_line(tokens, text)}: {error}") from None
    except (dns.exception.DNSException, ValueError) as error:
        what = str(error).removeprefix(f"{name}:{tokens.where()[1]}: ")
        raise ZoneError(f"{name}:{_line(tokens, text)}: {what}") from None
    zone = build_zone(origin, sink.records)
    try:
        check_fits(zone)
        _check_aliases(zone)
    except ZoneError as error:
        raise ZoneError(f"{name}: {error}") from None
    return zone


def _line(tokens: dns.tokenizer.Tokenizer, text: str) -> int:
    """Of what was read last. The reader itself counts a line end that it looked at, needed or not."""
    read = tokens.file.tell() - (tokens.ungotten_char is not None)
    return text.count("\n", 0, max(0, read - 1)) + 1


def _check_aliases(zone: Zone) -> None:
    for owner in zone.owners():
        types = set(zone.types(owner))
        if CNAME in types and len(types) > 1:
            others = ", ".join(sorted(type_name(t) for t in types - {CNAME}))
            raise ZoneError(f"{owner} has a CNAME and other records: {others}")


class _Sink:
    """The few calls of a dnspython transaction that its reader makes."""

    def __init__(self, origin: str, limits: Limits) -> None:
        self.records: list[Record] = []
        self.manager = self
        self._origin = origin
        self._limits = limits

    def origin_information(self) -> tuple[dns.name.Name, bool, dns.name.Name]:
        """The root: the reader passes over names outside a zone without a word, and they are to be told."""
        return dns.name.root, False, dns.name.root

    def check_put_rdataset(self, _: Any) -> None:
        """The reader's own check wants whole sets; `_check_aliases` looks at the zone instead."""

    def _set_origin(self, _: dns.name.Name) -> None:
        """$ORIGIN names the place of the records that follow, not another zone."""

    def add(self, name: dns.name.Name, ttl: int, rdata: dns.rdata.Rdata) -> None:
        owner = canonical(name)
        if not is_under(owner, self._origin):
            raise ZoneError(f"{owner} is not in {self._origin}")
        if len(self.records) >= self._limits.max_zone_records:
            raise ZoneError(f"more than {self._limits.max_zone_records} records")
        self.records.append(Record(owner, int(rdata.rdtype), ttl, canonical_data(rdata)))


def format_zone(zone: Zone) -> str:
    """The zone as a file again, in an order that is the same each time."""
    lines = [f"$ORIGIN {zone.origin}"]
    for r in sorted(
        zone.records(), key=lambda r: (r.owner != zone.origin, r.type != 6, r.owner, r.type, r.data)
    ):
        lines.append(
            f"{r.owner} {r.ttl} IN {type_name(r.type)} {parse_record_data(r.type, r.data).to_text()}"
        )
    return "\n".join(lines) + "\n"

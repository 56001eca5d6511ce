"""Lookup of the answer to a question in a zone (RFC 1034, section 4.3.2), without I/O.

Wildcards and delegations are not supported, because zones of endpoints don't need them (see the design page).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import dns.flags
import dns.message
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from kelpcourse.zones.endpoint_extraction import AAAA, SRV, A
from kelpcourse.zones.errors import MissingSoaError
from kelpcourse.zones.names import canonical, to_name
from kelpcourse.zones.records import CNAME, NS, SOA, RecordSet, parse_record_data, parse_soa
from kelpcourse.zones.versions import Zone

ANY = int(dns.rdatatype.ANY)


@dataclass
class Answer:
    """The response code and the sections of a response."""

    rcode: dns.rcode.Rcode = dns.rcode.NOERROR
    answer: list[dns.rrset.RRset] = field(default_factory=list)
    authority: list[dns.rrset.RRset] = field(default_factory=list)
    additional: list[dns.rrset.RRset] = field(default_factory=list)


def build_rrset(owner: str, type_: int, ttl: int, data: Iterable[bytes]) -> dns.rrset.RRset:
    """Builds a dnspython RRset from record data in wire format."""
    rrset = dns.rrset.RRset(to_name(owner), dns.rdataclass.IN, dns.rdatatype.RdataType.make(type_))
    rrset.update_ttl(ttl)
    for record_data in data:
        rrset.add(parse_record_data(type_, record_data))
    return rrset


def soa_rrset(zone: Zone) -> dns.rrset.RRset:
    """Returns the SOA record of a zone with TTL 0, as sent in IXFR queries and NOTIFY messages."""
    return build_rrset(zone.origin, SOA, 0, (zone.soa_data,))


def look_up(zone: Zone, owner: str, type_: int) -> Answer:
    """Returns the answer to a question; a CNAME record is followed once, within the zone."""
    answer = Answer()
    types = list(zone.types(owner)) if type_ == ANY else [type_]
    for queried_type in types:
        record_set = zone.record_set(owner, queried_type)
        if record_set is not None:
            answer.answer.append(_rrset_of(owner, queried_type, record_set))
    if not answer.answer:
        _follow_alias(zone, owner, type_, answer)
    if not answer.answer:
        answer.rcode = dns.rcode.NOERROR if zone.name_exists(owner) else dns.rcode.NXDOMAIN
        answer.authority.append(_negative_soa(zone))
    _add_addresses(zone, answer)
    return answer


def fill_response(response: dns.message.Message, answer: Answer) -> None:
    """Copies an answer into a response and sets its AA flag."""
    response.set_rcode(answer.rcode)
    response.flags |= dns.flags.AA
    response.answer = answer.answer
    response.authority = answer.authority
    response.additional = answer.additional


def _rrset_of(owner: str, type_: int, record_set: RecordSet) -> dns.rrset.RRset:
    return build_rrset(owner, type_, record_set.ttl, record_set.data)


def _follow_alias(zone: Zone, owner: str, type_: int, answer: Answer) -> None:
    alias = zone.record_set(owner, CNAME)
    if alias is None:
        return
    answer.answer.append(_rrset_of(owner, CNAME, alias))
    alias_data: Any = parse_record_data(CNAME, next(iter(alias.data)))
    target = canonical(alias_data.target)
    record_set = zone.record_set(target, type_)
    if record_set is not None:
        answer.answer.append(_rrset_of(target, type_, record_set))


def _negative_soa(zone: Zone) -> dns.rrset.RRset:
    """Returns the SOA record set, whose TTL is the caching time of a negative answer (RFC 2308, section 3)."""
    record_set = zone.record_set(zone.origin, SOA)
    if record_set is None:
        raise MissingSoaError(zone.origin)
    rrset = _rrset_of(zone.origin, SOA, record_set)
    rrset.ttl = min(record_set.ttl, parse_soa(next(iter(record_set.data))).minimum)
    return rrset


def _add_addresses(zone: Zone, answer: Answer) -> None:
    """Adds the addresses of SRV and NS targets to the additional section, which truncation omits first (RFC 2782)."""
    included = {(str(rrset.name), int(rrset.rdtype)) for rrset in answer.answer}
    for rrset in answer.answer:
        if int(rrset.rdtype) not in (SRV, NS):
            continue
        for rdata in rrset:
            target = canonical(rdata.target)
            for address_type in (A, AAAA):
                record_set = zone.record_set(target, address_type)
                if record_set is not None and (target, address_type) not in included:
                    included.add((target, address_type))
                    answer.additional.append(_rrset_of(target, address_type, record_set))

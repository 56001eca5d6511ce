"""Answers to questions out of a zone (RFC 1034, section 4.3.2). Pure.

Neither wildcards nor delegations are followed: a zone of hosts needs none, and the design note says so.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import dns.rrset

from kelpcourse.zones.endpoint_extraction import AAAA, SRV, A
from kelpcourse.zones.names import canonical, to_name
from kelpcourse.zones.records import CNAME, NS, SOA, RecordSet, parse_record_data, parse_soa
from kelpcourse.zones.versions import Zone

ANY = int(dns.rdatatype.ANY)


@dataclass
class Answer:
    rcode: dns.rcode.Rcode = dns.rcode.NOERROR
    answer: list[dns.rrset.RRset] = field(default_factory=list)
    authority: list[dns.rrset.RRset] = field(default_factory=list)
    additional: list[dns.rrset.RRset] = field(default_factory=list)


def rrset(owner: str, type_: int, held: RecordSet) -> dns.rrset.RRset:
    return rrset_of(owner, type_, held.ttl, held.data)


def rrset_of(owner: str, type_: int, ttl: int, data: Iterable[bytes]) -> dns.rrset.RRset:
    made = dns.rrset.RRset(to_name(owner), dns.rdataclass.IN, dns.rdatatype.RdataType.make(type_))
    made.update_ttl(ttl)
    for each in data:
        made.add(parse_record_data(type_, each))
    return made


def look_up(zone: Zone, owner: str, type_: int) -> Answer:
    out = Answer()
    for held_type in list(zone.types(owner)) if type_ == ANY else [type_]:
        held = zone.record_set(owner, held_type)
        if held is not None:
            out.answer.append(rrset(owner, held_type, held))
    alias = zone.record_set(owner, CNAME)
    if not out.answer and alias is not None:
        out.answer.append(rrset(owner, CNAME, alias))
        target = canonical(parse_record_data(CNAME, next(iter(alias.data))).target)  # type: ignore[attr-defined]
        held = zone.record_set(target, type_)
        if held is not None:
            out.answer.append(rrset(target, type_, held))
    if not out.answer:
        out.rcode = dns.rcode.NOERROR if zone.name_exists(owner) else dns.rcode.NXDOMAIN
        out.authority.append(_negative(zone))
    _add_addresses(zone, out)
    return out


def _negative(zone: Zone) -> dns.rrset.RRset:
    """The SOA with the time for which "no" may be remembered (RFC 2308, section 3)."""
    held = zone.record_set(zone.origin, SOA)
    assert held is not None
    made = rrset(zone.origin, SOA, held)
    made.ttl = min(held.ttl, parse_soa(next(iter(held.data))).minimum)
    return made


def _add_addresses(zone: Zone, out: Answer) -> None:
    """Addresses of SRV and NS targets, which the asker wants next; they are cut first where room is short."""
    seen = {(str(r.name), int(r.rdtype)) for r in out.answer}
    for answered in out.answer:
        if int(answered.rdtype) not in (SRV, NS):
            continue
        for rdata in answered:
            target = canonical(rdata.target)
            for type_ in (A, AAAA):
                held = zone.record_set(target, type_)
                if held is not None and (target, type_) not in seen:
                    seen.add((target, type_))
                    out.additional.append(rrset(target, type_, held))


def fill(response: dns.message.Message, out: Answer) -> None:
    response.set_rcode(out.rcode)
    response.flags |= dns.flags.AA
    response.answer, response.authority, response.additional = (
        out.answer,
        out.authority,
        out.additional,
    )

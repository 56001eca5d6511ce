"""Dynamic updates: prerequisites and changes, all or nothing (RFC 2136, sections 3.2 to 3.4). Pure."""

from __future__ import annotations

from collections.abc import Iterable

import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import dns.update

from kelpcourse.zones.names import canonical, is_under
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.records import CNAME, NS, SOA, Record, canonical_data, parse_soa
from kelpcourse.zones.serials import SerialOrder, compare_serials

ANY = int(dns.rdatatype.ANY)
IN = dns.rdataclass.IN
META = range(128, 256)  # query types: nothing that a zone holds (RFC 6895, section 3.1)


class UpdateRejectedError(Exception):
    """The update is not made; `rcode` says why, as the RFC has it."""

    def __init__(self, rcode: dns.rcode.Rcode, why: str) -> None:
        super().__init__(why)
        self.rcode = rcode


def evaluate(message: dns.update.UpdateMessage, draft: PendingVersion) -> None:
    """Makes the update in the draft, or raises UpdateRejectedError and the draft is of no further use."""
    _require(message.prerequisite, draft)
    for rrset in message.update:
        _prescan(rrset, draft)
    for rrset in message.update:
        _change(rrset, draft)


def _key(rrset: dns.rrset.RRset, draft: PendingVersion) -> tuple[str, int]:
    owner = canonical(rrset.name)
    if not is_under(owner, draft.origin):
        raise UpdateRejectedError(dns.rcode.NOTZONE, f"{owner} is not in {draft.origin}")
    return owner, int(rrset.rdtype)


def _data(rrset: dns.rrset.RRset) -> list[bytes]:
    return [canonical_data(rdata) for rdata in rrset]


# Prerequisites (section 3.2)


def _require(rrsets: Iterable[dns.rrset.RRset], draft: PendingVersion) -> None:
    wanted: dict[tuple[str, int], set[bytes]] = {}
    for rrset in rrsets:
        owner, type_ = _key(rrset, draft)
        if rrset.ttl:
            raise UpdateRejectedError(dns.rcode.FORMERR, f"a prerequisite on {owner} with a TTL")
        match rrset.deleting:
            case dns.rdataclass.ANY | dns.rdataclass.NONE if len(rrset):
                raise UpdateRejectedError(dns.rcode.FORMERR, f"a prerequisite on {owner} with data")
            case dns.rdataclass.ANY:
                _require_there(owner, type_, draft)
            case dns.rdataclass.NONE:
                _require_absent(owner, type_, draft)
            case _:
                wanted.setdefault((owner, type_), set()).update(_data(rrset))
    for (owner, type_), data in wanted.items():
        if set(draft.record_data(owner, type_)) != data:
            raise UpdateRejectedError(dns.rcode.NXRRSET, f"{owner} holds other records")


def _require_there(owner: str, type_: int, draft: PendingVersion) -> None:
    if type_ == ANY:
        if not draft.types(owner):
            raise UpdateRejectedError(dns.rcode.NXDOMAIN, f"{owner} is not there")
    elif not draft.record_count(owner, type_):
        raise UpdateRejectedError(dns.rcode.NXRRSET, f"{owner} has no such records")


def _require_absent(owner: str, type_: int, draft: PendingVersion) -> None:
    if type_ == ANY:
        if draft.types(owner):
            raise UpdateRejectedError(dns.rcode.YXDOMAIN, f"{owner} is there")
    elif draft.record_count(owner, type_):
        raise UpdateRejectedError(dns.rcode.YXRRSET, f"{owner} has such records")


# Changes (section 3.4)


def _prescan(rrset: dns.rrset.RRset, draft: PendingVersion) -> None:
    owner, type_ = _key(rrset, draft)
    if rrset.deleting is None:
        wrong = type_ in META or not len(rrset)
    elif rrset.deleting == dns.rdataclass.ANY:
        wrong = bool(rrset.ttl) or len(rrset) > 0 or (type_ in META and type_ != ANY)
    else:
        wrong = rrset.deleting != dns.rdataclass.NONE or bool(rrset.ttl) or type_ in META
    if wrong:
        raise UpdateRejectedError(dns.rcode.FORMERR, f"no such change at {owner}")


def _change(rrset: dns.rrset.RRset, draft: PendingVersion) -> None:
    owner, type_ = _key(rrset, draft)
    apex = owner == draft.origin
    if rrset.deleting is None:
        for data in _data(rrset):
            _add(Record(owner, type_, rrset.ttl, data), draft)
    elif rrset.deleting == dns.rdataclass.ANY:
        for each in draft.types(owner) if type_ == ANY else (type_,):
            if not (apex and each in (SOA, NS)):
                draft.remove_set(owner, each)
    elif type_ != SOA:
        for data in _data(rrset):
            if not (apex and type_ == NS and draft.record_count(owner, NS) == 1):
                draft.remove(owner, type_, data)


def _add(record: Record, draft: PendingVersion) -> None:
    """Section 3.4.2.2: what a zone can't hold is passed over without a word."""
    if record.type == SOA:
        if record.owner == draft.origin and len(record.data) >= 22:
            offered, held = parse_soa(record.data).serial, parse_soa(draft.soa_data).serial
            if compare_serials(offered, held) is SerialOrder.AHEAD:
                draft.set_soa(record.data)
        return
    others = [type_ for type_ in draft.types(record.owner) if type_ != record.type]
    if record.type == CNAME:
        if others:
            return
        draft.remove_set(record.owner, CNAME)
    elif CNAME in others:
        return
    draft.add(record)

"""Evaluation of dynamic updates, whose changes are applied all or none (RFC 2136, sections 3.2 to 3.4), without I/O.

RFC 2136 encodes the kind of a prerequisite or change in the class of its RRset. In dnspython's messages that class is
the attribute `deleting`: ANY, NONE, or None for the class of the zone. The attribute `rdclass` is always the class of
the zone.
"""

from __future__ import annotations

from collections.abc import Iterable

import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import dns.update

from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import canonical, is_under
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.records import (
    CNAME,
    NS,
    SOA,
    SOA_NUMBERS_BYTES,
    Record,
    canonical_data,
    soa_serial,
)
from kelpcourse.zones.serials import SerialOrder, compare_serials

ANY = int(dns.rdatatype.ANY)
# Types that occur in queries only, not in records (RFC 6895, section 3.1).
META_TYPES = range(128, 256)
# Minimum size of SOA data in wire format: its numbers and two names, each of which is at least the root (one byte).
MIN_SOA_BYTES = SOA_NUMBERS_BYTES + 2


class UpdateRejectedError(ZoneError):
    """Raised when an update is malformed or a prerequisite of it does not hold.

    Attributes:
        rcode: Response code to send (RFC 2136, section 2.2).
        reason: Description of the problem.
    """

    def __init__(self, rcode: dns.rcode.Rcode, reason: str) -> None:
        """Initializes the error with the response code and the reason."""
        super().__init__(reason)
        self.rcode = rcode
        self.reason = reason


def evaluate(message: dns.update.UpdateMessage, pending: PendingVersion) -> None:
    """Applies an update to a pending version (RFC 2136, section 3).

    Raises:
        UpdateRejectedError: A prerequisite does not hold or the message is malformed. The pending version must not be
            used any more.
    """
    _check_prerequisites(message.prerequisite, pending)
    for rrset in message.update:
        _prescan(rrset, pending)
    for rrset in message.update:
        _apply_change(rrset, pending)


def _owner_and_type(rrset: dns.rrset.RRset, pending: PendingVersion) -> tuple[str, int]:
    owner = canonical(rrset.name)
    if not is_under(owner, pending.origin):
        raise UpdateRejectedError(dns.rcode.NOTZONE, f"{owner} is not in {pending.origin}")
    return owner, int(rrset.rdtype)


def _canonical_set(rrset: dns.rrset.RRset) -> list[bytes]:
    return [canonical_data(rdata) for rdata in rrset]


# Prerequisites (RFC 2136, section 3.2)


def _check_prerequisites(rrsets: Iterable[dns.rrset.RRset], pending: PendingVersion) -> None:
    expected_sets: dict[tuple[str, int], set[bytes]] = {}
    for rrset in rrsets:
        owner, type_ = _owner_and_type(rrset, pending)
        if rrset.ttl:
            reason = f"prerequisite for {owner} has a TTL"
            raise UpdateRejectedError(dns.rcode.FORMERR, reason)
        match rrset.deleting:
            case dns.rdataclass.ANY | dns.rdataclass.NONE if len(rrset):
                reason = f"prerequisite for {owner} has data"
                raise UpdateRejectedError(dns.rcode.FORMERR, reason)
            case dns.rdataclass.ANY:
                _require_present(owner, type_, pending)
            case dns.rdataclass.NONE:
                _require_absent(owner, type_, pending)
            case _:
                expected_data = expected_sets.setdefault((owner, type_), set())
                expected_data.update(_canonical_set(rrset))
    for (owner, type_), expected_data in expected_sets.items():
        if set(pending.record_data(owner, type_)) != expected_data:
            raise UpdateRejectedError(dns.rcode.NXRRSET, f"{owner} has other records")


def _require_present(owner: str, type_: int, pending: PendingVersion) -> None:
    if type_ == ANY:
        if not pending.types(owner):
            raise UpdateRejectedError(dns.rcode.NXDOMAIN, f"{owner} does not exist")
    elif not pending.record_count(owner, type_):
        raise UpdateRejectedError(dns.rcode.NXRRSET, f"{owner} has no records of the type")


def _require_absent(owner: str, type_: int, pending: PendingVersion) -> None:
    if type_ == ANY:
        if pending.types(owner):
            raise UpdateRejectedError(dns.rcode.YXDOMAIN, f"{owner} exists")
    elif pending.record_count(owner, type_):
        raise UpdateRejectedError(dns.rcode.YXRRSET, f"{owner} has records of the type")


# Changes (RFC 2136, section 3.4)


def _prescan(rrset: dns.rrset.RRset, pending: PendingVersion) -> None:
    """Raises an error for a malformed change, before any change is applied (RFC 2136, section 3.4.1.3)."""
    owner, type_ = _owner_and_type(rrset, pending)
    is_meta = type_ in META_TYPES
    if rrset.deleting is None:
        malformed = is_meta or not len(rrset)
    elif rrset.deleting == dns.rdataclass.ANY:
        malformed = bool(rrset.ttl) or len(rrset) > 0 or (is_meta and type_ != ANY)
    elif rrset.deleting == dns.rdataclass.NONE:
        malformed = bool(rrset.ttl) or is_meta
    else:
        malformed = True
    if malformed:
        raise UpdateRejectedError(dns.rcode.FORMERR, f"change of {owner} is malformed")


def _apply_change(rrset: dns.rrset.RRset, pending: PendingVersion) -> None:
    owner, type_ = _owner_and_type(rrset, pending)
    if rrset.deleting is None:
        for data in _canonical_set(rrset):
            _add_record(Record(owner, type_, rrset.ttl, data), pending)
    elif rrset.deleting == dns.rdataclass.ANY:
        _delete_sets(owner, type_, pending)
    else:
        _delete_records(owner, type_, _canonical_set(rrset), pending)


def _add_record(record: Record, pending: PendingVersion) -> None:
    """Adds a record; one that the zone cannot contain, for example beside a CNAME, is ignored (section 3.4.2.2)."""
    if record.type == SOA:
        _replace_soa(record, pending)
        return
    other_types = [type_ for type_ in pending.types(record.owner) if type_ != record.type]
    if record.type == CNAME:
        if other_types:
            return
        pending.remove_set(record.owner, CNAME)
    elif CNAME in other_types:
        return
    pending.add(record)


def _replace_soa(record: Record, pending: PendingVersion) -> None:
    """Replaces the SOA record of the origin if the new one is long enough and its serial is ahead."""
    if record.owner != pending.origin or len(record.data) < MIN_SOA_BYTES:
        return
    serial_order = compare_serials(soa_serial(record.data), soa_serial(pending.soa_data))
    if serial_order is SerialOrder.AHEAD:
        pending.set_soa(record.data)


def _delete_sets(owner: str, type_: int, pending: PendingVersion) -> None:
    """Deletes one or all record sets of a name, except SOA and NS of the origin (RFC 2136, section 3.4.2.3)."""
    types = pending.types(owner) if type_ == ANY else [type_]
    for each in types:
        is_protected = owner == pending.origin and each in (SOA, NS)
        if not is_protected:
            pending.remove_set(owner, each)


def _delete_records(
    owner: str, type_: int, data_to_delete: Iterable[bytes], pending: PendingVersion
) -> None:
    """Deletes records, except the SOA and the last NS of the origin (RFC 2136, section 3.4.2.4)."""
    if type_ == SOA:
        return
    for data in data_to_delete:
        is_origin_ns = owner == pending.origin and type_ == NS
        if is_origin_ns and pending.record_count(owner, NS) == 1:
            continue
        pending.remove(owner, type_, data)

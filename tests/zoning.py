"""Zones for tests: written as a person writes them, read by the same reader."""

from __future__ import annotations

from collections.abc import Iterable

import dns.rdata
import dns.rdataclass
import dns.rdatatype

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.records import Record, canonical_data
from kelpcourse.zones.versions import Zone, build_zone
from kelpcourse.zones.zone_state import ZoneState

ORIGIN = "games.example.org."
SERVICE = "_game._tcp"
LIMITS = Limits()


def rec(owner: str, type_: str, text: str, ttl: int = 60, origin: str = ORIGIN) -> Record:
    number = dns.rdatatype.from_text(type_)
    full = origin if owner == "@" else f"{owner}.{origin}"
    return Record(
        full.lower(),
        int(number),
        ttl,
        canonical_data(dns.rdata.from_text(dns.rdataclass.IN, number, text)),
    )


def soa(
    serial: int, origin: str = ORIGIN, refresh: int = 60, retry: int = 10, expire: int = 600
) -> Record:
    return rec(
        "@",
        "SOA",
        f"ns.{origin} staff.{origin} {serial} {refresh} {retry} {expire} 30",
        origin=origin,
    )


def host(
    name: str,
    room: str = "room-a",
    address: str = "10.0.0.1",
    port: int = 5000,
    txt: str = "",
    weight: int = 1,
    origin: str = ORIGIN,
) -> list[Record]:
    """The records of one host."""
    out = [
        rec(f"{SERVICE}.{room}", "SRV", f"0 {weight} {port} {name}.{origin}", origin=origin),
        rec(name, "A", address, origin=origin),
    ]
    return [*out, rec(name, "TXT", txt, origin=origin)] if txt else out


def zone(serial: int, *records: Iterable[Record], origin: str = ORIGIN) -> Zone:
    ns = rec("@", "NS", f"ns.{origin}", origin=origin)
    return build_zone(origin, [soa(serial, origin), ns, *(r for some in records for r in some)])


def rooms(count: int = 4) -> list[Record]:
    """Hosts s-0.. in room-a and room-b by turns."""
    return [
        r
        for k in range(count)
        for r in host(
            f"s-{k}", f"room-{'ab'[k % 2]}", f"127.0.0.{k + 10}", txt=f'"cell={k}" "kind=m2"'
        )
    ]


def held(start: Zone, limits: Limits = LIMITS) -> ZoneState:
    made = ZoneState(start.origin, SERVICE, limits)
    made.apply(made.difference_to(start, 0), 0)
    return made


def draft_of(
    start: Zone, add: Iterable[Record] = (), remove: Iterable[Record] = ()
) -> PendingVersion:
    draft = PendingVersion(start)
    for record in remove:
        assert draft.remove(record.owner, record.type, record.data)
    for record in add:
        draft.add(record)
    draft.advance_serial()
    return draft


def member(
    name: str,
    room: str = "room-a",
    phase: EndpointStatus = EndpointStatus.READY,
    started: float = 0.0,
    address: str = "10.0.0.1",
    kind: str = "default",
) -> ListedEndpoint:
    return ListedEndpoint(name, (address, 5000), room, kind, 0, phase, 1.0, started)

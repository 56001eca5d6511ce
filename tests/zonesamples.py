"""Sample zones for tests, whose records are parsed from their text format."""

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


def record(owner: str, type_: str, text: str, ttl: int = 60, origin: str = ORIGIN) -> Record:
    """Creates a record from text; the owner is relative to the origin, and `@` is the origin itself."""
    number = dns.rdatatype.from_text(type_)
    absolute = origin if owner == "@" else f"{owner}.{origin}"
    rdata = dns.rdata.from_text(dns.rdataclass.IN, number, text)
    return Record(absolute.lower(), int(number), ttl, canonical_data(rdata))


def soa_record(
    serial: int, origin: str = ORIGIN, refresh: int = 60, retry: int = 10, expire: int = 600
) -> Record:
    """Creates the SOA record of a zone; times are in seconds."""
    text = f"ns.{origin} staff.{origin} {serial} {refresh} {retry} {expire} 30"
    return record("@", "SOA", text, origin=origin)


def endpoint_records(
    name: str,
    zone: str = "room-a",
    address: str = "10.0.0.1",
    port: int = 5000,
    txt: str = "",
    weight: int = 1,
    origin: str = ORIGIN,
) -> list[Record]:
    """Creates the records of one endpoint; `zone` is the zone of the endpoint, not the DNS zone."""
    srv_text = f"0 {weight} {port} {name}.{origin}"
    records = [
        record(f"{SERVICE}.{zone}", "SRV", srv_text, origin=origin),
        record(name, "A", address, origin=origin),
    ]
    if txt:
        records.append(record(name, "TXT", txt, origin=origin))
    return records


def zone_with(serial: int, *records: Iterable[Record], origin: str = ORIGIN) -> Zone:
    """Creates a zone with an SOA record, an NS record and the given records."""
    ns_record = record("@", "NS", f"ns.{origin}", origin=origin)
    others = [each for group in records for each in group]
    return build_zone(origin, [soa_record(serial, origin), ns_record, *others])


def sample_endpoints(count: int = 4) -> list[Record]:
    """Creates the records of `count` endpoints from s-0 on, alternately in room-a and room-b."""
    records = []
    for number in range(count):
        records += endpoint_records(
            f"s-{number}",
            zone=f"room-{'ab'[number % 2]}",
            address=f"127.0.0.{number + 10}",
            txt=f'"cell={number}" "kind=m2"',
        )
    return records


def zone_state_of(zone: Zone, limits: Limits = LIMITS) -> ZoneState:
    """Creates the state of a zone whose current version is `zone`."""
    state = ZoneState(zone.origin, SERVICE, limits)
    state.apply(state.difference_to(zone, 0), 0)
    return state


def pending_version_of(
    zone: Zone, add: Iterable[Record] = (), remove: Iterable[Record] = ()
) -> PendingVersion:
    """Creates a pending version of a zone with these changes and the next serial."""
    pending = PendingVersion(zone)
    for each in remove:
        assert pending.remove(each.owner, each.type, each.data)
    for each in add:
        pending.add(each)
    pending.advance_serial()
    return pending


def listed_endpoint(
    name: str,
    zone: str = "room-a",
    status: EndpointStatus = EndpointStatus.READY,
    started_ms: float = 0.0,
    address: str = "10.0.0.1",
    kind: str = "default",
) -> ListedEndpoint:
    """Creates an entry of the endpoint list."""
    return ListedEndpoint(name, (address, 5000), zone, kind, 0, status, 1.0, started_ms)

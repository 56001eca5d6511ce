"""Endpoint extraction: converts the SRV, A, AAAA and TXT records of a zone to endpoints.

    _game._tcp.room-a.games.example.org.  SRV  0 1 5000 s-1.games.example.org.
    s-1.games.example.org.                A    10.1.0.18
    s-1.games.example.org.                TXT  "kind=m2" "cell=3" "phase=ready" "started=1767225600000"

SRV records are interpreted as in RFC 2782: the weight of the record is the weight of the endpoint (0 if unknown), and
the label between the service and the origin is the endpoint's zone in the sense of the policy. If SRV records with
different priorities have the same target, the one with the lowest priority value is used. A record that cannot be used
is reported as a problem and ignored. This module does no input or output.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

import dns.name
import dns.rdatatype

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.zones.endpoint_attributes import RecordProblem, read_attributes
from kelpcourse.zones.errors import InvalidAnnouncementError
from kelpcourse.zones.names import canonical, is_under, labels, read_name, relative
from kelpcourse.zones.records import Record
from kelpcourse.zones.versions import Difference, Zone

SRV = int(dns.rdatatype.SRV)
A = int(dns.rdatatype.A)
AAAA = int(dns.rdatatype.AAAA)
TXT = int(dns.rdatatype.TXT)
SRV_HEADER = struct.Struct(">HHH")  # priority, weight and port
ROOT = "."
PLAIN_CHARACTERS = frozenset(b"abcdefghijklmnopqrstuvwxyz0123456789-_.")
T = TypeVar("T")


@dataclass(frozen=True, order=True)
class SrvAnnouncement:
    """The data of an SRV record about its target. Announcements are ordered by the fields in this order.

    Attributes:
        priority: Priority of the record; the lowest value is preferred.
        zone: Zone of the endpoint in the sense of the policy.
        port: Port of the endpoint.
        weight: Weight of the endpoint; 0 if unknown.
        owner: Owner of the record.
    """

    priority: int
    zone: str
    port: int
    weight: int
    owner: str


class EndpointExtractor:
    """Tracks the endpoints of one zone.

    The cost of an update depends on the number of names that a difference changes, not on the size of the zone.
    """

    def __init__(self, origin: str, service: str) -> None:
        """Initializes an extractor without endpoints.

        Args:
            origin: Canonical name of the zone's origin.
            service: Label prefix of the owners of the SRV records that announce endpoints.

        Raises:
            InvalidNameError: `service` is not a domain name.
        """
        self.origin = origin
        self._service = labels(read_name(service, "service"))
        # Announcements by target.
        self._announcements: dict[str, set[SrvAnnouncement]] = {}
        # Problems of SRV records by owner.
        self._unusable_srv: dict[str, set[RecordProblem]] = {}
        # Endpoints by name relative to the origin.
        self.endpoints: dict[str, ListedEndpoint] = {}
        # Endpoints that the last difference changed, with their values before it.
        self.previous: dict[str, ListedEndpoint | None] = {}
        self._target_problems: dict[str, tuple[RecordProblem, ...]] = {}

    def problems(self) -> list[RecordProblem]:
        """Returns the problems of all records that cannot be used, sorted by owner."""
        by_target = [problem for each in self._target_problems.values() for problem in each]
        by_owner = [problem for each in self._unusable_srv.values() for problem in each]
        return sorted(by_target + by_owner)

    def start(self, zone: Zone) -> dict[str, ListedEndpoint | None]:
        """Reads a whole zone and returns its endpoints by name."""
        return self._apply((), zone.records(), zone)

    def apply(self, difference: Difference, zone: Zone) -> dict[str, ListedEndpoint | None]:
        """Reads a difference.

        Args:
            difference: Difference between two versions.
            zone: The new version.

        Returns:
            The endpoints that changed, by name; None for an endpoint that was removed.
        """
        return self._apply(difference.removed, difference.added, zone)

    def _apply(
        self, removed: Iterable[Record], added: Iterable[Record], zone: Zone
    ) -> dict[str, ListedEndpoint | None]:
        touched: dict[str, None] = {}  # targets of changed records, in a stable order
        for record in removed:
            self._read_record(record, touched, present=False)
        for record in added:
            self._read_record(record, touched, present=True)
        changes: dict[str, ListedEndpoint | None] = {}
        self.previous = {}
        for target in touched:
            self._update_target(target, zone, changes)
        return changes

    def _read_record(self, record: Record, touched: dict[str, None], *, present: bool) -> None:
        if record.type in (A, AAAA, TXT):
            touched[record.owner] = None
        elif record.type == SRV and self._is_service(record.owner):
            self._read_srv_record(record, touched, present=present)

    def _is_service(self, owner: str) -> bool:
        return labels(owner)[: len(self._service)] == self._service

    def _read_srv_record(self, record: Record, touched: dict[str, None], *, present: bool) -> None:
        try:
            target, announcement = self._parse_srv(record)
        except InvalidAnnouncementError as error:
            problem = RecordProblem(record.owner, error.field, error.reason)
            _set_membership(self._unusable_srv, record.owner, problem, present=present)
            return
        _set_membership(self._announcements, target, announcement, present=present)
        touched[target] = None

    def _parse_srv(self, record: Record) -> tuple[str, SrvAnnouncement]:
        """Returns the target of an SRV record and the announcement in it (RFC 2782)."""
        owner_labels = labels(record.owner)
        zone_end = len(owner_labels) - len(labels(self.origin))
        zone_labels = owner_labels[len(self._service) : zone_end]
        if len(zone_labels) != 1:
            raise InvalidAnnouncementError(
                "owner", f"is not of the form SERVICE.ENDPOINT-ZONE.{self.origin}"
            )
        priority, weight, port = SRV_HEADER.unpack_from(record.data)
        target = _parse_name(record.data, SRV_HEADER.size)
        if target == ROOT:
            reason = "target is the root, so the service is not available (RFC 2782)"
            raise InvalidAnnouncementError("target", reason)
        if target == self.origin or not is_under(target, self.origin):
            reason = f"target {target} is not below {self.origin}"
            raise InvalidAnnouncementError("target", reason)
        return target, SrvAnnouncement(priority, zone_labels[0], port, weight, record.owner)

    def _update_target(
        self, target: str, zone: Zone, changes: dict[str, ListedEndpoint | None]
    ) -> None:
        name = relative(target, self.origin)
        problems: list[RecordProblem] = []
        endpoint = self._extract(name, target, zone, problems)
        if problems:
            self._target_problems[target] = tuple(problems)
        else:
            self._target_problems.pop(target, None)
        previous = self.endpoints.get(name)
        if endpoint != previous:
            changes[name] = endpoint
            self.previous[name] = previous
        if endpoint is None:
            self.endpoints.pop(name, None)
        else:
            self.endpoints[name] = endpoint

    def _extract(
        self, name: str, target: str, zone: Zone, problems: list[RecordProblem]
    ) -> ListedEndpoint | None:
        announcement = self._choose_announcement(target, problems)
        if announcement is None:
            return None
        if not announcement.port:
            problems.append(RecordProblem(announcement.owner, "port", f"is 0 for {target}"))
            return None
        address = _choose_address(target, zone, problems)
        if address is None:
            text = f"no A or AAAA record, although it is the target of {announcement.owner}"
            problems.append(RecordProblem(target, "address", text))
            return None
        txt_records = zone.record_set(target, TXT)
        txt_data = txt_records.data if txt_records is not None else ()
        attributes = read_attributes(target, txt_data, problems)
        return ListedEndpoint(
            name=name,
            address=(address, announcement.port),
            zone=announcement.zone,
            kind=attributes.kind,
            cell=attributes.cell,
            status=attributes.status,
            weight=float(announcement.weight),
            started_ms=float(attributes.started_ms),
        )

    def _choose_announcement(
        self, target: str, problems: list[RecordProblem]
    ) -> SrvAnnouncement | None:
        """Returns the first announcement by priority, zone and port, so that every controller picks the same one."""
        announcements = sorted(self._announcements.get(target, ()))
        if not announcements:  # an address without an SRV record does not announce an endpoint
            return None
        chosen = announcements[0]
        for other in announcements[1:]:
            if other.priority == chosen.priority:
                text = (
                    f"{target} is also the target of {chosen.owner}, "
                    f"which is used (port {chosen.port})"
                )
                problems.append(RecordProblem(other.owner, "target", text))
        return chosen


def _choose_address(target: str, zone: Zone, problems: list[RecordProblem]) -> str | None:
    """Returns the lowest A address, or else the lowest AAAA address, so that every controller picks the same one."""
    for type_ in (A, AAAA):
        addresses = zone.record_set(target, type_)
        if addresses is None:
            continue
        if len(addresses.data) > 1:
            text = f"{len(addresses.data)} records of one type: the lowest address is used"
            problems.append(RecordProblem(target, "address", text))
        return str(ipaddress.ip_address(min(addresses.data)))
    return None


def _set_membership(sets: dict[str, set[T]], key: str, item: T, *, present: bool) -> None:
    """Adds an item to the set of a key, or removes it; a set that becomes empty is deleted."""
    members = sets.setdefault(key, set())
    if present:
        members.add(item)
    else:
        members.discard(item)
    if not members:
        del sets[key]


def _parse_name(data: bytes, offset: int) -> str:
    """Returns the canonical form of a name in wire form (RFC 1035, section 3.1).

    Names without special characters are decoded without dnspython for speed, because this is done for each endpoint.
    """
    parts = []
    position = offset
    while size := data[position]:
        parts.append(data[position + 1 : position + 1 + size])
        position += 1 + size
    text = b".".join(parts)
    has_plain_characters = all(character in PLAIN_CHARACTERS for character in text)
    if text and has_plain_characters and text.count(b".") == len(parts) - 1:
        return text.decode() + ROOT
    return canonical(dns.name.from_wire(data, offset)[0])

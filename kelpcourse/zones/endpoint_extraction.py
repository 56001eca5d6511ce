"""Which hosts a zone announces: SRV names a host, A or AAAA its address, TXT the rest. Pure.

    _game._tcp.room-a.games.example.org.  SRV  0 1 5000 s-1.games.example.org.
    s-1.games.example.org.                A    10.1.0.18
    s-1.games.example.org.                TXT  "kind=m2" "cell=3" "phase=ready" "started=1767225600000"

SRV is read as in RFC 2782: its weight is the host's size (0: not told), the label between service and origin the
zone of hosts. Priorities other than the lowest at a target are passed over. TXT strings are name=value as in RFC
6763, section 6; a string that can't be used is told and counts as not there, and its neighbours count.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterable
from dataclasses import dataclass

import dns.name
import dns.rdatatype

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.content import Difference, Record, Zone
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import canonical, is_under, labels, read_name, relative

SRV = int(dns.rdatatype.SRV)
A = int(dns.rdatatype.A)
AAAA = int(dns.rdatatype.AAAA)
TXT = int(dns.rdatatype.TXT)
SRV_HEAD = struct.Struct(">HHH")
PHASES = {"ready": EndpointStatus.READY, "draining": EndpointStatus.DRAINING}
KIND_UNTOLD = "default"
COUNT_MOST = 1 << 53
PLAIN = frozenset(b"abcdefghijklmnopqrstuvwxyz0123456789-_.")


@dataclass(frozen=True, order=True)
class Problem:
    """A record that can't be used. `field` names the part of it that is wrong."""

    owner: str
    field: str
    text: str

    def __str__(self) -> str:
        return f"{self.owner}: {self.field}: {self.text}"


@dataclass(frozen=True, order=True)
class Place:
    """What an SRV record says of its target."""

    priority: int
    room: str  # the zone of hosts
    port: int
    weight: int
    owner: str


class EndpointExtractor:
    """The hosts of one zone, kept up with its differences at the cost of what they touch."""

    def __init__(self, origin: str, service: str) -> None:
        self.origin = origin
        self._service = labels(read_name(service, "service"))
        self._places: dict[str, set[Place]] = {}  # by target
        self._loose: dict[str, set[Problem]] = {}  # SRV owners with records that name no host
        self.hosts: dict[str, ListedEndpoint] = {}
        self.before: dict[str, ListedEndpoint | None] = {}  # what the hosts of the last change were
        self._problems: dict[str, tuple[Problem, ...]] = {}  # by target

    def problems(self) -> list[Problem]:
        found = [p for told in self._problems.values() for p in told]
        return sorted([*found, *(p for told in self._loose.values() for p in told)])

    def start(self, zone: Zone) -> dict[str, ListedEndpoint | None]:
        return self._take((), zone.records(), zone)

    def take(self, difference: Difference, zone: Zone) -> dict[str, ListedEndpoint | None]:
        """What changes for hosts, by id; None: gone. `zone` is the version after the difference."""
        return self._take(difference.removed, difference.added, zone)

    def _take(
        self, removed: Iterable[Record], added: Iterable[Record], zone: Zone
    ) -> dict[str, ListedEndpoint | None]:
        touched: dict[str, None] = {}
        for record in removed:
            self._touch(record, touched, False)
        for record in added:
            self._touch(record, touched, True)
        out: dict[str, ListedEndpoint | None] = {}
        self.before = {}
        for target in touched:
            self._weigh(target, zone, out)
        return out

    def _touch(self, record: Record, touched: dict[str, None], there: bool) -> None:
        if record.type in (A, AAAA, TXT):
            touched[record.owner] = None
        elif record.type == SRV and self._is_service(record.owner):
            self._touch_srv(record, touched, there)

    def _is_service(self, owner: str) -> bool:
        return labels(owner)[: len(self._service)] == self._service

    def _touch_srv(self, record: Record, touched: dict[str, None], there: bool) -> None:
        try:
            target, place = self._read_srv(record)
        except ZoneError as error:
            problem = Problem(
                record.owner, "target" if "target" in str(error) else "owner", str(error)
            )
            told = self._loose.setdefault(record.owner, set())
            (told.add if there else told.discard)(problem)
            if not told:
                del self._loose[record.owner]
            return
        places = self._places.setdefault(target, set())
        (places.add if there else places.discard)(place)
        if not places:
            del self._places[target]
        touched[target] = None

    def _read_srv(self, record: Record) -> tuple[str, Place]:
        parts = labels(record.owner)
        room = parts[len(self._service) : len(parts) - len(labels(self.origin))]
        if len(room) != 1:
            raise ZoneError(f"not SERVICE.ZONE-OF-HOSTS.{self.origin}")
        priority, weight, port = SRV_HEAD.unpack_from(record.data)
        target = _name_in(record.data, SRV_HEAD.size)
        if target == ".":
            raise ZoneError("target is the root: the service is not there (RFC 2782)")
        if target == self.origin or not is_under(target, self.origin):
            raise ZoneError(f"target {target} is not below {self.origin}")
        return target, Place(priority, room[0], port, weight, record.owner)

    def _weigh(self, target: str, zone: Zone, out: dict[str, ListedEndpoint | None]) -> None:
        """What stands of one target now."""
        name = relative(target, self.origin)
        problems: list[Problem] = []
        member = self._member(name, target, zone, problems)
        if problems:
            self._problems[target] = tuple(problems)
        else:
            self._problems.pop(target, None)
        if member != self.hosts.get(name):
            out[name] = member
            self.before[name] = self.hosts.get(name)
        if member is None:
            self.hosts.pop(name, None)
        else:
            self.hosts[name] = member

    def _member(
        self, name: str, target: str, zone: Zone, problems: list[Problem]
    ) -> ListedEndpoint | None:
        places = sorted(self._places.get(target, ()))
        if not places:  # announced by nobody: an address alone is no host
            return None
        place = places[0]
        for other in places[1:]:
            if other.priority == place.priority:
                problems.append(
                    Problem(
                        other.owner,
                        "target",
                        f"{target} is named by {place.owner} too, which counts (port {place.port})",
                    )
                )
        if not place.port:
            problems.append(Problem(place.owner, "port", f"0 for {target}"))
            return None
        address = self._address(target, zone, problems)
        if address is None:
            problems.append(
                Problem(target, "address", f"no A or AAAA, though {place.owner} names it")
            )
            return None
        words = self._words(target, zone, problems)
        return ListedEndpoint(
            name,
            (address, place.port),
            place.room,
            words.kind,
            words.cell,
            words.phase,
            float(place.weight),
            float(words.started_ms),
        )

    def _address(self, target: str, zone: Zone, problems: list[Problem]) -> str | None:
        """The lowest A, or else the lowest AAAA: every director picks the same."""
        for type_ in (A, AAAA):
            held = zone.get(target, type_)
            if held is not None:
                if len(held.data) > 1:
                    problems.append(
                        Problem(
                            target, "address", f"{len(held.data)} of one type: the lowest counts"
                        )
                    )
                return str(ipaddress.ip_address(min(held.data)))
        return None

    def _words(self, target: str, zone: Zone, problems: list[Problem]) -> Words:
        words = Words()
        held = zone.get(target, TXT)
        told: dict[str, str] = {}
        for data in sorted(held.data) if held is not None else ():
            for string in _strings(data):
                _read_word(string, target, words, told, problems)
        return words


@dataclass
class Words:
    """What the TXT records of a target tell."""

    kind: str = KIND_UNTOLD
    cell: int = 0
    phase: EndpointStatus = EndpointStatus.READY
    started_ms: int = 0  # Unix time; 0: long ago


def _read_word(
    string: bytes, target: str, words: Words, told: dict[str, str], problems: list[Problem]
) -> None:
    text = string.decode("utf-8", "replace")
    name, equals, value = text.partition("=")
    name = name.lower()
    if not equals or name not in ("kind", "cell", "phase", "started"):
        return  # TXT is used for other things, too
    if told.setdefault(name, value) != value:
        problems.append(
            Problem(target, name, f"told twice: {told[name]!r:.40} counts, not {value!r:.40}")
        )
        return
    if name == "kind" and value and len(value) <= 256 and value.isprintable() and "�" not in value:
        words.kind = value
    elif name == "phase" and value in PHASES:
        words.phase = PHASES[value]
    elif (
        name in ("cell", "started")
        and value.isascii()
        and value.isdigit()
        and int(value[:20]) < COUNT_MOST
    ):
        if name == "cell":
            words.cell = int(value)
        else:
            words.started_ms = int(value)
    else:
        problems.append(Problem(target, name, f"has no such value: {value!r:.60}"))


def _strings(data: bytes) -> Iterable[bytes]:
    at = 0
    while at < len(data):
        size = data[at]
        yield data[at + 1 : at + 1 + size]
        at += 1 + size


def _name_in(data: bytes, at: int) -> str:
    """A name in canonical form; plain letters are read here, as this is done for every host."""
    parts, place = [], at
    while size := data[place]:
        parts.append(data[place + 1 : place + 1 + size])
        place += 1 + size
    text = b".".join(parts)
    if text and all(c in PLAIN for c in text) and text.count(b".") == len(parts) - 1:
        return text.decode() + "."
    return canonical(dns.name.from_wire(data, at)[0])

"""What a key may change and how much an update may take away. Pure.

A part is taken of the hosts that are ready: an update that drains or removes more of the zone, or of a class's
hosts, than `most` is refused before anything of it stands. With `within`, hosts lost to earlier updates of that time
count too, so that many small updates do not add up to what one may not do.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import dns.rdatatype

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.content import SOA, Difference, type_name
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import is_under, labels, read_name


@dataclass(frozen=True)
class EndpointClass:
    """A request class and the hosts that may serve it."""

    name: str
    zones: frozenset[str]  # empty: all
    kinds: frozenset[str]

    def takes(self, member: ListedEndpoint) -> bool:
        return (not self.zones or member.zone in self.zones) and (
            not self.kinds or member.kind in self.kinds
        )


@dataclass(frozen=True)
class UpdateGrant:
    """One key's right to update one zone."""

    key: str
    names: tuple[
        str, ...
    ] = ()  # absolute; empty: all. A first label `*` stands for all names below
    types: tuple[int, ...] = ()  # empty: all
    most: float = (
        1.0  # part of the ready hosts, of the zone and of each class, that may be taken away
    )
    within_us: int = 0  # counting what was lost in this time, too

    def allows_record(self, owner: str, type_: int) -> bool:
        if type_ == SOA:  # the serial moves with every change
            return True
        return (not self.types or type_ in self.types) and (
            not self.names or any(matches(pattern, owner) for pattern in self.names)
        )


def matches(pattern: str, owner: str) -> bool:
    if pattern.startswith("*."):
        return len(labels(owner)) >= len(labels(pattern)) and is_under(owner, pattern[2:])
    return pattern == owner


def read_grant(
    key: str, origin: str, names: Iterable[str], types: Iterable[str], most: float, within_us: int
) -> UpdateGrant:
    """Names are relative to the origin unless they end in a dot. Raises ZoneError."""
    absolute = []
    for name in names:
        full = name if name.endswith(".") else f"{name}.{origin}" if name != "@" else origin
        key_name = read_name(full, "name")
        if not is_under(key_name, origin):
            raise ZoneError(f"name {name!r} is not in {origin}")
        absolute.append(key_name)
    numbers = []
    for type_ in types:
        try:
            numbers.append(int(dns.rdatatype.from_text(type_)))
        except (dns.rdatatype.UnknownRdatatype, ValueError):
            raise ZoneError(f"type {type_!r} is not one of records") from None
    return UpdateGrant(key, tuple(absolute), tuple(numbers), most, within_us)


class RemovalHistory:
    """Hosts of a zone that were ready lately, to judge updates that take them away."""

    def __init__(self, remember_us: int) -> None:
        self._remember_us = remember_us
        self._lost: dict[
            str, tuple[int, ListedEndpoint]
        ] = {}  # when, and as what, a host stopped being ready

    def note(
        self,
        before: Mapping[str, ListedEndpoint | None],
        changes: Mapping[str, ListedEndpoint | None],
        now_us: int,
    ) -> None:
        """Hosts have changed so, from what they were before."""
        for name, member in changes.items():
            was = before.get(name)
            if is_ready(member):
                self._lost.pop(name, None)
            elif was is not None and is_ready(was):
                self._lost[name] = now_us, was
        while self._lost:
            name, (when, _) = next(iter(self._lost.items()))
            if when >= now_us - self._remember_us:
                break
            del self._lost[name]

    def since(self, then_us: int) -> dict[str, ListedEndpoint]:
        return {name: member for name, (when, member) in self._lost.items() if when >= then_us}


def is_ready(member: ListedEndpoint | None) -> bool:
    return member is not None and member.status is EndpointStatus.READY


def rejection_reason(
    grant: UpdateGrant,
    difference: Difference,
    hosts: Mapping[str, ListedEndpoint],
    changes: Mapping[str, ListedEndpoint | None],
    losses: RemovalHistory,
    classes: Sequence[EndpointClass],
    now_us: int,
) -> str:
    """Why the key may not make this change; empty: it may."""
    for record in (*difference.removed, *difference.added):
        if not grant.allows_record(record.owner, record.type):
            return f"key {grant.key} may not change {type_name(record.type)} at {record.owner}"
    if grant.most >= 1:
        return ""
    taken = {
        name: hosts[name]
        for name, member in changes.items()
        if name in hosts and is_ready(hosts[name]) and not is_ready(member)
    }
    if not taken:  # putting hosts back is never too much
        return ""
    earlier = losses.since(now_us - grant.within_us) if grant.within_us else {}
    lost = {**earlier, **taken}
    for name, member in changes.items():
        if is_ready(member):
            lost.pop(name, None)
    ready = {**earlier, **{name: m for name, m in hosts.items() if is_ready(m)}}
    everyone = EndpointClass("", frozenset(), frozenset())
    for cls in (everyone, *classes):
        of = sum(1 for member in ready.values() if cls.takes(member))
        gone = sum(1 for member in lost.values() if cls.takes(member))
        if gone > grant.most * of:
            what = f"class {cls.name}" if cls.name else "the zone"
            return f"takes away {gone} of {of} ready hosts of {what}, at most {grant.most:g} of them are allowed"
    return ""


def classes_without_endpoints(
    classes: Sequence[EndpointClass], hosts: Iterable[ListedEndpoint]
) -> list[str]:
    """Classes that no ready host is left for."""
    left = [member for member in hosts if is_ready(member)]
    return [cls.name for cls in classes if not any(cls.takes(member) for member in left)]

"""The operators' settings for a shared fleet: a KDL file, checked and resolved.

shared {
    me "n1"
    state "state-n1"
    groups 24
    member "n1" address="10.0.0.1:7001"
    member "n2" address="10.0.0.2:7001"
    tls authority="ca.pem" certificate="n1.pem" key="n1.key"
}
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar

import msgspec

from kelpcourse.kdl import BadSettings, Block, Mistake, load
from kelpcourse.shared.controller import Shape
from kelpcourse.shared.keys import BadKeys, context, days_left
from kelpcourse.shared.leases import Terms
from kelpcourse.shared.peers import Tls
from kelpcourse.shared.raft import Timing
from kelpcourse.wire.errors import InvalidMessageError
from kelpcourse.wire.stream import Address
from kelpcourse.zones.settings import read_address

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9._-]+$")]
Ms = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
WARN_DAYS = 30  # before a certificate ends


class MemberBlock(Block, kw_only=True, frozen=True):
    args: ClassVar = ("name",)
    name: Name
    address: str


class TlsBlock(Block, kw_only=True, frozen=True):
    authority: str
    certificate: str
    key: str


class SharedBlock(Block, kw_only=True, frozen=True):
    me: Name
    state: str
    groups: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 24
    begins: bool = False
    member: tuple[MemberBlock, ...]
    tls: TlsBlock | None = None
    beat_ms: Ms = 100
    election_ms: Ms = 600
    lease_ms: Ms = 1_200
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.3)] = 0.05

    def problems(self) -> Iterator[tuple[str, str]]:
        names = [member.name for member in self.member]
        for name in sorted({n for n in names if names.count(n) > 1}):
            yield "member", f"{name} stands twice"
        if self.me not in names:
            yield "me", f"{self.me} is not among the members"
        if self.election_ms < 3 * self.beat_ms:
            yield (
                "election-ms",
                f"{self.election_ms} is under three beats of {self.beat_ms}: one lost beat unseats",
            )
        if self.lease_ms < self.election_ms:
            yield (
                "lease-ms",
                f"{self.lease_ms} is under an election of {self.election_ms}: leases run out by each",
            )


class File(Block, kw_only=True, frozen=True):
    shared: SharedBlock


@dataclass(frozen=True)
class SharedSettings:
    me: str
    state: Path
    begins: bool
    addresses: dict[str, Address]  # by name, ours too
    shape: Shape
    tls: Tls | None
    days_left: float | None  # of our certificate

    @property
    def others(self) -> dict[str, Address]:
        return {name: at for name, at in self.addresses.items() if name != self.me}


def read_settings(path: Path) -> SharedSettings:
    """Raises BadSettings with every mistake of the file and of the keys that it names."""
    made, mistakes = load(path, File)
    if made is None:
        raise BadSettings(sorted(mistakes, key=lambda m: m.line))
    block = made.shared
    addresses = {}
    for member in block.member:
        try:
            addresses[member.name] = read_address(member.address, "address")
        except InvalidMessageError:
            mistakes.append(
                Mistake(
                    str(path),
                    member.line,
                    "shared.member.address",
                    f"is not host:port: {member.address!r:.60}",
                )
            )
    tls, left = None, None
    if block.tls is not None:
        try:
            tls, left = _tls(path.parent, block.tls)
        except BadKeys as error:
            mistakes.append(Mistake(str(path), block.tls.line, "shared.tls", str(error)))
    if mistakes:
        raise BadSettings(sorted(mistakes, key=lambda m: m.line))
    shape = Shape(
        block.groups,
        Timing(block.beat_ms * 1000, block.election_ms * 1000),
        Terms(block.lease_ms * 1000, block.drift, block.lease_ms * 250, block.lease_ms * 750),
    )
    return SharedSettings(
        block.me, path.parent / block.state, block.begins, addresses, shape, tls, left
    )


def _tls(folder: Path, block: TlsBlock) -> tuple[Tls, float]:
    files = folder / block.authority, folder / block.certificate, folder / block.key
    left = days_left(files[1])
    if left <= 0:
        raise BadKeys(f"{files[1]}: ended {-left:.0f} days ago")
    return Tls(context(True, *files), context(False, *files)), left

"""Settings of a controller in a shared fleet, read from a KDL file, validated and resolved.

    shared {
        me "n1"
        state "state-n1"
        groups 24
        member "n1" address="10.0.0.1:7001"
        member "n2" address="10.0.0.2:7001"
        tls authority="ca.pem" certificate="n1.pem" key="n1.key"
    }

The `...Block` classes use the names of the file, with underscores for hyphens. All other code uses `SharedSettings`:

| file                      | `SharedSettings`                                      |
| ------------------------- | ----------------------------------------------------- |
| `me`, `state`, `begins`   | `name`, `state_folder`, `bootstrap`                   |
| `member`                  | `addresses`                                           |
| `groups`                  | `options.group_count`                                 |
| `beat-ms`, `election-ms`  | `options.raft`: heartbeat and minimum election timeout|
| `lease-ms`, `drift`       | `options.lease`: duration and maximum clock drift     |
"""

from __future__ import annotations

import datetime
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, ClassVar

import msgspec

from kelpcourse.kdl import Block, SettingProblem, SettingsError, load
from kelpcourse.shared.certificates import days_until, expiry_of, tls_context
from kelpcourse.shared.controller_events import ControllerOptions
from kelpcourse.shared.errors import CertificateError
from kelpcourse.shared.lease_timing import LeaseTiming
from kelpcourse.shared.peer_identity import TlsContexts
from kelpcourse.shared.raft.options import RaftOptions
from kelpcourse.wire.errors import InvalidMessageError
from kelpcourse.wire.stream import Address
from kelpcourse.zones.settings import read_address

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9._-]+$")]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=600_000)]

EXPIRY_WARNING_DAYS = 30
US_PER_MS = 1_000
MIN_HEARTBEATS_PER_ELECTION = 3  # minimum ratio of `election-ms` to `beat-ms`
RENEWALS_PER_LEASE = 4  # more than one, so that a lease survives the loss of some renewals
MEMBER_TIMEOUT_US_PER_LEASE_MS = 750  # a member times out after three quarters of a lease


class MemberBlock(Block, kw_only=True, frozen=True):
    """The name and the address of a controller."""

    args: ClassVar = ("name",)
    name: Name
    address: str


class TlsBlock(Block, kw_only=True, frozen=True):
    """Paths of the certificates and the key, relative to the settings file."""

    authority: str
    certificate: str
    key: str


class SharedBlock(Block, kw_only=True, frozen=True):
    """The settings of a shared controller."""

    me: Name
    state: str
    groups: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 24
    begins: bool = False
    member: tuple[MemberBlock, ...]
    tls: TlsBlock | None = None
    beat_ms: Milliseconds = 100
    election_ms: Milliseconds = 600
    lease_ms: Milliseconds = 1_200
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.3)] = 0.05

    def problems(self) -> Iterator[tuple[str, str]]:
        """Yields the fields that contradict other fields, each with the reason."""
        names = [member.name for member in self.member]
        for name in sorted({name for name in names if names.count(name) > 1}):
            yield "member", f"{name} appears twice"
        if self.me not in names:
            yield "me", f"{self.me} is not among the members"
        if self.election_ms < MIN_HEARTBEATS_PER_ELECTION * self.beat_ms:
            yield (
                "election-ms",
                f"{self.election_ms} is less than three heartbeat intervals of {self.beat_ms}: "
                "one lost heartbeat would cause an election",
            )
        if self.lease_ms < self.election_ms:
            yield (
                "lease-ms",
                f"{self.lease_ms} is less than the election timeout of {self.election_ms}: "
                "leases would expire during each election",
            )


class File(Block, kw_only=True, frozen=True):
    """The settings file, which contains one block."""

    shared: SharedBlock


@dataclass(frozen=True)
class SharedSettings:
    """Resolved settings of a controller.

    Attributes:
        name: Name of this controller.
        state_folder: Folder of the persistent state.
        bootstrap: Whether an empty state folder starts a new cluster with this controller alone.
        addresses: Addresses of all controllers by name, including this one.
        options: Options of the step function.
        tls: TLS contexts for connections between controllers; None for connections without TLS.
        certificate_expiry: Time at which this controller's certificate expires; None without TLS.
    """

    name: str
    state_folder: Path
    bootstrap: bool
    addresses: dict[str, Address]
    options: ControllerOptions
    tls: TlsContexts | None
    certificate_expiry: datetime.datetime | None

    def days_until_certificate_expires(self, now: datetime.datetime) -> float | None:
        """Returns the days between a time and the expiry of the certificate; None without TLS."""
        if self.certificate_expiry is None:
            return None
        return days_until(self.certificate_expiry, now)

    @property
    def peer_addresses(self) -> dict[str, Address]:
        """Addresses of the other controllers by name."""
        return {name: address for name, address in self.addresses.items() if name != self.name}


def read_settings(path: Path) -> SharedSettings:
    """Reads a settings file and the certificates that it names.

    Raises:
        SettingsError: The file or a certificate is invalid; contains all problems that were found.
    """
    file, problems = load(path, File)
    if file is None:
        raise SettingsError(_sorted_by_line(problems))
    block = file.shared
    addresses = _read_addresses(path, block, problems)
    tls = None
    certificate_expiry = None
    if block.tls is not None:
        try:
            tls, certificate_expiry = _load_tls(path.parent, block.tls)
        except CertificateError as error:
            problems.append(SettingProblem(str(path), block.tls.line, "shared.tls", str(error)))
    if problems:
        raise SettingsError(_sorted_by_line(problems))
    return SharedSettings(
        name=block.me,
        state_folder=path.parent / block.state,
        bootstrap=block.begins,
        addresses=addresses,
        options=_controller_options(block),
        tls=tls,
        certificate_expiry=certificate_expiry,
    )


def _sorted_by_line(problems: list[SettingProblem]) -> list[SettingProblem]:
    return sorted(problems, key=lambda problem: problem.line)


def _read_addresses(
    path: Path, block: SharedBlock, problems: list[SettingProblem]
) -> dict[str, Address]:
    """Returns the addresses by name, and adds a problem for each address that can't be parsed."""
    addresses = {}
    for member in block.member:
        try:
            addresses[member.name] = read_address(member.address, "address")
        except InvalidMessageError:
            reason = f"is not host:port: {member.address!r:.60}"
            problems.append(SettingProblem(str(path), member.line, "shared.member.address", reason))
    return addresses


def _controller_options(block: SharedBlock) -> ControllerOptions:
    return ControllerOptions(
        group_count=block.groups,
        raft=RaftOptions(
            heartbeat_interval_us=block.beat_ms * US_PER_MS,
            min_election_timeout_us=block.election_ms * US_PER_MS,
        ),
        lease=LeaseTiming(
            duration_us=block.lease_ms * US_PER_MS,
            max_clock_drift=block.drift,
            renewal_interval_us=block.lease_ms * US_PER_MS // RENEWALS_PER_LEASE,
            member_timeout_us=block.lease_ms * MEMBER_TIMEOUT_US_PER_LEASE_MS,
        ),
    )


def _load_tls(folder: Path, block: TlsBlock) -> tuple[TlsContexts, datetime.datetime]:
    """Returns the TLS contexts and the time at which the certificate expires."""
    authority = folder / block.authority
    certificate = folder / block.certificate
    key = folder / block.key
    expiry = expiry_of(certificate)
    days_left = days_until(expiry, datetime.datetime.now(datetime.UTC))
    if days_left <= 0:
        raise CertificateError(f"{certificate}: expired {-days_left:.0f} days ago")
    server = tls_context(True, authority, certificate, key)
    client = tls_context(False, authority, certificate, key)
    return TlsContexts(server, client), expiry

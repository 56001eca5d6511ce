"""The zones block of a KDL settings file, with types and ranges.

Fields have the names of the settings, with an underscore in place of a hyphen. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, ClassVar, Literal

import msgspec

from kelpcourse.kdl import Block

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Algorithm = Literal["hmac-sha224", "hmac-sha256", "hmac-sha384", "hmac-sha512"]


class KeyBlock(Block, kw_only=True, frozen=True):
    """A TSIG key (RFC 8945) and the file that contains its secret."""

    args: ClassVar = ("name",)
    name: Name
    algorithm: Algorithm = "hmac-sha256"
    secret_file: Name


class PrimaryBlock(Block, kw_only=True, frozen=True):
    """A primary that a zone is transferred from."""

    args: ClassVar = ("address",)
    address: Name
    key: str = ""


class UpdateBlock(Block, kw_only=True, frozen=True):
    """The changes that one key may make to a zone.

    Attributes:
        key: Name of the key.
        most: Maximum fraction of the ready endpoints that updates may remove.
        within: Length of the window, in seconds, in which earlier removals count toward that fraction.
        names: Names whose records the key may change; empty for all names.
        types: Types of the records that the key may change; empty for all types.
    """

    key: Name
    most: Fraction = 1.0
    within: Seconds = 0.0
    names: tuple[Name, ...] = ()
    types: tuple[Name, ...] = ()


class TransferBlock(Block, kw_only=True, frozen=True):
    """A key that may transfer a zone."""

    key: Name


class NotifyBlock(Block, kw_only=True, frozen=True):
    """A secondary that is notified of changes."""

    args: ClassVar = ("address",)
    address: Name
    key: str = ""


class ZoneBlock(Block, kw_only=True, frozen=True):
    """One zone with its source and the clients that may use it."""

    args: ClassVar = ("origin",)
    origin: Name
    file: str = ""
    primary: tuple[PrimaryBlock, ...] = ()
    update: tuple[UpdateBlock, ...] = ()
    transfer: tuple[TransferBlock, ...] = ()
    notify: tuple[NotifyBlock, ...] = ()

    def problems(self) -> Iterator[tuple[str, str]]:
        """Yields the name and the problem of each field that is missing or contradicts another one."""
        if self.file and self.primary:
            yield "primary", "a zone cannot have both a file and a primary"
        if not (self.file or self.primary or self.update):
            yield "file", "a zone needs a file, a primary or a key that may update it"
        if self.update and self.primary:
            yield "update", "a zone with a primary cannot be updated: send updates to the primary"


class ZonesBlock(Block, kw_only=True, frozen=True):
    """All zones, and the settings that they share."""

    listen: str = ""
    state: str = ""
    service: Name
    key: tuple[KeyBlock, ...] = ()
    zone: tuple[ZoneBlock, ...]

    def problems(self) -> Iterator[tuple[str, str]]:
        """Yields the name of each missing field and the reason why it is required."""
        if not self.state and any(zone.update for zone in self.zone):
            yield "state", "is missing: updates must be stored before they are confirmed"
        if not self.listen and any(zone.update or zone.transfer for zone in self.zone):
            yield "listen", "is missing: updates and transfers are received at this address"


class File(Block, kw_only=True, frozen=True):
    """A settings file, which consists of one block."""

    zones: ZonesBlock

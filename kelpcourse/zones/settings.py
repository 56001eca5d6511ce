"""The operators' settings for zones: a KDL file, checked and resolved into what the parts are handed."""

from __future__ import annotations

import base64
import binascii
import stat
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, ClassVar, Literal

import dns.name
import dns.tsig
import msgspec

from kelpcourse.kdl import Block, SettingProblem, SettingsError, load
from kelpcourse.wire.errors import InvalidMessageError
from kelpcourse.wire.fields import parse_address
from kelpcourse.wire.stream import Address
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import is_under, labels, read_name
from kelpcourse.zones.update_policy import UpdateGrant, read_grant

Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Algorithm = Literal["hmac-sha224", "hmac-sha256", "hmac-sha384", "hmac-sha512"]
SECRET_LEAST = 16  # bytes; shorter ones are guessed


class KeyBlock(Block, kw_only=True, frozen=True):
    args: ClassVar = ("name",)
    name: Name
    algorithm: Algorithm = "hmac-sha256"
    secret_file: Name


class PrimaryBlock(Block, kw_only=True, frozen=True):
    args: ClassVar = ("address",)
    address: Name
    key: str = ""


class UpdateBlock(Block, kw_only=True, frozen=True):
    key: Name
    most: Part = 1.0
    within: Seconds = 0.0
    names: tuple[Name, ...] = ()
    types: tuple[Name, ...] = ()


class TransferBlock(Block, kw_only=True, frozen=True):
    key: Name


class NotifyBlock(Block, kw_only=True, frozen=True):
    args: ClassVar = ("address",)
    address: Name
    key: str = ""


class ZoneBlock(Block, kw_only=True, frozen=True):
    args: ClassVar = ("origin",)
    origin: Name
    file: str = ""
    primary: tuple[PrimaryBlock, ...] = ()
    update: tuple[UpdateBlock, ...] = ()
    transfer: tuple[TransferBlock, ...] = ()
    notify: tuple[NotifyBlock, ...] = ()

    def problems(self) -> Iterator[tuple[str, str]]:
        if self.file and self.primary:
            yield "primary", "a zone comes from its file or from a primary, not from both"
        if not (self.file or self.primary or self.update):
            yield "file", "a zone needs a file, a primary or a key that may update it"
        if self.update and self.primary:
            yield "update", "a zone that follows a primary takes no updates: send them there"


class ZonesBlock(Block, kw_only=True, frozen=True):
    listen: str = ""
    state: str = ""
    service: Name
    key: tuple[KeyBlock, ...] = ()
    zone: tuple[ZoneBlock, ...]

    def problems(self) -> Iterator[tuple[str, str]]:
        if not self.state and any(zone.update for zone in self.zone):
            yield "state", "is missing: an update is answered only once it is kept"
        if not self.listen and any(zone.update or zone.transfer for zone in self.zone):
            yield "listen", "is missing: updates and transfers come in there"


class File(Block, kw_only=True, frozen=True):
    zones: ZonesBlock


# Resolved


@dataclass(frozen=True)
class DnsPeer:
    address: Address
    key: dns.tsig.Key | None

    def __str__(self) -> str:
        return format_address(self.address)


@dataclass(frozen=True)
class ZoneSettings:
    origin: str
    file: Path | None
    primaries: tuple[DnsPeer, ...]
    grants: tuple[UpdateGrant, ...]
    transfer_keys: frozenset[str]
    notify: tuple[DnsPeer, ...]


@dataclass(frozen=True)
class ZonesSettings:
    path: Path
    listen: Address | None
    state: Path | None
    service: str
    keys: dict[str, dns.tsig.Key]
    zones: tuple[ZoneSettings, ...]


def format_address(at: Address) -> str:
    return f"[{at[0]}]:{at[1]}" if ":" in at[0] else f"{at[0]}:{at[1]}"


def read_address(text: str, field: str) -> Address:
    """host:port or [host]:port. Raises BadMessage."""
    host, port = parse_address(text, field)
    return (host[1:-1] if host.startswith("[") and host.endswith("]") else host), port


def read_settings(path: Path, listen: str = "", state: Path | None = None) -> ZonesSettings:
    """The file, with what a command line names in place of its own. Raises SettingsError with every mistake of the
    file and of the keys that it names."""
    block, mistakes = load(path, File)
    if block is None:
        raise SettingsError(sorted(mistakes, key=lambda m: m.line))
    settings = _Resolver(path, block.zones, mistakes).run()
    try:
        at = read_address(listen, "--listen") if listen else settings.listen
    except InvalidMessageError as error:
        raise SettingsError([SettingProblem(str(path), 0, "--listen", str(error))]) from None
    return replace(settings, listen=at, state=state or settings.state)


class _Resolver:
    def __init__(self, path: Path, block: ZonesBlock, mistakes: list[SettingProblem]) -> None:
        self._path = path
        self._block = block
        self._mistakes = mistakes
        self._keys: dict[str, dns.tsig.Key] = {}

    def run(self) -> ZonesSettings:
        block = self._block
        if not block.zone:
            self._note(block, "zones.zone", "there is none")
        self._name(block, block.service, "zones.service")
        listen = self._address(block, block.listen, "zones.listen") if block.listen else None
        for key in block.key:
            self._key(key)
        zones = [zone for each in block.zone if (zone := self._zone(each)) is not None]
        self._check_origins(zones)
        if self._mistakes:
            raise SettingsError(sorted(self._mistakes, key=lambda m: m.line))
        return ZonesSettings(
            self._path,
            listen,
            self._beside(block.state) if block.state else None,
            block.service,
            self._keys,
            tuple(zones),
        )

    def _note(self, block: Block, field: str, text: str) -> None:
        self._mistakes.append(SettingProblem(str(self._path), block.line, field, text))

    def _beside(self, text: str) -> Path:
        return self._path.parent / text

    def _name(self, block: Block, text: str, field: str) -> str:
        try:
            return read_name(text, "")
        except ZoneError:
            self._note(block, field, f"is not a name: {text!r:.80}")
            return ""

    def _address(self, block: Block, text: str, field: str) -> Address:
        try:
            return read_address(text, field)
        except InvalidMessageError:
            self._note(block, field, f"is not host:port: {text!r:.60}")
            return "", 0

    def _key(self, block: KeyBlock) -> None:
        name = self._name(block, block.name, "zones.key")
        if name in self._keys:
            self._note(block, "zones.key", f"{name} stands twice")
        secret = self._secret(block)
        if name and secret:
            self._keys[name] = dns.tsig.Key(
                dns.name.from_text(name), secret, dns.name.from_text(block.algorithm)
            )

    def _secret(self, block: KeyBlock) -> bytes:
        path, field = self._beside(block.secret_file), "zones.key.secret-file"
        try:
            mode = path.stat().st_mode
            text = path.read_bytes()
        except OSError as error:
            self._note(block, field, f"{block.secret_file}: {error.strerror}")
            return b""
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            self._note(
                block,
                field,
                f"{block.secret_file}: others may read it (mode {stat.S_IMODE(mode):04o}):"
                " chmod 600",
            )
            return b""
        try:
            secret = base64.b64decode(text.strip(), validate=True)
        except binascii.Error:
            self._note(block, field, f"{block.secret_file}: not the base64 of a secret alone")
            return b""
        if len(secret) < SECRET_LEAST:
            self._note(
                block, field, f"{block.secret_file}: {len(secret)} bytes, {SECRET_LEAST} at least"
            )
            return b""
        return secret

    def _known(self, block: Block, name: str, field: str) -> str:
        key = self._name(block, name, field)
        named = {read_name(k.name, "") for k in self._block.key if _is_name(k.name)}
        if key and key not in named:
            self._note(block, field, f"no key {name!r:.80} is set")
        return key

    def _zone(self, block: ZoneBlock) -> ZoneSettings | None:
        origin = self._name(block, block.origin, "zones.zone")
        if not origin:
            return None
        grants = [g for each in block.update if (g := self._grant(each, origin)) is not None]
        return ZoneSettings(
            origin,
            self._beside(block.file) if block.file else None,
            tuple(self._peer(p, "zones.zone.primary") for p in block.primary),
            tuple(grants),
            frozenset(self._known(t, t.key, "zones.zone.transfer.key") for t in block.transfer),
            tuple(self._peer(n, "zones.zone.notify") for n in block.notify),
        )

    def _peer(self, block: PrimaryBlock | NotifyBlock, field: str) -> DnsPeer:
        key = self._known(block, block.key, f"{field}.key") if block.key else ""
        return DnsPeer(self._address(block, block.address, field), self._keys.get(key))

    def _grant(self, block: UpdateBlock, origin: str) -> UpdateGrant | None:
        key = self._known(block, block.key, "zones.zone.update.key")
        try:
            return read_grant(
                key, origin, block.names, block.types, block.most, round(block.within * 1e6)
            )
        except ZoneError as error:
            self._note(block, "zones.zone.update", str(error))
            return None

    def _check_origins(self, zones: list[ZoneSettings]) -> None:
        for at, zone in enumerate(zones):
            for other in zones[:at]:
                if is_under(zone.origin, other.origin) or is_under(other.origin, zone.origin):
                    block = self._block.zone[at]
                    self._note(block, "zones.zone", f"{zone.origin} and {other.origin} overlap")


def _is_name(text: str) -> bool:
    try:
        return bool(labels(read_name(text, "")))
    except ZoneError:
        return False

"""The operators' settings for zones: read from a KDL file, checked and resolved.

Settings as they are named in the file, and the fields that hold them once resolved:

    zone primary    ZoneSettings.primaries
    zone transfer   ZoneSettings.transfer_keys
    zone update     ZoneSettings.grants
    update most     UpdateGrant.max_removed_fraction
    update within   UpdateGrant.window_us
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import dns.name
import dns.tsig

from kelpcourse.kdl import Block, SettingProblem, SettingsError, load
from kelpcourse.wire.errors import InvalidMessageError
from kelpcourse.wire.fields import parse_address
from kelpcourse.wire.stream import Address
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import is_under, labels, read_name
from kelpcourse.zones.secret_files import SecretFileError, read_secret
from kelpcourse.zones.settings_blocks import (
    File,
    KeyBlock,
    NotifyBlock,
    PrimaryBlock,
    UpdateBlock,
    ZoneBlock,
    ZonesBlock,
)
from kelpcourse.zones.update_policy import UpdateGrant, read_grant

US_PER_SECOND = 1e6
NO_ADDRESS: Address = ("", 0)  # stands for an address that is malformed


@dataclass(frozen=True)
class DnsPeer:
    """Another DNS server and the key for messages between it and this one."""

    address: Address
    key: dns.tsig.Key | None

    def __str__(self) -> str:
        """Returns its address."""
        return format_address(self.address)


@dataclass(frozen=True)
class ZoneSettings:
    """The settings of one zone, resolved."""

    origin: str
    file: Path | None
    primaries: tuple[DnsPeer, ...]
    grants: tuple[UpdateGrant, ...]
    transfer_keys: frozenset[str]
    notify: tuple[DnsPeer, ...]


@dataclass(frozen=True)
class ZonesSettings:
    """The settings of all zones, resolved."""

    path: Path
    listen: Address | None
    state: Path | None
    service: str
    keys: dict[str, dns.tsig.Key]
    zones: tuple[ZoneSettings, ...]


def format_address(address: Address) -> str:
    """Returns host:port, with brackets around an IPv6 address."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def read_address(text: str, field: str) -> Address:
    """Parses host:port or [host]:port.

    Raises:
        InvalidMessageError: it is neither.
    """
    host, port = parse_address(text, field)
    has_brackets = host.startswith("[") and host.endswith("]")
    return (host[1:-1] if has_brackets else host), port


def read_settings(path: Path, listen: str = "", state: Path | None = None) -> ZonesSettings:
    """Reads a settings file; `listen` and `state` replace what the file says.

    Raises:
        SettingsError: with every problem of the file and of the secrets that it names.
    """
    file, problems = load(path, File)
    if file is None:
        raise _settings_error(problems)
    settings = _Resolver(path, file.zones, problems).resolve()
    address = settings.listen
    if listen:
        try:
            address = read_address(listen, "--listen")
        except InvalidMessageError as error:
            problem = SettingProblem(str(path), 0, "--listen", str(error))
            raise SettingsError([problem]) from error
    return replace(settings, listen=address, state=state or settings.state)


def _settings_error(problems: Sequence[SettingProblem]) -> SettingsError:
    return SettingsError(sorted(problems, key=lambda problem: problem.line))


class _Resolver:
    """Resolves the zones block of one file; problems are collected to be reported together."""

    def __init__(self, path: Path, block: ZonesBlock, problems: list[SettingProblem]) -> None:
        self._path = path
        self._block = block
        self._problems = problems
        self._keys: dict[str, dns.tsig.Key] = {}
        self._key_names = {read_name(key.name, "") for key in block.key if _is_name(key.name)}

    def resolve(self) -> ZonesSettings:
        """Raises SettingsError if there is any problem, also one found before."""
        block = self._block
        if not block.zone:
            self._note(block, "zones.zone", "there is none")
        self._resolve_name(block, block.service, "zones.service")
        listen = None
        if block.listen:
            listen = self._resolve_address(block, block.listen, "zones.listen")
        for key_block in block.key:
            self._resolve_key(key_block)
        zones = self._resolve_zones()
        self._check_origins(zones)
        if self._problems:
            raise _settings_error(self._problems)
        return ZonesSettings(
            path=self._path,
            listen=listen,
            state=self._resolve_path(block.state) if block.state else None,
            service=block.service,
            keys=self._keys,
            zones=tuple(zones),
        )

    def _note(self, block: Block, field: str, text: str) -> None:
        self._problems.append(SettingProblem(str(self._path), block.line, field, text))

    def _resolve_path(self, text: str) -> Path:
        """Paths are relative to the settings file."""
        return self._path.parent / text

    def _resolve_name(self, block: Block, text: str, field: str) -> str:
        """Returns an empty name if the text is not a name."""
        try:
            return read_name(text, "")
        except ZoneError:
            self._note(block, field, f"is not a name: {text!r:.80}")
            return ""

    def _resolve_address(self, block: Block, text: str, field: str) -> Address:
        try:
            return read_address(text, field)
        except InvalidMessageError:
            self._note(block, field, f"is not host:port: {text!r:.60}")
            return NO_ADDRESS

    def _resolve_key(self, block: KeyBlock) -> None:
        name = self._resolve_name(block, block.name, "zones.key")
        if name in self._keys:
            self._note(block, "zones.key", f"{name} stands twice")
        try:
            secret = read_secret(self._resolve_path(block.secret_file), block.secret_file)
        except SecretFileError as error:
            self._note(block, "zones.key.secret-file", str(error))
            return
        if name:
            self._keys[name] = dns.tsig.Key(
                dns.name.from_text(name), secret, dns.name.from_text(block.algorithm)
            )

    def _resolve_key_name(self, block: Block, name: str, field: str) -> str:
        """Returns the name of a key that the file must define."""
        key_name = self._resolve_name(block, name, field)
        if key_name and key_name not in self._key_names:
            self._note(block, field, f"no key {name!r:.80} is set")
        return key_name

    def _resolve_zones(self) -> list[ZoneSettings]:
        zones = []
        for block in self._block.zone:
            zone = self._resolve_zone(block)
            if zone is not None:
                zones.append(zone)
        return zones

    def _resolve_zone(self, block: ZoneBlock) -> ZoneSettings | None:
        """Returns None if the zone's name is malformed."""
        origin = self._resolve_name(block, block.origin, "zones.zone")
        if not origin:
            return None
        grants = self._resolve_grants(block, origin)
        primaries = [self._resolve_peer(each, "zones.zone.primary") for each in block.primary]
        transfer_keys = [
            self._resolve_key_name(each, each.key, "zones.zone.transfer.key")
            for each in block.transfer
        ]
        notify = [self._resolve_peer(each, "zones.zone.notify") for each in block.notify]
        return ZoneSettings(
            origin=origin,
            file=self._resolve_path(block.file) if block.file else None,
            primaries=tuple(primaries),
            grants=tuple(grants),
            transfer_keys=frozenset(transfer_keys),
            notify=tuple(notify),
        )

    def _resolve_peer(self, block: PrimaryBlock | NotifyBlock, field: str) -> DnsPeer:
        key_name = ""
        if block.key:
            key_name = self._resolve_key_name(block, block.key, f"{field}.key")
        address = self._resolve_address(block, block.address, field)
        return DnsPeer(address, self._keys.get(key_name))

    def _resolve_grants(self, block: ZoneBlock, origin: str) -> list[UpdateGrant]:
        grants = []
        for update_block in block.update:
            grant = self._resolve_grant(update_block, origin)
            if grant is not None:
                grants.append(grant)
        return grants

    def _resolve_grant(self, block: UpdateBlock, origin: str) -> UpdateGrant | None:
        """Returns None if a name or a type is malformed."""
        key_name = self._resolve_key_name(block, block.key, "zones.zone.update.key")
        window_us = round(block.within * US_PER_SECOND)
        try:
            return read_grant(key_name, origin, block.names, block.types, block.most, window_us)
        except ZoneError as error:
            self._note(block, "zones.zone.update", str(error))
            return None

    def _check_origins(self, zones: Sequence[ZoneSettings]) -> None:
        """Notes each pair of zones of which one is below the other."""
        for index, zone in enumerate(zones):
            for other in zones[:index]:
                if is_under(zone.origin, other.origin) or is_under(other.origin, zone.origin):
                    block = self._block.zone[index]
                    self._note(block, "zones.zone", f"{zone.origin} and {other.origin} overlap")


def _is_name(text: str) -> bool:
    """Whether a text is a name other than the root."""
    try:
        return bool(labels(read_name(text, "")))
    except ZoneError:
        return False

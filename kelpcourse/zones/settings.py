"""The operators' settings for zones, which are read from a KDL file, checked and resolved.

The settings as they are named in the file, and the fields that contain their resolved values:

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
NO_ADDRESS: Address = ("", 0)  # placeholder for a malformed address


@dataclass(frozen=True)
class DnsPeer:
    """Another DNS server.

    Attributes:
        address: Address of the server.
        key: Key for messages between the two servers; None if they are not signed.
    """

    address: Address
    key: dns.tsig.Key | None

    def __str__(self) -> str:
        """Returns the address of the server."""
        return format_address(self.address)


@dataclass(frozen=True)
class ZoneSettings:
    """The resolved settings of one zone.

    Attributes:
        origin: Canonical name of the zone's origin.
        file: Path of the zone file; None if the zone has none.
        primaries: Servers that the zone is transferred from.
        grants: Rights of keys to update the zone.
        transfer_keys: Names of the keys that may transfer the zone.
        notify: Secondaries that are notified of changes.
    """

    origin: str
    file: Path | None
    primaries: tuple[DnsPeer, ...]
    grants: tuple[UpdateGrant, ...]
    transfer_keys: frozenset[str]
    notify: tuple[DnsPeer, ...]


@dataclass(frozen=True)
class ZonesSettings:
    """The resolved settings of all zones.

    Attributes:
        path: Path of the settings file.
        listen: Address of the DNS server; None if it does not run.
        state: Path of the state folder; None if zones are kept only in memory.
        service: Label prefix of the owners of the SRV records that announce endpoints.
        keys: TSIG keys by name.
        zones: Settings of each zone.
    """

    path: Path
    listen: Address | None
    state: Path | None
    service: str
    keys: dict[str, dns.tsig.Key]
    zones: tuple[ZoneSettings, ...]


def format_address(address: Address) -> str:
    """Returns an address as host:port, with brackets around an IPv6 address."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def read_address(text: str, field: str) -> Address:
    """Parses host:port or [host]:port.

    Raises:
        InvalidMessageError: The text has neither form.
    """
    host, port = parse_address(text, field)
    has_brackets = host.startswith("[") and host.endswith("]")
    return (host[1:-1] if has_brackets else host), port


def read_settings(path: Path, listen: str = "", state: Path | None = None) -> ZonesSettings:
    """Reads a settings file.

    Args:
        path: Path of the file.
        listen: Address that replaces the one in the file, unless empty.
        state: Path of a state folder that replaces the one in the file, unless None.

    Raises:
        SettingsError: The settings or the secret files that they name have problems; the error lists all of them.
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
    """Resolves the zones block of one file, and collects all problems to report them together."""

    def __init__(self, path: Path, block: ZonesBlock, problems: list[SettingProblem]) -> None:
        self._path = path
        self._block = block
        self._problems = problems
        self._keys: dict[str, dns.tsig.Key] = {}
        self._key_names = {read_name(key.name, "") for key in block.key if _is_name(key.name)}

    def resolve(self) -> ZonesSettings:
        """Resolves all settings of the block.

        Raises:
            SettingsError: There is a problem in this block, or one was found before.
        """
        block = self._block
        if not block.zone:
            self._add_problem(block, "zones.zone", "at least one zone is required")
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

    def _add_problem(self, block: Block, field: str, text: str) -> None:
        self._problems.append(SettingProblem(str(self._path), block.line, field, text))

    def _resolve_path(self, text: str) -> Path:
        """Returns a path of the settings, which is relative to the folder of the settings file."""
        return self._path.parent / text

    def _resolve_name(self, block: Block, text: str, field: str) -> str:
        """Returns the canonical form of a domain name; empty if the text is not a domain name."""
        try:
            return read_name(text, "")
        except ZoneError:
            self._add_problem(block, field, f"is not a domain name: {text!r:.80}")
            return ""

    def _resolve_address(self, block: Block, text: str, field: str) -> Address:
        try:
            return read_address(text, field)
        except InvalidMessageError:
            self._add_problem(block, field, f"is not of the form host:port: {text!r:.60}")
            return NO_ADDRESS

    def _resolve_key(self, block: KeyBlock) -> None:
        name = self._resolve_name(block, block.name, "zones.key")
        if name in self._keys:
            self._add_problem(block, "zones.key", f"{name} appears twice")
        try:
            secret = read_secret(self._resolve_path(block.secret_file), block.secret_file)
        except SecretFileError as error:
            self._add_problem(block, "zones.key.secret-file", str(error))
            return
        if name:
            self._keys[name] = dns.tsig.Key(
                dns.name.from_text(name), secret, dns.name.from_text(block.algorithm)
            )

    def _resolve_key_name(self, block: Block, name: str, field: str) -> str:
        """Returns the canonical name of a TSIG key, and adds a problem if the file does not define the key."""
        key_name = self._resolve_name(block, name, field)
        if key_name and key_name not in self._key_names:
            self._add_problem(block, field, f"key {name!r:.80} is not defined")
        return key_name

    def _resolve_zones(self) -> list[ZoneSettings]:
        zones = []
        for block in self._block.zone:
            zone = self._resolve_zone(block)
            if zone is not None:
                zones.append(zone)
        return zones

    def _resolve_zone(self, block: ZoneBlock) -> ZoneSettings | None:
        """Returns the settings of a zone; None if the name of the zone is malformed."""
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
        """Returns the right to update a zone; None if a name or a type is malformed."""
        key_name = self._resolve_key_name(block, block.key, "zones.zone.update.key")
        window_us = round(block.within * US_PER_SECOND)
        try:
            return read_grant(key_name, origin, block.names, block.types, block.most, window_us)
        except ZoneError as error:
            self._add_problem(block, "zones.zone.update", str(error))
            return None

    def _check_origins(self, zones: Sequence[ZoneSettings]) -> None:
        """Adds a problem for each pair of zones with the same origin or with one origin below the other."""
        for index, zone in enumerate(zones):
            for other in zones[:index]:
                if is_under(zone.origin, other.origin) or is_under(other.origin, zone.origin):
                    block = self._block.zone[index]
                    self._add_problem(
                        block, "zones.zone", f"{zone.origin} and {other.origin} overlap"
                    )


def _is_name(text: str) -> bool:
    """Reports whether a text is a domain name other than the root."""
    try:
        return bool(labels(read_name(text, "")))
    except ZoneError:
        return False

"""The configuration: NODE_CONFIG, with the variables beside it, into one checked value."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import orjson

from kelpcourse.fields import Fields, WireError
from kelpcourse.policy.settings import Settings
from kelpcourse.settings import read_settings
from kelpcourse.wire.discovery import HostsList, read_list
from kelpcourse.wire.fields import BadMessage, address
from kelpcourse.wire.stream import Address

HOLDS = {"NODE_NAME": "name", "NODE_LISTEN": "listen", "NODE_DISCOVERY": "discovery"}
MOVES = ("discovery", "relay")  # what a reload follows; a process's variables can't follow it
WAITS = ("name", "listen", "settings", "sockets", "memory_mb")  # what waits for a restart

SOCKETS = 1024  # where the configuration does not tell
MEMORY_MB = 192


class BadConfig(ValueError):
    """The configuration can't be used; the text names the field."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    relay: Address
    seed: int
    known: HostsList
    settings: Settings
    sockets: int
    memory_mb: int


def reread_config(environment: Mapping[str, str]) -> Config:
    """The file as it is now. Discovery may have moved since the variable was set."""
    return read_config(
        {name: value for name, value in environment.items() if name != "NODE_DISCOVERY"}
    )


def differing(old: Config, new: Config, fields: tuple[str, ...]) -> list[str]:
    return [field for field in fields if getattr(old, field) != getattr(new, field)]


def read_config(environment: Mapping[str, str]) -> Config:
    path = environment.get("NODE_CONFIG", "")
    if not path:
        raise BadConfig("variable NODE_CONFIG is missing")
    root = _load(path)
    for variable, field in HOLDS.items():
        if variable in environment and environment[variable] != root.get(field):
            raise BadConfig(
                f"variable {variable} and field '{field}' differ:"
                f" {environment[variable]!r:.60}, {root.get(field)!r:.60}"
            )
    try:
        return Config(
            name=_text(root, "name"),
            listen=address(_text(root, "listen"), "listen"),
            discovery=address(_text(root, "discovery"), "discovery"),
            relay=address(
                _text(_object(root, "registry"), "address", "registry."), "registry.address"
            ),
            seed=_seed(_text(root, "seed")),
            known=read_list(_object(root, "known"), _refuse),
            settings=_settings(root),
            sockets=_limit(root, "sockets", SOCKETS),
            memory_mb=_limit(root, "memory_mb", MEMORY_MB),
        )
    except BadMessage as error:
        raise BadConfig(str(error)) from None


def _load(path: str) -> Mapping[str, object]:
    try:
        root = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise BadConfig(f"variable NODE_CONFIG: {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise BadConfig(f"variable NODE_CONFIG: {path}: not JSON: {error}") from None
    if not isinstance(root, dict):
        raise BadConfig(f"variable NODE_CONFIG: {path}: not a JSON object")
    return root


def _settings(root: Mapping[str, object]) -> Settings:
    try:
        settings = read_settings(Fields.of_nested(_object(root, "settings")))
    except WireError as error:
        raise BadConfig(f"settings: {error}") from None
    _check_names(root["settings"])
    if settings.slice_count:
        raise BadConfig("settings: field 'family_info.partitions_n': slices are not served here")
    return settings


def _check_names(value: object, path: str = "settings") -> None:
    """Settings are read as the simulator's wire tells them, which has `_` for both: zones and classes would come to
    have names here that nobody else knows."""
    if isinstance(value, str) and (" " in value or "," in value):
        raise BadConfig(f"field '{path}' holds a space or a comma: {value!r:.60}")
    pairs = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    for name, item in pairs:
        _check_names(item, f"{path}.{name}")


def _object(root: Mapping[str, object], name: str) -> Mapping[str, object]:
    value = root.get(name)
    if not isinstance(value, dict):
        raise BadConfig(f"field '{name}' is missing or not an object")
    return value


def _text(root: Mapping[str, object], name: str, under: str = "") -> str:
    value = root.get(name)
    if not isinstance(value, str) or not value:
        raise BadConfig(f"field '{under}{name}' is missing or not a text")
    return value


def _refuse(error: BadMessage) -> None:
    raise error


def _limit(root: Mapping[str, object], name: str, usual: int) -> int:
    limits = root.get("limits")
    if not isinstance(limits, dict) or name not in limits:
        return usual
    value = limits[name]
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 1:
        raise BadConfig(f"field 'limits.{name}' is not a number from 1 up: {value!r:.60}")
    return int(value)


def _seed(value: str) -> int:
    try:
        return int(value, 16)
    except ValueError:
        raise BadConfig(f"field 'seed' is not hex digits: {value!r:.60}") from None

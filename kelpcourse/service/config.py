"""Reading and validation of the configuration, which is in the file that NODE_CONFIG names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import orjson

from kelpcourse.fields import Fields, InputError
from kelpcourse.policy.settings import Settings
from kelpcourse.settings import read_settings
from kelpcourse.wire.discovery_codec import EndpointListMessage, decode_endpoint_list
from kelpcourse.wire.errors import InvalidMessageError
from kelpcourse.wire.fields import parse_address
from kelpcourse.wire.stream import Address

# Environment variables that, if set, must have the value of a field of the file.
FIELD_BY_VARIABLE = {"NODE_NAME": "name", "NODE_LISTEN": "listen", "NODE_DISCOVERY": "discovery"}
# Fields of `Config` that a reload applies, and fields whose change requires a restart. The log writes these names.
APPLIED_BY_RELOAD = ("discovery", "relay")
REQUIRES_RESTART = ("name", "listen", "settings", "sockets", "memory_mb")

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192


class ConfigError(ValueError):
    """Raised for a configuration that cannot be used; the text names the field or variable."""


@dataclass(frozen=True)
class Config:
    """The configuration of a controller.

    These fields have other names in the file:

    | in the file | here |
    | --- | --- |
    | `registry.address` | `relay` |
    | `known` | `cached_list`, the endpoint list as it was last received |
    | `limits.sockets`, `limits.memory_mb` | `sockets`, `memory_mb` |
    """

    name: str
    listen: Address
    discovery: Address
    relay: Address
    seed: int
    cached_list: EndpointListMessage
    settings: Settings
    sockets: int
    memory_mb: int


def reread_config(environment: Mapping[str, str]) -> Config:
    """Reads the configuration again. Raises ConfigError.

    NODE_DISCOVERY is ignored, because the address of discovery may have changed since the variable was set.
    """
    return read_config(
        {name: value for name, value in environment.items() if name != "NODE_DISCOVERY"}
    )


def changed_fields(old: Config, new: Config, fields: tuple[str, ...]) -> list[str]:
    """Returns those of the given fields in which two configurations differ."""
    return [field for field in fields if getattr(old, field) != getattr(new, field)]


def read_config(environment: Mapping[str, str]) -> Config:
    """Reads the file that NODE_CONFIG names and compares the other variables with it. Raises ConfigError."""
    path = environment.get("NODE_CONFIG", "")
    if not path:
        raise ConfigError("variable NODE_CONFIG is not set")
    root = _load(path)
    _check_variables(environment, root)
    try:
        return _config(root)
    except InvalidMessageError as error:
        raise ConfigError(str(error)) from error


def _check_variables(environment: Mapping[str, str], root: Mapping[str, object]) -> None:
    for variable, field in FIELD_BY_VARIABLE.items():
        if variable in environment and environment[variable] != root.get(field):
            raise ConfigError(
                f"variable {variable} and field '{field}' differ:"
                f" {environment[variable]!r:.60}, {root.get(field)!r:.60}"
            )


def _config(root: Mapping[str, object]) -> Config:
    relay = _text(_object(root, "registry"), "address", "registry.")
    return Config(
        name=_text(root, "name"),
        listen=parse_address(_text(root, "listen"), "listen"),
        discovery=parse_address(_text(root, "discovery"), "discovery"),
        relay=parse_address(relay, "registry.address"),
        seed=_seed(_text(root, "seed")),
        cached_list=decode_endpoint_list(_object(root, "known"), _raise),
        settings=_settings(root),
        sockets=_limit(root, "sockets", DEFAULT_SOCKETS),
        memory_mb=_limit(root, "memory_mb", DEFAULT_MEMORY_MB),
    )


def _load(path: str) -> Mapping[str, object]:
    try:
        with open(path, "rb") as file:
            root = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"variable NODE_CONFIG: {path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"variable NODE_CONFIG: {path}: not JSON: {error}") from error
    if not isinstance(root, dict):
        raise ConfigError(f"variable NODE_CONFIG: {path}: not a JSON object")
    return root


def _settings(root: Mapping[str, object]) -> Settings:
    try:
        settings = read_settings(Fields.from_nested(_object(root, "settings")))
    except InputError as error:
        raise ConfigError(f"settings: {error}") from error
    _check_names(root["settings"])
    if settings.slice_count:
        raise ConfigError("settings: field 'family_info.partitions_n': slices are not supported")
    return settings


def _check_names(value: object, path: str = "settings") -> None:
    """Rejects strings that contain a space or a comma.

    Settings are read as on the simulator's wire, where `_` replaces both characters. Names of zones and classes would
    therefore differ from the names that proxies and endpoints use.
    """
    if isinstance(value, str) and (" " in value or "," in value):
        raise ConfigError(f"field '{path}' contains a space or a comma: {value!r:.60}")
    if isinstance(value, dict):
        for name, item in value.items():
            _check_names(item, f"{path}.{name}")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            _check_names(item, f"{path}.{index}")


def _object(root: Mapping[str, object], name: str) -> Mapping[str, object]:
    value = root.get(name)
    if not isinstance(value, dict):
        raise ConfigError(f"field '{name}' is missing or is not an object")
    return value


def _text(root: Mapping[str, object], name: str, prefix: str = "") -> str:
    value = root.get(name)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"field '{prefix}{name}' is missing, empty or not a string")
    return value


def _raise(error: InvalidMessageError) -> None:
    raise error


def _limit(root: Mapping[str, object], name: str, default: int) -> int:
    limits = root.get("limits")
    if not isinstance(limits, dict) or name not in limits:
        return default
    value = limits[name]
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 1:
        raise ConfigError(f"field 'limits.{name}' is not a number of at least 1: {value!r:.60}")
    return int(value)


def _seed(value: str) -> int:
    try:
        return int(value, 16)
    except ValueError as error:
        raise ConfigError(f"field 'seed' is not hex digits: {value!r:.60}") from error

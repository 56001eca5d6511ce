"""Fields of messages that cannot be trusted to be there, of their type or in range."""

from __future__ import annotations

import math
from collections.abc import Mapping

import orjson


class BadMessage(ValueError):
    """A message that can't be used; the text names the field."""


def json_object(data: memoryview) -> Mapping[str, object]:
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise NotJson(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise NotJson("not a JSON object")
    return value


class NotJson(BadMessage):
    """What came has no shape at all, so what it should have told is lost."""


def text(fields: Mapping[str, object], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value or len(value) > 256:
        raise BadMessage(f"field '{name}' is not a name: {value!r:.60}")
    return value


def whole(fields: Mapping[str, object], name: str) -> int:
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise BadMessage(f"field '{name}' is not a count: {value!r:.60}")
    return value


def number(fields: Mapping[str, object], name: str) -> float:
    value = fields.get(name)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not math.isfinite(value)
        or value < 0
    ):
        raise BadMessage(f"field '{name}' is not a number from 0 up: {value!r:.60}")
    return float(value)


def flag(fields: Mapping[str, object], name: str) -> bool:
    value = fields.get(name)
    if value not in (True, False, 0, 1):
        raise BadMessage(f"field '{name}' is neither yes nor no: {value!r:.60}")
    return bool(value)


def address(value: str, name: str) -> tuple[str, int]:
    host, sep, port = value.rpartition(":")
    if not sep or not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise BadMessage(f"field '{name}' is not host:port: {value!r:.60}")
    return host, int(port)

"""Reads fields of JSON messages whose presence, type and range can't be trusted.

All functions raise InvalidMessageError, which names the field.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import orjson

from kelpcourse.wire.errors import InvalidMessageError, NotJsonError

MAX_TEXT_LENGTH = 256
MAX_PORT = 65_535


def parse_json_object(data: memoryview) -> Mapping[str, object]:
    """Decode a JSON object.

    Raises:
        NotJsonError: The data is something else.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise NotJsonError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise NotJsonError("not a JSON object")
    return value


def require_text(fields: Mapping[str, object], name: str) -> str:
    """Give a field that is a string, neither empty nor too long."""
    value = fields.get(name)
    if not isinstance(value, str) or not value or len(value) > MAX_TEXT_LENGTH:
        raise InvalidMessageError(f"field '{name}' is not a name: {value!r:.60}")
    return value


def require_count(fields: Mapping[str, object], name: str) -> int:
    """Give a field that is an integer of at least 0."""
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise InvalidMessageError(f"field '{name}' is not a count: {value!r:.60}")
    return value


def require_number(fields: Mapping[str, object], name: str) -> float:
    """Give a field that is a finite number of at least 0."""
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidMessageError(f"field '{name}' is not a number from 0 up: {value!r:.60}")
    if not math.isfinite(value) or value < 0:
        raise InvalidMessageError(f"field '{name}' is not a number from 0 up: {value!r:.60}")
    return float(value)


def require_flag(fields: Mapping[str, object], name: str) -> bool:
    """Give a field that is a boolean, or 1 or 0."""
    value = fields.get(name)
    if value not in (True, False, 0, 1):
        raise InvalidMessageError(f"field '{name}' is neither yes nor no: {value!r:.60}")
    return bool(value)


def parse_address(value: str, name: str) -> tuple[str, int]:
    """Parse `host:port`; `name` is the field that it stands in, for the error."""
    host, separator, port = value.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise InvalidMessageError(f"field '{name}' is not host:port: {value!r:.60}")
    return host, int(port)

"""Reading of fields of JSON messages whose presence, type and range must be checked.

All functions raise InvalidMessageError for an invalid field and name it in the text.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import orjson

from kelpcourse.wire.errors import InvalidMessageError, NotJsonError

MAX_TEXT_LENGTH = 256
MAX_PORT = 65_535


def parse_json_object(data: memoryview) -> Mapping[str, object]:
    """Decodes a JSON object.

    Raises:
        NotJsonError: The data is not a JSON object.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise NotJsonError(f"not JSON: {error}") from error
    if not isinstance(value, dict):
        raise NotJsonError("not a JSON object")
    return value


def require_text(fields: Mapping[str, object], name: str) -> str:
    """Returns a field that must be a string, not empty and at most `MAX_TEXT_LENGTH` characters long."""
    value = fields.get(name)
    if not isinstance(value, str) or not value or len(value) > MAX_TEXT_LENGTH:
        raise InvalidMessageError(f"field '{name}' is not a string of valid length: {value!r:.60}")
    return value


def require_count(fields: Mapping[str, object], name: str) -> int:
    """Returns a field that must be an integer of at least 0."""
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise InvalidMessageError(f"field '{name}' is not an integer of at least 0: {value!r:.60}")
    return value


def require_number(fields: Mapping[str, object], name: str) -> float:
    """Returns a field that must be a finite number of at least 0, as a float."""
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidMessageError(
            f"field '{name}' is not a finite number of at least 0: {value!r:.60}"
        )
    if not math.isfinite(value) or value < 0:
        raise InvalidMessageError(
            f"field '{name}' is not a finite number of at least 0: {value!r:.60}"
        )
    return float(value)


def require_flag(fields: Mapping[str, object], name: str) -> bool:
    """Returns a field that must be a boolean, 1 or 0, as a boolean."""
    value = fields.get(name)
    if value not in (True, False, 0, 1):
        raise InvalidMessageError(f"field '{name}' is not a boolean: {value!r:.60}")
    return bool(value)


def parse_address(value: str, name: str) -> tuple[str, int]:
    """Parses `host:port`; `name` is the name of the field, used in the error text."""
    host, separator, port = value.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not separator or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise InvalidMessageError(f"field '{name}' is not host:port: {value!r:.60}")
    return host, int(port)

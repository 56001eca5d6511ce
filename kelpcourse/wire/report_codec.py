"""Codec of the lines that clients send to the controller: a kind, then fields of the form name=value.

Names on the wire and in the program:

| kind | on the wire | in the program |
| --- | --- | --- |
| `ping` | | `Ping`; the response is `pong` |
| `collector` | | `CollectorHello` |
| `heard` | | `EndpointReportMessage` |
| `usage` | | `DemandReportMessage` |
| `collector`, `heard` | `az` | `zone` |
| `heard` | `host` | `endpoint` |
| `heard` | `n` | `attempts` |
| `heard` | `bad` | `failed` |
| `heard` | `avg` | `mean_ms` |
| `heard` | `report` | `load`, pairs of a name and a number |
| `heard`, `usage` | `window` | `window_ms` |
| `usage` | `sidecar` | `proxy` |
| `usage` | `kind` | `class_name` |
| `usage` | `n` | `arrivals` |
| `usage` | `bad` | `unanswered` |
"""

from __future__ import annotations

import codecs
from dataclasses import dataclass

from kelpcourse.wire.errors import InvalidMessageError, MalformedLineError

PONG = b"pong\r\n"
REFUSED = b"refused\r\n"
MAX_KIND_LENGTH = 32  # maximum number of characters of a message kind
MAX_VALUE_LENGTH = 256  # maximum number of characters of a field's value
MAX_COUNT_DIGITS = 15
MAX_NUMBER = 1e15
MAX_FIELDS = 64  # maximum number of fields of a message
MAX_LOAD_VALUES = 64  # maximum number of values in a load report


@dataclass(frozen=True)
class Ping:
    """A liveness check; the response is `PONG`."""


@dataclass(frozen=True)
class CollectorHello:
    """The first message of a report collector, which names its zone."""

    zone: str


@dataclass(frozen=True)
class EndpointReportMessage:
    """Attempts that the proxies of a zone made at an endpoint within a window.

    Attributes:
        zone: The zone of the proxies.
        endpoint: Name of the endpoint.
        attempts: Number of attempts that were made.
        failed: Number of attempts that failed.
        mean_ms: Mean duration of the successful attempts in milliseconds; None if there were none.
        window_ms: Length of the window in milliseconds.
        load: The last load report of the endpoint, as pairs of a name and a number.
    """

    zone: str
    endpoint: str
    attempts: int
    failed: int
    mean_ms: float | None
    window_ms: float
    load: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class DemandReportMessage:
    """Requests of one class that arrived at a proxy within a window.

    Attributes:
        proxy: Number of the proxy.
        class_name: Name of the request class.
        arrivals: Number of requests that arrived.
        unanswered: Number of requests that the proxy admitted and could not serve.
        window_ms: Length of the window in milliseconds.
    """

    proxy: int
    class_name: str
    arrivals: int
    unanswered: int
    window_ms: float


Message = Ping | CollectorHello | EndpointReportMessage | DemandReportMessage


def decode_line(line: memoryview) -> Message | None:
    """Decodes a line and returns the message, which does not refer to the line; None for an empty line.

    Raises:
        MalformedLineError: The line is not a message.
        InvalidMessageError: The message is of an unknown kind or has an invalid field.
    """
    try:
        text = str(line, "utf-8")
    except UnicodeDecodeError as error:
        raise MalformedLineError("not UTF-8") from error
    if not text.isprintable():
        raise MalformedLineError("contains unprintable characters")
    parts = text.split(maxsplit=MAX_FIELDS + 1)
    if not parts:
        return None
    kind = parts[0]
    if not is_valid_kind(kind):
        raise MalformedLineError(f"invalid message kind {kind!r:.60}")
    if len(parts) > MAX_FIELDS + 1:
        raise InvalidMessageError(f"message has more than {MAX_FIELDS} fields")
    fields = _parse_fields(parts[1:])
    match kind:
        case "heard":
            return _decode_endpoint_report(fields)
        case "usage":
            return _decode_demand_report(fields)
        case "ping":
            return Ping()
        case "collector":
            return CollectorHello(_require_text(fields, "az"))
    raise InvalidMessageError(f"unknown message kind {kind!r:.60}")


def is_valid_kind(text: str) -> bool:
    """Returns whether a text has the form of a message kind, known or unknown."""
    letters = text.replace("_", "")
    is_lower_ascii = letters.isascii() and letters.isalpha() and letters.islower()
    return len(text) <= MAX_KIND_LENGTH and is_lower_ascii


def check_partial_line(partial: memoryview, checked_bytes: int = 0) -> int:
    """Checks the received part of an incomplete line.

    A malformed line may never end, so it is rejected before its end is received.

    Args:
        partial: The received part.
        checked_bytes: Number of bytes at its start that were checked before, as returned by the former call.

    Returns:
        Number of bytes that need not be checked again.

    Raises:
        MalformedLineError: No message can start with these bytes.
    """
    if not partial:
        return 0
    start, space, _ = bytes(partial[: MAX_KIND_LENGTH + 1]).partition(b" ")
    kind = (start if space else start.rstrip(b"\r")).decode("latin-1")
    if kind and not is_valid_kind(kind):
        raise MalformedLineError(f"invalid message kind {kind!r:.60}")
    try:
        _, complete_bytes = codecs.utf_8_decode(partial[checked_bytes:], "strict", False)
    except UnicodeDecodeError as error:
        raise MalformedLineError("not UTF-8") from error
    return checked_bytes + complete_bytes


def _decode_endpoint_report(fields: dict[str, str]) -> EndpointReportMessage:
    return EndpointReportMessage(
        zone=_require_text(fields, "az"),
        endpoint=_require_text(fields, "host"),
        attempts=_require_count(fields, "n"),
        failed=_require_count(fields, "bad"),
        mean_ms=_require_number(fields, "avg") if "avg" in fields else None,
        window_ms=_require_number(fields, "window"),
        load=_parse_load(fields.get("report", "")),
    )


def _decode_demand_report(fields: dict[str, str]) -> DemandReportMessage:
    return DemandReportMessage(
        proxy=_require_count(fields, "sidecar"),
        class_name=_require_text(fields, "kind"),
        arrivals=_require_count(fields, "n"),
        unanswered=_require_count(fields, "bad"),
        window_ms=_require_number(fields, "window"),
    )


def _parse_fields(parts: list[str]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise InvalidMessageError(f"field {part!r:.60} is not of the form name=value")
        if name in fields:
            raise InvalidMessageError(f"field '{name:.60}' appears twice")
        fields[name] = value
    return fields


def _require_text(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value or len(value) > MAX_VALUE_LENGTH:
        raise InvalidMessageError(f"field '{name}' is missing, empty or too long: {value!r:.60}")
    return value


def _require_count(fields: dict[str, str], name: str) -> int:
    value = fields.get(name, "")
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_COUNT_DIGITS:
        raise InvalidMessageError(
            f"field '{name}' is not an integer in the valid range: {value!r:.60}"
        )
    return int(value)


def _require_number(fields: dict[str, str], name: str) -> float:
    return _parse_number(fields.get(name, ""), name)


def _parse_number(value: str, name: str) -> float:
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number < MAX_NUMBER:  # also rejects NaN
        raise InvalidMessageError(
            f"field '{name}' is not a number in the valid range: {value!r:.60}"
        )
    return number


def _parse_load(value: str) -> tuple[tuple[str, float], ...]:
    if not value:
        return ()
    pairs: list[tuple[str, float]] = []
    values = value.split(",", maxsplit=MAX_LOAD_VALUES)
    if len(values) > MAX_LOAD_VALUES:
        raise InvalidMessageError(f"field 'report' has more than {MAX_LOAD_VALUES} values")
    for pair in values:
        name, separator, number = pair.partition(":")
        if not separator or not name:
            raise InvalidMessageError(f"field 'report' contains an invalid pair: {pair!r:.60}")
        pairs.append((name, _parse_number(number, "report")))
    return tuple(pairs)

"""Codec of the lines at the controller's own address: a kind, then words of the form name=value.

Names on the wire and in the program:

| kind | on the wire | in the program |
| --- | --- | --- |
| `ping` | | `Ping`, answered by `pong` |
| `collector` | | `CollectorHello` |
| `heard` | | `EndpointReportMessage` |
| `usage` | | `DemandReportMessage` |
| `collector`, `heard` | `az` | `zone` |
| `heard` | `host` | `endpoint` |
| `heard` | `n` | `attempts` |
| `heard` | `bad` | `failed` |
| `heard` | `avg` | `mean_ms` |
| `heard` | `report` | `load`, pairs of a name and a figure |
| `heard`, `usage` | `window` | `window_ms` |
| `usage` | `sidecar` | `proxy` |
| `usage` | `kind` | `class_name` |
| `usage` | `n` | `arrivals` |
| `usage` | `bad` | `unanswered` |
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.wire.errors import InvalidMessageError, MalformedLineError

PONG = b"pong\r\n"
REFUSED = b"refused\r\n"
MAX_KIND_LENGTH = 32
MAX_VALUE_LENGTH = 256
MAX_COUNT_DIGITS = 15
MAX_NUMBER = 1e15
INCOMPLETE_UTF8 = "unexpected end of data"  # Python's reason for a sequence that is cut off


@dataclass(frozen=True)
class Ping:
    """Asks whether the controller serves."""


@dataclass(frozen=True)
class CollectorHello:
    """Identifies a connection as that of a zone's report collector."""

    zone: str


@dataclass(frozen=True)
class EndpointReportMessage:
    """Attempts at an endpoint by the proxies of a zone within a window.

    Attributes:
        zone: The zone of the proxies.
        endpoint: Name of the endpoint.
        attempts: Attempts that were made.
        failed: Attempts that failed.
        mean_ms: Mean time of the others in milliseconds; None if there is none.
        window_ms: Length of the window in milliseconds.
        load: The endpoint's last load report.
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
    """Requests of a class that reached a proxy within a window.

    Attributes:
        proxy: Number of the proxy.
        class_name: Name of the class.
        arrivals: Requests that arrived.
        unanswered: Requests that the proxy admitted and could not serve.
        window_ms: Length of the window in milliseconds.
    """

    proxy: int
    class_name: str
    arrivals: int
    unanswered: int
    window_ms: float


Message = Ping | CollectorHello | EndpointReportMessage | DemandReportMessage


def decode_line(line: memoryview) -> Message | None:
    """Decode a line, of which nothing is kept; None is an empty line.

    Raises:
        MalformedLineError: The line is not a message at all.
        InvalidMessageError: The message can't be used.
    """
    try:
        text = str(line, "utf-8")
    except UnicodeDecodeError as error:
        raise MalformedLineError("not UTF-8") from error
    if not text.isprintable():
        raise MalformedLineError("not text")
    parts = text.split()
    if not parts:
        return None
    kind = parts[0]
    if not is_valid_kind(kind):
        raise MalformedLineError(f"no kind {kind!r:.60}")
    words = _parse_words(parts[1:])
    match kind:
        case "heard":
            return _decode_endpoint_report(words)
        case "usage":
            return _decode_demand_report(words)
        case "ping":
            return Ping()
        case "collector":
            return CollectorHello(_require_text(words, "az"))
    raise InvalidMessageError(f"unknown kind {kind!r:.60}")


def is_valid_kind(word: str) -> bool:
    """Whether a message may start with this word, whether or not the kind is known."""
    letters = word.replace("_", "")
    is_lower_ascii = letters.isascii() and letters.isalpha() and letters.islower()
    return len(word) <= MAX_KIND_LENGTH and is_lower_ascii


def check_partial_line(partial: memoryview) -> None:
    """Check what was received of a line that has not ended.

    A line that is malformed already may never end, so its end is not waited for.

    Raises:
        MalformedLineError: No message starts so.
    """
    if not partial:
        return
    start, space, _ = bytes(partial[: MAX_KIND_LENGTH + 1]).partition(b" ")
    word = (start if space else start.rstrip(b"\r")).decode("latin-1")
    if word and not is_valid_kind(word):
        raise MalformedLineError(f"no kind {word!r:.60}")
    try:
        str(partial, "utf-8")
    except UnicodeDecodeError as error:
        if error.reason != INCOMPLETE_UTF8:
            raise MalformedLineError("not UTF-8") from error


def _decode_endpoint_report(words: dict[str, str]) -> EndpointReportMessage:
    return EndpointReportMessage(
        zone=_require_text(words, "az"),
        endpoint=_require_text(words, "host"),
        attempts=_require_count(words, "n"),
        failed=_require_count(words, "bad"),
        mean_ms=_require_number(words, "avg") if "avg" in words else None,
        window_ms=_require_number(words, "window"),
        load=_parse_load(words.get("report", "")),
    )


def _decode_demand_report(words: dict[str, str]) -> DemandReportMessage:
    return DemandReportMessage(
        proxy=_require_count(words, "sidecar"),
        class_name=_require_text(words, "kind"),
        arrivals=_require_count(words, "n"),
        unanswered=_require_count(words, "bad"),
        window_ms=_require_number(words, "window"),
    )


def _parse_words(parts: list[str]) -> dict[str, str]:
    words: dict[str, str] = {}
    for part in parts:
        name, separator, value = part.partition("=")
        if not separator or not name:
            raise InvalidMessageError(f"word {part!r:.60} is not name=value")
        if name in words:
            raise InvalidMessageError(f"word '{name:.60}' stands twice")
        words[name] = value
    return words


def _require_text(words: dict[str, str], name: str) -> str:
    value = words.get(name, "")
    if not value or len(value) > MAX_VALUE_LENGTH:
        raise InvalidMessageError(f"word '{name}' is not a name: {value!r:.60}")
    return value


def _require_count(words: dict[str, str], name: str) -> int:
    value = words.get(name, "")
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_COUNT_DIGITS:
        raise InvalidMessageError(f"word '{name}' is not a count: {value!r:.60}")
    return int(value)


def _require_number(words: dict[str, str], name: str) -> float:
    return _parse_number(words.get(name, ""), name)


def _parse_number(value: str, name: str) -> float:
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number < MAX_NUMBER:  # NaN fails this too
        raise InvalidMessageError(f"word '{name}' is not a number from 0 up: {value!r:.60}")
    return number


def _parse_load(value: str) -> tuple[tuple[str, float], ...]:
    if not value:
        return ()
    pairs: list[tuple[str, float]] = []
    for pair in value.split(","):
        name, separator, number = pair.partition(":")
        if not separator or not name:
            raise InvalidMessageError(f"word 'report' holds {pair!r:.60}")
        pairs.append((name, _parse_number(number, "report")))
    return tuple(pairs)

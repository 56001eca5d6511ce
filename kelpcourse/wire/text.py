"""The lines of collectors: a kind, then words of the form name=value."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.wire.errors import InvalidMessageError, MalformedLineError

PONG = b"pong\r\n"
REFUSED = b"refused\r\n"
KIND_LONGEST = 32


@dataclass(frozen=True)
class Ping:
    pass


@dataclass(frozen=True)
class Collector:
    zone: str


@dataclass(frozen=True)
class Heard:
    zone: str
    host: str
    tries: int
    failed: int
    mean_ms: float | None  # None: not told
    window_ms: float
    load: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class Usage:
    proxy: int
    kind: str
    arrived: int
    unanswered: int
    window_ms: float


Message = Ping | Collector | Heard | Usage


def parse(line: memoryview) -> Message | None:
    """The message of a line, a slice of the read buffer; nothing of it is kept. None: an empty line."""
    try:
        text = str(line, "utf-8")
    except UnicodeDecodeError:
        raise MalformedLineError("not UTF-8") from None
    if not text.isprintable():
        raise MalformedLineError("not text")
    kind, *parts = text.split() or [""]
    if not kind:
        return None
    if not is_kind(kind):
        raise MalformedLineError(f"no kind {kind!r:.60}")
    words = _words(parts)
    match kind:
        case "heard":
            return _heard(words)
        case "usage":
            return _usage(words)
        case "ping":
            return Ping()
        case "collector":
            return Collector(_word(words, "az"))
    raise InvalidMessageError(f"unknown kind {kind!r:.60}")


def is_kind(word: str) -> bool:
    """Whether a message may begin so, known here or not."""
    letters = word.replace("_", "")
    return (
        len(word) <= KIND_LONGEST and letters.isascii() and letters.isalpha() and letters.islower()
    )


def check_beginning(rest: memoryview) -> None:
    """What has come of a line so far. One that turned unreadable may never end, so it is not waited for."""
    if not rest:
        return
    kind, space, _ = bytes(rest[: KIND_LONGEST + 1]).partition(b" ")
    word = kind if space else kind.rstrip(b"\r")
    if word and not is_kind(word.decode("latin-1")):
        raise MalformedLineError(f"no kind {word.decode('latin-1')!r:.60}")
    try:
        str(rest, "utf-8")
    except UnicodeDecodeError as error:
        if error.reason != "unexpected end of data":
            raise MalformedLineError("not UTF-8") from None


def _heard(words: dict[str, str]) -> Heard:
    return Heard(
        _word(words, "az"),
        _word(words, "host"),
        _count(words, "n"),
        _count(words, "bad"),
        _number(words, "avg") if "avg" in words else None,
        _number(words, "window"),
        _load(words.get("report", "")),
    )


def _usage(words: dict[str, str]) -> Usage:
    return Usage(
        _count(words, "sidecar"),
        _word(words, "kind"),
        _count(words, "n"),
        _count(words, "bad"),
        _number(words, "window"),
    )


def _words(parts: list[str]) -> dict[str, str]:
    words = {}
    for part in parts:
        name, sep, value = part.partition("=")
        if not sep or not name:
            raise InvalidMessageError(f"word {part!r:.60} is not name=value")
        if name in words:
            raise InvalidMessageError(f"word '{name:.60}' stands twice")
        words[name] = value
    return words


def _word(words: dict[str, str], name: str) -> str:
    value = words.get(name, "")
    if not value or len(value) > 256:
        raise InvalidMessageError(f"word '{name}' is not a name: {value!r:.60}")
    return value


def _count(words: dict[str, str], name: str) -> int:
    value = words.get(name, "")
    if not (value.isascii() and value.isdigit()) or len(value) > 15:
        raise InvalidMessageError(f"word '{name}' is not a count: {value!r:.60}")
    return int(value)


def _number(words: dict[str, str], name: str) -> float:
    return _float(words.get(name, ""), name)


def _float(value: str, name: str) -> float:
    try:
        figure = float(value)
    except ValueError:
        figure = -1.0
    if not 0 <= figure < 1e15:  # not a number fails this too
        raise InvalidMessageError(f"word '{name}' is not a number from 0 up: {value!r:.60}")
    return figure


def _load(value: str) -> tuple[tuple[str, float], ...]:
    pairs = []
    for pair in value.split(",") if value else ():
        name, sep, figure = pair.partition(":")
        if not sep or not name:
            raise InvalidMessageError(f"word 'report' holds {pair!r:.60}")
        pairs.append((name, _float(figure, "report")))
    return tuple(pairs)

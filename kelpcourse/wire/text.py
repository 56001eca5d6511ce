"""The lines of collectors: a kind, then words of the form name=value."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.wire.fields import BadMessage

PONG = b"pong\r\n"


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
    mean_ms: float
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
        kind, *parts = str(line, "utf-8").split() or [""]
    except UnicodeDecodeError:
        raise BadMessage("not UTF-8") from None
    if kind == "heard":
        return _heard(_words(parts))
    if kind == "usage":
        return _usage(_words(parts))
    if kind == "ping":
        return Ping()
    if kind == "collector":
        return Collector(_word(_words(parts), "az"))
    if not kind:
        return None
    raise BadMessage(f"unknown kind {kind!r:.60}")


def _heard(words: dict[str, str]) -> Heard:
    return Heard(_word(words, "az"), _word(words, "host"), _count(words, "n"), _count(words, "bad"),
                 _number(words, "avg") if "avg" in words else 0.0, _number(words, "window"),
                 _load(words.get("report", "")))


def _usage(words: dict[str, str]) -> Usage:
    return Usage(_count(words, "sidecar"), _word(words, "kind"), _count(words, "n"), _count(words, "bad"),
                 _number(words, "window"))


def _words(parts: list[str]) -> dict[str, str]:
    words = {}
    for part in parts:
        name, sep, value = part.partition("=")
        if not sep or not name:
            raise BadMessage(f"word {part!r:.60} is not name=value")
        words[name] = value
    return words


def _word(words: dict[str, str], name: str) -> str:
    value = words.get(name, "")
    if not value or len(value) > 256:
        raise BadMessage(f"word '{name}' is not a name: {value!r:.60}")
    return value


def _count(words: dict[str, str], name: str) -> int:
    value = words.get(name, "")
    if not (value.isascii() and value.isdigit()) or len(value) > 15:
        raise BadMessage(f"word '{name}' is not a count: {value!r:.60}")
    return int(value)


def _number(words: dict[str, str], name: str) -> float:
    return _float(words.get(name, ""), name)


def _float(value: str, name: str) -> float:
    try:
        figure = float(value)
    except ValueError:
        figure = -1.0
    if not 0 <= figure < 1e15:  # not a number fails this too
        raise BadMessage(f"word '{name}' is not a number from 0 up: {value!r:.60}")
    return figure


def _load(value: str) -> tuple[tuple[str, float], ...]:
    pairs = []
    for pair in value.split(",") if value else ():
        name, sep, figure = pair.partition(":")
        if not sep or not name:
            raise BadMessage(f"word 'report' holds {pair!r:.60}")
        pairs.append((name, _float(figure, "report")))
    return tuple(pairs)

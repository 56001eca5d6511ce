"""Settings written in KDL 2 into typed, checked values; every mistake is named with file, line and field.

ckdl reads the document, msgspec checks each value against its type. ckdl tells no lines: `lines_of` finds
where each node stands. A Block is a msgspec Struct; its fields are filled from a node's arguments (`args`, in
order), its properties, and its children by name. A field that is a tuple of Blocks takes a child node for each.
"""

from __future__ import annotations

import re
import types
import typing
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar, TypeVar

import ckdl
import msgspec

B = TypeVar("B", bound="Block")
WRONG = object()  # a value that was given and can't be used


@dataclass(frozen=True)
class Mistake:
    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: {self.text}"


class BadSettings(ValueError):
    """All that is wrong with a file."""

    def __init__(self, mistakes: Sequence[Mistake]) -> None:
        super().__init__("\n".join(map(str, mistakes)))
        self.mistakes = tuple(mistakes)


class Block(msgspec.Struct, kw_only=True, frozen=True):
    """A node with its place, so that later checks can name it, too."""

    args: ClassVar[tuple[str, ...]] = ()  # fields that a node's arguments fill, in order
    line: int = 0

    def problems(self) -> Iterator[tuple[str, str]]:
        """Field and text of what is wrong beyond the types."""
        yield from ()


def load(path: Path, kind: type[B]) -> tuple[B | None, list[Mistake]]:
    """What could be read and every mistake, so that a caller can go on and add its own. Raises BadSettings if
    nothing can be read at all."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise BadSettings([Mistake(str(path), 0, "file", error.strerror or str(error))]) from None
    except UnicodeDecodeError:
        raise BadSettings([Mistake(str(path), 0, "file", "not UTF-8")]) from None
    return read(text, str(path), kind)


def parse(text: str, file: str, kind: type[B]) -> B:
    """Raises BadSettings with every mistake of the text."""
    made, mistakes = read(text, file, kind)
    if mistakes or made is None:
        raise BadSettings(mistakes)
    return made


def read(text: str, file: str, kind: type[B]) -> tuple[B | None, list[Mistake]]:
    try:
        document = ckdl.parse(text, version=2)
    except ckdl.ParseError as error:
        raise BadSettings([Mistake(file, _line_of_error(text), "syntax", str(error))]) from None
    reader = _Reader(file, lines_of(text))
    made = reader.block(kind, (), {}, list(document.nodes), 1, "")
    return made, reader.mistakes


class _Reader:
    def __init__(self, file: str, lines: Iterator[int]) -> None:
        self._file = file
        self._lines = lines
        self.mistakes: list[Mistake] = []

    def block(
        self,
        kind: type[B],
        values: Sequence[Any],
        properties: dict[str, Any],
        children: list[Any],
        line: int,
        path: str,
    ) -> B | None:
        """A setting that is wrong is noted and left at its default; None: there is none."""
        hints = typing.get_type_hints(kind, include_extras=True)
        fields: dict[str, Any] = {}
        for name, value in zip(kind.args, values, strict=False):
            self._value(fields, hints, name, value, line, path)
        for value in values[len(kind.args) :]:
            self._note(line, path or "file", f"one argument too many: {value!r:.60}")
        for name, value in properties.items():
            self._value(fields, hints, name.replace("-", "_"), value, line, path)
        for node in children:
            self._child(fields, hints, node, path)
        required = [f.name for f in msgspec.structs.fields(kind) if f.required]
        for name in required:
            if name not in fields:
                self._note(line, _path(path, name), "is missing")
        sound = {name: value for name, value in fields.items() if value is not WRONG}
        if any(name not in sound for name in required):
            return None
        made = kind(**{**sound, "line": line})
        for name, text in made.problems():
            if fields.get(name) is not WRONG:  # that it was wrong is told already
                self._note(line, _path(path, name), text)
        return made

    def _child(self, fields: dict[str, Any], hints: dict[str, Any], node: Any, path: str) -> None:
        line = next(self._lines)
        name = node.name.replace("-", "_")
        inner = _path(path, node.name)
        kind = _block_in(hints.get(name)) if name not in ("line", "args") else None
        if kind is not None:
            made = self.block(
                kind, list(node.args), dict(node.properties), list(node.children), line, inner
            )
            if _repeats(hints[name]):
                fields[name] = (*fields.get(name, ()), *([made] if made is not None else []))
            elif name in fields:
                self._note(line, inner, "stands twice")
            else:
                fields[name] = made if made is not None else WRONG
            return
        for _ in _nodes_below(node):
            next(self._lines)
        if node.properties or node.children:
            self._note(line, inner, "holds a value alone" if name in hints else "is not a setting")
        elif name in hints and _repeats(hints[name]):
            before = fields.get(name, ())
            self._value(
                fields,
                hints,
                name,
                [*(before if before is not WRONG else ()), *node.args],
                line,
                path,
                again=True,
            )
        elif len(node.args) != 1 and name in hints:
            self._note(line, inner, f"takes one value, has {len(node.args)}")
            fields[name] = WRONG
        else:
            self._value(fields, hints, name, node.args[0] if node.args else None, line, path)

    def _value(
        self,
        fields: dict[str, Any],
        hints: dict[str, Any],
        name: str,
        value: Any,
        line: int,
        path: str,
        again: bool = False,
    ) -> None:
        field = _path(path, name.replace("_", "-"))
        if name not in hints or name in ("line", "args") or _block_in(hints[name]) is not None:
            self._note(line, field, "is not a setting")
        elif name in fields and not again:
            self._note(line, field, "stands twice")
        else:
            try:
                fields[name] = msgspec.convert(value, hints[name], strict=True)
            except msgspec.ValidationError as error:
                self._note(line, field, f"{_plain(error)}, not {value!r:.60}")
                fields[name] = WRONG

    def _note(self, line: int, field: str, text: str) -> None:
        self.mistakes.append(Mistake(self._file, line, field, text))


def _plain(error: msgspec.ValidationError) -> str:
    return str(error).split(" - at ")[0].split(", got ")[0].replace("`", "").lower()


def _path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _block_in(hint: Any) -> type[Block] | None:
    """The Block that a field takes, once or repeatedly."""
    for kind in (hint, *typing.get_args(hint)):
        if isinstance(kind, type) and issubclass(kind, Block):
            return kind
    return None


def _repeats(hint: Any) -> bool:
    return typing.get_origin(hint) is tuple or (
        typing.get_origin(hint) in (typing.Union, types.UnionType)
        and any(typing.get_origin(a) is tuple for a in typing.get_args(hint))
    )


def _nodes_below(node: Any) -> Iterator[Any]:
    for child in node.children:
        yield child
        yield from _nodes_below(child)


# Lines

TOKEN = re.compile(
    r'(?P<raw>(?P<hash>#+)(?P<quotes>"""|").*?(?P=quotes)(?P=hash))'
    r'|(?P<text>"""(?:\\.|[^\\])*?"""|"(?:\\.|[^"\\])*")'
    r"|(?P<note>//[^\n]*)|(?P<open_note>/\*)|(?P<off>/-)|(?P<continue>\\[^\n]*\n)"
    r"|(?P<end>[\n;])|(?P<open>\{)|(?P<close>\})|(?P<space>[^\S\n]+)|(?P<word>[^\s;{}\"\\/]+|.)",
    re.DOTALL,
)


def lines_of(text: str) -> Iterator[int]:
    """The lines on which the nodes of a document that is sound begin, in the order in which they stand,
    without those that are commented out."""
    starts, depth, off_from = True, 0, None
    off_node = off_entry = False
    for kind, line in _tokens(text):
        if kind == "end":
            starts, off_entry = True, False
            if off_from is None:
                off_node = False
        elif kind == "off":
            off_node, off_entry = off_node or starts, not starts
        elif kind == "open":
            if off_from is None and (off_node or off_entry):
                off_from = depth
            depth, starts, off_entry = depth + 1, True, False
        elif kind == "close":
            depth -= 1
            if off_from == depth:
                off_from, off_node = None, off_node and off_from is None
            starts = True
        elif kind in ("word", "text", "raw"):
            if starts and off_from is None and not off_node:
                yield line
            starts = off_entry = False


def _tokens(text: str) -> Iterator[tuple[str, int]]:
    at, line = 0, 1
    while at < len(text):
        match = TOKEN.match(text, at)
        assert match is not None
        kind, end = str(match.lastgroup), match.end()
        for name in ("raw", "text"):
            kind = name if match[name] is not None else kind
        if kind == "open_note":
            end = _note_end(text, at)
        if kind not in ("note", "open_note", "space", "continue"):
            yield kind, line
        line += text.count("\n", at, end)
        at = end


def _note_end(text: str, at: int) -> int:
    """Comments of several lines may hold others."""
    depth = 0
    for match in re.compile(r"/\*|\*/").finditer(text, at):
        depth += 1 if match[0] == "/*" else -1
        if not depth:
            return match.end()
    return len(text)


def _line_of_error(text: str) -> int:
    """The first line after which no end of the text would make it sound: open braces are closed for the try.
    A text that only ends too early is wrong in its last line."""
    lines = text.rstrip().split("\n")
    for count in range(1, len(lines) + 1):
        part = "\n".join(lines[:count])
        opened = sum({"open": 1, "close": -1}.get(kind, 0) for kind, _ in _tokens(part))
        try:
            ckdl.parse(part + "\n" + "}" * max(0, opened), version=2)
        except ckdl.ParseError:
            rest = "\n".join(lines[count:])
            if not rest.strip() or ('"""' not in part and "/*" not in part):
                return count
    return len(lines)

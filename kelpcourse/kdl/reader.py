"""Reads a KDL 2 document into typed values; every problem is named with file, line and field.

ckdl parses the document and msgspec checks each value against its type. A `Block` is a msgspec Struct for one node:
its fields are filled from the node's arguments (`args`, in order), its properties, and its children by name. A field
that is a tuple of blocks takes a child node for each. Hyphens in names stand for underscores of the fields.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar, TypeVar

import ckdl
import msgspec

from kelpcourse.kdl.errors import SettingProblem, SettingsError
from kelpcourse.kdl.lines import KDL_VERSION, error_line, node_lines

BlockType = TypeVar("BlockType", bound="Block")
INVALID = object()  # stands for a value that was given and can't be used
RESERVED = ("line", "args")  # fields of every block, which no setting can be named


class Block(msgspec.Struct, kw_only=True, frozen=True):
    """A node with its place, so that later checks can name it, too."""

    args: ClassVar[tuple[str, ...]] = ()  # fields that a node's arguments fill, in order
    line: int = 0

    def problems(self) -> Iterator[tuple[str, str]]:
        """Field and text of what is wrong beyond the types."""
        yield from ()


def load(path: Path, block_type: type[BlockType]) -> tuple[BlockType | None, list[SettingProblem]]:
    """Reads a file into what is valid of it and every problem, so that a caller can add its own.

    Raises:
        SettingsError: nothing can be read at all.
    """
    file = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        problem = SettingProblem(file, 0, "file", error.strerror or str(error))
        raise SettingsError([problem]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([SettingProblem(file, 0, "file", "not UTF-8")]) from error
    return read(text, file, block_type)


def parse(text: str, file: str, block_type: type[BlockType]) -> BlockType:
    """Reads a text that must be valid.

    Raises:
        SettingsError: with every problem of the text.
    """
    block, problems = read(text, file, block_type)
    if problems or block is None:
        raise SettingsError(problems)
    return block


def read(
    text: str, file: str, block_type: type[BlockType]
) -> tuple[BlockType | None, list[SettingProblem]]:
    """Reads a text into what is valid of it and every problem.

    Raises:
        SettingsError: the text is not KDL.
    """
    try:
        document = ckdl.parse(text, version=KDL_VERSION)
    except ckdl.ParseError as error:
        problem = SettingProblem(file, error_line(text), "syntax", str(error))
        raise SettingsError([problem]) from error
    reader = _Reader(file, node_lines(text))
    block = reader.read_block(block_type, _Node(children=list(document.nodes)), 1, "")
    return block, reader.problems


@dataclass(frozen=True)
class _Node:
    """What a node holds; the document itself counts as one."""

    values: Sequence[object] = ()
    properties: dict[str, object] = field(default_factory=dict)
    children: list[ckdl.Node] = field(default_factory=list)

    @classmethod
    def of(cls, node: ckdl.Node) -> _Node:
        return cls(list(node.args), dict(node.properties), list(node.children))


@dataclass
class _BlockFields:
    """The fields of a block while its node is read."""

    path: str
    hints: dict[str, Any]  # annotations by field
    values: dict[str, Any] = field(default_factory=dict)

    def is_setting(self, name: str) -> bool:
        """Whether a field of this name takes values."""
        if name not in self.hints or name in RESERVED:
            return False
        return _block_type_in(self.hints[name]) is None

    def block_type(self, name: str) -> type[Block] | None:
        """The type of the blocks that a field takes."""
        return None if name in RESERVED else _block_type_in(self.hints.get(name))

    def repeats(self, name: str) -> bool:
        """Whether a field takes several values or blocks."""
        return name in self.hints and _is_tuple(self.hints[name])


class _Reader:
    """Fills blocks from nodes and collects the problems."""

    def __init__(self, file: str, lines: Iterator[int]) -> None:
        self._file = file
        self._lines = lines  # of the nodes, in the order of the document
        self.problems: list[SettingProblem] = []

    def read_block(
        self, block_type: type[BlockType], node: _Node, line: int, path: str
    ) -> BlockType | None:
        """Fills a block. An invalid setting is left at its default; without a default there is no block."""
        fields = _BlockFields(path, typing.get_type_hints(block_type, include_extras=True))
        self._read_arguments(fields, block_type.args, node.values, line)
        for name, value in node.properties.items():
            self._read_value(fields, name.replace("-", "_"), value, line)
        for child in node.children:
            self._read_child(fields, child)
        required = [each.name for each in msgspec.structs.fields(block_type) if each.required]
        for name in required:
            if name not in fields.values:
                self._add(line, _join(path, name), "is missing")
        valid = {name: value for name, value in fields.values.items() if value is not INVALID}
        if any(name not in valid for name in required):
            return None
        block = block_type(**{**valid, "line": line})
        for name, text in block.problems():
            if fields.values.get(name) is not INVALID:  # otherwise it is reported already
                self._add(line, _join(path, name), text)
        return block

    def _read_arguments(
        self, fields: _BlockFields, names: Sequence[str], values: Sequence[object], line: int
    ) -> None:
        for name, value in zip(names, values, strict=False):
            self._read_value(fields, name, value, line)
        for value in values[len(names) :]:
            self._add(line, fields.path or "file", f"one argument too many: {value!r:.60}")

    def _read_child(self, fields: _BlockFields, child: ckdl.Node) -> None:
        line = next(self._lines)
        name = child.name.replace("-", "_")
        block_type = fields.block_type(name)
        if block_type is not None:
            self._read_child_block(fields, block_type, child, line)
            return
        for _ in _descendants(child):
            next(self._lines)
        self._read_child_values(fields, child, line)

    def _read_child_block(
        self, fields: _BlockFields, block_type: type[Block], child: ckdl.Node, line: int
    ) -> None:
        name = child.name.replace("-", "_")
        path = _join(fields.path, child.name)
        block = self.read_block(block_type, _Node.of(child), line, path)
        if fields.repeats(name):
            found = (block,) if block is not None else ()
            fields.values[name] = (*fields.values.get(name, ()), *found)
        elif name in fields.values:
            self._add(line, path, "stands twice")
        else:
            fields.values[name] = block if block is not None else INVALID

    def _read_child_values(self, fields: _BlockFields, child: ckdl.Node, line: int) -> None:
        name = child.name.replace("-", "_")
        path = _join(fields.path, child.name)
        if child.properties or child.children:
            is_known = name in fields.hints
            self._add(line, path, "holds a value alone" if is_known else "is not a setting")
        elif fields.repeats(name):
            before = fields.values.get(name, ())
            earlier = () if before is INVALID else before
            self._read_value(fields, name, [*earlier, *child.args], line, extends=True)
        elif len(child.args) != 1 and name in fields.hints:
            self._add(line, path, f"takes one value, has {len(child.args)}")
            fields.values[name] = INVALID
        else:
            self._read_value(fields, name, child.args[0] if child.args else None, line)

    def _read_value(
        self, fields: _BlockFields, name: str, value: object, line: int, extends: bool = False
    ) -> None:
        path = _join(fields.path, name.replace("_", "-"))
        if not fields.is_setting(name):
            self._add(line, path, "is not a setting")
            return
        if name in fields.values and not extends:
            self._add(line, path, "stands twice")
            return
        try:
            fields.values[name] = msgspec.convert(value, fields.hints[name], strict=True)
        except msgspec.ValidationError as error:
            self._add(line, path, f"{_reason(error)}, not {value!r:.60}")
            fields.values[name] = INVALID

    def _add(self, line: int, path: str, text: str) -> None:
        self.problems.append(SettingProblem(self._file, line, path, text))


def _reason(error: msgspec.ValidationError) -> str:
    """What msgspec expected, without the path and the value that it adds."""
    return str(error).split(" - at ")[0].split(", got ")[0].replace("`", "").lower()


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _block_type_in(hint: object) -> type[Block] | None:
    """The block that a field takes, once or repeatedly."""
    for candidate in (hint, *typing.get_args(hint)):
        if isinstance(candidate, type) and issubclass(candidate, Block):
            return candidate
    return None


def _is_tuple(hint: object) -> bool:
    origin = typing.get_origin(hint)
    if origin is tuple:
        return True
    is_union = origin in (typing.Union, types.UnionType)
    return is_union and any(typing.get_origin(each) is tuple for each in typing.get_args(hint))


def _descendants(node: ckdl.Node) -> Iterator[ckdl.Node]:
    for child in node.children:
        yield child
        yield from _descendants(child)

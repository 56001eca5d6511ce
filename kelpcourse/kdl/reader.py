"""Reads a KDL 2 document into typed values and reports every problem with file, line and field.

ckdl parses the document and msgspec validates each value against its type. A `Block` is a msgspec Struct for one node:
its fields are filled from the node's arguments (`args`, in order), its properties, and its children by name. A field
that is a tuple of blocks is filled from repeated child nodes. Hyphens in names correspond to underscores in fields.
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
INVALID = object()  # Placeholder for a value that is present and invalid.
RESERVED = ("line", "args")  # Names that no setting may have, because every block uses them.


class Block(msgspec.Struct, kw_only=True, frozen=True):
    """A node with its line number, so that later checks can report it as well."""

    # Names of the fields that are filled from the node's arguments, in order.
    args: ClassVar[tuple[str, ...]] = ()
    line: int = 0

    def problems(self) -> Iterator[tuple[str, str]]:
        """Yields the field and the text of each problem that validation by type does not find."""
        yield from ()


def load(path: Path, block_type: type[BlockType]) -> tuple[BlockType | None, list[SettingProblem]]:
    """Reads a file and returns the valid settings and all problems, so that callers can add their own.

    Raises:
        SettingsError: The file cannot be read, is not UTF-8 or is not KDL.
    """
    file = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        problem = SettingProblem(file, 0, "file", error.strerror or str(error))
        raise SettingsError([problem]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([SettingProblem(file, 0, "file", "is not UTF-8")]) from error
    return read(text, file, block_type)


def parse(text: str, file: str, block_type: type[BlockType]) -> BlockType:
    """Reads a text that must be valid as a whole.

    Raises:
        SettingsError: The text is invalid; the error contains all problems.
    """
    block, problems = read(text, file, block_type)
    if problems or block is None:
        raise SettingsError(problems)
    return block


def read(
    text: str, file: str, block_type: type[BlockType]
) -> tuple[BlockType | None, list[SettingProblem]]:
    """Reads a text and returns the valid settings and all problems.

    The settings are None if a required one is missing or invalid.

    Raises:
        SettingsError: The text is not KDL.
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
    """The contents of a node; the document is also represented as a node."""

    values: Sequence[object] = ()
    properties: dict[str, object] = field(default_factory=dict)
    children: list[ckdl.Node] = field(default_factory=list)

    @classmethod
    def from_ckdl(cls, node: ckdl.Node) -> _Node:
        return cls(list(node.args), dict(node.properties), list(node.children))


@dataclass
class _BlockFields:
    """The fields of a block while its node is read.

    Attributes:
        path: Names of the enclosing nodes, joined by dots.
        hints: Type annotations by field.
        values: Values that were read, by field; INVALID for invalid ones.
    """

    path: str
    hints: dict[str, Any]
    values: dict[str, Any] = field(default_factory=dict)

    def is_setting(self, name: str) -> bool:
        """Returns whether this is the name of a field that holds values, not blocks."""
        if name not in self.hints or name in RESERVED:
            return False
        return _block_type_in(self.hints[name]) is None

    def block_type(self, name: str) -> type[Block] | None:
        """Returns the type of the blocks that a field holds, or None if it holds none."""
        return None if name in RESERVED else _block_type_in(self.hints.get(name))

    def repeats(self, name: str) -> bool:
        """Returns whether a field can hold several values or blocks."""
        return name in self.hints and _is_tuple(self.hints[name])


class _Reader:
    """Fills blocks from nodes and collects the problems."""

    def __init__(self, file: str, lines: Iterator[int]) -> None:
        self._file = file
        self._lines = lines  # Line numbers of the nodes, in document order.
        self.problems: list[SettingProblem] = []

    def read_block(
        self, block_type: type[BlockType], node: _Node, line: int, path: str
    ) -> BlockType | None:
        """Returns the block of a node, or None if a required setting is missing or invalid.

        Other invalid settings keep their defaults. Problems are added to `problems`.
        """
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
            # Invalid values were reported when they were read.
            if fields.values.get(name) is not INVALID:
                self._add(line, _join(path, name), text)
        return block

    def _read_arguments(
        self, fields: _BlockFields, names: Sequence[str], values: Sequence[object], line: int
    ) -> None:
        for name, value in zip(names, values, strict=False):
            self._read_value(fields, name, value, line)
        for value in values[len(names) :]:
            self._add(line, fields.path or "file", f"unexpected argument: {value!r:.60}")

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
        block = self.read_block(block_type, _Node.from_ckdl(child), line, path)
        if fields.repeats(name):
            blocks = (block,) if block is not None else ()
            fields.values[name] = (*fields.values.get(name, ()), *blocks)
        elif name in fields.values:
            self._add(line, path, "appears twice")
        else:
            fields.values[name] = block if block is not None else INVALID

    def _read_child_values(self, fields: _BlockFields, child: ckdl.Node, line: int) -> None:
        name = child.name.replace("-", "_")
        path = _join(fields.path, child.name)
        if child.properties or child.children:
            is_known = name in fields.hints
            self._add(line, path, "accepts values only" if is_known else "is not a setting")
        elif fields.repeats(name):
            before = fields.values.get(name, ())
            earlier = () if before is INVALID else before
            self._read_value(fields, name, [*earlier, *child.args], line, extends=True)
        elif len(child.args) != 1 and name in fields.hints:
            self._add(line, path, f"expected one value, not {len(child.args)}")
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
            self._add(line, path, "appears twice")
            return
        try:
            fields.values[name] = msgspec.convert(value, fields.hints[name], strict=True)
        except msgspec.ValidationError as error:
            self._add(line, path, f"{_reason(error)}, not {value!r:.60}")
            fields.values[name] = INVALID

    def _add(self, line: int, path: str, text: str) -> None:
        self.problems.append(SettingProblem(self._file, line, path, text))


def _reason(error: msgspec.ValidationError) -> str:
    """Returns what msgspec expected, without the path and the value in its message."""
    return str(error).split(" - at ")[0].split(", got ")[0].replace("`", "").lower()


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _block_type_in(hint: object) -> type[Block] | None:
    """Returns the type of the block or blocks that a field holds, or None if it holds none."""
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

"""Reading `name=value` fields, with errors that name the field."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

EnumT = TypeVar("EnumT", bound=Enum)


class InputError(ValueError):
    """A line or a settings object that can't be understood; the text says why."""


class FieldError(InputError):
    """A field that is missing or has no usable value."""

    def __init__(self, field: str, problem: str) -> None:
        """`problem` follows the field's name in the text."""
        super().__init__(f"field '{field}' {problem}")
        self.field = field
        self.problem = problem


class Fields:
    """The fields of one line. Those that nobody asks for are disregarded."""

    def __init__(self, pairs: Mapping[str, str], prefix: str = "") -> None:
        """`prefix` goes before each name that is asked for."""
        self._pairs = pairs
        self._prefix = prefix

    @classmethod
    def parse(cls, parts: list[str]) -> Fields:
        """Reads `name=value` parts. Raises FieldError."""
        pairs: dict[str, str] = {}
        for part in parts:
            name, separator, value = part.partition("=")
            if not separator or not name:
                raise FieldError(part, "is not name=value")
            if name in pairs:
                raise FieldError(name, "appears twice")
            pairs[name] = value
        return cls(pairs)

    @classmethod
    def from_nested(cls, value: Mapping[str, object]) -> Fields:
        """The same fields out of nested JSON, as the simulator would write them on one line.

        Raises FieldError for a value that has no place on a line.
        """
        pairs: dict[str, str] = {}
        _flatten(value, "", pairs)
        return cls(pairs)

    def under(self, path: str) -> Fields:
        """The fields whose names begin with a path and a dot."""
        return Fields(self._pairs, f"{self._prefix}{path}.")

    def has(self, name: str) -> bool:
        """Whether the field is there."""
        return self._prefix + name in self._pairs

    def text(self, name: str) -> str:
        """The value as it is written. Raises FieldError, as all readers below do."""
        key = self._prefix + name
        if key not in self._pairs:
            raise FieldError(key, "is missing")
        return self._pairs[key]

    def integer(self, name: str) -> int:
        """A whole number."""
        value = self.text(name)
        digits = value[1:] if value.startswith("-") else value
        if not (digits.isascii() and digits.isdigit()):
            raise FieldError(self._prefix + name, f"is not a whole number: '{value}'")
        return int(value)

    def count(self, name: str) -> int:
        """A whole number from 0 up."""
        value = self.integer(name)
        if value < 0:
            raise FieldError(self._prefix + name, f"is below 0: '{value}'")
        return value

    def number(self, name: str) -> float:
        """A finite number."""
        return read_number(self._prefix + name, self.text(name))

    def boolean(self, name: str) -> bool:
        """A truth value: 1 or true, 0 or false."""
        value = self.text(name)
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise FieldError(self._prefix + name, f"is not a bool: '{value}'")

    def words(self, name: str) -> tuple[str, ...]:
        """Words between commas; none if the field is absent."""
        value = self.text(name) if self.has(name) else ""
        return tuple(word for word in value.split(",") if word)

    def choice(self, name: str, table: Mapping[str, EnumT]) -> EnumT:
        """The member of an enumeration that the value stands for."""
        value = self.text(name)
        if value not in table:
            raise FieldError(self._prefix + name, f"has no such value: '{value}'")
        return table[value]

    def load(self, name: str) -> tuple[tuple[str, float], ...]:
        """A load report, name:value pairs; none if the field is absent."""
        pairs = []
        for word in self.words(name):
            key, separator, value = word.partition(":")
            if not separator or not key:
                raise FieldError(self._prefix + name, f"is not a load report: '{word}'")
            pairs.append((key, read_number(self._prefix + name, value)))
        return tuple(pairs)


def read_number(name: str, value: str) -> float:
    """A finite number. Raises FieldError with the field's name."""
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise FieldError(name, f"is not a number: '{value}'")
    return number


def _flatten(value: Mapping[str, object], path: str, pairs: dict[str, str]) -> None:
    for name, item in value.items():
        key = path + name
        if isinstance(item, Mapping):
            _flatten(item, key + ".", pairs)
        elif isinstance(item, list) and any(isinstance(entry, Mapping) for entry in item):
            _flatten_objects(item, key, pairs)
        elif isinstance(item, list):
            pairs[key] = ",".join(_plain(key, entry) for entry in item)
        elif item is not None:
            pairs[key] = _plain(key, item)


def _flatten_objects(items: list[object], key: str, pairs: dict[str, str]) -> None:
    pairs[key + ".count"] = str(len(items))
    for index, entry in enumerate(items):
        if not isinstance(entry, Mapping):
            raise FieldError(f"{key}.{index}", "is not an object")
        _flatten(entry, f"{key}.{index}.", pairs)


def _plain(key: str, value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return value.replace(" ", "_").replace(",", "_")
    if isinstance(value, int | float):
        return str(value)
    raise FieldError(key, "is not a plain value")

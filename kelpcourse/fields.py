"""Parsing of `name=value` fields, with errors that name the field."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

EnumT = TypeVar("EnumT", bound=Enum)


class InputError(ValueError):
    """Raised for a line or a settings object that can't be parsed; the message gives the reason."""


class FieldError(InputError):
    """Raised for a field that is missing or has an invalid value."""

    def __init__(self, field: str, problem: str) -> None:
        """Initializes the error.

        Args:
            field: Full name of the field.
            problem: Predicate that follows the name of the field in the message.
        """
        super().__init__(f"field '{field}' {problem}")
        self.field = field
        self.problem = problem


class Fields:
    """The fields of one line or settings object. Fields that are never read are ignored."""

    def __init__(self, pairs: Mapping[str, str], prefix: str = "") -> None:
        """Initializes the fields.

        Args:
            pairs: Values by full field name.
            prefix: Prefix that is put before each name that is read.
        """
        self._pairs = pairs
        self._prefix = prefix

    @classmethod
    def parse(cls, parts: list[str]) -> Fields:
        """Parses `name=value` parts.

        Raises:
            FieldError: A part is not of this form, or a name appears twice.
        """
        pairs: dict[str, str] = {}
        for part in parts:
            name, separator, value = part.partition("=")
            if not separator or not name:
                raise FieldError(part, "is not of the form name=value")
            if name in pairs:
                raise FieldError(name, "appears twice")
            pairs[name] = value
        return cls(pairs)

    @classmethod
    def from_nested(cls, value: Mapping[str, object]) -> Fields:
        """Flattens nested JSON into the fields that the simulator would write on one line.

        Raises:
            FieldError: A value can't be written on a line.
        """
        pairs: dict[str, str] = {}
        _flatten(value, "", pairs)
        return cls(pairs)

    def under(self, path: str) -> Fields:
        """Returns the fields whose names begin with a path and a dot."""
        return Fields(self._pairs, f"{self._prefix}{path}.")

    def has(self, name: str) -> bool:
        """Returns whether the field is present."""
        return self._prefix + name in self._pairs

    def text(self, name: str) -> str:
        """Returns the value as it is written. Raises FieldError, as all methods below do."""
        key = self._prefix + name
        if key not in self._pairs:
            raise FieldError(key, "is missing")
        return self._pairs[key]

    def integer(self, name: str) -> int:
        """Returns a whole number."""
        value = self.text(name)
        digits = value[1:] if value.startswith("-") else value
        if not (digits.isascii() and digits.isdigit()):
            raise FieldError(self._prefix + name, f"is not a whole number: '{value}'")
        return int(value)

    def count(self, name: str) -> int:
        """Returns a whole number that is not negative."""
        value = self.integer(name)
        if value < 0:
            raise FieldError(self._prefix + name, f"is below 0: '{value}'")
        return value

    def number(self, name: str) -> float:
        """Returns a finite number."""
        return read_number(self._prefix + name, self.text(name))

    def boolean(self, name: str) -> bool:
        """Returns a boolean, written as `1` or `true`, `0` or `false`."""
        value = self.text(name)
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise FieldError(self._prefix + name, f"is not a boolean: '{value}'")

    def text_list(self, name: str) -> tuple[str, ...]:
        """Returns the comma-separated parts that are not empty; none if the field is absent."""
        value = self.text(name) if self.has(name) else ""
        return tuple(part for part in value.split(",") if part)

    def choice(self, name: str, table: Mapping[str, EnumT]) -> EnumT:
        """Returns the member of an enumeration that a table maps the value to."""
        value = self.text(name)
        if value not in table:
            raise FieldError(self._prefix + name, f"has an unknown value: '{value}'")
        return table[value]

    def load(self, name: str) -> tuple[tuple[str, float], ...]:
        """Returns the comma-separated name:value pairs of a load report; none if the field is absent."""
        pairs = []
        for part in self.text_list(name):
            key, separator, value = part.partition(":")
            if not separator or not key:
                raise FieldError(self._prefix + name, f"is not a load report: '{part}'")
            pairs.append((key, read_number(self._prefix + name, value)))
        return tuple(pairs)


def read_number(name: str, value: str) -> float:
    """Returns a finite number. Raises FieldError with the name of the field."""
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
    raise FieldError(key, "is neither a string, a number nor a boolean")

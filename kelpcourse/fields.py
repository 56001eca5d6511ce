"""Reading `name=value` fields, with errors that name the field."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

E = TypeVar("E", bound=Enum)


class WireError(ValueError):
    """A line that cannot be understood; the text names the field."""


class Fields:
    """The fields of one line. Keys that nobody asks for are disregarded."""

    def __init__(self, pairs: Mapping[str, str], prefix: str = "") -> None:
        self._pairs = pairs
        self._prefix = prefix

    @classmethod
    def parse(cls, parts: list[str]) -> Fields:
        pairs: dict[str, str] = {}
        for part in parts:
            name, sep, value = part.partition("=")
            if not sep or not name:
                raise WireError(f"field '{part}' is not name=value")
            if name in pairs:
                raise WireError(f"field '{name}' appears twice")
            pairs[name] = value
        return cls(pairs)

    @classmethod
    def of_nested(cls, value: Mapping[str, object]) -> Fields:
        """The same fields out of nested JSON, as the simulator would write them on one line."""
        pairs: dict[str, str] = {}
        _flatten(value, "", pairs)
        return cls(pairs)

    def under(self, path: str) -> Fields:
        return Fields(self._pairs, f"{self._prefix}{path}.")

    def has(self, name: str) -> bool:
        return self._prefix + name in self._pairs

    def text(self, name: str) -> str:
        key = self._prefix + name
        if key not in self._pairs:
            raise WireError(f"field '{key}' is missing")
        return self._pairs[key]

    def integer(self, name: str) -> int:
        value = self.text(name)
        digits = value[1:] if value.startswith("-") else value
        if not (digits.isascii() and digits.isdigit()):
            raise WireError(f"field '{self._prefix}{name}' is not a whole number: '{value}'")
        return int(value)

    def count(self, name: str) -> int:
        value = self.integer(name)
        if value < 0:
            raise WireError(f"field '{self._prefix}{name}' is below 0: '{value}'")
        return value

    def number(self, name: str) -> float:
        return number_of(self._prefix + name, self.text(name))

    def boolean(self, name: str) -> bool:
        value = self.text(name)
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise WireError(f"field '{self._prefix}{name}' is not a bool: '{value}'")

    def words(self, name: str) -> tuple[str, ...]:
        value = self.text(name) if self.has(name) else ""
        return tuple(word for word in value.split(",") if word)

    def choice(self, name: str, table: Mapping[str, E]) -> E:
        value = self.text(name)
        if value not in table:
            raise WireError(f"field '{self._prefix}{name}' has no such value: '{value}'")
        return table[value]

    def load(self, name: str) -> tuple[tuple[str, float], ...]:
        """A load report, name:value pairs; absent means none came."""
        out = []
        for pair in self.words(name):
            key, sep, value = pair.partition(":")
            if not sep or not key:
                raise WireError(f"field '{self._prefix}{name}' is not a load report: '{pair}'")
            out.append((key, number_of(self._prefix + name, value)))
        return tuple(out)


def _flatten(value: Mapping[str, object], path: str, pairs: dict[str, str]) -> None:
    for name, item in value.items():
        key = path + name
        if isinstance(item, Mapping):
            _flatten(item, key + ".", pairs)
        elif isinstance(item, list) and any(isinstance(entry, Mapping) for entry in item):
            pairs[key + ".count"] = str(len(item))
            for k, entry in enumerate(item):
                if not isinstance(entry, Mapping):
                    raise WireError(f"field '{key}.{k}' is not an object")
                _flatten(entry, f"{key}.{k}.", pairs)
        elif isinstance(item, list):
            pairs[key] = ",".join(_plain(key, entry) for entry in item)
        elif item is not None:
            pairs[key] = _plain(key, item)


def _plain(key: str, value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return value.replace(" ", "_").replace(",", "_")
    if isinstance(value, int | float):
        return str(value)
    raise WireError(f"field '{key}' is not a plain value")


def number_of(name: str, value: str) -> float:
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise WireError(f"field '{name}' is not a number: '{value}'")
    return number

"""Orders in plain terms. Each states an end result, and its key says which earlier ones it replaces."""

from __future__ import annotations

from dataclasses import dataclass


MARK = ("mark",)  # a call has one


@dataclass(frozen=True)
class SetShare:
    table: int
    host: str
    share: float

    @property
    def key(self) -> tuple[object, ...]:
        return ("share", self.table, self.host)


@dataclass(frozen=True)
class EmptyTable:
    table: int

    @property
    def key(self) -> tuple[object, ...]:
        return ("empty", self.table)


@dataclass(frozen=True)
class UseTable:
    proxy: int
    table: int
    classes: tuple[str, ...]  # empty: all

    @property
    def key(self) -> tuple[object, ...]:
        return ("use", self.proxy, self.classes)


@dataclass(frozen=True)
class ShutOut:
    host: str
    out: bool

    @property
    def key(self) -> tuple[object, ...]:
        return ("out", self.host)


@dataclass(frozen=True)
class Limit:
    table: int | None  # None: all
    classes: tuple[str, ...]  # empty: all
    gate: float
    again: int

    @property
    def key(self) -> tuple[object, ...]:
        return ("limit", self.table, self.classes)


@dataclass(frozen=True)
class Mark:
    stamp: int
    everyone: bool
    covers: tuple[int, ...] = ()  # stamps of earlier marks that this one went out in place of

    @property
    def key(self) -> tuple[object, ...]:
        return MARK


Order = SetShare | EmptyTable | UseTable | ShutOut | Limit | Mark

"""Orders to the relay, by endpoint name.

Each order states an end result; its key says which earlier orders it supersedes.
"""

from __future__ import annotations

from dataclasses import dataclass

OrderKey = tuple[object, ...]

CHECKPOINT_KEY: OrderKey = ("checkpoint",)  # a call has one checkpoint


@dataclass(frozen=True)
class SetWeight:
    """Sets the weight of an endpoint in a table; 0 removes the entry."""

    table: int
    endpoint: str
    weight: float

    @property
    def key(self) -> OrderKey:
        """Orders with this key are superseded."""
        return ("weight", self.table, self.endpoint)


@dataclass(frozen=True)
class ClearTable:
    """Removes every entry and admission limit of a table."""

    table: int

    @property
    def key(self) -> OrderKey:
        """Orders with this key are superseded."""
        return ("clear", self.table)


@dataclass(frozen=True)
class BindProxy:
    """Makes a proxy use a table for some classes."""

    proxy: int
    table: int
    classes: tuple[str, ...]  # empty: all

    @property
    def key(self) -> OrderKey:
        """Orders with this key are superseded."""
        return ("bind", self.proxy, self.classes)


@dataclass(frozen=True)
class WithdrawEndpoint:
    """Stops all proxies from sending to an endpoint."""

    endpoint: str

    @property
    def key(self) -> OrderKey:
        """Orders with this key are superseded, also by `RestoreEndpoint`."""
        return ("withdrawn", self.endpoint)


@dataclass(frozen=True)
class RestoreEndpoint:
    """Lets proxies send to a withdrawn endpoint again."""

    endpoint: str

    @property
    def key(self) -> OrderKey:
        """Orders with this key are superseded, also by `WithdrawEndpoint`."""
        return ("withdrawn", self.endpoint)


@dataclass(frozen=True)
class SetAdmission:
    """How much of some classes the proxies of a table admit, and when they retry."""

    table: int | None  # None: all
    classes: tuple[str, ...]  # empty: all
    limit: float  # a ratio or requests per second, by `Settings.admission_mode`
    retry_policy: int  # the value of a `RetryPolicy`

    @property
    def key(self) -> OrderKey:
        """Orders with this key are superseded."""
        return ("admission", self.table, self.classes)


@dataclass(frozen=True)
class Checkpoint:
    """Ends the orders of a call; proxies acknowledge it by its number."""

    checkpoint_id: int
    all_proxies: bool
    superseded: tuple[int, ...] = ()  # numbers of earlier checkpoints that this one stands for

    @property
    def key(self) -> OrderKey:
        """Orders with this key are superseded."""
        return CHECKPOINT_KEY


Order = (
    SetWeight
    | ClearTable
    | BindProxy
    | WithdrawEndpoint
    | RestoreEndpoint
    | SetAdmission
    | Checkpoint
)

"""Orders to the relay, which identify endpoints by name.

Each order states an end result; its key determines which earlier orders it supersedes.
"""

from __future__ import annotations

from dataclasses import dataclass

OrderKey = tuple[object, ...]

CHECKPOINT_KEY: OrderKey = ("checkpoint",)  # key of all checkpoints, as a call has only one


@dataclass(frozen=True)
class SetWeight:
    """Sets the weight of an endpoint in a table; 0 removes the entry."""

    table: int
    endpoint: str
    weight: float

    @property
    def key(self) -> OrderKey:
        """The key of the earlier orders that this order supersedes."""
        return ("weight", self.table, self.endpoint)


@dataclass(frozen=True)
class ClearTable:
    """Removes every entry and admission limit of a table."""

    table: int

    @property
    def key(self) -> OrderKey:
        """The key of the earlier orders that this order supersedes."""
        return ("clear", self.table)


@dataclass(frozen=True)
class BindProxy:
    """Makes a proxy use a table for some request classes."""

    proxy: int
    table: int
    classes: tuple[str, ...]  # names of request classes; empty for all classes

    @property
    def key(self) -> OrderKey:
        """The key of the earlier orders that this order supersedes."""
        return ("bind", self.proxy, self.classes)


@dataclass(frozen=True)
class WithdrawEndpoint:
    """Stops all proxies from sending to an endpoint."""

    endpoint: str

    @property
    def key(self) -> OrderKey:
        """The key of the earlier orders that this order supersedes, shared with `RestoreEndpoint`."""
        return ("withdrawn", self.endpoint)


@dataclass(frozen=True)
class RestoreEndpoint:
    """Allows proxies to send to a withdrawn endpoint again."""

    endpoint: str

    @property
    def key(self) -> OrderKey:
        """The key of the earlier orders that this order supersedes, shared with `WithdrawEndpoint`."""
        return ("withdrawn", self.endpoint)


@dataclass(frozen=True)
class SetAdmission:
    """Sets the admission limit of some request classes at the proxies of a table, and their retry policy."""

    table: int | None  # None for all tables
    classes: tuple[str, ...]  # names of request classes; empty for all classes
    limit: float  # a ratio or requests per second, depending on `Settings.admission_mode`
    retry_policy: int  # the value of a `RetryPolicy`

    @property
    def key(self) -> OrderKey:
        """The key of the earlier orders that this order supersedes."""
        return ("admission", self.table, self.classes)


@dataclass(frozen=True)
class Checkpoint:
    """Marks the end of a call's orders. Proxies acknowledge it by its number once they have applied them."""

    checkpoint_id: int
    all_proxies: bool
    superseded: tuple[int, ...] = ()  # numbers of earlier checkpoints, oldest first

    @property
    def key(self) -> OrderKey:
        """The key of the earlier orders that this order supersedes."""
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

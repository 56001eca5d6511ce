"""Actions that the decisions return. Times are microseconds on the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.policy.settings import EndpointId, ProxyId, RetryPolicy, TableId


@dataclass(frozen=True)
class SetTimer:
    """Asks for a `TimerFired` at a time."""

    name: str
    due_us: int


@dataclass(frozen=True)
class SetWeight:
    """Sets the weight of an endpoint in a table; 0 removes the entry."""

    table: TableId
    endpoint: EndpointId
    weight: float


@dataclass(frozen=True)
class ClearTable:
    """Removes every entry and admission limit of a table."""

    table: TableId


@dataclass(frozen=True)
class BindProxy:
    """Makes a proxy use a table for some classes, given by their positions in `Settings.classes`."""

    proxy: ProxyId
    table: TableId
    classes: tuple[int, ...]


@dataclass(frozen=True)
class SetAdmission:
    """How much of some classes the proxies of a table admit, and when they retry; no table: every joined proxy."""

    table: TableId | None
    classes: tuple[int, ...]
    limit: float  # a ratio or requests per second at each proxy, as `Settings.admission_mode` tells
    retry_policy: RetryPolicy


@dataclass(frozen=True)
class WithdrawEndpoint:
    """Stops all joined proxies from sending to an endpoint, whatever their tables state."""

    endpoint: EndpointId


@dataclass(frozen=True)
class RestoreEndpoint:
    """Lets proxies send to a withdrawn endpoint again."""

    endpoint: EndpointId


@dataclass(frozen=True)
class Checkpoint:
    """Ends the orders of a step; each proxy that is sent one acknowledges it by its number."""

    checkpoint_id: int
    all_proxies: bool  # joined proxies that the step's other orders don't concern are sent it too


@dataclass(frozen=True)
class ResendOrders:
    """Orders whose outcome is unknown may be sent again."""


@dataclass(frozen=True)
class WatchEndpoints:
    """Starts (again) or ends the watch of the endpoint list."""

    enabled: bool


@dataclass(frozen=True)
class FetchEndpoints:
    """Asks discovery for the complete endpoint list."""


@dataclass(frozen=True)
class CheckHealth:
    """Asks for one health check of an endpoint."""

    endpoint: EndpointId


@dataclass(frozen=True)
class SendToPeer:
    """Sends bytes to another controller."""

    peer: int | None  # None: all
    payload: bytes


@dataclass(frozen=True)
class LogMessage:
    """Writes a line to the log."""

    text: str


Action = (
    SetTimer
    | SetWeight
    | ClearTable
    | BindProxy
    | SetAdmission
    | WithdrawEndpoint
    | RestoreEndpoint
    | Checkpoint
    | ResendOrders
    | WatchEndpoints
    | FetchEndpoints
    | CheckHealth
    | SendToPeer
    | LogMessage
)

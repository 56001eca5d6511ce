"""Actions that the policy returns. Times are in microseconds on the clock of the caller."""

from __future__ import annotations

from dataclasses import dataclass

from kelpcourse.policy.settings import EndpointId, ProxyId, RetryPolicy, TableId


@dataclass(frozen=True)
class SetTimer:
    """Requests a `TimerFired` event at a time."""

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
    """Makes a proxy use a table for some classes, identified by their positions in `Settings.classes`."""

    proxy: ProxyId
    table: TableId
    classes: tuple[int, ...]


@dataclass(frozen=True)
class SetAdmission:
    """Sets the admission limit and the retry policy of some classes at the proxies of a table.

    Attributes:
        table: Id of the table; None for every joined proxy.
        classes: Positions of the classes in `Settings.classes`.
        limit: Admission ratio, or requests per second at each proxy, depending on `Settings.admission_mode`.
        retry_policy: When the proxies retry requests of these classes.
    """

    table: TableId | None
    classes: tuple[int, ...]
    limit: float
    retry_policy: RetryPolicy


@dataclass(frozen=True)
class WithdrawEndpoint:
    """Stops all joined proxies from sending to an endpoint, even if their tables have an entry of it."""

    endpoint: EndpointId


@dataclass(frozen=True)
class RestoreEndpoint:
    """Allows proxies to send to a withdrawn endpoint again."""

    endpoint: EndpointId


@dataclass(frozen=True)
class Checkpoint:
    """Ends the orders of a step; each proxy that receives it acknowledges its id.

    Attributes:
        checkpoint_id: Id of the checkpoint.
        all_proxies: Whether the checkpoint is also sent to joined proxies that receive no other order of the step.
    """

    checkpoint_id: int
    all_proxies: bool


@dataclass(frozen=True)
class ResendOrders:
    """Allows orders with an unknown outcome to be sent again."""


@dataclass(frozen=True)
class WatchEndpoints:
    """Starts, restarts or ends the watch of the endpoint list."""

    enabled: bool


@dataclass(frozen=True)
class FetchEndpoints:
    """Requests the complete endpoint list from discovery."""


@dataclass(frozen=True)
class CheckHealth:
    """Requests one health check of an endpoint."""

    endpoint: EndpointId


@dataclass(frozen=True)
class SendToPeer:
    """Sends bytes to another controller."""

    peer: int | None  # index of the controller; None for all others
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

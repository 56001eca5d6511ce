"""Events that are passed to the policy. Times are in microseconds on the clock of the caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcourse.policy.settings import EndpointId, ProxyId, TableId


class EndpointStatus(Enum):
    """The status of an endpoint according to discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """The relation of an endpoint list to the one received before."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class HealthCheckStatus(Enum):
    """The outcome of a health check."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNNECESSARY = "moot"


@dataclass(frozen=True)
class Endpoint:
    """An entry of the endpoint list."""

    id: EndpointId
    zone: str
    kind: str
    cell: int
    weight: float
    status: EndpointStatus
    started_us: int  # time at which the endpoint started; 0 if that was long ago


@dataclass(frozen=True)
class Started:
    """The first event: the controller has just started."""

    seed: int


@dataclass(frozen=True)
class EndpointList:
    """A complete endpoint list or changes to it, depending on `kind`."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    name: str


@dataclass(frozen=True)
class ProxyJoined:
    """A proxy has connected its stream to this controller."""

    proxy: ProxyId
    zone: str
    request_rate_per_s: float  # usual rate of the requests that the proxy receives
    has_no_table: bool  # whether the proxy has no table other than the one that it started with


@dataclass(frozen=True)
class ProxyLeft:
    """The stream of a proxy was disconnected."""

    proxy: ProxyId


@dataclass(frozen=True)
class OrdersAcknowledged:
    """A proxy has applied all orders up to a checkpoint."""

    proxy: ProxyId
    checkpoint_id: int
    latency_us: int


@dataclass(frozen=True)
class OrdersAccepted:
    """The relay has accepted the orders of a step, which may have been queued since the step."""

    checkpoint_id: int


@dataclass(frozen=True)
class OrdersOutcomeUnknown:
    """A call failed after the orders of these steps were sent; they are kept until `ResendOrders`."""

    checkpoint_ids: tuple[int, ...]


@dataclass(frozen=True)
class EndpointReport:
    """Measurements of the proxies of a zone at an endpoint within a window."""

    endpoint: EndpointId
    zone: str  # zone of the proxies that report
    attempts: int
    failed: int
    window_us: int
    mean_success_us: int  # mean time of the successful attempts; 0 if there are none
    load: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class DemandReport:
    """Requests of a class that reached a proxy within a window."""

    proxy: ProxyId
    class_index: int  # position in Settings.classes
    arrivals: int
    unanswered: int
    window_us: int


@dataclass(frozen=True)
class SliceDemand:
    """Requests of a class for a slice within a window."""

    slice: TableId
    class_index: int
    arrivals: int
    unanswered: int
    window_us: int


@dataclass(frozen=True)
class HealthCheckCompleted:
    """The outcome of one health check."""

    endpoint: EndpointId
    status: HealthCheckStatus
    latency_us: int
    load: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class SliceLeased:
    """The store has leased a slice to this controller or ended the lease."""

    slice: TableId
    is_held: bool


@dataclass(frozen=True)
class SliceWeight:
    """An entry of the table of a slice in the store."""

    slice: TableId
    endpoint: EndpointId
    weight: float


@dataclass(frozen=True)
class PeerMessage:
    """A message from another controller."""

    sender: int
    payload: bytes


Event = (
    Started
    | EndpointList
    | TimerFired
    | ProxyJoined
    | ProxyLeft
    | OrdersAcknowledged
    | OrdersAccepted
    | OrdersOutcomeUnknown
    | EndpointReport
    | DemandReport
    | SliceDemand
    | HealthCheckCompleted
    | SliceLeased
    | SliceWeight
    | PeerMessage
)

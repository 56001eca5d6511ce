"""Events that are fed to the decisions. Times are microseconds on the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kelpcourse.policy.settings import EndpointId, ProxyId, TableId


class EndpointStatus(Enum):
    """What discovery tells of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """How an endpoint list event relates to the list received before."""

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
    started_us: int  # 0: long ago


@dataclass(frozen=True)
class Started:
    """The first event: the controller has just started."""

    seed: int


@dataclass(frozen=True)
class EndpointList:
    """A complete endpoint list or changes to it, as `kind` tells."""

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
    request_rate_per_s: float  # that it ordinarily receives
    has_no_table: bool  # it holds nothing but the table that it started with


@dataclass(frozen=True)
class ProxyLeft:
    """The stream of a proxy has broken."""

    proxy: ProxyId


@dataclass(frozen=True)
class OrdersAcknowledged:
    """A proxy has applied everything up to a checkpoint."""

    proxy: ProxyId
    checkpoint_id: int
    latency_us: int


@dataclass(frozen=True)
class OrdersAccepted:
    """The relay has accepted the orders of a step, which may have waited since the step."""

    checkpoint_id: int


@dataclass(frozen=True)
class OrdersOutcomeUnknown:
    """A call failed after the orders of these steps were sent; they wait for `ResendOrders`."""

    checkpoint_ids: tuple[int, ...]


@dataclass(frozen=True)
class EndpointReport:
    """What the proxies of a zone measured at an endpoint within a window."""

    endpoint: EndpointId
    zone: str  # of the proxies that report
    attempts: int
    failed: int
    window_us: int
    mean_success_us: int  # mean time of the successful attempts, 0 if there are none
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
    """The store has given a slice to this controller, or taken it back."""

    slice: TableId
    is_held: bool


@dataclass(frozen=True)
class SliceWeight:
    """An entry of a slice's table as the store has it."""

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

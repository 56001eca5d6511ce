"""Settings, events and actions between the decision module and whatever hosts it.

Times are whole microseconds on the host's clock; rates are per second. Nothing here has a default:
the hosting front states every value, the module decides what to do with it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

HostId = int
ProxyId = int
TableId = int


class Effect(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The hosts that together drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Admission(Enum):
    """How proxies read a level."""

    SHARE = "share"
    RATE = "rate"
    NONE = "none"


class Retry(Enum):
    """When a proxy tries another host."""

    NEVER = 0
    PROVEN_UNRUN = 1
    ONCE = 2
    TWICE = 3


class HostState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a host list event relates to the list already held."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class ProbeStatus(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


@dataclass(frozen=True)
class RequestClass:
    name: str
    aim_us: int
    deadline_us: int
    worth: float
    effect: Effect
    repeat_scope: Scope
    repeat_window_us: int
    only_zones: frozenset[str]  # empty: every zone
    only_kinds: frozenset[str]  # empty: every kind
    zone_bound: bool
    writes: bool


@dataclass(frozen=True)
class Settings:
    director: int
    directors: int
    zone: str
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    must_ask: bool  # discovery answers only when asked
    ask_within_us: int
    load_inline: bool
    load_on_probe: bool
    load_names: tuple[str, ...]
    probing: bool
    peers: bool
    admission: Admission
    usual_retry: Retry
    slices: int
    single_owner: bool
    proxies: int
    report_period_us: int
    channel_lines_per_s: float
    channel_backlog: float
    message_head: float
    connections_least: float  # that the smallest host accepts; 0: not told
    messages_most: int  # 0: no limit
    messages_over_us: int
    transit_mean_us: int
    transit_longest_us: int
    full_may_have_run: bool
    only_draining_binds: bool
    bare_limit_us: int
    drain_grace_us: int
    cold_from: float
    cold_us: int
    fall_multiple: float
    fall_us: int


@dataclass(frozen=True)
class Host:
    id: HostId
    zone: str
    kind: str
    cell: int
    weight: float
    state: HostState
    started_us: int  # 0: long ago


# Events


@dataclass(frozen=True)
class Started:
    seed: int


@dataclass(frozen=True)
class HostList:
    kind: ListKind
    version: int
    hosts: tuple[Host, ...]


@dataclass(frozen=True)
class TimerFired:
    name: str


@dataclass(frozen=True)
class ProxyJoined:
    proxy: ProxyId
    zone: str
    usual_rate: float
    fresh: bool


@dataclass(frozen=True)
class ProxyLeft:
    proxy: ProxyId


@dataclass(frozen=True)
class OrdersApplied:
    proxy: ProxyId
    number: int
    took_us: int


@dataclass(frozen=True)
class OrdersTaken:
    """The relay has just told that it took a step's orders: they may have waited since the step."""

    number: int


@dataclass(frozen=True)
class OrdersDoubted:
    """A call broke: whether the orders of these steps were taken is not known, and they wait to go again."""

    numbers: tuple[int, ...]


@dataclass(frozen=True)
class HostReport:
    host: HostId
    zone: str  # of the proxies that report
    tries: int
    failed: int
    span_us: int
    good_time_us: int  # mean of the good answers, 0 if none
    load: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class DemandReport:
    proxy: ProxyId
    cls: int  # position in Settings.classes
    arrived: int
    unanswered: int
    span_us: int


@dataclass(frozen=True)
class SliceDemand:
    slice: TableId
    cls: int
    arrived: int
    unanswered: int
    span_us: int


@dataclass(frozen=True)
class ProbeAnswered:
    host: HostId
    status: ProbeStatus
    took_us: int
    load: tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class SliceLeased:
    slice: TableId
    held: bool


@dataclass(frozen=True)
class SliceLine:
    slice: TableId
    host: HostId
    weight: float


@dataclass(frozen=True)
class PeerMessage:
    sender: int
    payload: bytes


Event = (
    Started
    | HostList
    | TimerFired
    | ProxyJoined
    | ProxyLeft
    | OrdersApplied
    | OrdersTaken
    | OrdersDoubted
    | HostReport
    | DemandReport
    | SliceDemand
    | ProbeAnswered
    | SliceLeased
    | SliceLine
    | PeerMessage
)


# Actions


@dataclass(frozen=True)
class SetTimer:
    name: str
    at_us: int


@dataclass(frozen=True)
class SetLine:
    table: TableId
    host: HostId
    weight: float  # 0 removes the line


@dataclass(frozen=True)
class ClearTable:
    table: TableId


@dataclass(frozen=True)
class BindProxy:
    proxy: ProxyId
    table: TableId
    classes: tuple[int, ...]


@dataclass(frozen=True)
class SetLevel:
    """How much of the classes a table's proxies let in; no table means every joined proxy."""

    table: TableId | None
    classes: tuple[int, ...]
    level: float
    retry: Retry


@dataclass(frozen=True)
class Withdraw:
    host: HostId
    out: bool


@dataclass(frozen=True)
class Checkpoint:
    number: int
    everyone: bool


@dataclass(frozen=True)
class RepeatOrders:
    """The orders in doubt may go again."""


@dataclass(frozen=True)
class WatchList:
    on: bool


@dataclass(frozen=True)
class FetchList:
    pass


@dataclass(frozen=True)
class ProbeHost:
    host: HostId


@dataclass(frozen=True)
class TellPeer:
    peer: int | None  # None: all
    payload: bytes


@dataclass(frozen=True)
class Log:
    text: str


Action = (
    SetTimer
    | SetLine
    | ClearTable
    | BindProxy
    | SetLevel
    | Withdraw
    | Checkpoint
    | RepeatOrders
    | WatchList
    | FetchList
    | ProbeHost
    | TellPeer
    | Log
)

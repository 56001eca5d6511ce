"""Settings of a deployment, as the decisions read them.

Times are whole microseconds on the caller's clock; rates are per second. No field has a default: whoever reads the
settings states every value. The names on the wire are mapped in `kelpcourse.settings`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = int
ProxyId = int
TableId = int


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The endpoints that together drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AdmissionMode(Enum):
    """How proxies read an admission limit."""

    RATIO = "share"
    RATE = "rate"
    NONE = "none"


class RetryPolicy(Enum):
    """When a proxy retries a request at another endpoint."""

    NEVER = 0
    IF_NOT_EXECUTED = 1
    ONCE = 2
    TWICE = 3


@dataclass(frozen=True)
class RequestClass:
    """A class of requests: its latency objective, priority, idempotency and the endpoints that may serve it."""

    name: str
    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int
    allowed_zones: frozenset[str]  # empty: every zone
    allowed_kinds: frozenset[str]  # empty: every kind
    same_zone_only: bool  # endpoints in the zone of the proxy
    is_write: bool


@dataclass(frozen=True)
class Settings:
    """What a controller reads of its deployment at start."""

    controller_index: int
    controller_count: int
    zone: str
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    discovery_is_polled: bool  # discovery answers only when asked
    discovery_poll_deadline_us: int
    load_reports_inline: bool
    load_reports_on_health_check: bool
    load_report_names: tuple[str, ...]
    health_checks_allowed: bool
    peer_messages_allowed: bool
    admission_mode: AdmissionMode
    default_retry_policy: RetryPolicy
    slice_count: int
    has_single_owner: bool  # a slice has one endpoint at a time
    proxy_count: int  # over all controllers
    report_period_us: int
    delivery_entries_per_s: float  # table entries that leave the delivery queue
    max_backlog_entries: float  # table entries that may wait in the delivery queue
    message_overhead_entries: float  # that a message costs on top of its table entries
    min_endpoint_connections: float  # that the smallest endpoint accepts; 0: unknown
    max_messages_per_proxy: int  # within the message window; 0: no limit
    message_window_us: int
    mean_transit_us: int  # from leaving the delivery queue to the proxy
    max_transit_us: int
    queue_full_may_have_executed: bool
    drain_rule_excludes_removed: (
        bool  # the drain rule applies to endpoints listed as draining, not to removed ones
    )
    max_unserved_us: int  # that a joined proxy may lack an endpoint
    drain_grace_us: int
    warm_up_min_capacity: float  # of an endpoint that has just started, as a part of its capacity
    warm_up_us: int
    overload_factor: float  # of its present capacity; a warming-up endpoint fails above it
    overload_tolerance_us: int  # for which it stands this

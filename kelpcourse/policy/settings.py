"""Settings of a deployment as the policy uses them.

Times are whole microseconds on the clock of the caller; rates are per second. No field has a default, so that every
value is set explicitly where the settings are read. `kelpcourse.settings` maps the names on the wire to these names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EndpointId = int
ProxyId = int
TableId = int


class Idempotency(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The endpoints that together drop repetitions of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AdmissionMode(Enum):
    """The unit in which proxies apply an admission limit."""

    RATIO = "share"
    RATE = "rate"
    NONE = "none"


class RetryPolicy(Enum):
    """The condition under which a proxy retries a request at another endpoint."""

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
    allowed_zones: frozenset[str]  # zones of the endpoints; empty for every zone
    allowed_kinds: frozenset[str]  # kinds of the endpoints; empty for every kind
    same_zone_only: bool  # whether only endpoints in the zone of the proxy may serve it
    is_write: bool


@dataclass(frozen=True)
class Settings:
    """The settings of a deployment, which the controller reads at startup."""

    controller_index: int
    controller_count: int
    zone: str
    zones: tuple[str, ...]
    classes: tuple[RequestClass, ...]
    discovery_is_polled: bool  # whether discovery responds only to requests
    discovery_poll_deadline_us: int
    load_reports_inline: bool
    load_reports_on_health_check: bool
    load_report_names: tuple[str, ...]
    health_checks_allowed: bool
    peer_messages_allowed: bool
    admission_mode: AdmissionMode
    default_retry_policy: RetryPolicy
    slice_count: int
    has_single_owner: bool  # whether a slice has one endpoint at a time
    proxy_count: int  # proxies of all controllers
    report_period_us: int
    delivery_entries_per_s: float  # table entries that leave the delivery queue in a second
    max_backlog_entries: float  # table entries that may be in the delivery queue
    message_overhead_entries: float  # cost of a message, in table entries, without its own entries
    min_endpoint_connections: float  # connections that the smallest endpoint accepts; 0 if unknown
    max_messages_per_proxy: int  # messages to one proxy within the message window; 0 for no limit
    message_window_us: int  # window in which messages to a proxy are counted
    mean_transit_us: int  # time from leaving the delivery queue to arriving at the proxy
    max_transit_us: int
    queue_full_may_have_executed: bool
    # Whether the drain rule applies only to endpoints listed as draining, not to removed ones.
    drain_rule_excludes_removed: bool
    max_unserved_us: int  # maximum time for which a joined proxy may lack an endpoint
    drain_grace_us: int  # time within which proxies must stop sending to a draining endpoint
    warm_up_min_capacity: float  # part of its capacity that an endpoint has when it starts
    warm_up_us: int
    # Multiple of its present capacity that a warming-up endpoint can serve; it fails if the load exceeds this
    # multiple for longer than the tolerance.
    overload_factor: float
    overload_tolerance_us: int  # time for which a warming-up endpoint tolerates such a load

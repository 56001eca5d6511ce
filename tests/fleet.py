"""Building blocks for tests of the policy: settings, endpoints, reports and a simulated clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import TypeVar

from kelpcourse.policy.actions import (
    Action,
    Checkpoint,
    RestoreEndpoint,
    SetAdmission,
    SetTimer,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    EndpointStatus,
    Event,
    OrdersAcknowledged,
    ProxyJoined,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import (
    AdmissionMode,
    DeduplicationScope,
    Idempotency,
    RequestClass,
    RetryPolicy,
    Settings,
)

SECOND = 1_000_000
ActionT = TypeVar("ActionT")

READ = RequestClass(
    name="read",
    latency_objective_us=1_000_000,
    deadline_us=3_000_000,
    priority_weight=1.0,
    idempotency=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    deduplication_window_us=0,
    allowed_zones=frozenset(),
    allowed_kinds=frozenset(),
    same_zone_only=False,
    is_write=False,
)
WRITE = replace(
    READ, name="write", priority_weight=4.0, idempotency=Idempotency.NOT_IDEMPOTENT, is_write=True
)

SETTINGS = Settings(
    controller_index=0,
    controller_count=1,
    zone="east",
    zones=("east", "west"),
    classes=(READ, WRITE),
    discovery_is_polled=False,
    discovery_poll_deadline_us=0,
    load_reports_inline=False,
    load_reports_on_health_check=False,
    load_report_names=(),
    health_checks_allowed=False,
    peer_messages_allowed=False,
    admission_mode=AdmissionMode.RATIO,
    default_retry_policy=RetryPolicy.IF_NOT_EXECUTED,
    slice_count=0,
    has_single_owner=False,
    proxy_count=4,
    report_period_us=SECOND,
    delivery_entries_per_s=3000.0,
    max_backlog_entries=3000.0,
    message_overhead_entries=6.0,
    min_endpoint_connections=500.0,
    max_messages_per_proxy=0,
    message_window_us=10 * SECOND,
    mean_transit_us=200_000,
    max_transit_us=600_000,
    queue_full_may_have_executed=True,
    drain_rule_excludes_removed=False,
    max_unserved_us=5 * SECOND,
    drain_grace_us=2 * SECOND,
    warm_up_min_capacity=0.2,
    warm_up_us=12 * SECOND,
    overload_factor=3.0,
    overload_tolerance_us=2 * SECOND,
)

LARGE_BACKLOG_ENTRIES = 4000.0
LARGE_FLEET = replace(
    SETTINGS,
    proxy_count=70,
    max_backlog_entries=LARGE_BACKLOG_ENTRIES,
    delivery_entries_per_s=2000.0,
    drain_grace_us=7 * SECOND,
)


def make_endpoint(
    number: int,
    zone: str = "east",
    status: EndpointStatus = EndpointStatus.READY,
    started_us: int = 0,
    kind: str = "std",
    weight: float = 1.0,
) -> Endpoint:
    """An endpoint of the list."""
    return Endpoint(number, zone, kind, 0, weight, status, started_us)


def make_endpoints(count: int, first: int = 100) -> list[Endpoint]:
    """Endpoints with numbers from `first`, by turns in the zones east and west."""
    return [
        make_endpoint(first + position, "east" if position % 2 == 0 else "west")
        for position in range(count)
    ]


def full_list(listed: Iterable[Endpoint], version: int = 1) -> EndpointList:
    """A complete endpoint list."""
    return EndpointList(EndpointListKind.FULL, version, tuple(listed))


def list_changes(listed: Iterable[Endpoint], version: int = 2) -> EndpointList:
    """A watch event with changed endpoints."""
    return EndpointList(EndpointListKind.CHANGES, version, tuple(listed))


def actions_of_type(actions: Iterable[Action], action_type: type[ActionT]) -> list[ActionT]:
    """The actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]


def endpoint_orders(actions: Iterable[Action]) -> list[WithdrawEndpoint | RestoreEndpoint]:
    """The orders that withdraw and restore endpoints."""
    return [action for action in actions if isinstance(action, WithdrawEndpoint | RestoreEndpoint)]


class UnboundedTables(RoutingPolicy):
    """Tables as long as connections allow: bindings take most of a drain grace period."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.tables.max_binding_entries = math.inf


class PolicyHarness:
    """Feeds a policy, keeps the tables as proxies would hold them, and fires its timers."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        listed: Sequence[Endpoint] = (),
        start_us: int = 50 * SECOND,
        proxies: int = 4,
        acknowledges: bool = True,
        policy_factory: Callable[[Settings], RoutingPolicy] = RoutingPolicy,
    ) -> None:
        self.settings = settings
        self.policy = policy_factory(settings)
        self.now_us = start_us
        self.acknowledges = acknowledges
        self.timers: list[SetTimer] = []
        self.proxies = list(range(proxies))
        self.tables: dict[int, dict[int, float]] = {}
        self.admission_ratios: dict[int, float] = dict.fromkeys(range(len(settings.classes)), 1.0)
        self.log: list[tuple[int, Action]] = []
        self.pending_events: list[Event] = []
        self.send(Started(7), EndpointList(EndpointListKind.RESTORED, 1, tuple(listed)))
        self.send(
            *(
                ProxyJoined(proxy, settings.zones[proxy % len(settings.zones)], 10.0, True)
                for proxy in self.proxies
            )
        )

    def send(self, *events: Event) -> list[Action]:
        """Steps the policy with these events, and applies its actions."""
        actions = self.policy.step(self.now_us, events)
        for action in actions:
            self.log.append((self.now_us, action))
            self._apply(action)
        return actions

    def _apply(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append(action)
        elif isinstance(action, SetWeight):
            table = self.tables.setdefault(action.table, {})
            table.pop(action.endpoint, None)
            if action.weight > 0:
                table[action.endpoint] = action.weight
        elif isinstance(action, SetAdmission):
            for position in action.classes:
                self.admission_ratios[position] = action.limit
        elif isinstance(action, Checkpoint) and self.acknowledges:
            self.pending_events += [
                OrdersAcknowledged(proxy, action.checkpoint_id, 200_000) for proxy in self.proxies
            ]

    def run_until(self, end_us: int) -> list[Action]:
        """Lets the clock run to `end_us`, firing timers and acknowledging orders on the way."""
        actions: list[Action] = []
        while self.timers and min(timer.due_us for timer in self.timers) <= end_us:
            timer = min(self.timers, key=lambda waiting: waiting.due_us)
            self.timers.remove(timer)
            self.now_us = max(self.now_us, timer.due_us)
            pending = self.pending_events
            self.pending_events = []
            actions += self.send(*pending, TimerFired(timer.name))
        self.now_us = max(self.now_us, end_us)
        return actions

    def run_second(
        self,
        listed: Iterable[Endpoint],
        mean_time_us: int = 200_000,
        failed: dict[int, float] | None = None,
        mean_times_us: dict[int, int] | None = None,
        demand: Sequence[int] = (20, 5),
        attempts: int = 20,
        load_reports: Mapping[int, tuple[tuple[str, float], ...]] | None = None,
        unanswered: int = 0,
    ) -> list[Action]:
        """Lets one second go by, then reports on it.

        Args:
            listed: The endpoints that are reported.
            mean_time_us: Mean response time of each endpoint.
            failed: The fraction of failed attempts, by endpoint.
            mean_times_us: Mean response times of single endpoints, in place of `mean_time_us`.
            demand: Requests of each proxy, by class.
            attempts: Attempts at each endpoint.
            load_reports: Load values, by endpoint.
            unanswered: Requests of the first class that each proxy lost.
        """
        actions = self.run_until(self.now_us + SECOND)
        events: list[Event] = []
        for endpoint in listed:
            failed_attempts = round(attempts * (failed or {}).get(endpoint.id, 0.0))
            time_us = (mean_times_us or {}).get(endpoint.id, mean_time_us)
            reported_us = time_us if failed_attempts < attempts else 0
            load = (load_reports or {}).get(endpoint.id, ())
            events.append(
                EndpointReport(
                    endpoint.id, "east", attempts, failed_attempts, SECOND, reported_us, load
                )
            )
        for proxy in self.proxies:
            events += [
                DemandReport(proxy, position, offered, unanswered * (not position), SECOND)
                for position, offered in enumerate(demand)
            ]
        return actions + self.send(*events)

    def weight_share(self, endpoint: int, table: int = 0) -> float:
        """The part of a table's weight that an endpoint has."""
        entries = self.tables[table]
        return entries.get(endpoint, 0.0) / sum(entries.values())


def run_steadily(
    harness: PolicyHarness, seconds: int = 6, demand: tuple[int, ...] = (40, 10)
) -> None:
    """Lets some seconds without failures go by."""
    for _ in range(seconds):
        harness.run_second(make_endpoints(10), demand=demand)


def run_with_failures(
    harness: PolicyHarness,
    seconds: int,
    failed: dict[int, float] | None = None,
    attempts: int = 20,
) -> None:
    """Lets some seconds go by in which these fractions of the attempts fail, by endpoint."""
    for _ in range(seconds):
        harness.run_second(make_endpoints(10), failed=failed, attempts=attempts, demand=(40, 10))

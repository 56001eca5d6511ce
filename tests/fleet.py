"""Building blocks for tests of the module alone: settings, hosts, reports and a played-out clock."""

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
A = TypeVar("A")

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
    only_draining_binds=False,
    max_unserved_us=5 * SECOND,
    drain_grace_us=2 * SECOND,
    warm_up_min_capacity=0.2,
    warm_up_us=12 * SECOND,
    overload_factor=3.0,
    overload_tolerance_us=2 * SECOND,
)

LIMIT = 4000.0
LARGE = replace(
    SETTINGS,
    proxy_count=70,
    max_backlog_entries=LIMIT,
    delivery_entries_per_s=2000.0,
    drain_grace_us=7 * SECOND,
)


def host(
    number: int,
    zone: str = "east",
    state: EndpointStatus = EndpointStatus.READY,
    started: int = 0,
    kind: str = "std",
    weight: float = 1.0,
) -> Endpoint:
    return Endpoint(number, zone, kind, 0, weight, state, started)


def hosts(count: int, first: int = 100) -> list[Endpoint]:
    return [host(first + k, "east" if k % 2 == 0 else "west") for k in range(count)]


def full(listed: Iterable[Endpoint], version: int = 1) -> EndpointList:
    return EndpointList(EndpointListKind.FULL, version, tuple(listed))


def changes(listed: Iterable[Endpoint], version: int = 2) -> EndpointList:
    return EndpointList(EndpointListKind.CHANGES, version, tuple(listed))


def only(actions: Iterable[Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


def endpoint_orders(actions: Iterable[Action]) -> list[WithdrawEndpoint | RestoreEndpoint]:
    """The orders that withdraw and restore endpoints."""
    return [a for a in actions if isinstance(a, WithdrawEndpoint | RestoreEndpoint)]


class LongTables(RoutingPolicy):
    """Tables as long as connections allow: bindings take most of a grace, so that every defence is needed."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.tables.max_binding_entries = math.inf


class Day:
    """Feeds a policy, keeps the tables as proxies would hold them, and answers its timers."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        listed: Sequence[Endpoint] = (),
        start: int = 50 * SECOND,
        proxies: int = 4,
        answers: bool = True,
        make: Callable[[Settings], RoutingPolicy] = RoutingPolicy,
    ) -> None:
        self.settings = settings
        self.policy = make(settings)
        self.now = start
        self.answers = answers
        self.timers: list[SetTimer] = []
        self.joined = list(range(proxies))
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[int, float] = dict.fromkeys(range(len(settings.classes)), 1.0)
        self.log: list[tuple[int, Action]] = []
        self.late: list[Event] = []
        self.send(Started(7), EndpointList(EndpointListKind.RESTORED, 1, tuple(listed)))
        self.send(
            *(
                ProxyJoined(p, settings.zones[p % len(settings.zones)], 10.0, True)
                for p in self.joined
            )
        )

    def send(self, *events: Event) -> list[Action]:
        actions = self.policy.step(self.now, events)
        for action in actions:
            self.log.append((self.now, action))
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
                self.levels[position] = action.limit
        elif isinstance(action, Checkpoint) and self.answers:
            self.late += [OrdersAcknowledged(p, action.checkpoint_id, 200_000) for p in self.joined]

    def until(self, when: int) -> list[Action]:
        """Lets the clock run to `when`, firing timers and acknowledging orders on the way."""
        out: list[Action] = []
        while self.timers and min(t.due_us for t in self.timers) <= when:
            timer = min(self.timers, key=lambda t: t.due_us)
            self.timers.remove(timer)
            self.now = max(self.now, timer.due_us)
            late, self.late = self.late, []
            out += self.send(*late, TimerFired(timer.name))
        self.now = max(self.now, when)
        return out

    def second(
        self,
        listed: Iterable[Endpoint],
        time_us: int = 200_000,
        failed: dict[int, float] | None = None,
        times: dict[int, int] | None = None,
        demand: Sequence[int] = (20, 5),
        tries: int = 20,
        load: Mapping[int, tuple[tuple[str, float], ...]] | None = None,
        unanswered: int = 0,
    ) -> list[Action]:
        """One second goes by, then a report on it comes in; each proxy lost so many of its first class."""
        out = self.until(self.now + SECOND)
        events: list[Event] = []
        for h in listed:
            share = (failed or {}).get(h.id, 0.0)
            lost = round(tries * share)
            mean = (times or {}).get(h.id, time_us) if lost < tries else 0
            report = (load or {}).get(h.id, ())
            events.append(EndpointReport(h.id, "east", tries, lost, SECOND, mean, report))
        for proxy in self.joined:
            events += [
                DemandReport(proxy, k, n, unanswered * (not k), SECOND)
                for k, n in enumerate(demand)
            ]
        return out + self.send(*events)

    def share(self, number: int, table: int = 0) -> float:
        lines = self.tables[table]
        return lines.get(number, 0.0) / sum(lines.values())


def steady(day: Day, seconds: int = 6, demand: tuple[int, ...] = (40, 10)) -> None:
    for _ in range(seconds):
        day.second(hosts(10), demand=demand)


def fail_for(
    day: Day, seconds: int, failed: dict[int, float] | None = None, tries: int = 20
) -> None:
    for _ in range(seconds):
        day.second(hosts(10), failed=failed, tries=tries, demand=(40, 10))

"""Runs seeded event sequences against the routing policy and hashes the resulting actions.

`random.Random` is the only source of variation in a sequence, so that it is the same in every run. The simulated fleet
reacts to the actions: tables and admission ratios change what endpoints are reported to have served. An action is
hashed as its line in the simulator's protocol and its exact floating-point values, so that the hash does not depend on
the names of types.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import astuple, dataclass, replace

from kelpcourse.policy.actions import (
    Action,
    Checkpoint,
    ResendOrders,
    SetAdmission,
    SetTimer,
    SetWeight,
    WatchEndpoints,
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
    OrdersAccepted,
    OrdersAcknowledged,
    OrdersOutcomeUnknown,
    ProxyJoined,
    ProxyLeft,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import AdmissionMode, EndpointId, ProxyId, Settings
from kelpcourse.simhost.actions import write_action
from tests.fleet import READ, SECOND, SETTINGS, WRITE


def canonical_line(action: Action) -> str:
    """Returns the action's line in the simulator's protocol, followed by its exact floating-point values."""
    if isinstance(action, ResendOrders):
        return "resend"
    exact_values = [repr(value) for value in astuple(action) if isinstance(value, float)]
    return " ".join([write_action(0, action), *exact_values])


def endpoint_list(kind: str, version: int, endpoints: list[Endpoint]) -> Event:
    return EndpointList(EndpointListKind(kind), version, tuple(endpoints))


# Fleets

STEP_INTERVAL_RANGE_MS = (20, 240)
ENDPOINT_CAPACITY_PER_S = 24.0  # Attempts per second of an endpoint of relative capacity 1
IDLE_RESPONSE_TIME_US = 150_000
WARM_UP_US = 12 * SECOND
KINDS = ("std", "big")


@dataclass(frozen=True)
class Sequence:
    """A fleet and the incidents that happen to it.

    Attributes:
        name: Name of the sequence, the key of its recorded hash.
        seed: Seed of the random number generator.
        settings: Settings of the policy.
        endpoints: Number of endpoints at the start.
        incidents: Probability of each incident in a step; of `call_lost`, in a call.
        steps: Number of steps.
        request_rate_per_proxy: Usual offered load of each proxy, in requests per second.
        acknowledgement_probability: Probability that a proxy acknowledges a checkpoint.
        no_table_probability: Probability that a joining proxy has no table yet.
        report_parts: Number of parts of the fleet that report alternately, one part each second.
        reports_load: Whether endpoint reports carry load values.
        first_list_kind: Kind of the first endpoint list.
        overload_load_factor: Offered load in an overload, as a multiple of the usual load.
        initial_proxy_fraction: Fraction of the proxies that join at the start.
    """

    name: str
    seed: int
    settings: Settings
    endpoints: int
    incidents: Mapping[str, float]
    steps: int = 420
    request_rate_per_proxy: float = 8.0
    acknowledgement_probability: float = 0.97
    no_table_probability: float = 0.8
    report_parts: int = 1
    reports_load: bool = False
    first_list_kind: str = "full"
    overload_load_factor: float = 2.5
    initial_proxy_fraction: float = 1.0


@dataclass
class SimulatedEndpoint:
    number: EndpointId
    zone: str
    kind: str
    weight: float
    relative_capacity: float
    started_us: int = 0
    status: EndpointStatus = EndpointStatus.READY
    failure_ratio: float = 0.0
    is_silent: bool = False


@dataclass
class SequenceRunner:
    """Runs one sequence against a routing policy."""

    sequence: Sequence
    actions: int = 0

    def __post_init__(self) -> None:
        settings = self.sequence.settings
        self.digest = hashlib.sha256()
        self.settings = settings
        self.rng = random.Random(self.sequence.seed)
        self.policy = RoutingPolicy(settings)
        self.now_us = 50 * SECOND
        self.version = 1
        self.endpoints = {
            100 + position: self._new_endpoint(100 + position, 0)
            for position in range(self.sequence.endpoints)
        }
        self.next_endpoint = 100 + self.sequence.endpoints
        self.joined: dict[ProxyId, str] = {}
        self.tables: dict[int, dict[EndpointId, float]] = {}
        self.ratios = [1.0] * len(settings.classes)
        self.timers: list[tuple[int, str]] = []
        self.pending: list[tuple[int, Event]] = []
        self.checkpoints: list[int] = []
        self.report_due_us = self.now_us + SECOND
        self.report_count = 0
        self.load_factor = 1.0
        self.watched = False
        self.acknowledgements_stopped = False

    # Fleet

    def _new_endpoint(self, number: EndpointId, started_us: int) -> SimulatedEndpoint:
        zones = self.settings.zones
        kind = KINDS[number % 3 == 0]
        weight = self.rng.choice((1.0, 1.0, 2.0, 0.0)) if number % 5 == 0 else 1.0
        relative_capacity = self.rng.uniform(0.6, 1.7)
        return SimulatedEndpoint(
            number, zones[number % len(zones)], kind, weight, relative_capacity, started_us
        )

    def _listed(self, endpoint: SimulatedEndpoint) -> Endpoint:
        return Endpoint(
            endpoint.number,
            endpoint.zone,
            endpoint.kind,
            0,
            endpoint.weight,
            endpoint.status,
            endpoint.started_us,
        )

    def _ready(self) -> list[SimulatedEndpoint]:
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.status is EndpointStatus.READY
        ]

    def _zone_of(self, proxy: ProxyId) -> str:
        return self.settings.zones[proxy % len(self.settings.zones)]

    # Steps

    def run(self) -> str:
        """Runs all steps and returns the hash of all their actions."""
        listed = [self._listed(endpoint) for endpoint in self.endpoints.values()]
        self._step([Started(7), endpoint_list(self.sequence.first_list_kind, 1, listed)])
        first = round(self.settings.proxy_count * self.sequence.initial_proxy_fraction)
        self._step(self._join(range(first)))
        for _ in range(self.sequence.steps):
            self.now_us += 1000 * self.rng.randint(*STEP_INTERVAL_RANGE_MS)
            events = self._due()
            events += self._incidents()
            events += self._reports()
            self._step(events)
        return self.digest.hexdigest()

    def _step(self, events: list[Event]) -> None:
        actions = self.policy.step(self.now_us, events)
        self.digest.update(b"step %d\n" % self.now_us)
        for action in actions:
            self.actions += 1
            self.digest.update(canonical_line(action).encode() + b"\n")
            self._apply(action)

    def _apply(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((action.due_us, action.name))
        elif isinstance(action, SetWeight):
            entries = self.tables.setdefault(action.table, {})
            entries.pop(action.endpoint, None)
            if action.weight > 0:
                entries[action.endpoint] = action.weight
        elif isinstance(action, SetAdmission):
            for position in action.classes:
                self.ratios[position] = action.limit
        elif isinstance(action, WatchEndpoints):
            self.watched = action.enabled
        elif isinstance(action, Checkpoint):
            self._schedule_responses(action.checkpoint_id)

    def _schedule_responses(self, checkpoint_id: int) -> None:
        self.checkpoints = [*self.checkpoints[-3:], checkpoint_id]
        outcome = self.rng.random()
        loss_probability = self.sequence.incidents.get("call_lost", 0.0)
        if outcome < loss_probability:
            checkpoint_ids = tuple(self.checkpoints[-self.rng.randint(1, 2) :])
            self.pending.append((self.now_us + 50_000, OrdersOutcomeUnknown(checkpoint_ids)))
            if outcome < loss_probability / 2:
                return
        if outcome > 0.7:
            self.pending.append((self.now_us + 80_000, OrdersAccepted(checkpoint_id)))
        if self.acknowledgements_stopped:
            return
        for proxy in self.joined:
            if self.rng.random() < self.sequence.acknowledgement_probability:
                due_us = self.now_us + 1000 * self.rng.randint(100, 900)
                self.pending.append((due_us, OrdersAcknowledged(proxy, checkpoint_id, 200_000)))

    def _due(self) -> list[Event]:
        events = [event for due_us, event in self.pending if due_us <= self.now_us]
        self.pending = [delayed for delayed in self.pending if delayed[0] > self.now_us]
        fired = [name for due_us, name in self.timers if due_us <= self.now_us]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
        if self.watched and self.rng.random() < 0.1:
            self.watched = False
            events.append(endpoint_list("unavailable", 0, []))
        return events + [TimerFired(name) for name in fired]

    # Incidents

    def _incidents(self) -> list[Event]:
        events: list[Event] = []
        for name, probability in self.sequence.incidents.items():
            if name != "call_lost" and self.rng.random() < probability:
                incident: Callable[[], list[Event]] = getattr(self, f"_incident_{name}")
                events += incident()
        return events

    def _changes(self, changed: list[SimulatedEndpoint]) -> list[Event]:
        self.version += 1
        listed = [self._listed(endpoint) for endpoint in changed]
        return [endpoint_list("changes", self.version, listed)]

    def _join(self, proxies: Iterable[ProxyId]) -> list[Event]:
        events: list[Event] = []
        for proxy in proxies:
            self.joined[proxy] = self._zone_of(proxy)
            rate = self.sequence.request_rate_per_proxy * self.rng.uniform(0.5, 1.5)
            has_no_table = self.rng.random() < self.sequence.no_table_probability
            events.append(ProxyJoined(proxy, self.joined[proxy], rate, has_no_table))
        return events

    def _incident_join(self) -> list[Event]:
        absent = [proxy for proxy in range(self.settings.proxy_count) if proxy not in self.joined]
        return self._join(self.rng.sample(absent, min(len(absent), 3)))

    def _incident_leave(self) -> list[Event]:
        proxies = self.rng.sample(sorted(self.joined), min(len(self.joined), 2))
        for proxy in proxies:
            del self.joined[proxy]
        return [ProxyLeft(proxy) for proxy in proxies]

    def _incident_rejoin_unseen(self) -> list[Event]:
        return self._join(self.rng.sample(sorted(self.joined), min(len(self.joined), 2)))

    def _incident_reconnect_storm(self) -> list[Event]:
        all_proxies = range(self.settings.proxy_count)
        events: list[Event] = []
        if self.rng.random() < 0.5:
            events = [ProxyLeft(proxy) for proxy in sorted(self.joined)]
        return events + self._join(all_proxies)

    def _incident_drain(self) -> list[Event]:
        ready = self._ready()
        drained = self.rng.sample(ready, min(len(ready) // 2, self.rng.randint(1, 3)))
        for endpoint in drained:
            endpoint.status = self.rng.choice((EndpointStatus.DRAINING, EndpointStatus.GONE))
        return self._changes(drained)

    def _incident_drain_many(self) -> list[Event]:
        ready = self._ready()
        drained = self.rng.sample(ready, len(ready) // 4)
        for endpoint in drained:
            endpoint.status = EndpointStatus.DRAINING
        return self._changes(drained)

    def _incident_restart(self) -> list[Event]:
        absent = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.status is not EndpointStatus.READY
        ]
        restarted = absent[:3] or self.rng.sample(self._ready(), min(len(self._ready()), 2))
        for endpoint in restarted:
            endpoint.status = EndpointStatus.READY
            endpoint.started_us = self.now_us - self.rng.choice((0, 1, 30)) * SECOND
        return self._changes(restarted)

    def _incident_grow(self) -> list[Event]:
        added = []
        for _ in range(self.rng.randint(1, 4)):
            endpoint = self._new_endpoint(self.next_endpoint, self.now_us)
            self.endpoints[endpoint.number] = endpoint
            self.next_endpoint += 1
            added.append(endpoint)
        return self._changes(added)

    def _incident_reweigh(self) -> list[Event]:
        changed = self.rng.sample(self._ready(), min(len(self._ready()), 2))
        for endpoint in changed:
            endpoint.weight = self.rng.choice((0.5, 1.0, 2.0))
        return self._changes(changed)

    def _incident_relist(self) -> list[Event]:
        self.version += 1
        kept = [endpoint for endpoint in self.endpoints.values() if self.rng.random() < 0.95]
        self.endpoints = {endpoint.number: endpoint for endpoint in kept}
        kind = self.rng.choice(("full", "full", "restored"))
        return [endpoint_list(kind, self.version, [self._listed(endpoint) for endpoint in kept])]

    def _incident_list_unavailable(self) -> list[Event]:
        self.watched = False
        return [endpoint_list("unavailable", 0, [])]

    def _incident_overload(self) -> list[Event]:
        self.load_factor = self.sequence.overload_load_factor if self.load_factor == 1.0 else 1.0
        return []

    def _incident_outlier(self) -> list[Event]:
        endpoint = self.rng.choice(self._ready())
        endpoint.failure_ratio = self.rng.uniform(0.3, 1.0) if endpoint.failure_ratio == 0 else 0.0
        return []

    def _incident_heal(self) -> list[Event]:
        for endpoint in self.endpoints.values():
            endpoint.failure_ratio = 0.0
            endpoint.is_silent = False
        return []

    def _incident_partition(self) -> list[Event]:
        ready = self._ready()
        for endpoint in self.rng.sample(ready, len(ready) // 3):
            endpoint.is_silent = True
        return []

    def _incident_silence(self) -> list[Event]:
        """Makes all proxies stop acknowledging, or start again."""
        self.acknowledgements_stopped = not self.acknowledgements_stopped
        return []

    def _incident_report_gap(self) -> list[Event]:
        self.report_due_us = self.now_us + 8 * SECOND
        return []

    # Reports

    def _reports(self) -> list[Event]:
        if self.now_us < self.report_due_us:
            return []
        parts = self.sequence.report_parts
        span_us = parts * SECOND
        self.report_due_us += SECOND
        part = self.report_count % parts
        self.report_count += 1
        offered_per_s = len(self.joined) * self.sequence.request_rate_per_proxy * self.load_factor
        served = self._endpoint_reports(part, offered_per_s * parts, span_us)
        return served + self._demand_reports(part, parts, span_us)

    def _demand_reports(self, part: int, parts: int, span_us: int) -> list[Event]:
        events: list[Event] = []
        count = len(self.settings.classes)
        rate = self.sequence.request_rate_per_proxy * self.load_factor * parts
        for proxy in sorted(self.joined)[part::parts]:
            for position in range(count):
                share = 2 * (count - position) / (count * (count + 1))
                offered = round(rate * share * self.rng.uniform(0.7, 1.3))
                unanswered = offered // 6 if self.load_factor > 1 else 0
                events.append(DemandReport(proxy, position, offered, unanswered, span_us))
        return events

    def _endpoint_reports(self, part: int, offered: float, span_us: int) -> list[Event]:
        ready = self._ready()
        ratios = [min(1.0, ratio) for ratio in self.ratios]
        admitted = offered * sum(ratios) / len(ratios)
        weights = {endpoint.number: 1e-3 for endpoint in ready}
        for entries in self.tables.values():
            for number, weight in entries.items():
                if number in weights:
                    weights[number] += weight
        total = sum(weights.values())
        events = []
        for endpoint in ready[part :: self.sequence.report_parts]:
            attempts = round(admitted * weights[endpoint.number] / total)
            if attempts:
                events.append(self._endpoint_report(endpoint, attempts, span_us))
        return events

    def _endpoint_report(self, endpoint: SimulatedEndpoint, attempts: int, span_us: int) -> Event:
        warm_up_capacity = min(1.0, 0.2 + (self.now_us - endpoint.started_us) / WARM_UP_US)
        capacity = (
            ENDPOINT_CAPACITY_PER_S
            * endpoint.relative_capacity
            * warm_up_capacity
            * span_us
            / SECOND
        )
        utilization = attempts / capacity
        failed_fraction = max(
            endpoint.failure_ratio, 1 - 1 / utilization if utilization > 1 else 0.0
        )
        failed = (
            attempts if endpoint.is_silent else min(attempts, round(attempts * failed_fraction))
        )
        queueing_factor = 1 / (1 - min(0.9, utilization * 0.8))
        mean_us = round(
            IDLE_RESPONSE_TIME_US
            / endpoint.relative_capacity
            * queueing_factor
            * self.rng.uniform(0.9, 1.1)
        )
        load: tuple[tuple[str, float], ...] = ()
        if self.sequence.reports_load and self.rng.random() < 0.995:
            load = (("util", min(1.0, utilization)), ("qps", attempts * SECOND / span_us))
        reported_us = mean_us if failed < attempts else 0
        return EndpointReport(
            endpoint.number, endpoint.zone, attempts, failed, span_us, reported_us, load
        )


# Settings and sequences

ZONES = ("east", "north", "south", "west")
FLEET = replace(
    SETTINGS,
    proxy_count=40,
    delivery_entries_per_s=6000.0,
    max_backlog_entries=5000.0,
    drain_grace_us=6 * SECOND,
)
SMALL_DELIVERY_QUEUE = replace(FLEET, delivery_entries_per_s=900.0, max_backlog_entries=1200.0)
BATCH = replace(
    READ, name="batch", latency_objective_us=2 * SECOND, deadline_us=6 * SECOND, priority_weight=0.5
)
ZONE_BOUND = replace(READ, name="local", same_zone_only=True, priority_weight=2.0)
EAST_ONLY = replace(WRITE, name="east-only", allowed_zones=frozenset({"east"}))
BIG_ONLY = replace(READ, name="big-only", allowed_kinds=frozenset({"big"}), priority_weight=3.0)
THREE_CLASSES = (READ, WRITE, BATCH)

CHURN = {"join": 0.03, "leave": 0.03, "rejoin_unseen": 0.01}
ROLLING_RESTART = {"drain": 0.03, "restart": 0.04}
FAULTS = {"outlier": 0.02, "heal": 0.01}

SEQUENCES = (
    Sequence("calm", 1, FLEET, 24, {**CHURN, "reweigh": 0.02}),
    Sequence("rolling_restart", 2, FLEET, 30, {**ROLLING_RESTART, "grow": 0.01}),
    Sequence(
        "reconnect_storms",
        3,
        replace(FLEET, proxy_count=90),
        40,
        {**ROLLING_RESTART, "reconnect_storm": 0.02, "join": 0.05, "leave": 0.02},
        no_table_probability=0.2,
        initial_proxy_fraction=0.7,
    ),
    Sequence(
        "overload",
        4,
        replace(FLEET, classes=THREE_CLASSES),
        20,
        {"overload": 0.012, "leave": 0.01, "join": 0.02},
        request_rate_per_proxy=10.0,
        steps=600,
    ),
    Sequence(
        "overload_by_rate",
        5,
        replace(FLEET, classes=THREE_CLASSES, admission_mode=AdmissionMode.RATE),
        20,
        {"overload": 0.012, "outlier": 0.005, "drain": 0.005, "restart": 0.01},
        request_rate_per_proxy=9.0,
        overload_load_factor=4.0,
    ),
    Sequence(
        "no_admission",
        6,
        replace(FLEET, admission_mode=AdmissionMode.NONE),
        20,
        {"overload": 0.012, **CHURN},
        request_rate_per_proxy=9.0,
    ),
    Sequence("outliers", 7, FLEET, 30, {**FAULTS, "restart": 0.01, "drain": 0.01}),
    Sequence(
        "partitions",
        8,
        replace(FLEET, classes=THREE_CLASSES),
        30,
        {"partition": 0.02, "heal": 0.03, "drain": 0.005, "restart": 0.01},
    ),
    Sequence(
        "subsets",
        9,
        replace(
            FLEET, proxy_count=80, min_endpoint_connections=30.0, zones=ZONES, classes=THREE_CLASSES
        ),
        60,
        {**CHURN, **ROLLING_RESTART, "reconnect_storm": 0.003, "relist": 0.005, "overload": 0.005},
        request_rate_per_proxy=6.0,
    ),
    Sequence(
        "subsets_zone_bound",
        10,
        replace(
            FLEET,
            proxy_count=64,
            min_endpoint_connections=25.0,
            zones=ZONES,
            classes=(READ, ZONE_BOUND, WRITE),
        ),
        60,
        {**CHURN, **ROLLING_RESTART, **FAULTS},
        report_parts=4,
    ),
    Sequence(
        "own_tables",
        11,
        replace(FLEET, zones=ZONES, classes=(READ, EAST_ONLY, BIG_ONLY, ZONE_BOUND)),
        36,
        {**ROLLING_RESTART, "grow": 0.02, "overload": 0.01},
        request_rate_per_proxy=8.0,
    ),
    Sequence(
        "polled_list",
        12,
        replace(
            FLEET,
            discovery_is_polled=True,
            discovery_poll_deadline_us=9 * SECOND,
            controller_index=3,
            controller_count=5,
        ),
        24,
        {"list_unavailable": 0.03, "relist": 0.02, **ROLLING_RESTART},
        first_list_kind="restored",
        no_table_probability=0.3,
    ),
    Sequence(
        "lost_calls",
        13,
        replace(FLEET, proxy_count=50),
        30,
        {"call_lost": 0.2, **ROLLING_RESTART, **CHURN},
        acknowledgement_probability=0.8,
    ),
    Sequence(
        "small_channel",
        14,
        SMALL_DELIVERY_QUEUE,
        30,
        {**ROLLING_RESTART, **CHURN, "silence": 0.01, "call_lost": 0.1, "reconnect_storm": 0.004},
        acknowledgement_probability=0.9,
        steps=600,
    ),
    Sequence(
        "message_limit",
        15,
        replace(FLEET, max_messages_per_proxy=12),
        30,
        {**ROLLING_RESTART, **CHURN, "outlier": 0.02, "overload": 0.01},
    ),
    Sequence(
        "drains_at_once",
        16,
        replace(SMALL_DELIVERY_QUEUE, proxy_count=70, max_backlog_entries=1500.0),
        60,
        {"drain_many": 0.012, "restart": 0.05, "join": 0.04, "leave": 0.02, "silence": 0.01},
        initial_proxy_fraction=0.8,
        no_table_probability=0.3,
    ),
    Sequence(
        "load_reports",
        17,
        replace(FLEET, load_reports_inline=True, load_report_names=("util", "qps")),
        24,
        {"restart": 0.01, "outlier": 0.01, "report_gap": 0.01},
        reports_load=True,
    ),
    Sequence(
        "inherited_tables",
        18,
        replace(FLEET, proxy_count=60),
        24,
        {"report_gap": 0.005, "reweigh": 0.01},
        no_table_probability=0.0,
        first_list_kind="restored",
    ),
    Sequence(
        "tiny_channel",
        21,
        replace(FLEET, proxy_count=30, max_backlog_entries=9.0 * 30),
        8,
        {"drain_many": 0.03, "restart": 0.05, "silence": 0.01},
    ),
    Sequence(
        "takeover",
        22,
        replace(
            FLEET,
            proxy_count=300,
            zones=ZONES,
            min_endpoint_connections=120.0,
            delivery_entries_per_s=3400.0,
            max_backlog_entries=12_000.0,
            drain_grace_us=13_700_000,
            max_messages_per_proxy=12,
        ),
        80,
        {
            "reconnect_storm": 0.008,
            "drain_many": 0.004,
            "join": 0.05,
            "leave": 0.02,
            "restart": 0.03,
        },
        steps=300,
        no_table_probability=0.2,
        initial_proxy_fraction=0.2,
        report_parts=4,
        request_rate_per_proxy=2.0,
    ),
    Sequence(
        "slices", 19, replace(FLEET, slice_count=4), 20, {**ROLLING_RESTART, **CHURN}, steps=120
    ),
    Sequence(
        "empty_start",
        20,
        replace(FLEET, min_endpoint_connections=16.0),
        0,
        {"grow": 0.05, "relist": 0.01, **CHURN},
        initial_proxy_fraction=0.0,
    ),
)

"""Plays seeded event sequences against the decisions and hashes the actions that come back.

A sequence is drawn by `random.Random` alone, so that it is the same in every run. The fleet that it plays reacts to the
actions: tables and admission ratios change what endpoints are reported to have served. An action is hashed by its line
on the simulator's wire together with its exact floating-point figures, so the hash knows no name of a type.
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


def canonical(action: Action) -> str:
    """The action's line on the simulator's wire, then its figures to the last digit."""
    if isinstance(action, ResendOrders):
        return "resend"
    figures = [repr(value) for value in astuple(action) if isinstance(value, float)]
    return " ".join([write_action(0, action), *figures])


def endpoint_list(kind: str, version: int, endpoints: list[Endpoint]) -> Event:
    return EndpointList(EndpointListKind(kind), version, tuple(endpoints))


# Fleets

STEP_RANGE_MS = (20, 240)
CAPACITY_PER_S = 24.0  # of an endpoint of relative capacity 1
BASE_TIME_US = 150_000
WARM_UP_AGE_US = 12 * SECOND
KINDS = ("std", "big")


@dataclass(frozen=True)
class Sequence:
    """A fleet, and how likely each incident is in a step."""

    name: str
    seed: int
    settings: Settings
    endpoints: int
    incidents: Mapping[str, float]
    steps: int = 420
    rate_per_proxy: float = 8.0
    ack_chance: float = 0.97
    fresh_chance: float = 0.8  # of a joining proxy: it has no table yet
    report_parts: int = 1  # reports come by turns
    loaded: bool = False  # reports carry endpoint load
    first_list: str = "full"
    peak: float = 2.5  # of the usual rate in an overload
    initial_share: float = 1.0  # of the proxies that join at the start


@dataclass
class PlayedEndpoint:
    number: EndpointId
    zone: str
    kind: str
    weight: float
    speed: float
    started_us: int = 0
    status: EndpointStatus = EndpointStatus.READY
    fault: float = 0.0
    silent: bool = False


@dataclass
class Player:
    """Feeds one sequence to the decisions."""

    sequence: Sequence
    actions: int = 0

    def __post_init__(self) -> None:
        settings = self.sequence.settings
        self.digest = hashlib.sha256()
        self.settings = settings
        self.draw = random.Random(self.sequence.seed)
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
        self.report_turn = 0
        self.load_factor = 1.0
        self.watched = False
        self.unanswering = False

    # What the fleet is

    def _new_endpoint(self, number: EndpointId, started_us: int) -> PlayedEndpoint:
        zones = self.settings.zones
        kind = KINDS[number % 3 == 0]
        weight = self.draw.choice((1.0, 1.0, 2.0, 0.0)) if number % 5 == 0 else 1.0
        speed = self.draw.uniform(0.6, 1.7)
        return PlayedEndpoint(number, zones[number % len(zones)], kind, weight, speed, started_us)

    def _listed(self, played: PlayedEndpoint) -> Endpoint:
        return Endpoint(
            played.number,
            played.zone,
            played.kind,
            0,
            played.weight,
            played.status,
            played.started_us,
        )

    def _ready(self) -> list[PlayedEndpoint]:
        return [
            played for played in self.endpoints.values() if played.status is EndpointStatus.READY
        ]

    def _zone_of(self, proxy: ProxyId) -> str:
        return self.settings.zones[proxy % len(self.settings.zones)]

    # Steps

    def play(self) -> str:
        """The hash of all actions of all steps."""
        listed = [self._listed(played) for played in self.endpoints.values()]
        self._step([Started(7), endpoint_list(self.sequence.first_list, 1, listed)])
        first = round(self.settings.proxy_count * self.sequence.initial_share)
        self._step(self._join(range(first)))
        for _ in range(self.sequence.steps):
            self.now_us += 1000 * self.draw.randint(*STEP_RANGE_MS)
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
            self.digest.update(canonical(action).encode() + b"\n")
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
            self._answer(action.checkpoint_id)

    def _answer(self, number: int) -> None:
        self.checkpoints = [*self.checkpoints[-3:], number]
        fate = self.draw.random()
        unknown = self.sequence.incidents.get("call_lost", 0.0)
        if fate < unknown:
            numbers = tuple(self.checkpoints[-self.draw.randint(1, 2) :])
            self.pending.append((self.now_us + 50_000, OrdersOutcomeUnknown(numbers)))
            if fate < unknown / 2:
                return
        if fate > 0.7:
            self.pending.append((self.now_us + 80_000, OrdersAccepted(number)))
        if self.unanswering:
            return
        for proxy in self.joined:
            if self.draw.random() < self.sequence.ack_chance:
                due_us = self.now_us + 1000 * self.draw.randint(100, 900)
                self.pending.append((due_us, OrdersAcknowledged(proxy, number, 200_000)))

    def _due(self) -> list[Event]:
        events = [event for due_us, event in self.pending if due_us <= self.now_us]
        self.pending = [waiting for waiting in self.pending if waiting[0] > self.now_us]
        fired = [name for due_us, name in self.timers if due_us <= self.now_us]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
        if self.watched and self.draw.random() < 0.1:
            self.watched = False
            events.append(endpoint_list("unavailable", 0, []))
        return events + [TimerFired(name) for name in fired]

    # Incidents

    def _incidents(self) -> list[Event]:
        events: list[Event] = []
        for name, chance in self.sequence.incidents.items():
            if name != "call_lost" and self.draw.random() < chance:
                incident: Callable[[], list[Event]] = getattr(self, f"_incident_{name}")
                events += incident()
        return events

    def _changes(self, changed: list[PlayedEndpoint]) -> list[Event]:
        self.version += 1
        listed = [self._listed(played) for played in changed]
        return [endpoint_list("changes", self.version, listed)]

    def _join(self, proxies: Iterable[ProxyId]) -> list[Event]:
        events: list[Event] = []
        for proxy in proxies:
            self.joined[proxy] = self._zone_of(proxy)
            rate = self.sequence.rate_per_proxy * self.draw.uniform(0.5, 1.5)
            fresh = self.draw.random() < self.sequence.fresh_chance
            events.append(ProxyJoined(proxy, self.joined[proxy], rate, fresh))
        return events

    def _incident_join(self) -> list[Event]:
        away = [proxy for proxy in range(self.settings.proxy_count) if proxy not in self.joined]
        return self._join(self.draw.sample(away, min(len(away), 3)))

    def _incident_leave(self) -> list[Event]:
        proxies = self.draw.sample(sorted(self.joined), min(len(self.joined), 2))
        for proxy in proxies:
            del self.joined[proxy]
        return [ProxyLeft(proxy) for proxy in proxies]

    def _incident_rejoin_unseen(self) -> list[Event]:
        return self._join(self.draw.sample(sorted(self.joined), min(len(self.joined), 2)))

    def _incident_reconnect_storm(self) -> list[Event]:
        all_proxies = range(self.settings.proxy_count)
        events: list[Event] = []
        if self.draw.random() < 0.5:
            events = [ProxyLeft(proxy) for proxy in sorted(self.joined)]
        return events + self._join(all_proxies)

    def _incident_drain(self) -> list[Event]:
        ready = self._ready()
        drained = self.draw.sample(ready, min(len(ready) // 2, self.draw.randint(1, 3)))
        for played in drained:
            played.status = self.draw.choice((EndpointStatus.DRAINING, EndpointStatus.GONE))
        return self._changes(drained)

    def _incident_drain_many(self) -> list[Event]:
        ready = self._ready()
        drained = self.draw.sample(ready, len(ready) // 4)
        for played in drained:
            played.status = EndpointStatus.DRAINING
        return self._changes(drained)

    def _incident_restart(self) -> list[Event]:
        away = [
            played
            for played in self.endpoints.values()
            if played.status is not EndpointStatus.READY
        ]
        back = away[:3] or self.draw.sample(self._ready(), min(len(self._ready()), 2))
        for played in back:
            played.status = EndpointStatus.READY
            played.started_us = self.now_us - self.draw.choice((0, 1, 30)) * SECOND
        return self._changes(back)

    def _incident_grow(self) -> list[Event]:
        grown = []
        for _ in range(self.draw.randint(1, 4)):
            played = self._new_endpoint(self.next_endpoint, self.now_us)
            self.endpoints[played.number] = played
            self.next_endpoint += 1
            grown.append(played)
        return self._changes(grown)

    def _incident_reweigh(self) -> list[Event]:
        changed = self.draw.sample(self._ready(), min(len(self._ready()), 2))
        for played in changed:
            played.weight = self.draw.choice((0.5, 1.0, 2.0))
        return self._changes(changed)

    def _incident_relist(self) -> list[Event]:
        self.version += 1
        kept = [played for played in self.endpoints.values() if self.draw.random() < 0.95]
        self.endpoints = {played.number: played for played in kept}
        kind = self.draw.choice(("full", "full", "restored"))
        return [endpoint_list(kind, self.version, [self._listed(played) for played in kept])]

    def _incident_list_unavailable(self) -> list[Event]:
        self.watched = False
        return [endpoint_list("unavailable", 0, [])]

    def _incident_overload(self) -> list[Event]:
        self.load_factor = self.sequence.peak if self.load_factor == 1.0 else 1.0
        return []

    def _incident_outlier(self) -> list[Event]:
        played = self.draw.choice(self._ready())
        played.fault = self.draw.uniform(0.3, 1.0) if played.fault == 0 else 0.0
        return []

    def _incident_heal(self) -> list[Event]:
        for played in self.endpoints.values():
            played.fault = 0.0
            played.silent = False
        return []

    def _incident_partition(self) -> list[Event]:
        ready = self._ready()
        for played in self.draw.sample(ready, len(ready) // 3):
            played.silent = True
        return []

    def _incident_silence(self) -> list[Event]:
        """Proxies stop to acknowledge, or begin again."""
        self.unanswering = not self.unanswering
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
        turn = self.report_turn % parts
        self.report_turn += 1
        offered_per_s = len(self.joined) * self.sequence.rate_per_proxy * self.load_factor
        served = self._endpoint_reports(turn, offered_per_s * parts, span_us)
        return served + self._demand_reports(turn, parts, span_us)

    def _demand_reports(self, turn: int, parts: int, span_us: int) -> list[Event]:
        events: list[Event] = []
        count = len(self.settings.classes)
        rate = self.sequence.rate_per_proxy * self.load_factor * parts
        for proxy in sorted(self.joined)[turn::parts]:
            for position in range(count):
                share = 2 * (count - position) / (count * (count + 1))
                offered = round(rate * share * self.draw.uniform(0.7, 1.3))
                unanswered = offered // 6 if self.load_factor > 1 else 0
                events.append(DemandReport(proxy, position, offered, unanswered, span_us))
        return events

    def _endpoint_reports(self, turn: int, offered: float, span_us: int) -> list[Event]:
        ready = self._ready()
        ratios = [min(1.0, ratio) for ratio in self.ratios]
        admitted = offered * sum(ratios) / len(ratios)
        weights = {played.number: 1e-3 for played in ready}
        for entries in self.tables.values():
            for number, weight in entries.items():
                if number in weights:
                    weights[number] += weight
        total = sum(weights.values())
        events = []
        for played in ready[turn :: self.sequence.report_parts]:
            attempts = round(admitted * weights[played.number] / total)
            if attempts:
                events.append(self._endpoint_report(played, attempts, span_us))
        return events

    def _endpoint_report(self, played: PlayedEndpoint, attempts: int, span_us: int) -> Event:
        warm = min(1.0, 0.2 + (self.now_us - played.started_us) / WARM_UP_AGE_US)
        capacity = CAPACITY_PER_S * played.speed * warm * span_us / SECOND
        busy = attempts / capacity
        lost = max(played.fault, 1 - 1 / busy if busy > 1 else 0.0)
        failed = attempts if played.silent else min(attempts, round(attempts * lost))
        wait = 1 / (1 - min(0.9, busy * 0.8))
        mean_us = round(BASE_TIME_US / played.speed * wait * self.draw.uniform(0.9, 1.1))
        load: tuple[tuple[str, float], ...] = ()
        if self.sequence.loaded and self.draw.random() < 0.995:
            load = (("util", min(1.0, busy)), ("qps", attempts * SECOND / span_us))
        reported_us = mean_us if failed < attempts else 0
        return EndpointReport(
            played.number, played.zone, attempts, failed, span_us, reported_us, load
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
SMALL_CHANNEL = replace(FLEET, delivery_entries_per_s=900.0, max_backlog_entries=1200.0)
BATCH = replace(
    READ, name="batch", latency_objective_us=2 * SECOND, deadline_us=6 * SECOND, priority_weight=0.5
)
ZONE_BOUND = replace(READ, name="local", same_zone_only=True, priority_weight=2.0)
EAST_ONLY = replace(WRITE, name="east-only", allowed_zones=frozenset({"east"}))
BIG_ONLY = replace(READ, name="big-only", allowed_kinds=frozenset({"big"}), priority_weight=3.0)
THREE = (READ, WRITE, BATCH)

CHURN = {"join": 0.03, "leave": 0.03, "rejoin_unseen": 0.01}
ROLLING = {"drain": 0.03, "restart": 0.04}
FAULTS = {"outlier": 0.02, "heal": 0.01}

SEQUENCES = (
    Sequence("calm", 1, FLEET, 24, {**CHURN, "reweigh": 0.02}),
    Sequence("rolling_restart", 2, FLEET, 30, {**ROLLING, "grow": 0.01}),
    Sequence(
        "reconnect_storms",
        3,
        replace(FLEET, proxy_count=90),
        40,
        {**ROLLING, "reconnect_storm": 0.02, "join": 0.05, "leave": 0.02},
        fresh_chance=0.2,
        initial_share=0.7,
    ),
    Sequence(
        "overload",
        4,
        replace(FLEET, classes=THREE),
        20,
        {"overload": 0.012, "leave": 0.01, "join": 0.02},
        rate_per_proxy=10.0,
        steps=600,
    ),
    Sequence(
        "overload_by_rate",
        5,
        replace(FLEET, classes=THREE, admission_mode=AdmissionMode.RATE),
        20,
        {"overload": 0.012, "outlier": 0.005, "drain": 0.005, "restart": 0.01},
        rate_per_proxy=9.0,
        peak=4.0,
    ),
    Sequence(
        "no_admission",
        6,
        replace(FLEET, admission_mode=AdmissionMode.NONE),
        20,
        {"overload": 0.012, **CHURN},
        rate_per_proxy=9.0,
    ),
    Sequence("outliers", 7, FLEET, 30, {**FAULTS, "restart": 0.01, "drain": 0.01}),
    Sequence(
        "partitions",
        8,
        replace(FLEET, classes=THREE),
        30,
        {"partition": 0.02, "heal": 0.03, "drain": 0.005, "restart": 0.01},
    ),
    Sequence(
        "subsets",
        9,
        replace(FLEET, proxy_count=80, min_endpoint_connections=30.0, zones=ZONES, classes=THREE),
        60,
        {**CHURN, **ROLLING, "reconnect_storm": 0.003, "relist": 0.005, "overload": 0.005},
        rate_per_proxy=6.0,
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
        {**CHURN, **ROLLING, **FAULTS},
        report_parts=4,
    ),
    Sequence(
        "own_tables",
        11,
        replace(FLEET, zones=ZONES, classes=(READ, EAST_ONLY, BIG_ONLY, ZONE_BOUND)),
        36,
        {**ROLLING, "grow": 0.02, "overload": 0.01},
        rate_per_proxy=8.0,
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
        {"list_unavailable": 0.03, "relist": 0.02, **ROLLING},
        first_list="restored",
        fresh_chance=0.3,
    ),
    Sequence(
        "lost_calls",
        13,
        replace(FLEET, proxy_count=50),
        30,
        {"call_lost": 0.2, **ROLLING, **CHURN},
        ack_chance=0.8,
    ),
    Sequence(
        "small_channel",
        14,
        SMALL_CHANNEL,
        30,
        {**ROLLING, **CHURN, "silence": 0.01, "call_lost": 0.1, "reconnect_storm": 0.004},
        ack_chance=0.9,
        steps=600,
    ),
    Sequence(
        "message_limit",
        15,
        replace(FLEET, max_messages_per_proxy=12),
        30,
        {**ROLLING, **CHURN, "outlier": 0.02, "overload": 0.01},
    ),
    Sequence(
        "drains_at_once",
        16,
        replace(SMALL_CHANNEL, proxy_count=70, max_backlog_entries=1500.0),
        60,
        {"drain_many": 0.012, "restart": 0.05, "join": 0.04, "leave": 0.02, "silence": 0.01},
        initial_share=0.8,
        fresh_chance=0.3,
    ),
    Sequence(
        "load_reports",
        17,
        replace(FLEET, load_reports_inline=True, load_report_names=("util", "qps")),
        24,
        {"restart": 0.01, "outlier": 0.01, "report_gap": 0.01},
        loaded=True,
    ),
    Sequence(
        "inherited_tables",
        18,
        replace(FLEET, proxy_count=60),
        24,
        {"report_gap": 0.005, "reweigh": 0.01},
        fresh_chance=0.0,
        first_list="restored",
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
        fresh_chance=0.2,
        initial_share=0.2,
        report_parts=4,
        rate_per_proxy=2.0,
    ),
    Sequence("slices", 19, replace(FLEET, slice_count=4), 20, {**ROLLING, **CHURN}, steps=120),
    Sequence(
        "empty_start",
        20,
        replace(FLEET, min_endpoint_connections=16.0),
        0,
        {"grow": 0.05, "relist": 0.01, **CHURN},
        initial_share=0.0,
    ),
)

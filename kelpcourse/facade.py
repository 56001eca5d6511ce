"""The one door to the decision module, in blocking style: report what was heard, tick, pick the work due."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from kelpcourse.limits import Limits
from kelpcourse.memory import orders
from kelpcourse.memory.endpoints import EndpointRegistry, ListedEndpoint
from kelpcourse.memory.orders import Order
from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    CheckHealth,
    Checkpoint,
    ClearTable,
    FetchEndpoints,
    LogMessage,
    ResendOrders,
    RestoreEndpoint,
    SendToPeer,
    SetAdmission,
    SetTimer,
    SetWeight,
    WatchEndpoints,
    WithdrawEndpoint,
)
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    Event,
    HealthCheckCompleted,
    HealthCheckStatus,
    OrdersAccepted,
    OrdersAcknowledged,
    OrdersOutcomeUnknown,
    ProxyJoined,
    ProxyLeft,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import Settings

Load = Sequence[tuple[str, float]]


class InvalidReportError(ValueError):
    """What was reported names something that this director does not know, or a figure out of range."""


class Policy(Protocol):
    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]: ...


@dataclass
class Work:
    """What the module wants done, in plain terms."""

    orders: list[Order] = field(default_factory=list)
    watch: bool | None = None  # start (anew) or end the watch of the list
    fetches: int = 0  # whole lists asked for
    probes: list[tuple[str, tuple[str, int]]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    steps: int = 0
    undelivered: int = 0  # orders for hosts no longer known, or for what is not spoken here


class Facade:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        limits: Limits,
        make: Callable[[Settings], Policy] = RoutingPolicy,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._module = make(settings)
        self._hosts = EndpointRegistry(limits.max_endpoint_names)
        self._events: list[Event] = [Started(seed)]
        self._gathered_us: int | None = None  # when what waits is to be stepped
        self._timers: list[tuple[int, int, str]] = []
        self._timer_number = 0
        self._work = Work()
        self._may_repeat = False
        self._classes = {cls.name: at for at, cls in enumerate(settings.classes)}
        self._stamps: dict[int, None] = {}  # of marks that were ordered, oldest first
        self._longest_us = limits.max_mean_time_deadlines * max(
            (cls.deadline_us for cls in settings.classes), default=0
        )
        self._now = 0

    # Reports

    def report_known(self, members: Sequence[ListedEndpoint], version: int) -> None:
        """The list as this director last had it, before its start."""
        self._take_list(EndpointListKind.RESTORED, members, version)

    def report_list(self, members: Sequence[ListedEndpoint], version: int, whole: bool) -> None:
        self._take_list(
            EndpointListKind.FULL if whole else EndpointListKind.CHANGES, members, version
        )

    def report_list_lost(self) -> None:
        """A watch or a call for the list failed."""
        self._events.append(EndpointList(EndpointListKind.UNAVAILABLE, 0, ()))

    def is_zone(self, zone: str) -> bool:
        return zone in self._settings.zones

    def report_joined(self, proxy: int, zone: str, share: float, standing: bool) -> None:
        self._events.append(
            ProxyJoined(self._proxy(proxy), self._zone(zone), _figure(share), standing)
        )

    def report_left(self, proxy: int) -> None:
        self._events.append(ProxyLeft(self._proxy(proxy)))

    def report_applied(self, proxy: int, stamp: int, lag_ms: float) -> None:
        if stamp not in self._stamps:
            raise InvalidReportError(f"mark {stamp} was never asked for")
        self._events.append(OrdersAcknowledged(self._proxy(proxy), stamp, _us(lag_ms)))

    def report_taken(self, stamp: int) -> None:
        """The relay took the call that ends in this mark."""
        self._events.append(OrdersAccepted(stamp))

    def report_doubted(self, stamps: tuple[int, ...]) -> None:
        """A call that broke may have been carried out, and its orders wait to go again."""
        self._may_repeat = False
        self._events.append(OrdersOutcomeUnknown(stamps))

    def may_repeat(self) -> bool:
        """Whether the module has let them go since."""
        return self._may_repeat

    def report_tries(
        self,
        host: str,
        zone: str,
        tries: int,
        failed: int,
        window_ms: float,
        mean_ms: float | None,
        load: Load,
    ) -> None:
        """What the proxies of a zone met at a host; without good answers there is no mean time."""
        span_us = self._span(window_ms)
        good = self._within(tries, span_us) - _count(failed)
        if good < 0:
            raise InvalidReportError(f"{failed} of {tries} tries failed")
        if mean_ms is None and good:
            raise InvalidReportError(f"no mean time of {good} good answers")
        mean_us = _us(mean_ms or 0.0)
        if mean_us > self._longest_us:
            raise InvalidReportError(f"mean time {mean_ms} is beyond every deadline")
        self._events.append(
            EndpointReport(
                self._host(host), self._zone(zone), tries, failed, span_us, mean_us, _load(load)
            )
        )

    def report_usage(
        self, proxy: int, kind: str, arrived: int, unanswered: int, window_ms: float
    ) -> None:
        """The requests of a class that reached a proxy."""
        if kind not in self._classes:
            raise InvalidReportError(f"class {kind!r:.60} is not in the settings")
        span_us = self._span(window_ms)
        self._events.append(
            DemandReport(
                self._proxy(proxy),
                self._classes[kind],
                self._within(arrived, span_us),
                self._within(unanswered, span_us),
                span_us,
            )
        )

    def report_probe(self, host: str, outcome: str, took_us: int, load: Load) -> None:
        self._events.append(
            HealthCheckCompleted(self._host(host), HealthCheckStatus(outcome), took_us, _load(load))
        )

    # Steps

    def due_us(self) -> int | None:
        """When the next tick has something to do; None: nothing waits."""
        dues = [self._timers[0][0]] if self._timers else []
        if self._events:
            dues.append(self._gathered_us if self._gathered_us is not None else 0)
        return min(dues, default=None)

    def start(self, now_us: int) -> None:
        """The first step, at once: the module takes in the list it was handed before anyone is answered."""
        self._gathered_us = now_us
        self.tick(now_us)

    def tick(self, now_us: int) -> bool:
        """Runs a step if something is due. What arrives together goes into one step."""
        self._now = now_us = max(now_us, self._now)
        if self._events and self._gathered_us is None:
            self._gathered_us = now_us + self._limits.step_batching_us
        if not self._due(now_us):
            return False
        fired = self._fire(now_us)
        events, self._events, self._gathered_us = [*self._events, *map(TimerFired, fired)], [], None
        try:
            actions = self._module.step(now_us, events)
        except (
            Exception
        ):  # whoever hosts this tells of it; a timer lost with the step would stop the module
            for name in fired:
                self._set_timer(name, now_us + self._limits.coroutine_restart_us)
            raise
        self._work.steps += 1
        for action in actions:
            self._take(action)
        return True

    def _fire(self, now_us: int) -> list[str]:
        fired = []
        while self._timers and self._timers[0][0] <= now_us:
            fired.append(heapq.heappop(self._timers)[2])
        return fired

    def _due(self, now_us: int) -> bool:
        if self._timers and self._timers[0][0] <= now_us:
            return True
        return self._gathered_us is not None and self._gathered_us <= now_us

    def pick(self) -> Work:
        """The work that steps have asked for since the last pick."""
        work, self._work = self._work, Work()
        return work

    # From plain terms to the module's

    def _take_list(
        self, kind: EndpointListKind, members: Sequence[ListedEndpoint], version: int
    ) -> None:
        self._hosts.take(members, kind is not EndpointListKind.CHANGES)
        hosts = tuple(self._listed(m) for m in members)
        self._events.append(EndpointList(kind, version, hosts))

    def _listed(self, m: ListedEndpoint) -> Endpoint:
        return Endpoint(
            self._host(m.name), m.zone, m.kind, m.cell, m.weight, m.status, _us(m.started_ms)
        )

    def _host(self, name: str) -> int:
        number = self._hosts.number(name)
        if number is None:
            raise InvalidReportError(f"host {name!r:.60} was never listed")
        return number

    def _proxy(self, proxy: int) -> int:
        if not 0 <= proxy < self._settings.proxy_count:
            raise InvalidReportError(f"proxy {proxy} is not below {self._settings.proxy_count}")
        return proxy

    def _zone(self, zone: str) -> str:
        if zone not in self._settings.zones:
            raise InvalidReportError(f"zone {zone!r:.60} is not in the settings")
        return zone

    def _span(self, window_ms: float) -> int:
        """One figure of a spoilt report could outweigh all others for as long as means remember it."""
        span_us = _us(window_ms)
        if not 0 < span_us <= self._limits.max_report_window_us:
            raise InvalidReportError(f"window {window_ms} is out of range")
        return span_us

    def _within(self, count: int, span_us: int) -> int:
        if _count(count) > self._limits.max_report_attempts_per_s * max(1.0, span_us / 1e6):
            raise InvalidReportError(f"{count} in {span_us / 1e6:.3f} s are out of range")
        return count

    # From the module's terms to plain ones

    def _take(self, action: Action) -> None:
        match action:
            case SetTimer(name, at_us):
                self._set_timer(name, at_us)
            case WatchEndpoints(on):
                self._work.watch = on
            case FetchEndpoints():
                self._work.fetches += 1
            case ResendOrders():
                self._may_repeat = True
            case CheckHealth(host):
                self._probe(host)
            case LogMessage(text):
                self._work.notes.append(text)
            case SendToPeer():
                self._work.undelivered += 1  # no word for it on these sockets
            case _:
                self._order(action)

    def _set_timer(self, name: str, at_us: int) -> None:
        if len(self._timers) >= self._limits.max_timers:
            self._work.undelivered += 1
            return
        self._timer_number += 1
        heapq.heappush(self._timers, (at_us, self._timer_number, name))

    def _probe(self, host: int) -> None:
        name = self._hosts.name(host)
        address = self._hosts.address(name) if name is not None else None
        if name is None or address is None:
            self._work.undelivered += 1
        else:
            self._work.probes.append((name, address))

    def _order(self, action: Action) -> None:
        order = self._plain(action)
        if order is None:
            self._work.undelivered += 1
        else:
            self._work.orders.append(order)

    def _plain(self, action: Action) -> Order | None:
        match action:
            case SetWeight(table, host, weight):
                name = self._hosts.name(host)
                return orders.SetWeight(table, name, _rounded(weight)) if name is not None else None
            case WithdrawEndpoint(host):
                name = self._hosts.name(host)
                return orders.WithdrawEndpoint(name) if name is not None else None
            case RestoreEndpoint(host):
                name = self._hosts.name(host)
                return orders.RestoreEndpoint(name) if name is not None else None
            case ClearTable(table):
                return orders.ClearTable(table)
            case BindProxy(proxy, table, classes):
                return orders.BindProxy(proxy, table, self._names(classes))
            case SetAdmission(table, classes, level, retry):
                return orders.SetAdmission(
                    table, self._names(classes), _rounded(level), retry.value
                )
            case Checkpoint(number, everyone):
                self._remember(number)
                return orders.Checkpoint(number, everyone)
        return None

    def _remember(self, stamp: int) -> None:
        self._stamps.pop(stamp, None)
        self._stamps[stamp] = None
        if len(self._stamps) > self._limits.max_checkpoints:
            del self._stamps[next(iter(self._stamps))]

    def _names(self, classes: tuple[int, ...]) -> tuple[str, ...]:
        return tuple(self._settings.classes[at].name for at in classes)


def _rounded(figure: float) -> float:
    """As many digits as the simulator's wire carries."""
    return float(f"{figure:.6g}")


def _figure(value: float) -> float:
    if not math.isfinite(value) or value < 0:
        raise InvalidReportError(f"figure {value} is out of range")
    return value


def _count(value: int) -> int:
    if not 0 <= value < 1 << 53:
        raise InvalidReportError(f"count {value} is out of range")
    return value


def _us(ms: float) -> int:
    if not math.isfinite(ms) or not 0 <= ms < 1e15:
        raise InvalidReportError(f"time {ms} is out of range")
    return round(ms * 1000)


def _load(load: Load) -> tuple[tuple[str, float], ...]:
    if any(not math.isfinite(value) for _, value in load):
        raise InvalidReportError("a load report is out of range")
    return tuple(load)

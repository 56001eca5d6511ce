"""A model of the relay, its delivery queue and the proxies, by the protocol note and not by the policy's own counts."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    Checkpoint,
    ClearTable,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.events import Event, OrdersAccepted, OrdersAcknowledged
from kelpcourse.policy.settings import EndpointId, ProxyId, Settings, TableId
from tests.fleet import SECOND

Weights = dict[EndpointId, float]
ClassPosition = int


@dataclass
class ModelProxy:
    """A proxy: what it has been sent, and what it was sent when."""

    number: ProxyId
    zone: str
    initial: dict[ClassPosition, Weights]  # its own tables, until it is bound to others
    joined_us: int | None = None
    tables: dict[TableId, Weights] = field(default_factory=dict)
    bindings: dict[ClassPosition, TableId] = field(default_factory=dict)
    ratios: dict[tuple[TableId, ClassPosition], float] = field(default_factory=dict)
    withdrawn: set[EndpointId] = field(default_factory=set)
    was_bound: bool = False  # since it joined
    last_arrival_us: int = 0
    last_message_sent_us: int = 0
    message_times_us: deque[int] = field(default_factory=deque)

    def entries(self, position: ClassPosition) -> Weights:
        """Returns the entries that the proxy can use for a class."""
        if position in self.bindings:
            table = self.tables.get(self.bindings[position], {})
        else:
            table = self.initial.get(position, {})
        return {each: weight for each, weight in table.items() if each not in self.withdrawn}

    def ratio(self, position: ClassPosition) -> float:
        """Returns the part of a class that the proxy admits."""
        return self.ratios.get((self.bindings.get(position, -1), position), 1.0)


@dataclass(order=True)
class Message:
    """The orders of one step to one proxy."""

    arrival_us: int
    number: int
    proxy: ProxyId = field(compare=False)
    joined_us: int = field(compare=False)
    sent_us: int = field(compare=False)
    orders: list[tuple[Action, Weights]] = field(compare=False)
    checkpoint_id: int = field(compare=False)
    withdrawn: frozenset[EndpointId] = field(compare=False)


class ModelRelay:
    """The relay's tables and bindings, and the ordered queue through which its messages pass."""

    def __init__(self, settings: Settings, proxies: Sequence[ModelProxy], seed: int) -> None:
        self.settings = settings
        self.proxies = {proxy.number: proxy for proxy in proxies}
        self.tables: dict[TableId, Weights] = {}
        self.ratios: dict[tuple[TableId, ClassPosition], float] = {}
        self.withdrawn: set[EndpointId] = set()
        self.users: dict[ProxyId, dict[ClassPosition, TableId]] = {}
        self.queue_empty_us = 0.0
        self._in_transit: list[Message] = []
        self._count = 0
        self._rng = random.Random(seed)
        self._events: list[Event] = []

    def join(self, proxy: ModelProxy, now_us: int) -> None:
        """Opens a stream; the proxy keeps what it holds but is bound to no table of this controller."""
        proxy.joined_us = now_us
        proxy.was_bound = False
        proxy.message_times_us.clear()
        self.users[proxy.number] = {}

    def leave(self, proxy: ModelProxy) -> None:
        """Ends a stream; messages on their way to the proxy are lost."""
        proxy.joined_us = None
        self.users.pop(proxy.number, None)

    def restart_controller(self) -> None:
        """Forgets the tables, withdrawals and queue of the controller, as WIRE tells; proxies keep their tables."""
        for proxy in self.proxies.values():
            self.leave(proxy)
        self.tables, self.ratios, self.withdrawn = {}, {}, set()
        self._events = []
        self.queue_empty_us = 0.0

    def waiting_entries(self, now_us: int) -> float:
        """Returns the entries in the queue, heads included."""
        waiting_us = max(0.0, self.queue_empty_us - now_us)
        return waiting_us * self.settings.delivery_entries_per_s / SECOND

    def carry_out(self, actions: Iterable[Action], now_us: int) -> None:
        """Carries out the orders of a step as one message for each proxy concerned."""
        orders: dict[ProxyId, list[tuple[Action, Weights]]] = {}
        costs: dict[ProxyId, int] = {}
        checkpoint_id = -1
        for action in actions:
            if isinstance(action, Checkpoint):
                checkpoint_id = action.checkpoint_id
                continue
            for number, cost in self._effects(action):
                entries: Weights = {}
                if isinstance(action, BindProxy):
                    entries = dict(self.tables.get(action.table, {}))
                orders.setdefault(number, []).append((action, entries))
                costs[number] = costs.get(number, 0) + cost
        for number, proxy_orders in orders.items():
            self._send(number, proxy_orders, costs[number], checkpoint_id, now_us)
        if checkpoint_id >= 0:
            self._events.append(OrdersAccepted(checkpoint_id))

    def _effects(self, action: Action) -> list[tuple[ProxyId, int]]:
        """Applies an order, and returns the proxies concerned with the number of entries that it costs at each."""
        match action:
            case SetWeight(table, endpoint, weight):
                entries = self.tables.setdefault(table, {})
                entries.pop(endpoint, None)
                if weight > 0:
                    entries[endpoint] = weight
                return [(number, 1) for number in self._bound_to(table)]
            case ClearTable(table):
                self.tables[table] = {}
                return [(number, 1) for number in self._bound_to(table)]
            case BindProxy(proxy, table, classes) if proxy in self.users:
                self.users[proxy].update(dict.fromkeys(classes, table))
                entries = self.tables.get(table, {})
                ratio_count = sum(key[0] == table for key in self.ratios)
                return [
                    (proxy, 1 + len(entries) + ratio_count + len(entries.keys() & self.withdrawn))
                ]
            case WithdrawEndpoint(endpoint):
                self.withdrawn.add(endpoint)
                return self._effects_on_holders(action, endpoint)
            case RestoreEndpoint(endpoint):
                self.withdrawn.discard(endpoint)
                return self._effects_on_holders(action, endpoint)
            case SetAdmission(table, classes, limit, _) if table is not None:
                self.ratios.update(dict.fromkeys(((table, each) for each in classes), limit))
                return [(number, len(classes)) for number in self._bound_to(table)]
        return []

    def _effects_on_holders(
        self, action: Action, endpoint: EndpointId
    ) -> list[tuple[ProxyId, int]]:
        """Returns the proxies with a table that has the endpoint; all others need no message."""
        holders = [number for number in self.users if self._holds(number, endpoint)]
        for number in sorted(self.users.keys() - holders):
            self._notify(self.proxies[number], action)
        return [(number, 1) for number in holders]

    def _notify(self, proxy: ModelProxy, action: Action) -> None:
        """Sends an order that is no entry for the proxy: it costs nothing, but keeps its place among the messages."""
        assert proxy.joined_us is not None
        self._count += 1
        heapq.heappush(
            self._in_transit,
            Message(
                proxy.last_arrival_us,
                self._count,
                proxy.number,
                proxy.joined_us,
                proxy.last_message_sent_us,
                [(action, {})],
                -1,
                frozenset(),
            ),
        )

    def _bound_to(self, table: TableId) -> list[ProxyId]:
        return [number for number, bound in self.users.items() if table in bound.values()]

    def _holds(self, number: ProxyId, endpoint: EndpointId) -> bool:
        bound = self.users[number]
        if any(endpoint in self.tables.get(table, ()) for table in bound.values()):
            return True
        proxy = self.proxies[number]
        positions = range(len(self.settings.classes))
        return any(endpoint in proxy.entries(each) for each in positions if each not in bound)

    def _send(
        self,
        number: ProxyId,
        orders: list[tuple[Action, Weights]],
        entries: int,
        checkpoint_id: int,
        now_us: int,
    ) -> None:
        proxy = self.proxies[number]
        assert proxy.joined_us is not None
        cost = entries + self.settings.message_overhead_entries + (checkpoint_id >= 0)
        left_us = max(self.queue_empty_us, now_us)
        self.queue_empty_us = left_us + cost / self.settings.delivery_entries_per_s * SECOND
        transit_us = self.settings.mean_transit_us * self._rng.uniform(0.5, 1.5)
        transit_us = min(transit_us, self.settings.max_transit_us)
        proxy.last_arrival_us = max(proxy.last_arrival_us, int(self.queue_empty_us + transit_us))
        proxy.message_times_us.append(now_us)
        self._count += 1
        message = Message(
            proxy.last_arrival_us,
            self._count,
            number,
            proxy.joined_us,
            now_us,
            orders,
            checkpoint_id,
            frozenset(self.withdrawn),
        )
        heapq.heappush(self._in_transit, message)

    def deliver(self, now_us: int) -> list[Event]:
        """Applies the messages that have arrived, and returns the events for the controller."""
        events, self._events = self._events, []
        while self._in_transit and self._in_transit[0].arrival_us <= now_us:
            message = heapq.heappop(self._in_transit)
            proxy = self.proxies[message.proxy]
            if proxy.joined_us != message.joined_us:
                continue
            proxy.last_message_sent_us = message.sent_us
            for action, entries in message.orders:
                self._apply(proxy, action, entries, message.withdrawn)
            if message.checkpoint_id >= 0:
                lag_us = message.arrival_us - message.sent_us
                events.append(OrdersAcknowledged(proxy.number, message.checkpoint_id, lag_us))
        return events

    def _apply(
        self,
        proxy: ModelProxy,
        action: Action,
        entries: Weights,
        withdrawn: frozenset[EndpointId],
    ) -> None:
        match action:
            case SetWeight(table, endpoint, weight):
                held = proxy.tables.setdefault(table, {})
                held.pop(endpoint, None)
                if weight > 0:
                    held[endpoint] = weight
            case ClearTable(table):
                proxy.tables[table] = {}
            case BindProxy(_, table, classes):
                proxy.tables[table] = entries
                for position in classes:
                    proxy.bindings[position] = table
                    if (table, position) in self.ratios:
                        proxy.ratios[table, position] = self.ratios[table, position]
                # A proxy that was bound observes the withdrawals of this controller alone.
                proxy.withdrawn = set(withdrawn) | (proxy.withdrawn if proxy.was_bound else set())
                proxy.was_bound = True
            case SetAdmission(table, classes, limit, _) if table is not None:
                for position in classes:
                    proxy.ratios[table, position] = limit
            case _:
                self._apply_withdrawal(proxy, action)

    def _apply_withdrawal(self, proxy: ModelProxy, action: Action) -> None:
        match action:
            case WithdrawEndpoint(endpoint):
                proxy.withdrawn.add(endpoint)
            case RestoreEndpoint(endpoint):
                proxy.withdrawn.discard(endpoint)

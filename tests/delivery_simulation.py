"""Simulates a fleet and the delivery queue of one controller, independently of the delivery tracker.

Messages leave the delivery queue in order and at its rate, and each is applied after the transit time. The backlog
consists of the messages that have not left the queue. When a stream breaks, the messages to its proxy are removed from
the queue, but the messages after them leave no earlier than before. Drain grace periods and the backlog are checked
after every step, and the message limit with every message. Endpoints and tables are identified by any hashable key: the
policy's numbers, or the names of the relay protocol.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass, field

from kelpcourse.policy import actions
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import (
    Endpoint,
    EndpointStatus,
    Event,
    OrdersAcknowledged,
    ProxyJoined,
    ProxyLeft,
)
from kelpcourse.policy.settings import Settings
from tests.fleet import SECOND, make_endpoint

TIME_LIMIT_SLACK_US = 300_000  # Tolerance that the protocol grants for time limits on sockets
STEP_US = 10_000

EndpointKey = Hashable
TableKey = Hashable


class LimitExceededError(AssertionError):
    """Raised when the backlog, the message limit or a drain grace period is exceeded."""


@dataclass(frozen=True)
class SetEntry:
    """An order that sets a table entry at every proxy bound to the table; a weight of 0 removes it."""

    table: TableKey
    endpoint: EndpointKey
    weight: float


@dataclass(frozen=True)
class Bind:
    """An order that binds a proxy to a table and restates its entries and the withdrawn endpoints."""

    proxy: int
    table: TableKey
    entries: frozenset[EndpointKey] = frozenset()
    withdrawn: frozenset[EndpointKey] = frozenset()


@dataclass(frozen=True)
class LimitAdmission:
    """An order that sets an admission limit at every proxy bound to a table."""

    table: TableKey


@dataclass(frozen=True)
class Withdraw:
    """An order to all proxies that may hold an endpoint to stop sending to it."""

    endpoint: EndpointKey


@dataclass(frozen=True)
class Restore:
    """An order that lets all proxies that may hold an endpoint send to it again."""

    endpoint: EndpointKey


@dataclass(frozen=True)
class Synchronise:
    """A checkpoint that every proxy with an order in the same call acknowledges."""

    checkpoint_id: int


Order = SetEntry | Bind | LimitAdmission | Withdraw | Restore | Synchronise


@dataclass
class SimulatedProxy:
    """The state of a proxy: the orders sent to it, and their effect so far.

    Attributes:
        joined_us: Time at which the proxy joined, in microseconds.
        initial_endpoints: Endpoints of the table that the proxy held when it joined.
        bound_tables: Tables to which the proxy was ordered to be bound, whether or not it has applied the orders.
        entries: Endpoints of each table, as the proxy has applied them.
        withdrawn: Withdrawn endpoints, as the proxy has applied them.
        messages_us: Times of the messages sent to the proxy within the message window, in microseconds.
    """

    joined_us: int
    initial_endpoints: set[EndpointKey]
    bound_tables: set[TableKey] = field(default_factory=set)
    entries: dict[TableKey, set[EndpointKey]] = field(default_factory=dict)
    withdrawn: set[EndpointKey] = field(default_factory=set)
    messages_us: deque[int] = field(default_factory=deque)

    def apply(self, order: Order) -> None:
        """Applies an order that has arrived."""
        match order:
            case Bind(_, table, entries, withdrawn):
                self.entries[table] = set(entries)
                self.withdrawn |= withdrawn
            case SetEntry(table, endpoint, weight) if table in self.entries:
                self.entries[table].discard(endpoint)
                if weight > 0:
                    self.entries[table].add(endpoint)
            case Withdraw(endpoint):
                self.withdrawn.add(endpoint)
            case Restore(endpoint):
                self.withdrawn.discard(endpoint)

    def reachable(self) -> set[EndpointKey]:
        """Returns the endpoints that the proxy may send to: bound tables replace the initial one."""
        if self.entries:
            return set().union(*self.entries.values()) - self.withdrawn
        return self.initial_endpoints - self.withdrawn


@dataclass
class Message:
    """The orders of one call that go to one proxy.

    Attributes:
        leaves_us: Time at which the message leaves the delivery queue, in microseconds.
        proxy: The proxy to which the message is sent.
        entries: Size of the message in table entries, with the overhead of a message.
        orders: The orders of the message.
    """

    leaves_us: int
    proxy: int
    entries: float
    orders: list[Order]


class _Call:
    """The orders of one call, by recipient."""

    def __init__(self) -> None:
        self.entries: Counter[int] = Counter()
        self.orders: dict[int, list[Order]] = {}

    def add(self, proxies: Iterable[int], order: Order, entries: int = 1) -> None:
        for proxy in proxies:
            self.entries[proxy] += entries
            self.orders.setdefault(proxy, []).append(order)


class DeliverySimulation:
    """Simulates the delivery queue of one controller and the proxies that it reaches."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.proxies: dict[int, SimulatedProxy] = {}
        self.withdrawn: set[EndpointKey] = set()  # Endpoints withdrawn by the orders sent so far
        self.max_backlog_entries = 0.0  # Largest backlog found by a check
        # Weights by table and endpoint, after the orders sent so far.
        self._entries: dict[TableKey, dict[EndpointKey, float]] = {}
        self._bound_proxies: dict[TableKey, set[int]] = {}
        self._limited_tables: set[TableKey] = set()
        self._queued: deque[Message] = deque()
        self._in_transit: deque[tuple[int, Message]] = deque()
        # Time at which the controller was notified that an endpoint drains, by endpoint.
        self._draining_since_us: dict[EndpointKey, int] = {}
        self._queue_empty_us = 0  # Time at which the last queued message leaves the delivery queue

    # Events

    def join(self, now_us: int, proxy: int, initial: Iterable[EndpointKey] = ()) -> None:
        """Adds a proxy that holds a table of another controller with these endpoints."""
        self.leave(proxy)
        self.proxies[proxy] = SimulatedProxy(now_us, set(initial))

    def leave(self, proxy: int) -> None:
        """Removes a proxy whose stream breaks, and the messages that have not arrived there."""
        departed = self.proxies.pop(proxy, None)
        if departed is not None:
            for table in departed.bound_tables:
                self._bound_proxies[table].discard(proxy)
        self._queued = deque(message for message in self._queued if message.proxy != proxy)
        self._in_transit = deque(
            (arrives_us, message)
            for arrives_us, message in self._in_transit
            if message.proxy != proxy
        )

    def stall(self, now_us: int, span_us: int) -> None:
        """Stops the delivery queue for a while: every queued message leaves later by this time."""
        self._queue_empty_us = max(now_us, self._queue_empty_us) + span_us
        for message in self._queued:
            message.leaves_us += span_us

    def drain(self, now_us: int, endpoints: Iterable[EndpointKey]) -> None:
        """Records that the controller is notified of endpoints that drain or are gone."""
        self._draining_since_us |= dict.fromkeys(endpoints, now_us)

    def order(self, now_us: int, orders: Iterable[Order]) -> None:
        """Sends the orders of one call, as one message to each recipient."""
        call = _Call()
        for order in orders:
            self._add_order(call, order)
        for proxy, proxy_orders in call.orders.items():
            cost = call.entries[proxy] + self.settings.message_overhead_entries
            span_us = int(cost * SECOND / self.settings.delivery_entries_per_s)
            self._queue_empty_us = max(now_us, self._queue_empty_us) + span_us
            self._queued.append(Message(self._queue_empty_us, proxy, cost, proxy_orders))
            self._count_message(now_us, proxy)

    def advance(self, now_us: int) -> list[tuple[int, int]]:
        """Delivers messages until a time; returns pairs of a proxy and a checkpoint that it acknowledges."""
        while self._queued and self._queued[0].leaves_us <= now_us:
            message = self._queued.popleft()
            arrives_us = message.leaves_us + self.settings.mean_transit_us
            self._in_transit.append((arrives_us, message))
        acknowledgements = []
        while self._in_transit and self._in_transit[0][0] <= now_us:
            _, message = self._in_transit.popleft()
            for order in message.orders:
                self.proxies[message.proxy].apply(order)
                if isinstance(order, Synchronise):
                    acknowledgements.append((message.proxy, order.checkpoint_id))
        return acknowledgements

    def _add_order(self, call: _Call, order: Order) -> None:
        match order:
            case SetEntry(table, endpoint, weight):
                self._set_entry(table, endpoint, weight)
                call.add(sorted(self._bound_proxies.get(table, ())), order)
            case Bind(proxy, table) if proxy in self.proxies:
                self._bind(call, proxy, table)
            case LimitAdmission(table):
                self._limited_tables.add(table)
                call.add(sorted(self._bound_proxies.get(table, ())), order)
            case Withdraw(endpoint):
                self.withdrawn.add(endpoint)
                call.add(self._possible_holders(endpoint), order)
            case Restore(endpoint):
                self.withdrawn.discard(endpoint)
                call.add(self._possible_holders(endpoint), order)
            case Synchronise():
                call.add(list(call.orders), order)

    def _set_entry(self, table: TableKey, endpoint: EndpointKey, weight: float) -> None:
        entries = self._entries.setdefault(table, {})
        entries.pop(endpoint, None)
        if weight > 0:
            entries[endpoint] = weight

    def _bind(self, call: _Call, proxy: int, table: TableKey) -> None:
        self._bound_proxies.setdefault(table, set()).add(proxy)
        self.proxies[proxy].bound_tables.add(table)
        entries = self._entries.get(table, {})
        limits = 1 if table in self._limited_tables else 0
        size = 1 + len(entries) + limits + len(entries.keys() & self.withdrawn)
        order = Bind(proxy, table, frozenset(entries), frozenset(self.withdrawn))
        call.add([proxy], order, size)

    def _possible_holders(self, endpoint: EndpointKey) -> list[int]:
        return [
            proxy
            for proxy, state in sorted(self.proxies.items())
            if self._may_hold(state, endpoint)
        ]

    def _may_hold(self, proxy: SimulatedProxy, endpoint: EndpointKey) -> bool:
        if proxy.bound_tables:
            return any(endpoint in self._entries.get(table, {}) for table in proxy.bound_tables)
        return endpoint in proxy.initial_endpoints

    def _count_message(self, now_us: int, proxy: int) -> None:
        times_us = self.proxies[proxy].messages_us
        times_us.append(now_us)
        while times_us[0] <= now_us - self.settings.message_window_us:
            times_us.popleft()
        if 0 < self.settings.max_messages_per_proxy < len(times_us):
            raise LimitExceededError(f"{len(times_us)} messages to proxy {proxy}")

    # Checks

    def check(self, now_us: int) -> None:
        """Checks the backlog limit and the drain grace periods.

        Raises:
            LimitExceededError: The backlog is over its limit, or a proxy may send to a drained endpoint.
        """
        backlog = sum(message.entries for message in self._queued)
        self.max_backlog_entries = max(self.max_backlog_entries, backlog)
        limit = self.settings.max_backlog_entries
        if backlog > limit:
            raise LimitExceededError(f"backlog of {backlog:.0f} entries is over {limit:.0f}")
        self._check_drains(now_us)

    def _check_drains(self, now_us: int) -> None:
        grace_us = self.settings.drain_grace_us + TIME_LIMIT_SLACK_US
        overdue = {
            endpoint
            for endpoint, since_us in self._draining_since_us.items()
            if since_us + grace_us < now_us
        }
        if not overdue:
            return
        for proxy, state in self.proxies.items():
            reachable = overdue & state.reachable()
            if state.joined_us + grace_us < now_us and reachable:
                names = sorted(map(str, reachable))[:3]
                raise LimitExceededError(
                    f"proxy {proxy}, joined at {state.joined_us}, may send to {names}"
                )


class DeliveryHarness:
    """Steps the policy every 10 ms against a delivery simulation."""

    def __init__(
        self,
        policy_factory: Callable[[Settings], RoutingPolicy],
        settings: Settings,
        endpoints: Sequence[Endpoint],
    ) -> None:
        self.simulation = DeliverySimulation(settings)
        self.now_us = 50 * SECOND
        self.policy = policy_factory(settings)
        self.endpoints = {endpoint.id: endpoint for endpoint in endpoints}

    def step(self, *events: Event) -> None:
        """Advances the clock by 10 ms and steps the policy with these events and with acknowledgements."""
        self.now_us += STEP_US
        acknowledgements = [
            OrdersAcknowledged(proxy, checkpoint_id, 1)
            for proxy, checkpoint_id in self.simulation.advance(self.now_us)
            if proxy in self.simulation.proxies
        ]
        policy_actions = self.policy.step(self.now_us, [*acknowledgements, *events])
        self.simulation.order(self.now_us, orders_from_actions(policy_actions))
        self.simulation.check(self.now_us)

    def run(self, seconds: float) -> None:
        """Runs for some seconds without other events than acknowledgements."""
        for _ in range(round(seconds * 100)):
            self.step()

    def join(
        self,
        proxies: Iterable[int],
        initial: Callable[[int], Iterable[EndpointKey]],
        seconds: float,
        has_no_table: bool = False,
    ) -> None:
        """Lets proxies join, evenly spread over some seconds.

        Args:
            proxies: The proxies that join.
            initial: Returns the endpoints of the table that a proxy holds when it joins.
            seconds: Time over which the proxies join, in seconds.
            has_no_table: Whether the proxies report that they hold no table.
        """
        remaining = list(proxies)
        count = max(1, round(len(remaining) / max(1, seconds * 100)))
        zones = self.simulation.settings.zones
        while remaining:
            joining = remaining[:count]
            remaining = remaining[count:]
            for proxy in joining:
                self.simulation.join(self.now_us, proxy, initial(proxy))
            self.step(
                *(
                    ProxyJoined(proxy, zones[proxy % len(zones)], 2.0, has_no_table)
                    for proxy in joining
                )
            )

    def leave(self, proxies: Iterable[int]) -> None:
        """Breaks the streams of proxies."""
        departed = list(proxies)
        for proxy in departed:
            self.simulation.leave(proxy)
        self.step(*(ProxyLeft(proxy) for proxy in departed))

    def drain(self, numbers: Iterable[int]) -> list[Endpoint]:
        """Returns these endpoints as draining; their drain grace period starts now."""
        draining = [
            make_endpoint(number, self.endpoints[number].zone, EndpointStatus.DRAINING)
            for number in numbers
        ]
        self.simulation.drain(self.now_us, [endpoint.id for endpoint in draining])
        return draining


def orders_from_actions(policy_actions: Iterable[actions.Action]) -> list[Order]:
    """Returns the orders among the policy's actions."""
    orders = [order_from_action(action) for action in policy_actions]
    return [order for order in orders if order is not None]


def order_from_action(action: actions.Action) -> Order | None:
    """Returns the order of an action; None for timers, log messages and other actions without one."""
    match action:
        case actions.SetWeight(table, endpoint, weight):
            return SetEntry(table, endpoint, weight)
        case actions.BindProxy(proxy, table, _):
            return Bind(proxy, table)
        case actions.WithdrawEndpoint(endpoint):
            return Withdraw(endpoint)
        case actions.RestoreEndpoint(endpoint):
            return Restore(endpoint)
        case actions.SetAdmission(table, _, _, _):
            return LimitAdmission(table)
        case actions.Checkpoint(checkpoint_id, _):
            return Synchronise(checkpoint_id)
    return None

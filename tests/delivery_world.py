"""A fleet as the channel of one controller reaches it, counted apart from the delivery tracker.

Messages leave the channel one after another at its pace, and each is applied a transit time later.
What waits is what has not left; a message to a broken stream is gone, while its turn is not. Drain
graces, the backlog and the limit of messages are checked after every step. Endpoints and tables go
by any key: the policy's numbers, or the names on the wire.
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

TIME_LIMIT_SLACK_US = 300_000  # of time limits on sockets, by the protocol
STEP_US = 10_000

EndpointKey = Hashable
TableKey = Hashable


class RuleBrokenError(AssertionError):
    """A rule was broken."""


@dataclass(frozen=True)
class SetEntry:
    """An entry of a table for all its holders; a weight of 0 removes it."""

    table: TableKey
    endpoint: EndpointKey
    weight: float


@dataclass(frozen=True)
class Bind:
    """A proxy uses a table; the order restates its entries and the withdrawn endpoints."""

    proxy: int
    table: TableKey
    entries: frozenset[EndpointKey] = frozenset()
    withdrawn: frozenset[EndpointKey] = frozenset()


@dataclass(frozen=True)
class LimitAdmission:
    """An admission limit for the holders of a table."""

    table: TableKey


@dataclass(frozen=True)
class Withdraw:
    """All proxies that may hold an endpoint stop sending to it."""

    endpoint: EndpointKey


@dataclass(frozen=True)
class Restore:
    """All proxies that may hold an endpoint may send to it again."""

    endpoint: EndpointKey


@dataclass(frozen=True)
class Synchronise:
    """Every proxy with an order in the call is to answer."""

    checkpoint_id: int


Order = SetEntry | Bind | LimitAdmission | Withdraw | Restore | Synchronise


@dataclass
class PlayedProxy:
    """A proxy: what was ordered of it, and what it has applied."""

    joined_us: int
    initial_endpoints: set[EndpointKey]
    bound_tables: set[TableKey] = field(default_factory=set)  # as ordered
    entries: dict[TableKey, set[EndpointKey]] = field(default_factory=dict)  # as applied
    withdrawn: set[EndpointKey] = field(default_factory=set)  # as applied
    messages_us: deque[int] = field(default_factory=deque)

    def apply(self, order: Order) -> None:
        """Carries out an order that has arrived."""
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
        """The endpoints that it may send to: a table takes the place of what it held."""
        if self.entries:
            return set().union(*self.entries.values()) - self.withdrawn
        return self.initial_endpoints - self.withdrawn


@dataclass
class Message:
    """The orders of one call to one proxy."""

    leaves_us: int
    proxy: int
    entries: float
    orders: list[Order]


class _Call:
    """Orders of one call, by the proxies that they concern."""

    def __init__(self) -> None:
        self.entries: Counter[int] = Counter()
        self.orders: dict[int, list[Order]] = {}

    def add(self, proxies: Iterable[int], order: Order, entries: int = 1) -> None:
        for proxy in proxies:
            self.entries[proxy] += entries
            self.orders.setdefault(proxy, []).append(order)


class DeliveryWorld:
    """The channel and the proxies behind it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.proxies: dict[int, PlayedProxy] = {}
        self.withdrawn: set[EndpointKey] = set()  # as ordered
        self.max_backlog_entries = 0.0  # that waited at any time
        self._entries: dict[TableKey, dict[EndpointKey, float]] = {}  # as ordered
        self._holders: dict[TableKey, set[int]] = {}
        self._limited_tables: set[TableKey] = set()
        self._channel: deque[Message] = deque()
        self._in_transit: deque[tuple[int, Message]] = deque()
        self._drained_us: dict[EndpointKey, int] = {}  # when the controller was notified
        self._free_us = 0  # when the channel has sent everything

    # What happens

    def join(self, now_us: int, proxy: int, initial: Iterable[EndpointKey] = ()) -> None:
        """A proxy joins with the endpoints of a table from elsewhere."""
        self.leave(proxy)
        self.proxies[proxy] = PlayedProxy(now_us, set(initial))

    def leave(self, proxy: int) -> None:
        """The stream of a proxy breaks."""
        left = self.proxies.pop(proxy, None)
        if left is not None:
            for table in left.bound_tables:
                self._holders[table].discard(proxy)
        self._channel = deque(message for message in self._channel if message.proxy != proxy)
        self._in_transit = deque(
            (arrives_us, message)
            for arrives_us, message in self._in_transit
            if message.proxy != proxy
        )

    def stall(self, now_us: int, span_us: int) -> None:
        """The channel sends nothing for a while, and all that waits leaves so much later."""
        self._free_us = max(now_us, self._free_us) + span_us
        for message in self._channel:
            message.leaves_us += span_us

    def drain(self, now_us: int, endpoints: Iterable[EndpointKey]) -> None:
        """The controller is notified that endpoints drain or are gone."""
        self._drained_us |= dict.fromkeys(endpoints, now_us)

    def order(self, now_us: int, orders: Iterable[Order]) -> None:
        """One call: a message to each proxy that it concerns."""
        call = _Call()
        for order in orders:
            self._add_order(call, order)
        for proxy, given in call.orders.items():
            cost = call.entries[proxy] + self.settings.message_overhead_entries
            span_us = int(cost * SECOND / self.settings.delivery_entries_per_s)
            self._free_us = max(now_us, self._free_us) + span_us
            self._channel.append(Message(self._free_us, proxy, cost, given))
            self._count_message(now_us, proxy)

    def advance(self, now_us: int) -> list[tuple[int, int]]:
        """Delivers messages; returns proxies and the checkpoints that they acknowledge."""
        while self._channel and self._channel[0].leaves_us <= now_us:
            message = self._channel.popleft()
            arrives_us = message.leaves_us + self.settings.mean_transit_us
            self._in_transit.append((arrives_us, message))
        acknowledged = []
        while self._in_transit and self._in_transit[0][0] <= now_us:
            _, message = self._in_transit.popleft()
            for order in message.orders:
                self.proxies[message.proxy].apply(order)
                if isinstance(order, Synchronise):
                    acknowledged.append((message.proxy, order.checkpoint_id))
        return acknowledged

    def _add_order(self, call: _Call, order: Order) -> None:
        match order:
            case SetEntry(table, endpoint, weight):
                self._set_entry(table, endpoint, weight)
                call.add(sorted(self._holders.get(table, ())), order)
            case Bind(proxy, table) if proxy in self.proxies:
                self._bind(call, proxy, table)
            case LimitAdmission(table):
                self._limited_tables.add(table)
                call.add(sorted(self._holders.get(table, ())), order)
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
        self._holders.setdefault(table, set()).add(proxy)
        self.proxies[proxy].bound_tables.add(table)
        entries = self._entries.get(table, {})
        limits = 1 if table in self._limited_tables else 0
        size = 1 + len(entries) + limits + len(entries.keys() & self.withdrawn)
        order = Bind(proxy, table, frozenset(entries), frozenset(self.withdrawn))
        call.add([proxy], order, size)

    def _possible_holders(self, endpoint: EndpointKey) -> list[int]:
        return [
            proxy
            for proxy, played in sorted(self.proxies.items())
            if self._may_hold(played, endpoint)
        ]

    def _may_hold(self, proxy: PlayedProxy, endpoint: EndpointKey) -> bool:
        if proxy.bound_tables:
            return any(endpoint in self._entries.get(table, {}) for table in proxy.bound_tables)
        return endpoint in proxy.initial_endpoints

    def _count_message(self, now_us: int, proxy: int) -> None:
        times_us = self.proxies[proxy].messages_us
        times_us.append(now_us)
        while times_us[0] <= now_us - self.settings.message_window_us:
            times_us.popleft()
        if 0 < self.settings.max_messages_per_proxy < len(times_us):
            raise RuleBrokenError(f"{len(times_us)} messages to proxy {proxy}")

    # What must hold

    def check(self, now_us: int) -> None:
        """Raises RuleBrokenError if too much waits, or a proxy may send to a drained endpoint."""
        backlog = sum(message.entries for message in self._channel)
        self.max_backlog_entries = max(self.max_backlog_entries, backlog)
        limit = self.settings.max_backlog_entries
        if backlog > limit:
            raise RuleBrokenError(f"{backlog:.0f} entries wait where {limit:.0f} may")
        self._check_drains(now_us)

    def _check_drains(self, now_us: int) -> None:
        grace_us = self.settings.drain_grace_us + TIME_LIMIT_SLACK_US
        overdue = {
            endpoint
            for endpoint, drained_us in self._drained_us.items()
            if drained_us + grace_us < now_us
        }
        if not overdue:
            return
        for proxy, played in self.proxies.items():
            reachable = overdue & played.reachable()
            if played.joined_us + grace_us < now_us and reachable:
                names = sorted(map(str, reachable))[:3]
                raise RuleBrokenError(
                    f"proxy {proxy}, joined at {played.joined_us}, may send to {names}"
                )


class DeliveryHarness:
    """The policy alone on such a fleet, stepped each 10 ms."""

    def __init__(
        self,
        policy_factory: Callable[[Settings], RoutingPolicy],
        settings: Settings,
        endpoints: Sequence[Endpoint],
    ) -> None:
        self.world = DeliveryWorld(settings)
        self.now_us = 50 * SECOND
        self.policy = policy_factory(settings)
        self.endpoints = {endpoint.id: endpoint for endpoint in endpoints}

    def step(self, *events: Event) -> None:
        """Ten milliseconds go by, and these events come."""
        self.now_us += STEP_US
        acknowledged = [
            OrdersAcknowledged(proxy, checkpoint_id, 1)
            for proxy, checkpoint_id in self.world.advance(self.now_us)
            if proxy in self.world.proxies
        ]
        ordered = self.policy.step(self.now_us, [*acknowledged, *events])
        self.world.order(self.now_us, orders_of(ordered))
        self.world.check(self.now_us)

    def run(self, seconds: float) -> None:
        """Time goes by without events."""
        for _ in range(round(seconds * 100)):
            self.step()

    def join(
        self,
        proxies: Iterable[int],
        initial: Callable[[int], Iterable[EndpointKey]],
        seconds: float,
        has_no_table: bool = False,
    ) -> None:
        """Proxies join, spread over so many seconds."""
        waiting = list(proxies)
        count = max(1, round(len(waiting) / max(1, seconds * 100)))
        zones = self.world.settings.zones
        while waiting:
            joining = waiting[:count]
            waiting = waiting[count:]
            for proxy in joining:
                self.world.join(self.now_us, proxy, initial(proxy))
            self.step(
                *(
                    ProxyJoined(proxy, zones[proxy % len(zones)], 2.0, has_no_table)
                    for proxy in joining
                )
            )

    def leave(self, proxies: Iterable[int]) -> None:
        """The streams of proxies break."""
        left = list(proxies)
        for proxy in left:
            self.world.leave(proxy)
        self.step(*(ProxyLeft(proxy) for proxy in left))

    def drain(self, numbers: Iterable[int]) -> list[Endpoint]:
        """Returns these endpoints as draining, from now on."""
        draining = [
            make_endpoint(number, self.endpoints[number].zone, EndpointStatus.DRAINING)
            for number in numbers
        ]
        self.world.drain(self.now_us, [endpoint.id for endpoint in draining])
        return draining


def orders_of(ordered: Iterable[actions.Action]) -> list[Order]:
    """The orders among the policy's actions."""
    orders = [order_of(action) for action in ordered]
    return [order for order in orders if order is not None]


def order_of(action: actions.Action) -> Order | None:
    """The order that an action is; None for timers, logs and the like."""
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

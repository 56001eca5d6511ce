"""A fleet as one director's channel reaches it, counted apart from the module's books.

Messages leave the channel one after another at its pace, and each is applied a transit time later. What waits is what
has not left; a message to a stream that broke is gone, while its turn is not. Rules 3 and 5 are looked at after every
step. Hosts, tables and proxies go by any key: the module's numbers, or the names of the wire.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    Checkpoint,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.events import EndpointStatus, OrdersAcknowledged, ProxyJoined, ProxyLeft
from kelpcourse.policy.settings import Settings
from tests.fleet import SECOND, host

SLACK_US = 300_000  # of time limits on sockets, by the protocol
Host = Hashable
Order = tuple[Any, ...]  # verb and its words, as below


class Broken(AssertionError):
    """A rule was broken."""


@dataclass
class Forwarder:
    joined_us: int
    standing: set[Host]
    tables: set[Host] = field(default_factory=set)  # bound to, as ordered
    holds: dict[Host, set[Host]] = field(
        default_factory=dict
    )  # tables bound to and their lines, as applied
    shut: set[Host] = field(default_factory=set)
    written_us: deque[int] = field(default_factory=deque)


@dataclass
class Message:
    ends_us: int  # it has left the channel
    proxy: int
    lines: float
    orders: list[Order]


class MassWorld:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.forwarders: dict[int, Forwarder] = {}
        self.tables: dict[Host, dict[Host, float]] = {}
        self.holders: dict[Host, set[int]] = {}
        self.levels: Counter[Host] = Counter()
        self.channel: deque[Message] = deque()
        self.under_way: deque[tuple[int, Message]] = deque()
        self.told_us: dict[Host, int] = {}  # that a host drains or is gone
        self.out: set[Host] = set()
        self.most = 0.0  # lines that waited
        self.ends_us = 0

    # What happens

    def join(self, now_us: int, proxy: int, standing: Iterable[Host] = ()) -> None:
        self.leave(proxy)
        self.forwarders[proxy] = Forwarder(now_us, set(standing))

    def leave(self, proxy: int) -> None:
        left = self.forwarders.pop(proxy, None)
        for table in left.tables if left else ():
            self.holders[table].discard(proxy)
        self.channel = deque(m for m in self.channel if m.proxy != proxy)
        self.under_way = deque((at, m) for at, m in self.under_way if m.proxy != proxy)

    def stand_still(self, now_us: int, span_us: int) -> None:
        """The channel sends nothing for a while; what waits, and what is ordered meanwhile, leaves so much later."""
        self.ends_us = max(now_us, self.ends_us) + span_us
        for message in self.channel:
            message.ends_us += span_us

    def withdraw(self, now_us: int, hosts: Iterable[Host]) -> None:
        """The director is told."""
        self.told_us |= dict.fromkeys(hosts, now_us)

    def order(self, now_us: int, orders: Iterable[Order]) -> None:
        """One call: a message to each proxy that it concerns."""
        lines: Counter[int] = Counter()
        given: dict[int, list[Order]] = {}

        def to(proxies: Iterable[int], order: Order, cost: int = 1) -> None:
            for proxy in proxies:
                lines[proxy] += cost
                given.setdefault(proxy, []).append(order)

        for order in orders:
            match order:
                case "SET", table, at, weight:
                    held = self.tables.setdefault(table, {})
                    held.pop(at, None)
                    if weight > 0:
                        held[at] = weight
                    to(sorted(self.holders.get(table, ())), order)
                case "USE", proxy, table:
                    if proxy in self.forwarders:
                        self.holders.setdefault(table, set()).add(proxy)
                        self.forwarders[proxy].tables.add(table)
                        held = self.tables.get(table, {})
                        sent = "USE", proxy, table, frozenset(held), frozenset(self.out)
                        to(
                            [proxy],
                            sent,
                            1 + len(held) + self.levels[table] + len(held.keys() & self.out),
                        )
                case "LIMIT", table:
                    self.levels[table] = max(1, self.levels[table])
                    to(sorted(self.holders.get(table, ())), order)
                case "OUT", at, out:
                    (self.out.add if out else self.out.discard)(at)
                    to(
                        [p for p, f in sorted(self.forwarders.items()) if self._may_hold(f, at)],
                        order,
                    )
                case "SYNC", _:
                    to(list(given), order)
        for proxy, words in given.items():
            cost = lines[proxy] + self.settings.message_overhead_entries
            self.ends_us = max(now_us, self.ends_us) + int(
                cost * SECOND / self.settings.delivery_entries_per_s
            )
            self.channel.append(Message(self.ends_us, proxy, cost, words))
            self._write(now_us, self.forwarders[proxy], proxy)

    def _may_hold(self, forwarder: Forwarder, at: Host) -> bool:
        if forwarder.tables:
            return any(at in self.tables.get(table, {}) for table in forwarder.tables)
        return at in forwarder.standing

    def _write(self, now_us: int, forwarder: Forwarder, proxy: int) -> None:
        times, most = forwarder.written_us, self.settings.max_messages_per_proxy
        times.append(now_us)
        while times[0] <= now_us - self.settings.message_window_us:
            times.popleft()
        if 0 < most < len(times):
            raise Broken(f"{len(times)} messages to proxy {proxy}")

    def advance(self, now_us: int) -> list[tuple[int, int]]:
        """Proxies and the stamps that they answer by now; raises Broken."""
        while self.channel and self.channel[0].ends_us <= now_us:
            message = self.channel.popleft()
            self.under_way.append((message.ends_us + self.settings.mean_transit_us, message))
        answers = []
        while self.under_way and self.under_way[0][0] <= now_us:
            message = self.under_way.popleft()[1]
            answers += [(message.proxy, order[1]) for order in message.orders if order[0] == "SYNC"]
            self._apply(self.forwarders[message.proxy], message.orders)
        return answers

    def _apply(self, forwarder: Forwarder, orders: list[Order]) -> None:
        for order in orders:
            if order[0] == "USE":
                forwarder.holds[order[2]] = set(order[3])
                forwarder.shut |= order[4]
            elif order[0] == "SET" and order[1] in forwarder.holds:
                (
                    forwarder.holds[order[1]].add
                    if order[3] > 0
                    else forwarder.holds[order[1]].discard
                )(order[2])
            elif order[0] == "OUT":
                (forwarder.shut.add if order[2] else forwarder.shut.discard)(order[1])

    # What must hold

    def check(self, now_us: int) -> None:
        waits = sum(message.lines for message in self.channel)
        self.most = max(self.most, waits)
        if waits > self.settings.max_backlog_entries:
            raise Broken(
                f"{waits:.0f} lines wait where {self.settings.max_backlog_entries:.0f} may"
            )
        grace_us = self.settings.drain_grace_us + SLACK_US
        late = {at: us for at, us in self.told_us.items() if us + grace_us < now_us}
        for proxy, f in self.forwarders.items() if late else ():
            if f.joined_us + grace_us < now_us and (open_ := late.keys() & self._reach(f)):
                raise Broken(
                    f"proxy {proxy}, joined at {f.joined_us}, may send to {sorted(map(str, open_))[:3]}"
                )

    def _reach(self, f: Forwarder) -> set[Host]:
        """Hosts that a proxy may send to; a table that it is bound to takes the place of what it held."""
        lines = set().union(*f.holds.values()) if f.holds else f.standing
        return lines - f.shut


class ModuleDay:
    """The module alone, stepped each 10 ms, on such a fleet."""

    def __init__(self, make: Any, settings: Settings, hosts: list[Any]) -> None:
        self.world = MassWorld(settings)
        self.now = 50 * SECOND
        self.director = make(settings)
        self.hosts = {h.id: h for h in hosts}

    def step(self, *events: Any) -> None:
        self.now += SECOND // 100
        answers = [
            OrdersAcknowledged(p, stamp, 1)
            for p, stamp in self.world.advance(self.now)
            if p in self.world.forwarders
        ]
        actions = self.director.step(self.now, [*answers, *events])
        self.world.order(self.now, [order for action in actions for order in words(action)])
        self.world.check(self.now)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 100)):
            self.step()

    def join(
        self, proxies: Iterable[int], standing: Any, seconds: float, fresh: bool = False
    ) -> None:
        """They come spread over so many seconds."""
        waiting = list(proxies)
        share = max(1, round(len(waiting) / max(1, seconds * 100)))
        while waiting:
            now, waiting = waiting[:share], waiting[share:]
            for proxy in now:
                self.world.join(self.now, proxy, standing(proxy))
            zones = self.world.settings.zones
            self.step(*(ProxyJoined(p, zones[p % len(zones)], 2.0, fresh) for p in now))

    def leave(self, proxies: Iterable[int]) -> None:
        gone = list(proxies)
        for proxy in gone:
            self.world.leave(proxy)
        self.step(*(ProxyLeft(p) for p in gone))

    def drain(self, numbers: Iterable[int], version: int) -> list[Any]:
        listed = [host(n, self.hosts[n].zone, EndpointStatus.DRAINING) for n in numbers]
        self.world.withdraw(self.now, [h.id for h in listed])
        return listed


def words(action: Action) -> list[Order]:
    match action:
        case SetWeight(table, at, weight):
            return [("SET", table, at, weight)]
        case BindProxy(proxy, table, _):
            return [("USE", proxy, table)]
        case WithdrawEndpoint(at):
            return [("OUT", at, True)]
        case RestoreEndpoint(at):
            return [("OUT", at, False)]
        case SetAdmission(table, _, _, _):
            return [("LIMIT", table)]
        case Checkpoint(number, _):
            return [("SYNC", number)]
    return []

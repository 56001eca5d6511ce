"""A relay that accepts calls, forwards their orders to the proxies and streams the proxies' events."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from kelpcourse.lab.http import HttpConnection, HttpServer
from kelpcourse.lab.loopback import now_us
from kelpcourse.lab.proxy import Proxy
from kelpcourse.lab.relay_protocol import (
    FENCED,
    HEARTBEAT,
    decode_orders,
    encode_accepted,
    encode_applied,
    encode_joined,
)
from kelpcourse.lab.rules import RuleChecker
from kelpcourse.memory.orders import Checkpoint, Order, RestoreEndpoint, WithdrawEndpoint
from kelpcourse.shared.fencing import EpochFence
from kelpcourse.wire.loop import Coroutine, Loop, Wait

GROUP_TARGET = re.compile(r"/v3/kv/groups/(\d+)/(?:orders\?epoch=(\d+)|events)\Z")
TRANSIT_US = 50_000  # Time that orders take from the relay to a proxy.
HEARTBEAT_US = 1_000_000
STREAM_POLL_US = 5_000
NO_EPOCH = 0


@dataclass(frozen=True)
class Target:
    """The target of a call: all proxies, or one proxy group under an epoch."""

    is_event_stream: bool
    group: int | None
    epoch: int


@dataclass
class _EventStream:
    proxies: frozenset[int]
    lines: list[bytes]  # Lines that have not been sent yet.


class Relay:
    """The lab's relay.

    Calls to `/v3/kv/groups/G/…` concern the proxies of group G, under an epoch (`?epoch=`); other calls concern all.

    Attributes:
        group_count: Number of proxy groups.
        orders: Orders of all accepted calls.
        calls: Proxy group and epoch of each accepted call.
        fenced_count: Number of calls rejected because of an outdated epoch.
        on_order: Called with each accepted order.
        address: Address on which the relay listens.
    """

    def __init__(
        self, loop: Loop, proxies: Sequence[Proxy], checker: RuleChecker, requests_per_s: float
    ) -> None:
        """Starts listening.

        Args:
            loop: Event loop that runs the connections.
            proxies: All proxies; a proxy's group is its number modulo the number of groups.
            checker: Checker that is notified when proxies apply withdrawals and restorations.
            requests_per_s: Request rate that a joining proxy reports.
        """
        self.group_count = 1
        self.orders: list[Order] = []
        self.calls: list[tuple[int | None, int]] = []
        self.fenced_count = 0
        self.on_order: Callable[[Order], None] = lambda _: None
        self._loop = loop
        self._proxies = proxies
        self._checker = checker
        self._requests_per_s = requests_per_s
        self._fence = EpochFence()
        self._streams: list[_EventStream] = []
        self._server = HttpServer(loop, self._serve)
        self.address = self._server.address

    def _serve(self, connection: HttpConnection) -> Coroutine[None]:
        while True:
            call = yield from connection.read_request()
            if call is None:
                return
            path, body = call
            target = _target_of(path)
            proxies = self._proxies_of(target.group)
            if target.is_event_stream:
                yield from self._stream_events(connection, proxies)
                return
            if target.group is not None and not self._fence.admits(target.group, target.epoch):
                self.fenced_count += 1
                yield from connection.respond(409, FENCED)
                continue
            orders = decode_orders(body)
            yield from connection.respond(200, encode_accepted(len(orders)))
            self.calls.append((target.group, target.epoch))
            self._forward(orders, proxies)

    def _proxies_of(self, group: int | None) -> list[Proxy]:
        return [
            proxy
            for proxy in self._proxies
            if group is None or proxy.number % self.group_count == group
        ]

    def _forward(self, orders: Sequence[Order], proxies: Sequence[Proxy]) -> None:
        self.orders += orders
        for order in orders:
            self.on_order(order)
        for proxy in proxies:
            self._loop.start("transit", self._deliver(proxy, orders))

    def _deliver(self, proxy: Proxy, orders: Sequence[Order]) -> Coroutine[None]:
        yield Wait(now_us() + TRANSIT_US)
        for order in orders:
            proxy.apply(order)
            match order:
                case WithdrawEndpoint(endpoint):
                    self._checker.withdrawal_applied(proxy.number, endpoint)
                case RestoreEndpoint(endpoint):
                    self._checker.restoration_applied(proxy.number, endpoint)
                case Checkpoint(checkpoint_id):
                    self._acknowledge(proxy.number, checkpoint_id)

    def _acknowledge(self, proxy: int, checkpoint_id: int) -> None:
        line = encode_applied(proxy, checkpoint_id, TRANSIT_US / 1000)
        for stream in self._streams:
            if proxy in stream.proxies:
                stream.lines.append(line)

    def _stream_events(
        self, connection: HttpConnection, proxies: Sequence[Proxy]
    ) -> Coroutine[None]:
        joined = [encode_joined(proxy, self._requests_per_s) for proxy in proxies]
        stream = _EventStream(frozenset(proxy.number for proxy in proxies), joined)
        self._streams.append(stream)
        heartbeat_due_us = now_us()
        try:
            yield from connection.start_chunked_response()
            while True:
                for line in stream.lines:
                    yield from connection.send_line(line)
                stream.lines.clear()
                if now_us() >= heartbeat_due_us:
                    heartbeat_due_us = now_us() + HEARTBEAT_US
                    yield from connection.send_line(HEARTBEAT)
                yield Wait(now_us() + STREAM_POLL_US)
        finally:
            self._streams.remove(stream)


def _target_of(path: str) -> Target:
    is_event_stream = path.endswith("/events")
    match = GROUP_TARGET.match(path)
    if match is None:
        return Target(is_event_stream, None, NO_EPOCH)
    epoch = NO_EPOCH if match[2] is None else int(match[2])
    return Target(is_event_stream, int(match[1]), epoch)

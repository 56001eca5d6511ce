"""Whatever the relay does to calls, what stands there in the end is what the steps ordered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
import pytest

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import (
    BindProxy,
    Checkpoint,
    ClearTable,
    Order,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.wire.loop import Coroutine, Signal
from kelpcourse.wire.relay_calls import RelayCalls
from kelpcourse.wire.relay_codec import encode_order
from tests.standins import MS, QUICK, Bench, Caller, StandIn

Orders = list[dict[str, Any]]
HOSTS = [f"h{k}" for k in range(5)]
STEPS = 60


class Standing:
    """What orders have brought about: lines, levels, bindings and withdrawals."""

    def __init__(self) -> None:
        self.lines: dict[tuple[int, str], float] = {}
        self.levels: dict[tuple[int, str], float] = {}
        self.bound: dict[tuple[int, str], int] = {}
        self.out: set[str] = set()
        self.stamp = -1

    def apply(self, order: dict[str, Any]) -> None:
        table, classes = order.get("cluster", 0), ",".join(order.get("for", ()))
        match order["verb"]:
            case "SET":
                self.lines[table, order["host"]] = order["share"]
            case "DEL":
                self.lines = {key: share for key, share in self.lines.items() if key[0] != table}
                self.levels = {key: gate for key, gate in self.levels.items() if key[0] != table}
            case "USE":
                self.bound[order["sidecar"], classes] = table
            case "OUT":
                self.out.add(order["host"])
            case "IN":
                self.out.discard(order["host"])
            case "LIMIT":
                self.levels[table, classes] = order["gate"]
            case "SYNC":
                self.stamp = order["stamp"]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Standing) and vars(self) == vars(other)


def step(number: int) -> list[Order]:
    """A step's orders: some of each kind, so that later ones override earlier ones in many ways."""
    host, table = HOSTS[number * 3 % 5], number % 2
    orders: list[Order] = [
        SetWeight(table, host, float(number)),
        (RestoreEndpoint if number % 3 else WithdrawEndpoint)(HOSTS[number % 5]),
    ]
    if number % 4 == 0:
        orders.append(SetAdmission(table, ("read",) if number % 8 else ("write",), number / 100, 1))
    if number % 5 == 1:
        orders.insert(0, ClearTable(1 - table))
    if number % 3 == 2:
        orders.append(BindProxy(number % 7, table, ("read",)))
    return [*orders, Checkpoint(number, number % 2 == 0)]


def wanted() -> Standing:
    standing = Standing()
    for number in range(STEPS):
        for order in step(number):
            standing.apply(orjson.loads(encode_order(order)))
    return standing


class Relay:
    """Carries calls out, and treats each as the next trouble of a cycle says."""

    def __init__(self, bench: Bench, troubles: list[Trouble]) -> None:
        self.standing = Standing()
        self.troubles = troubles
        self.calls = 0
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Coroutine[None]:
        while (call := (yield from caller.request())) is not None:
            trouble = self.troubles[self.calls % len(self.troubles)]
            self.calls += 1
            yield from trouble(self, caller, orjson.loads(call[1])["orders"])

    def carry_out(self, orders: Orders) -> None:
        for order in orders:
            self.standing.apply(order)


def sound(relay: Relay, caller: Caller, orders: Orders) -> Coroutine[None]:
    relay.carry_out(orders)
    yield from caller.answer(200, b'{"ok_count":%d}' % len(orders))


def lost(_relay: Relay, caller: Caller, _orders: Orders) -> Coroutine[None]:
    caller.reset()
    yield from ()


def answer_lost(relay: Relay, caller: Caller, orders: Orders) -> Coroutine[None]:
    relay.carry_out(orders)
    caller.reset()
    yield from ()


def answer_unreadable(relay: Relay, caller: Caller, orders: Orders) -> Coroutine[None]:
    relay.carry_out(orders)
    yield from caller.answer(200, b"\xff\x00")


def silent(relay: Relay, caller: Caller, orders: Orders) -> Coroutine[None]:
    relay.carry_out(orders)
    yield from caller.silence()


def throttled(_relay: Relay, caller: Caller, _orders: Orders) -> Coroutine[None]:
    yield from caller.answer(429, b'{"error":"Throttling"}')


Trouble = Callable[[Relay, Caller, Orders], Coroutine[None]]


@pytest.mark.parametrize(
    "troubles",
    [
        [sound],
        [lost, sound],
        [answer_lost, sound],
        [answer_unreadable, sound],
        [silent, sound],
        [throttled, sound],
        [sound, lost, answer_lost, throttled, silent, sound, answer_unreadable],
        [lost, lost, lost, answer_lost, answer_lost, sound],
    ],
)
@pytest.mark.parametrize("pace_ms", [0, 3, 25])
def test_the_end_result_is_what_the_steps_ordered(
    bench: Bench, troubles: list[Trouble], pace_ms: int
) -> None:
    relay, outbox, waiting = (
        Relay(bench, troubles),
        OrderQueue(QUICK.max_queued_orders, QUICK.max_superseded_checkpoints),
        Signal(),
    )
    bench.loop.start(
        "calls", RelayCalls(bench.runtime, relay.stand_in.address, outbox, waiting).run()
    )
    for number in range(STEPS):
        outbox.add(step(number))
        waiting.set()
        bench.pass_us(pace_ms * MS)
    bench.until(lambda: not outbox.batch_count)
    assert relay.standing == wanted()

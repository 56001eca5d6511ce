"""Whatever faults calls to the relay meet, its final state is what the steps ordered."""

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
from tests.standins import FAST_LIMITS, MS, Bench, Caller, StandIn

Orders = list[dict[str, Any]]
HOSTS = [f"h{k}" for k in range(5)]
STEPS = 60


class RelayState:
    """The effect of orders: weights, admission limits, bindings and withdrawals."""

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
        return isinstance(other, RelayState) and vars(self) == vars(other)


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


def expected_state() -> RelayState:
    state = RelayState()
    for number in range(STEPS):
        for order in step(number):
            state.apply(orjson.loads(encode_order(order)))
    return state


class Relay:
    """Carries out calls, with the next fault of a cycle for each."""

    def __init__(self, bench: Bench, faults: list[Fault]) -> None:
        self.state = RelayState()
        self.faults = faults
        self.calls = 0
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Coroutine[None]:
        while (call := (yield from caller.request())) is not None:
            fault = self.faults[self.calls % len(self.faults)]
            self.calls += 1
            yield from fault(self, caller, orjson.loads(call[1])["orders"])

    def carry_out(self, orders: Orders) -> None:
        for order in orders:
            self.state.apply(order)


def carried_out(relay: Relay, caller: Caller, orders: Orders) -> Coroutine[None]:
    relay.carry_out(orders)
    yield from caller.answer(200, b'{"ok_count":%d}' % len(orders))


def request_lost(_relay: Relay, caller: Caller, _orders: Orders) -> Coroutine[None]:
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


Fault = Callable[[Relay, Caller, Orders], Coroutine[None]]


@pytest.mark.parametrize(
    "faults",
    [
        [carried_out],
        [request_lost, carried_out],
        [answer_lost, carried_out],
        [answer_unreadable, carried_out],
        [silent, carried_out],
        [throttled, carried_out],
        [carried_out, request_lost, answer_lost, throttled, silent, carried_out, answer_unreadable],
        [request_lost, request_lost, request_lost, answer_lost, answer_lost, carried_out],
    ],
)
@pytest.mark.parametrize("pace_ms", [0, 3, 25])
def test_the_end_result_is_what_the_steps_ordered(
    bench: Bench, faults: list[Fault], pace_ms: int
) -> None:
    relay, order_queue, orders_queued = (
        Relay(bench, faults),
        OrderQueue(FAST_LIMITS.max_queued_orders, FAST_LIMITS.max_superseded_checkpoints),
        Signal(),
    )
    bench.loop.start(
        "calls",
        RelayCalls(bench.runtime, relay.stand_in.address, order_queue, orders_queued).run(),
    )
    for number in range(STEPS):
        order_queue.add(step(number))
        orders_queued.set()
        bench.run_for_us(pace_ms * MS)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.state == expected_state()

"""Tests that the relay's final state is what the steps ordered, whichever faults occur in calls to it."""

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
from tests.standins import FAST_LIMITS, MS, Bench, HttpConnection, HttpServer

Orders = list[dict[str, Any]]
ENDPOINTS = [f"h{k}" for k in range(5)]
STEPS = 60


class RelayState:
    """The effect of orders at the relay.

    Attributes:
        weights: Weight by table and endpoint.
        admission_limits: Admission limit by table and request classes.
        bindings: Table by proxy and request classes.
        withdrawn: Withdrawn endpoints.
        checkpoint_id: The last checkpoint.
    """

    def __init__(self) -> None:
        self.weights: dict[tuple[int, str], float] = {}
        self.admission_limits: dict[tuple[int, str], float] = {}
        self.bindings: dict[tuple[int, str], int] = {}
        self.withdrawn: set[str] = set()
        self.checkpoint_id = -1

    def apply(self, order: dict[str, Any]) -> None:
        table, classes = order.get("cluster", 0), ",".join(order.get("for", ()))
        match order["verb"]:
            case "SET":
                self.weights[table, order["host"]] = order["share"]
            case "DEL":
                self.weights = {
                    key: weight for key, weight in self.weights.items() if key[0] != table
                }
                self.admission_limits = {
                    key: limit for key, limit in self.admission_limits.items() if key[0] != table
                }
            case "USE":
                self.bindings[order["sidecar"], classes] = table
            case "OUT":
                self.withdrawn.add(order["host"])
            case "IN":
                self.withdrawn.discard(order["host"])
            case "LIMIT":
                self.admission_limits[table, classes] = order["gate"]
            case "SYNC":
                self.checkpoint_id = order["stamp"]

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RelayState) and vars(self) == vars(other)


def step(number: int) -> list[Order]:
    """Returns the orders of a step, of several kinds, so that later steps override earlier ones in many ways."""
    endpoint, table = ENDPOINTS[number * 3 % 5], number % 2
    orders: list[Order] = [
        SetWeight(table, endpoint, float(number)),
        (RestoreEndpoint if number % 3 else WithdrawEndpoint)(ENDPOINTS[number % 5]),
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
    """A relay that handles each call with the next fault of a cycle."""

    def __init__(self, bench: Bench, faults: list[Fault]) -> None:
        self.state = RelayState()
        self.faults = faults
        self.call_count = 0
        self.server = HttpServer(bench.loop, self._serve)

    def _serve(self, connection: HttpConnection) -> Coroutine[None]:
        while (call := (yield from connection.read_request())) is not None:
            fault = self.faults[self.call_count % len(self.faults)]
            self.call_count += 1
            yield from fault(self, connection, orjson.loads(call[1])["orders"])

    def apply_orders(self, orders: Orders) -> None:
        for order in orders:
            self.state.apply(order)


def executed(relay: Relay, connection: HttpConnection, orders: Orders) -> Coroutine[None]:
    relay.apply_orders(orders)
    yield from connection.respond(200, b'{"ok_count":%d}' % len(orders))


def request_lost(_relay: Relay, connection: HttpConnection, _orders: Orders) -> Coroutine[None]:
    connection.reset()
    yield from ()


def response_lost(relay: Relay, connection: HttpConnection, orders: Orders) -> Coroutine[None]:
    relay.apply_orders(orders)
    connection.reset()
    yield from ()


def response_unreadable(
    relay: Relay, connection: HttpConnection, orders: Orders
) -> Coroutine[None]:
    relay.apply_orders(orders)
    yield from connection.respond(200, b"\xff\x00")


def no_response(relay: Relay, connection: HttpConnection, orders: Orders) -> Coroutine[None]:
    relay.apply_orders(orders)
    yield from connection.wait_for_close()


def throttled(_relay: Relay, connection: HttpConnection, _orders: Orders) -> Coroutine[None]:
    yield from connection.respond(429, b'{"error":"Throttling"}')


Fault = Callable[[Relay, HttpConnection, Orders], Coroutine[None]]


@pytest.mark.parametrize(
    "faults",
    [
        [executed],
        [request_lost, executed],
        [response_lost, executed],
        [response_unreadable, executed],
        [no_response, executed],
        [throttled, executed],
        [
            executed,
            request_lost,
            response_lost,
            throttled,
            no_response,
            executed,
            response_unreadable,
        ],
        [request_lost, request_lost, request_lost, response_lost, response_lost, executed],
    ],
)
@pytest.mark.parametrize("step_interval_ms", [0, 3, 25])
def test_the_final_relay_state_is_what_the_steps_ordered(
    bench: Bench, faults: list[Fault], step_interval_ms: int
) -> None:
    relay, order_queue, orders_queued = (
        Relay(bench, faults),
        OrderQueue(FAST_LIMITS.max_queued_orders, FAST_LIMITS.max_superseded_checkpoints),
        Signal(),
    )
    bench.loop.start(
        "calls",
        RelayCalls(bench.runtime, relay.server.address, order_queue, orders_queued).run(),
    )
    for number in range(STEPS):
        order_queue.add(step(number))
        orders_queued.set()
        bench.run_for_us(step_interval_ms * MS)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.state == expected_state()

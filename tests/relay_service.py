"""A scripted relay on the loop of a test: it accepts or rejects calls, closes connections or does not respond."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.wire.loop import Coroutine, Signal
from kelpcourse.wire.relay_calls import RelayCalls
from tests.standins import Bench, HttpConnection, HttpServer


class Relay:
    """Responds to calls according to a script, and accepts all calls after its end."""

    def __init__(
        self, bench: Bench, *script: Callable[[HttpConnection, int], Coroutine[None]]
    ) -> None:
        self.calls: list[list[dict[str, object]]] = []
        self.script = list(script)
        self.closed_count = 0  # number of connections that the client closed
        self.server = HttpServer(bench.loop, self._serve)

    def _serve(self, connection: HttpConnection) -> Coroutine[None]:
        while (call := (yield from connection.read_request())) is not None:
            target, body = call
            assert target == "/v3/kv/orders"
            orders = orjson.loads(body)["orders"]
            self.calls.append(orders)
            respond = self.script.pop(0) if self.script else accept_all
            yield from respond(connection, len(orders))
        self.closed_count += 1

    def verbs(self) -> list[list[object]]:
        return [[order["verb"] for order in call] for call in self.calls]


def accept_all(connection: HttpConnection, count: int) -> Coroutine[None]:
    yield from connection.respond(200, b'{"ok_count":%d}' % count)


def accept_two(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.respond(200, b'{"ok_count":2}')


def accept_none(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.respond(200, b'{"ok_count":0}')


def throttle(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.respond(429, b'{"error":"Throttling"}')


def throttle_and_close(connection: HttpConnection, count: int) -> Coroutine[None]:
    yield from throttle(connection, count)
    connection.stream.close()


def reject_as_invalid(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.respond(400, b'{"error":"ValidationError"}')


def never_respond(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.wait_for_close()


def reset_connection(connection: HttpConnection, _: int) -> Coroutine[None]:
    connection.reset()
    yield from ()


def truncated_response(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.stream.send(
        b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"ok_c', 1 << 60
    )
    connection.stream.close()


def not_http(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.stream.send(b"\0\1\2 what\r\n\r\n", 1 << 60)
    yield from connection.wait_for_close()


def not_json(connection: HttpConnection, _: int) -> Coroutine[None]:
    yield from connection.respond(200, b"<html>")


def close_when_idle(connection: HttpConnection, count: int) -> Coroutine[None]:
    yield from accept_all(connection, count)
    connection.stream.close()


def start_calls(bench: Bench, relay: Relay, order_queue: OrderQueue) -> Signal:
    orders_queued = Signal()
    bench.loop.start(
        "calls",
        RelayCalls(bench.runtime, relay.server.address, order_queue, orders_queued).run(),
    )
    return orders_queued

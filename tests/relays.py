"""Orders, an order queue and a scripted event stream for tests of the relay's clients."""

from __future__ import annotations

import orjson

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import BindProxy, Checkpoint, Order, SetWeight
from kelpcourse.wire.loop import Coroutine, Wait
from tests.standins import FAST_LIMITS, MS, Bench, HttpConnection, HttpServer

SET_WEIGHT = SetWeight(0, "h1", 1.5)
BIND = BindProxy(3, 0, ("read",))
CHECKPOINT = Checkpoint(5, False)


def order_queue_of(*orders: Order) -> OrderQueue:
    order_queue = OrderQueue(FAST_LIMITS.max_queued_orders, FAST_LIMITS.max_superseded_checkpoints)
    order_queue.add(orders)
    return order_queue


class EventBroadcaster:
    """Serves scripted opening lines on each connection, then the lines that a test appends."""

    def __init__(self, bench: Bench, *openings: list[bytes]) -> None:
        self._bench = bench
        self._openings = list(openings)
        self.lines: list[bytes] = []  # lines to send on every connection
        # Whether to close one connection: the first one that checks the flag is closed and resets the flag.
        self.disconnect_next = False
        self.server = HttpServer(bench.loop, self._serve)

    def _serve(self, http_connection: HttpConnection) -> Coroutine[None]:
        call = yield from http_connection.read_request()
        assert call == ("/v3/kv/events", b"")
        yield from http_connection.start_chunked_response()
        for line in self._openings.pop(0):
            yield from http_connection.send_line(line)
        sent_count = 0 if self.server.connections == 1 else len(self.lines)
        while not self.disconnect_next:
            for line in self.lines[sent_count:]:
                yield from http_connection.send_line(line)
            sent_count = len(self.lines)
            yield Wait(self._bench.clock() + MS)
        self.disconnect_next = False


def joined(proxy: int, share: float = 2.0) -> bytes:
    return orjson.dumps(
        {
            "type": "joined",
            "object": {"sidecar": proxy, "az": "east", "share": share, "standing": True},
        }
    )


def left(proxy: int) -> bytes:
    return orjson.dumps({"type": "left", "object": {"sidecar": proxy}})


def applied(proxy: int, version: int) -> bytes:
    return orjson.dumps(
        {"type": "applied", "object": {"sidecar": proxy, "version": version, "lag_ms": 1.5}}
    )

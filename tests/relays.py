"""What the tests of the relay's client share: orders, an outbox that holds some, and a stand-in event stream."""

from __future__ import annotations

import orjson

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import BindProxy, Checkpoint, Order, SetWeight
from kelpcourse.wire.loop import Coroutine, Wait
from tests.standins import MS, QUICK, Bench, Caller, StandIn

SET = SetWeight(0, "h1", 1.5)
USE = BindProxy(3, 0, ("read",))
MARK = Checkpoint(5, False)


def outbox_of(*orders: Order) -> OrderQueue:
    outbox = OrderQueue(QUICK.max_queued_orders, QUICK.max_superseded_checkpoints)
    outbox.add(orders)
    return outbox


class Broadcaster:
    """Serves news by a script of lines for each connection, then what the test feeds it."""

    def __init__(self, bench: Bench, *openings: list[bytes]) -> None:
        self._bench = bench
        self._openings = list(openings)
        self.feed: list[bytes] = []  # told on every connection
        self.hang_up = False  # ends the first connection that sees it
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Coroutine[None]:
        call = yield from caller.request()
        assert call == ("/v3/kv/events", b"")
        yield from caller.open_body()
        for line in self._openings.pop(0):
            yield from caller.line(line)
        told = 0 if self.stand_in.connections == 1 else len(self.feed)
        while not self.hang_up:
            for line in self.feed[told:]:
                yield from caller.line(line)
            told = len(self.feed)
            yield Wait(self._bench.clock() + MS)
        self.hang_up = False


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

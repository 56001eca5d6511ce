"""The relay: orders go out in calls, one at a time and in order; news of proxies comes in on a stream."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from kelpcourse.facade import Unknown
from kelpcourse.memory.orders import EmptyTable, Limit, Mark, Order, SetShare, ShutOut, UseTable
from kelpcourse.memory.outbox import Outbox
from kelpcourse.memory.proxies import Joined, Left, Proxies
from kelpcourse.wire.fields import BadMessage, NotJson, flag, json_object, number, text, whole
from kelpcourse.wire.http import HttpClient, dial
from kelpcourse.wire.loop import READ, Routine, Signal, Wait, Woken
from kelpcourse.wire.parts import Backoff, Parts
from kelpcourse.wire.stream import Act, Address, Broken

ORDERS = "/v3/kv/orders"
EVENTS = "/v3/kv/events"
THROTTLED = "Throttling"
INVALID = "ValidationError"


# Codec


def encode(order: Order) -> bytes:
    return orjson.dumps(_fields(order))


def _fields(order: Order) -> dict[str, object]:
    match order:
        case SetShare(table, host, share):
            return {"verb": "SET", "cluster": table, "host": host, "share": share}
        case EmptyTable(table):
            return {"verb": "DEL", "cluster": table}
        case UseTable(proxy, table, classes):
            return {"verb": "USE", "sidecar": proxy, "cluster": table, **_for(classes)}
        case ShutOut(host, out):
            return {"verb": "OUT" if out else "IN", "host": host}
        case Limit(None, classes, gate, again):
            return {"verb": "LIMIT", "cluster": "*", **_for(classes), "gate": gate, "again": again}
        case Limit(table, classes, gate, again):
            return {"verb": "LIMIT", "cluster": table, **_for(classes), "gate": gate, "again": again}
        case Mark(stamp, everyone):
            return {"verb": "SYNC", "stamp": stamp, "yes": int(everyone)}


def _for(classes: tuple[str, ...]) -> dict[str, object]:
    return {"for": list(classes)} if classes else {}


def call_body(orders: Sequence[Order], most: int) -> tuple[bytes, int, bool]:
    """As many orders as one call holds: its body, their number, and whether a mark was added to them."""
    encoded = [encode(order) for order in orders]
    size, count = 16, 0  # what stands around the orders
    last = orders[-1]
    mark = encoded[-1] if isinstance(last, Mark) else b""
    for item in encoded:
        if size + len(item) + 1 + len(mark) + 1 > most and count:
            break
        size += len(item) + 1
        count += 1
    added = count < len(encoded) and bool(mark)
    part = encoded[:count] + ([mark] if added else [])  # each part is a message that has to be answered
    return b'{"orders":[' + b",".join(part) + b"]}", count, added


class Throttled(Exception):
    """The call was turned away, as calls are before the run begins."""


class Invalid(Exception):
    """The relay takes it for no call at all: it will never carry it out."""


def read_answer(body: memoryview, sent: int) -> int:
    """How many orders were taken."""
    fields = json_object(body)
    if "ok_count" in fields:
        taken = whole(fields, "ok_count")
        if taken > sent:
            raise BadMessage(f"field 'ok_count' is above the orders sent: {taken}")
        return taken
    said = orjson.dumps(fields).decode()  # the page names the errors, not the field that holds them
    if THROTTLED in said:
        raise Throttled
    if INVALID in said:
        raise Invalid(said[:200])
    raise BadMessage(f"an answer without 'ok_count': {said:.100}")


@dataclass(frozen=True)
class Applied:
    proxy: int
    stamp: int
    lag_ms: float


News = Joined | Left | Applied


def read_news(line: memoryview) -> News | None:
    """What a line of news tells; None: a sign of life."""
    fields = json_object(line)
    if not fields:
        return None
    kind, told = fields.get("type"), fields.get("object")
    if not isinstance(told, dict):
        raise BadMessage("field 'object' is not an object")
    if kind == "joined":
        return Joined(whole(told, "sidecar"), text(told, "az"), number(told, "share"), flag(told, "standing"))
    if kind == "left":
        return Left(whole(told, "sidecar"))
    if kind == "applied":
        return Applied(whole(told, "sidecar"), whole(told, "version"), number(told, "lag_ms"))
    raise BadMessage(f"unknown type {kind!r:.60}")


# Calls


class Calls:
    """Carries the outbox to the relay, call by call."""

    def __init__(self, parts: Parts, address: Address, outbox: Outbox, waiting: Signal) -> None:
        self._parts = parts
        self._address = address
        self._outbox = outbox
        self._waiting = waiting
        self._client: HttpClient | None = None
        self._sent = 0  # orders of the call being made
        self._backoff = Backoff(parts.limits)

    def run(self) -> Routine:
        try:
            while True:
                yield from self._idle()
                wait_us = yield from self._try_call()
                if wait_us:
                    yield Wait(self._parts.clock() + wait_us)
        finally:
            self._close()

    def _idle(self) -> Act[None]:
        """Until there are orders. A connection that is idle for long is given up before the relay does so:
        a call that crosses its end can't be told from one that was carried out."""
        until_us = self._parts.clock() + self._parts.limits.idle_us
        while not self._outbox.batches:
            self._waiting.lower()
            if self._client is None:
                yield Wait(signal=self._waiting)
                continue
            woken = yield Wait(until_us, self._client.fd, READ, self._waiting)
            if woken is not Woken.SIGNALLED:
                self._close()
        self._waiting.lower()

    def _try_call(self) -> Act[int]:
        """Makes one call; how long to wait before the next."""
        try:
            yield from self._call()
            self._backoff.reset()
            return 0
        except Throttled:
            self._outbox.unsure()
            self._parts.counters.add("relay_throttled")
            self._parts.log.event("relay_throttled", waiting=len(self._outbox))
            return self._parts.limits.throttled_us
        except Invalid as error:  # sending it again would hold up all later orders for ever
            self._parts.counters.add("relay_calls_invalid")
            self._parts.log.event("call_invalid", reason=str(error), orders=self._sent)
            self._outbox.taken(self._sent)
            self._close()
            return self._backoff.next_us()
        except (Broken, BadMessage) as error:
            self._parts.counters.add("relay_calls_failed")
            self._parts.log.event("relay_call_failed", reason=str(error), waiting=len(self._outbox))
            self._outbox.unsure()
            self._close()
            return self._backoff.next_us()

    def _call(self) -> Act[None]:
        client = yield from self._connected()
        orders = self._outbox.begin()
        if not orders:  # all of them were bindings of proxies that have left meanwhile
            self._outbox.taken(0)
            return
        body, count, added = call_body(orders, self._parts.limits.call_bytes)
        self._sent = count
        self._parts.counters.add("relay_calls")
        self._parts.counters.add("relay_call_bytes", len(body))
        yield from client.request("POST", ORDERS, body)
        until_us = self._parts.clock() + self._parts.limits.answer_us
        yield from client.status(until_us)
        answer = yield from client.whole_body(until_us)
        if not client.reusable:
            self._close()
        taken = read_answer(answer, count + added)
        self._settle(min(taken, count), count)

    def _settle(self, taken: int, sent: int) -> None:
        self._outbox.taken(taken)
        self._parts.counters.add("relay_orders_taken", taken)
        if taken < sent:  # the relay stops at an order it can't use: the rest must not wait behind it
            order = self._outbox.drop_first()
            self._parts.counters.add("relay_orders_refused")
            self._parts.log.event("order_refused", order=encode(order).decode())

    def _connected(self) -> Act[HttpClient]:
        if self._client is not None and self._client.gone():
            self._close()
        if self._client is None:
            until_us = self._parts.clock() + self._parts.limits.connect_us
            self._client = yield from dial(self._address, self._parts.limits, until_us)
            self._parts.counters.add("relay_connections")
        return self._client

    def _close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None


# News


class NewsReader:
    """Keeps the stream of news open and reports what it tells."""

    def __init__(self, parts: Parts, address: Address, outbox: Outbox) -> None:
        self._parts = parts
        self._address = address
        self._outbox = outbox
        self._proxies = Proxies()
        self._settles_us = 0  # when the snapshot counts as whole; 0: it does
        self._backoff = Backoff(parts.limits)

    def run(self) -> Routine:
        while True:
            try:
                yield from self._follow()
                reason = "ended"
            except (Broken, NotJson) as error:
                reason = str(error)
            self._parts.counters.add("relay_news_lost")
            self._parts.log.event("news_lost", reason=reason, joined=len(self._proxies))
            yield Wait(self._parts.clock() + self._backoff.next_us())

    def _follow(self) -> Act[None]:
        limits = self._parts.limits
        client = yield from dial(self._address, limits, self._parts.clock() + limits.connect_us)
        try:
            yield from client.request("GET", EVENTS, None)
            status = yield from client.status(self._parts.clock() + limits.news_silence_us)
            if status != 200:
                raise Broken(f"answered {status}")
            self._proxies.begin_snapshot()
            self._settles_us = self._parts.clock() + limits.news_settle_us
            self._parts.counters.add("relay_news_streams")
            heard_us = self._parts.clock()
            while True:
                lines = yield from client.some_lines(heard_us + limits.news_silence_us)
                if lines is None:
                    return
                for line in lines:
                    self._take(line)
                    heard_us = self._parts.clock()
        finally:
            client.close()

    def _take(self, line: memoryview) -> None:
        if not line:
            return
        try:
            news = read_news(line)
            self._backoff.reset()
            if self._settles_us and (not isinstance(news, Joined) or self._parts.clock() > self._settles_us):
                self._end_snapshot()
            self._report(news)
        except NotJson:
            raise  # what it should have told is lost: only a fresh snapshot mends that
        except (BadMessage, Unknown) as error:
            self._parts.bad_message("relay", error)

    def _end_snapshot(self) -> None:
        self._settles_us = 0
        for left in self._proxies.end_snapshot():
            self._left(left)
        self._parts.log.event("news_open", joined=len(self._proxies))

    def _report(self, news: News | None) -> None:
        if news is None:
            return
        if isinstance(news, Applied):
            self._parts.counters.add("relay_applied")
            for stamp in self._outbox.stamps(news.stamp):
                self._parts.facade.report_applied(news.proxy, stamp, news.lag_ms)
            return
        changes = self._proxies.joined(news) if isinstance(news, Joined) else self._proxies.left(news)
        for change in changes:
            if isinstance(change, Left):
                self._left(change)
            else:
                self._parts.counters.add("relay_joined")
                self._parts.facade.report_joined(change.proxy, change.zone, change.share, change.standing)

    def _left(self, left: Left) -> None:
        self._parts.counters.add("relay_left")
        self._outbox.forget_proxy(left.proxy)
        self._parts.facade.report_left(left.proxy)

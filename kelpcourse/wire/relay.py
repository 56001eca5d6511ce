"""The relay: orders go out in calls, one at a time and in order; news of proxies comes in on a stream."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import orjson

from kelpcourse.facade import Unknown
from kelpcourse.memory.orders import EmptyTable, Limit, Mark, Order, SetShare, ShutOut, UseTable
from kelpcourse.memory.outbox import Outbox
from kelpcourse.memory.proxies import Applied, Joined, Left, News, Proxies
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

    def __init__(self, parts: Parts, address: Address, outbox: Outbox, waiting: Signal,
                 target: Callable[[], str | None] = lambda: ORDERS) -> None:
        """`target`: where the next call goes, asked right before it; None: none may be made now."""
        self._parts = parts
        self._address = address
        self._outbox = outbox
        self._waiting = waiting
        self._target = target
        self._client: HttpClient | None = None
        self._peer = address  # where that connection leads
        self._sent = 0  # orders of the call being made
        self._invalid = 0  # answers in a row that took a call for none
        self._doubted: Order | None = None  # refused once, which a spoilt answer may have made up
        self._backoff = Backoff(parts.limits)
        self.there = Signal()  # raised when the relay is known to be there: orders need not wait for their next try

    def move(self, address: Address) -> None:
        """Calls go to another address from now on; the one under way is settled where it is."""
        self._address = address
        self._backoff.reset()
        self._waiting.raise_()
        self.there.raise_()

    def run(self) -> Routine:
        try:
            while True:
                yield from self._idle()
                wait_us = yield from self._try_call()
                if wait_us:  # orders that come meanwhile don't shorten it: a relay that is down is not asked by each
                    self.there.lower()
                    yield Wait(self._parts.clock() + wait_us, signal=self.there)
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
            if woken is not Woken.SIGNALLED or self._peer != self._address:
                self._close()
        self._waiting.lower()

    def _try_call(self) -> Act[int]:
        """Makes one call; how long to wait before the next."""
        try:
            yield from self._call()
            self._backoff.reset()
            self._invalid = 0
            return 0
        except Throttled:
            self._outbox.again()
            self._parts.counters.add("relay_throttled")
            self._parts.log.event("relay_throttled", waiting=len(self._outbox))
            return self._parts.limits.throttled_us
        except Invalid as error:  # said again and again it holds: all later orders must not wait for ever
            self._invalid += 1
            given_up = self._invalid >= self._parts.limits.invalid_most
            self._parts.counters.add("relay_calls_invalid")
            self._parts.log.event("call_invalid", reason=str(error), orders=self._sent, given_up=given_up)
            if given_up:
                self._outbox.taken(self._sent)
                self._invalid = 0
            else:
                self._outbox.again()
            self._close()
            return self._backoff.next_us()
        except (Broken, BadMessage) as error:
            self._parts.counters.add("relay_calls_failed")
            self._parts.log.event("relay_call_failed", reason=str(error), waiting=len(self._outbox))
            self._close()
            return (yield from self._settle_broken())

    def _call(self) -> Act[None]:
        self._sent = 0
        client = yield from self._connected()
        target = self._target()
        if target is None:
            raise Throttled
        orders = self._outbox.begin()
        if not orders:  # all of them were bindings of proxies that have left meanwhile
            self._outbox.taken(0)
            return
        body, count, added = call_body(orders, self._parts.limits.call_bytes)
        self._parts.counters.add("relay_calls")
        self._parts.counters.add("relay_call_bytes", len(body))
        yield from client.request("POST", target, body)
        self._sent = count  # a call that breaks before its last byte is never carried out
        until_us = self._parts.clock() + self._parts.limits.answer_us
        yield from client.status(until_us)
        answer = yield from client.whole_body(until_us)
        if not client.reusable:
            self._close()
        taken = read_answer(answer, count + added)
        self._settle(min(taken, count), count)

    def _settle_broken(self) -> Act[int]:
        """How long to wait before the orders go again. Of a call that was sent whole the channel may hold them: a
        proxy that answers its mark proves that, and else they wait until the module lets them go a second time."""
        stamps = self._outbox.doubted() if self._sent else ()
        while stamps and not self._outbox.proved:
            self._parts.facade.report_doubted(stamps)
            yield Wait(self._parts.clock() + self._backoff.next_us())
            if self._parts.facade.may_repeat():
                break
        if self._outbox.proved:
            self._parts.counters.add("relay_calls_proved")
            self._parts.log.event("call_proved", orders=self._sent)
            self._outbox.taken(self._sent)
            for stamp in stamps:
                self._parts.facade.report_taken(stamp)
            return 0
        self._outbox.again()
        return 0 if stamps else self._backoff.next_us()

    def _settle(self, taken: int, sent: int) -> None:
        for stamp in self._outbox.taken(taken):
            self._parts.facade.report_taken(stamp)
        self._parts.counters.add("relay_orders_taken", taken)
        if taken == sent:
            return
        order = self._outbox.first()
        if order != self._doubted:
            self._doubted = order
            return
        # The relay stops at an order it can't use: refused twice, the rest must not wait behind it.
        self._outbox.drop_first()
        self._doubted = None
        self._parts.counters.add("relay_orders_refused")
        self._parts.log.event("order_refused", order=encode(order).decode())

    def _connected(self) -> Act[HttpClient]:
        if self._client is not None and self._client.gone():
            self._close()
        if self._client is None or self._peer != self._address:
            yield from self._connect()
        if self._client is None:
            raise Broken("not connected")
        return self._client

    def _connect(self) -> Act[None]:
        """Makes before it breaks: while a new address does not answer, the old connection serves."""
        address = self._address
        until_us = self._parts.clock() + self._parts.limits.connect_us
        try:
            client = yield from dial(address, self._parts.limits, until_us)
        except Broken:
            if self._client is None:
                raise
            return
        self._close()
        self._client, self._peer = client, address
        self._parts.counters.add("relay_connections")

    def _close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None


# News


class NewsReader:
    """Keeps streams of news open and reports what they tell. Streams tell the same: while one breaks and is
    opened again, another goes on, and no proxy can leave and come back unseen."""

    def __init__(self, parts: Parts, address: Address, outbox: Outbox, there: Signal, target: str = EVENTS) -> None:
        """`there`: raised when a stream opens."""
        self._parts = parts
        self._address = address
        self._outbox = outbox
        self._there = there
        self._target = target
        self._proxies = Proxies(parts.limits.news_ahead, parts.limits.news_cover_us)
        self._first = 0  # stream at the address of now; those before it are on their way out

    def streams(self) -> range:
        return range(self._first, self._first + self._parts.limits.news_streams)

    def move(self, address: Address) -> None:
        """Streams are to run at another address. Those that are open tell on until one there is in step."""
        self._first += self._parts.limits.news_streams
        self._address = address

    def run(self, stream: int) -> Routine:
        backoff = Backoff(self._parts.limits)
        address = self._address
        while stream >= self._first:
            try:
                yield from self._follow(stream, address, backoff)
                reason = "ended"
            except (Broken, NotJson) as error:
                reason = str(error)
            finally:
                self._report(self._proxies.lost(stream))
            self._parts.counters.add("relay_news_lost")
            self._parts.log.event("news_lost", stream=stream, reason=reason, steady=self._proxies.steady,
                                  joined=len(self._proxies))
            yield Wait(self._parts.clock() + backoff.next_us())

    def _replaced(self, stream: int) -> bool:
        return stream < self._first and self._proxies.in_step(self.streams())

    def _follow(self, stream: int, address: Address, backoff: Backoff) -> Act[None]:
        limits = self._parts.limits
        client = yield from dial(address, limits, self._parts.clock() + limits.connect_us)
        try:
            yield from client.request("GET", self._target, None)
            status = yield from client.status(self._parts.clock() + limits.news_silence_us)
            if status != 200:
                raise Broken(f"answered {status}")
            now_us = self._parts.clock()
            self._proxies.opened(stream, now_us, now_us + limits.news_settle_us)
            self._parts.counters.add("relay_news_streams")
            self._parts.log.event("news_open", stream=stream)
            self._there.raise_()
            heard_us = self._parts.clock()
            while True:
                lines = yield from client.some_lines(heard_us + limits.news_silence_us)
                if lines is None:
                    return
                for line in lines:
                    self._take(stream, line)
                    heard_us = self._parts.clock()
                    backoff.reset()
                if self._replaced(stream):
                    raise Broken("moved")
        finally:
            client.close()

    def _take(self, stream: int, line: memoryview) -> None:
        if not line:
            return
        try:
            self._report(self._proxies.told(stream, read_news(line), self._parts.clock()))
        except NotJson:
            raise  # what it should have told is lost: only a fresh snapshot mends that
        except BadMessage as error:
            self._parts.bad_message("relay", error)

    def _report(self, changes: Iterable[News]) -> None:
        for news in changes:
            try:
                self._report_one(news)
            except Unknown as error:
                self._parts.bad_message("relay", error)

    def _report_one(self, news: News) -> None:
        facade, counters = self._parts.facade, self._parts.counters
        match news:
            case Joined(proxy, zone, share, standing):
                counters.add("relay_joined")
                facade.report_joined(proxy, zone, share, standing)
            case Left(proxy):
                counters.add("relay_left")
                self._outbox.forget_proxy(proxy)
                facade.report_left(proxy)
            case Applied(proxy, stamp, lag_ms):
                counters.add("relay_applied")
                self._outbox.answered(stamp)
                for answered in self._outbox.stamps(stamp):
                    facade.report_applied(proxy, answered, lag_ms)

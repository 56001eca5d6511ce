"""Calls to the relay: the outbox goes out batch by batch, one call at a time and in order."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import Order
from kelpcourse.wire.fields import BadMessage
from kelpcourse.wire.http import HttpClient, dial
from kelpcourse.wire.loop import READ, Routine, Signal, Wait, Woken
from kelpcourse.wire.relay_codec import (
    ORDERS_PATH,
    InvalidCall,
    Throttled,
    call_body,
    encode_order,
    read_answer,
)
from kelpcourse.wire.runtime import Backoff, Runtime
from kelpcourse.wire.stream import Act, Address, Broken


class RelayCalls:
    """Carries the outbox to the relay, call by call."""

    def __init__(
        self,
        parts: Runtime,
        address: Address,
        outbox: OrderQueue,
        waiting: Signal,
        target: Callable[[], str | None] = lambda: ORDERS_PATH,
    ) -> None:
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
        self.reachable = (
            Signal()
        )  # raised when the relay is known to answer: orders need not wait for the next retry

    def move(self, address: Address) -> None:
        """Calls go to another address from now on; the one under way is settled where it is."""
        self._address = address
        self._backoff.reset()
        self._waiting.raise_()
        self.reachable.raise_()

    def run(self) -> Routine:
        try:
            while True:
                yield from self._idle()
                wait_us = yield from self._try_call()
                if wait_us:  # orders that come meanwhile don't shorten it: a relay that is down is not asked by each
                    self.reachable.lower()
                    yield Wait(self._parts.clock() + wait_us, signal=self.reachable)
        finally:
            self._close()

    def _idle(self) -> Act[None]:
        """Until there are orders. A connection that is idle for long is given up before the relay does so:
        a call that crosses its end can't be told from one that was carried out."""
        until_us = self._parts.clock() + self._parts.limits.idle_connection_us
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
            self._parts.counters.add("relay_calls_throttled")
            self._parts.log.event("relay_calls_throttled", queued_orders=len(self._outbox))
            return self._parts.limits.throttled_retry_us
        except (
            InvalidCall
        ) as error:  # said again and again it holds: all later orders must not wait for ever
            self._invalid += 1
            given_up = self._invalid >= self._parts.limits.max_invalid_responses
            self._parts.counters.add("relay_calls_rejected")
            self._parts.log.event(
                "relay_call_rejected", reason=str(error), orders=self._sent, dropped=given_up
            )
            if given_up:
                self._outbox.taken(self._sent)
                self._invalid = 0
            else:
                self._outbox.again()
            self._close()
            return self._backoff.next_us()
        except (Broken, BadMessage) as error:
            self._parts.counters.add("relay_calls_failed")
            self._parts.log.event(
                "relay_call_failed", reason=str(error), queued_orders=len(self._outbox)
            )
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
        body = call_body(orders, self._parts.limits.max_call_bytes)
        self._parts.counters.add("relay_calls")
        self._parts.counters.add("relay_call_bytes", len(body.data))
        yield from client.request("POST", target, body.data)
        self._sent = (
            body.order_count
        )  # a call that breaks before its last byte is never carried out
        until_us = self._parts.clock() + self._parts.limits.call_timeout_us
        yield from client.status(until_us)
        answer = yield from client.whole_body(until_us)
        if not client.reusable:
            self._close()
        taken = read_answer(answer, body.sent_count)
        self._settle(min(taken, body.order_count), body.order_count)

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
            self._parts.counters.add("relay_calls_confirmed")
            self._parts.log.event("relay_call_confirmed", orders=self._sent)
            self._outbox.taken(self._sent)
            for stamp in stamps:
                self._parts.facade.report_taken(stamp)
            return 0
        self._outbox.again()
        return 0 if stamps else self._backoff.next_us()

    def _settle(self, taken: int, sent: int) -> None:
        for stamp in self._outbox.taken(taken):
            self._parts.facade.report_taken(stamp)
        self._parts.counters.add("relay_orders_accepted", taken)
        if taken == sent:
            return
        order = self._outbox.first()
        if order != self._doubted:
            self._doubted = order
            return
        # The relay stops at an order it can't use: refused twice, the rest must not wait behind it.
        self._outbox.drop_first()
        self._doubted = None
        self._parts.counters.add("relay_orders_rejected")
        self._parts.log.event("order_rejected", order=encode_order(order).decode())

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
        until_us = self._parts.clock() + self._parts.limits.connect_timeout_us
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

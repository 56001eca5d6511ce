"""Calls to the relay, which send the order queue batch by batch, one call at a time and in order."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import Order
from kelpcourse.wire.errors import (
    InvalidCallError,
    InvalidMessageError,
    StreamError,
    ThrottledError,
)
from kelpcourse.wire.http import HttpClient, connect_http
from kelpcourse.wire.loop import READ, Coroutine, Signal, Wait, WakeReason
from kelpcourse.wire.relay_codec import (
    ORDERS_PATH,
    CallBody,
    decode_response,
    encode_call,
    encode_order,
)
from kelpcourse.wire.runtime import Backoff, Runtime
from kelpcourse.wire.stream import Address

NO_WAIT_US = 0


class RelayCalls:
    """Sends the order queue to the relay, call by call.

    Attributes:
        reachable: Set when the relay is known to be reachable, which ends the delay before the next retry.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        orders: OrderQueue,
        orders_queued: Signal,
        target: Callable[[], str | None] = lambda: ORDERS_PATH,
    ) -> None:
        """Initializes the sender, whose coroutine is `run`.

        Args:
            runtime: Clock, limits, counters, log, loop and facade.
            address: Address of the relay.
            orders: Queue whose orders are sent.
            orders_queued: Signal that is set when orders were added to the queue.
            target: Function that returns the path of the next call and is called right before it; None means that
                calls are not allowed at the moment.
        """
        self._runtime = runtime
        self._address = address
        self._orders = orders
        self._orders_queued = orders_queued
        self._target = target
        self._client: HttpClient | None = None
        self._client_address = address
        self._sent_count = 0  # number of orders in the current call; 0 until it was sent completely
        # Number of consecutive responses that rejected a call as invalid.
        self._invalid_responses = 0
        # The order that was rejected last. It is dropped only if it is rejected again, because one rejection may be due
        # to a corrupted response.
        self._rejected_order: Order | None = None
        self._backoff = Backoff(runtime.limits)
        self.reachable = Signal()

    def reconnect_to(self, address: Address) -> None:
        """Directs calls to a new address; the outcome of the call in progress is awaited at the old one."""
        self._address = address
        self._backoff.reset()
        self._orders_queued.set()
        self.reachable.set()

    def run(self) -> Coroutine[None]:
        """Sends orders as they are queued, indefinitely."""
        try:
            while True:
                yield from self._wait_for_orders()
                wait_us = yield from self._attempt_call()
                if wait_us:
                    # New orders don't shorten the delay, or each would cause a call to a relay that is down.
                    self.reachable.clear()
                    yield Wait(self._runtime.clock() + wait_us, signal=self.reachable)
        finally:
            self._close()

    def _wait_for_orders(self) -> Coroutine[None]:
        """Waits until the queue has orders.

        A connection that stays idle is closed here before the relay closes it. If the relay closes it while a call is
        being sent, it is unknown whether the call was carried out.
        """
        idle_deadline_us = self._runtime.clock() + self._runtime.limits.idle_connection_us
        while not self._orders.batch_count:
            self._orders_queued.clear()
            if self._client is None:
                yield Wait(signal=self._orders_queued)
                continue
            reason = yield Wait(idle_deadline_us, self._client.fd, READ, self._orders_queued)
            is_previous_address = self._client_address != self._address
            if reason is not WakeReason.SIGNALLED or is_previous_address:
                self._close()
        self._orders_queued.clear()

    def _attempt_call(self) -> Coroutine[int]:
        """Makes one call and returns the delay before the next one in microseconds."""
        try:
            yield from self._call()
        except ThrottledError:
            return self._handle_throttled()
        except InvalidCallError as error:
            return self._handle_invalid_call(error)
        except (StreamError, InvalidMessageError) as error:
            self._runtime.counters.add("relay_calls_failed")
            self._runtime.log.event(
                "relay_call_failed", reason=str(error), queued_orders=len(self._orders)
            )
            self._close()
            return (yield from self._resolve_outcome())
        self._backoff.reset()
        self._invalid_responses = 0
        return NO_WAIT_US

    def _handle_throttled(self) -> int:
        self._orders.requeue_call()
        self._runtime.counters.add("relay_calls_throttled")
        self._runtime.log.event("relay_calls_throttled", queued_orders=len(self._orders))
        return self._runtime.limits.throttled_retry_us

    def _handle_invalid_call(self, error: InvalidCallError) -> int:
        """Requeues a rejected call, or drops it after repeated rejections so that later orders are sent."""
        self._invalid_responses += 1
        given_up = self._invalid_responses >= self._runtime.limits.max_invalid_responses
        self._runtime.counters.add("relay_calls_rejected")
        self._runtime.log.event(
            "relay_call_rejected", reason=str(error), orders=self._sent_count, dropped=given_up
        )
        if given_up:
            self._orders.accept(self._sent_count)
            self._invalid_responses = 0
        else:
            self._orders.requeue_call()
        self._close()
        return self._backoff.next_us()

    def _call(self) -> Coroutine[None]:
        self._sent_count = 0
        client = yield from self._connected_client()
        target = self._target()
        if target is None:
            raise ThrottledError("calls are not allowed at the moment")
        orders = self._orders.begin_call()
        if not orders:  # all of them were bindings of proxies that have left since
            self._orders.accept(0)
            return
        body = encode_call(orders, self._runtime.limits.max_call_bytes)
        yield from self._exchange(client, target, body)

    def _exchange(self, client: HttpClient, target: str, body: CallBody) -> Coroutine[None]:
        self._runtime.counters.add("relay_calls")
        self._runtime.counters.add("relay_call_bytes", len(body.data))
        yield from client.send_request("POST", target, body.data, self._runtime.send_deadline_us())
        # From here on the relay may have carried out the call.
        self._sent_count = body.order_count
        deadline_us = self._runtime.clock() + self._runtime.limits.call_timeout_us
        yield from client.read_status(deadline_us)
        response = yield from client.read_body(deadline_us)
        if not client.is_reusable:
            self._close()
        accepted = decode_response(response, body.sent_count)
        self._settle(min(accepted, body.order_count), body.order_count)

    def _resolve_outcome(self) -> Coroutine[int]:
        """Completes or requeues a failed call and returns the delay before orders are resent, in microseconds.

        A call that was sent completely may have been carried out, which is proven if a proxy acknowledges its
        checkpoint. Otherwise its orders are resent once the policy allows it.
        """
        checkpoint_ids = self._orders.checkpoints_in_call() if self._sent_count else ()
        while checkpoint_ids and not self._orders.call_acknowledged:
            self._runtime.facade.report_outcome_unknown(checkpoint_ids)
            yield Wait(self._runtime.clock() + self._backoff.next_us())
            if self._runtime.facade.may_resend():
                break
        if self._orders.call_acknowledged:
            self._runtime.counters.add("relay_calls_confirmed")
            self._runtime.log.event("relay_call_confirmed", orders=self._sent_count)
            self._orders.accept(self._sent_count)
            for checkpoint_id in checkpoint_ids:
                self._runtime.facade.report_accepted(checkpoint_id)
            return NO_WAIT_US
        self._orders.requeue_call()
        return NO_WAIT_US if checkpoint_ids else self._backoff.next_us()

    def _settle(self, accepted: int, sent: int) -> None:
        """Reports the accepted orders and drops the first of the others if it was rejected twice.

        The relay stops at an order that it rejects, which would block all orders after it.
        """
        for checkpoint_id in self._orders.accept(accepted):
            self._runtime.facade.report_accepted(checkpoint_id)
        self._runtime.counters.add("relay_orders_accepted", accepted)
        if accepted == sent:
            return
        order = self._orders.first()
        if order != self._rejected_order:
            self._rejected_order = order
            return
        self._orders.drop_first()
        self._rejected_order = None
        self._runtime.counters.add("relay_orders_rejected")
        self._runtime.log.event("order_rejected", order=encode_order(order).decode())

    def _connected_client(self) -> Coroutine[HttpClient]:
        if self._client is not None and self._client.is_stale():
            self._close()
        if self._client is None or self._client_address != self._address:
            yield from self._connect()
        if self._client is None:
            raise StreamError("not connected")
        return self._client

    def _connect(self) -> Coroutine[None]:
        """Connects to the current address; the old connection stays in use until this succeeds."""
        address = self._address
        deadline_us = self._runtime.clock() + self._runtime.limits.connect_timeout_us
        try:
            client = yield from connect_http(address, self._runtime.limits, deadline_us)
        except StreamError:
            if self._client is None:
                raise
            return
        self._close()
        self._client = client
        self._client_address = address
        self._runtime.counters.add("relay_connections")

    def _close(self) -> None:
        if self._client is not None:
            self._client.close()
            self._client = None

"""Calls to the relay: batches, rejections, throttling, connections and addresses."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.memory.orders import Checkpoint, Order, SetWeight, WithdrawEndpoint
from kelpcourse.policy.events import OrdersAccepted
from kelpcourse.wire.loop import Signal
from kelpcourse.wire.relay_calls import RelayCalls
from kelpcourse.wire.relay_codec import encode_order
from kelpcourse.wire.relay_events import RelayEventStreams
from tests.relay_service import (
    Relay,
    accept_none,
    accept_two,
    close_when_idle,
    never_respond,
    reject_as_invalid,
    start_calls,
    throttle,
    throttle_and_close,
)
from tests.relays import BIND, CHECKPOINT, SET_WEIGHT, EventBroadcaster, order_queue_of
from tests.standins import FAST_LIMITS, MS, Bench


def test_a_step_is_one_call_and_the_next_reuses_the_connection(bench: Bench) -> None:
    relay, order_queue = Relay(bench), order_queue_of(SET_WEIGHT, BIND, CHECKPOINT)
    orders_queued = start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    order_queue.add([WithdrawEndpoint("h1"), Checkpoint(6, True)])
    orders_queued.set()
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "USE", "SYNC"], ["OUT", "SYNC"]]
    assert relay.server.connections == 1
    assert bench.counters["relay_orders_accepted"] == 5


def test_an_order_rejected_twice_is_dropped_and_the_rest_is_resent(bench: Bench) -> None:
    relay = Relay(bench, accept_two, accept_none)
    order_queue = order_queue_of(SET_WEIGHT, SetWeight(0, "h2", 1.0), BIND, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SET", "USE", "SYNC"], ["USE", "SYNC"], ["SYNC"]]
    assert bench.log.named("order_rejected") == [{"order": encode_order(BIND).decode()}]


def test_throttled_calls_are_retried(bench: Bench) -> None:
    relay, order_queue = Relay(bench, throttle, throttle), order_queue_of(SET_WEIGHT, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 3
    assert bench.counters["relay_calls_throttled"] == 2


def test_an_order_rejected_once_is_not_dropped(bench: Bench) -> None:
    relay, order_queue = (
        Relay(bench, accept_two),
        order_queue_of(SET_WEIGHT, SetWeight(0, "h2", 1.0), BIND, CHECKPOINT),
    )
    start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SET", "USE", "SYNC"], ["USE", "SYNC"]]
    assert bench.log.named("order_rejected") == []


def test_a_call_rejected_as_invalid_is_retried(bench: Bench) -> None:
    relay, order_queue = Relay(bench, reject_as_invalid), order_queue_of(SET_WEIGHT, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.log.named("relay_call_rejected")[0]["dropped"] is False


def test_a_call_rejected_repeatedly_is_dropped_and_later_orders_are_sent(bench: Bench) -> None:
    times = FAST_LIMITS.max_invalid_responses
    relay, order_queue = (
        Relay(bench, *[reject_as_invalid] * times),
        order_queue_of(SET_WEIGHT, CHECKPOINT),
    )
    orders_queued = start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    order_queue.add([BIND])
    orders_queued.set()
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * times + [["USE"]]
    assert bench.log.named("relay_call_rejected")[-1]["dropped"] is True


def test_connection_closed_while_idle_fails_no_call(bench: Bench) -> None:
    relay, order_queue = Relay(bench, close_when_idle), order_queue_of(SET_WEIGHT, CHECKPOINT)
    orders_queued = start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    bench.run_for_us(10 * MS)
    order_queue.add([BIND])
    orders_queued.set()
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"], ["USE"]]
    assert bench.counters["relay_calls_failed"] == 0


def test_a_connection_closed_between_two_calls_is_not_written_to(bench: Bench) -> None:
    """It would be unknown whether the relay received the call, and the call would count as failed."""
    relay, order_queue = Relay(bench, throttle_and_close), order_queue_of(SET_WEIGHT, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.counters["relay_calls_failed"] == 0


def test_an_idle_connection_is_closed_before_the_relay_does_so(bench: Bench) -> None:
    relay, order_queue = Relay(bench), order_queue_of(SET_WEIGHT, CHECKPOINT)
    orders_queued = start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    bench.run_for_us(2 * FAST_LIMITS.idle_connection_us)
    order_queue.add([BIND])
    orders_queued.set()
    bench.until(lambda: not order_queue.batch_count)
    assert relay.server.connections == 2


def test_calls_resume_after_the_relay_recovers(bench: Bench) -> None:
    relay, order_queue = Relay(bench), order_queue_of(SET_WEIGHT, CHECKPOINT)
    relay.server.close()
    start_calls(bench, relay, order_queue)
    bench.until(lambda: bench.counters["relay_calls_failed"] >= 3)
    assert not relay.calls
    recovered = Relay(bench)
    calls = RelayCalls(bench.runtime, recovered.server.address, order_queue, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: not order_queue.batch_count)
    assert recovered.verbs() == [["SET", "SYNC"]]


def test_call_without_a_response_is_resent_at_the_new_address(bench: Bench) -> None:
    old, new, order_queue = (
        Relay(bench, never_respond),
        Relay(bench),
        order_queue_of(SET_WEIGHT, CHECKPOINT),
    )
    calls = RelayCalls(bench.runtime, old.server.address, order_queue, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.reconnect_to(new.server.address)
    bench.until(lambda: not order_queue.batch_count)
    assert old.verbs() == new.verbs() == [["SET", "SYNC"]]


def test_an_idle_connection_to_the_old_address_is_closed(bench: Bench) -> None:
    bench.runtime = replace(
        bench.runtime, limits=replace(FAST_LIMITS, idle_connection_us=3_600_000_000)
    )
    old, new, order_queue = Relay(bench), Relay(bench), order_queue_of(SET_WEIGHT, CHECKPOINT)
    orders_queued = Signal()
    calls = RelayCalls(bench.runtime, old.server.address, order_queue, orders_queued)
    bench.loop.start("calls", calls.run())
    bench.until(lambda: not order_queue.batch_count)
    calls.reconnect_to(new.server.address)
    bench.until(lambda: old.closed_count)
    order_queue.add([BIND])
    orders_queued.set()
    bench.until(lambda: not order_queue.batch_count)
    assert (old.verbs(), new.verbs()) == ([["SET", "SYNC"]], [["USE"]])


def test_old_connection_is_used_until_the_new_address_accepts_connections(bench: Bench) -> None:
    old, down, order_queue = (
        Relay(bench, throttle),
        Relay(bench),
        order_queue_of(SET_WEIGHT, CHECKPOINT),
    )
    down.server.close()
    calls = RelayCalls(bench.runtime, old.server.address, order_queue, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.reconnect_to(down.server.address)
    bench.until(lambda: not order_queue.batch_count)
    assert old.verbs() == [["SET", "SYNC"]] * 2
    assert old.server.connections == 1


def test_new_orders_do_not_shorten_the_backoff(
    bench: Bench,
) -> None:
    """The signal of new orders, set while a call failed, ended each delay immediately."""
    relay, order_queue = Relay(bench), order_queue_of(SET_WEIGHT, CHECKPOINT)
    relay.server.close()
    orders_queued = start_calls(bench, relay, order_queue)
    for checkpoint_id in range(6, 206):
        order_queue.add([SetWeight(0, "h1", checkpoint_id), Checkpoint(checkpoint_id, False)])
        orders_queued.set()
        bench.run_for_us(MS)
    assert 10 < bench.counters["relay_calls_failed"] <= 10 + 200 * MS // FAST_LIMITS.max_backoff_us


def test_an_event_stream_that_opens_ends_the_wait_for_a_retry(bench: Bench) -> None:
    bench.runtime = replace(
        bench.runtime, limits=replace(FAST_LIMITS, throttled_retry_us=3_600_000_000)
    )
    relay, order_queue = Relay(bench, throttle), order_queue_of(SET_WEIGHT, CHECKPOINT)
    source = EventBroadcaster(bench, [b"{}"])
    calls = RelayCalls(bench.runtime, relay.server.address, order_queue, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: len(relay.calls) == 1)
    bench.run_for_us(20 * MS)
    assert len(relay.calls) == 1
    bench.loop.start(
        "events",
        RelayEventStreams(bench.runtime, source.server.address, order_queue, calls.reachable).run(
            0
        ),
    )
    bench.until(lambda: not order_queue.batch_count)


def test_a_large_step_is_split_into_calls_in_order(bench: Bench) -> None:
    orders: list[Order] = [SetWeight(0, f"h{k}", 1.0) for k in range(2000)]
    relay, order_queue = Relay(bench), order_queue_of(*orders, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    assert len(relay.calls) > 1
    sent = [order["host"] for call in relay.calls for order in call if order["verb"] == "SET"]
    assert sent == [f"h{k}" for k in range(2000)]
    assert all(call[-1]["verb"] == "SYNC" for call in relay.calls)
    bench.until(lambda: OrdersAccepted(5) in bench.policy.events)
    assert bench.policy.events.count(OrdersAccepted(5)) == 1  # when the last part is accepted

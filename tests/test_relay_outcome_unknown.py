"""Calls to the relay whose outcome is unknown: the relay may or may not have carried them out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import Checkpoint, Order, RestoreEndpoint, SetWeight, WithdrawEndpoint
from kelpcourse.policy.events import OrdersAccepted, OrdersOutcomeUnknown
from kelpcourse.wire.loop import Coroutine, Signal, Wait
from kelpcourse.wire.relay_calls import RelayCalls
from tests.relay_service import (
    Relay,
    never_respond,
    not_http,
    not_json,
    reset_connection,
    start_calls,
    truncated_response,
)
from tests.relays import BIND, CHECKPOINT, SET_WEIGHT, order_queue_of
from tests.standins import FAST_LIMITS, MS, Bench, HttpConnection, HttpServer

CORRUPTED_RESPONSES = [
    b"{}",
    b"[1]",
    b'{"ok_count":-3}',
    b'{"ok_count":[1]}',
    b'{"ok_count":"s-zz"}',
    b'{"ok_count":1e30}',
    b'{"ok_count":38654705664}',
    b'{"ok_count":null}',
    b'{"ok_count":true}',
    b"\xe9\x81\xc5",
]


@pytest.mark.parametrize("answer", CORRUPTED_RESPONSES, ids=repr)
def test_call_with_a_corrupted_response_is_resent(bench: Bench, answer: bytes) -> None:
    def corrupt(connection: HttpConnection, _: int) -> Coroutine[None]:
        yield from connection.respond(200, answer)

    relay, order_queue = Relay(bench, corrupt), order_queue_of(SET_WEIGHT, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.counters["relay_calls_failed"] == 1


@pytest.mark.parametrize(
    "fault", [never_respond, reset_connection, truncated_response, not_http, not_json]
)
def test_a_call_of_unknown_outcome_is_resent_in_order(
    bench: Bench, fault: Callable[[HttpConnection, int], Coroutine[None]]
) -> None:
    relay, order_queue = Relay(bench, fault), order_queue_of(SET_WEIGHT, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    bench.until(lambda: len(relay.calls) == 1)
    order_queue.add([SetWeight(0, "h1", 2.0), Checkpoint(6, False)])
    bench.until(lambda: not order_queue.batch_count)
    sent = [order for call in relay.calls[1:] for order in call]
    assert [order.get("share", order.get("stamp")) for order in sent] in (
        [2.0, 6],
        [1.5, 5, 2.0, 6],
    )
    assert bench.counters["relay_calls_failed"] == 1
    # The relay may queue the step twice: 36,000 entries, resent without being counted, would exceed the limit.
    assert [event for event in bench.policy.events if isinstance(event, OrdersOutcomeUnknown)] == [
        OrdersOutcomeUnknown((5,))
    ]


def start_calls_that_must_not_be_resent(
    bench: Bench, fault: Callable[[HttpConnection, int], Coroutine[None]]
) -> tuple[Relay, OrderQueue]:
    """Starts calls of which the first fails, while the policy does not allow any call to be resent."""
    bench.policy.allows_resend = False
    relay, order_queue = Relay(bench, fault), order_queue_of(SET_WEIGHT, CHECKPOINT)
    start_calls(bench, relay, order_queue)
    return relay, order_queue


@pytest.mark.parametrize(
    "fault", [never_respond, reset_connection, truncated_response, not_http, not_json]
)
def test_a_call_of_unknown_outcome_is_not_resent_before_the_policy_allows_it(
    bench: Bench, fault: Callable[[HttpConnection, int], Coroutine[None]]
) -> None:
    """A call whose response was lost was resent while its first copy was pending.

    6,416 entries were pending then, with a limit of 5,800.
    """
    relay, order_queue = start_calls_that_must_not_be_resent(bench, fault)
    bench.until(
        lambda: len([e for e in bench.policy.events if isinstance(e, OrdersOutcomeUnknown)]) > 3
    )
    order_queue.add([SetWeight(0, "h1", 2.0), Checkpoint(6, False)])
    bench.run_for_us(50 * MS)
    assert len(relay.calls) == 1
    bench.policy.allows_resend = True
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"], ["SET", "SYNC"]]


@pytest.mark.parametrize(
    "fault", [never_respond, reset_connection, truncated_response, not_http, not_json]
)
def test_a_call_whose_checkpoint_is_acknowledged_is_not_resent(
    bench: Bench, fault: Callable[[HttpConnection, int], Coroutine[None]]
) -> None:
    relay, order_queue = start_calls_that_must_not_be_resent(bench, fault)
    bench.until(lambda: any(isinstance(e, OrdersOutcomeUnknown) for e in bench.policy.events))
    order_queue.add([BIND, Checkpoint(6, False)])
    order_queue.acknowledge(5)
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["SET", "SYNC"], ["USE", "SYNC"]]
    assert bench.counters["relay_calls_confirmed"] == 1
    bench.until(lambda: OrdersAccepted(6) in bench.policy.events)
    assert [e for e in bench.policy.events if isinstance(e, OrdersAccepted)] == [
        OrdersAccepted(5),
        OrdersAccepted(6),
    ]


def test_call_that_fails_before_its_last_byte_is_resent_immediately(bench: Bench) -> None:
    """The relay reads none of it, so only what the system buffers is sent, and the call is never carried out."""
    bench.runtime = replace(bench.runtime, limits=replace(FAST_LIMITS, max_call_bytes=1 << 30))
    long_name = "h" * 2_000
    orders: list[Order] = [SetWeight(0, f"{long_name}{k}", 1.0) for k in range(10_000)]

    def read_nothing(_: HttpConnection) -> Coroutine[None]:
        while True:
            yield Wait(bench.clock() + MS)

    bench.policy.allows_resend = False
    stalled, order_queue = HttpServer(bench.loop, read_nothing), order_queue_of(*orders, CHECKPOINT)
    bench.loop.start(
        "calls", RelayCalls(bench.runtime, stalled.address, order_queue, Signal()).run()
    )
    bench.until(lambda: bench.counters["relay_calls_failed"] == 3)
    assert (
        bench.log.named("relay_call_failed")[0]["reason"]
        == "peer did not accept all data before the deadline"
    )
    assert stalled.connections >= 2
    assert not [e for e in bench.policy.events if isinstance(e, OrdersOutcomeUnknown)]


def test_a_call_of_unknown_outcome_is_not_resent_at_a_new_address_either(
    bench: Bench,
) -> None:
    bench.policy.allows_resend = False
    old, new, order_queue = (
        Relay(bench, never_respond),
        Relay(bench),
        order_queue_of(SET_WEIGHT, CHECKPOINT),
    )
    calls = RelayCalls(bench.runtime, old.server.address, order_queue, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.reconnect_to(new.server.address)
    bench.run_for_us(4 * FAST_LIMITS.call_timeout_us)
    assert not new.calls
    # Back to the old address before the first change was completed.
    calls.reconnect_to(old.server.address)
    bench.policy.allows_resend = True
    bench.until(lambda: not order_queue.batch_count)
    assert (old.verbs(), new.verbs()) == ([["SET", "SYNC"]] * 2, [])


def test_a_withdrawal_during_an_unknown_outcome_is_sent_with_the_resent_call(bench: Bench) -> None:
    """It is sent after the call, not before it, because the call may restore the same endpoint."""
    relay, order_queue = (
        Relay(bench, never_respond),
        order_queue_of(RestoreEndpoint("h1"), CHECKPOINT),
    )
    bench.policy.allows_resend = False
    start_calls(bench, relay, order_queue)
    bench.until(lambda: any(isinstance(e, OrdersOutcomeUnknown) for e in bench.policy.events))
    order_queue.add([WithdrawEndpoint("h1"), Checkpoint(6, False)])
    bench.policy.allows_resend = True
    bench.until(lambda: not order_queue.batch_count)
    assert relay.verbs() == [["IN", "SYNC"], ["OUT", "SYNC"]]

"""Calls to the relay against a stand-in that refuses, breaks, stays silent and answers halfway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import orjson
import pytest

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import Checkpoint, Order, RestoreEndpoint, SetWeight, WithdrawEndpoint
from kelpcourse.policy.events import OrdersAccepted, OrdersOutcomeUnknown
from kelpcourse.wire.loop import Coroutine, Signal, Wait
from kelpcourse.wire.relay_calls import RelayCalls
from kelpcourse.wire.relay_codec import encode_order
from kelpcourse.wire.relay_events import RelayEventStreams
from tests.relays import MARK, SET, USE, Broadcaster, outbox_of
from tests.standins import MS, QUICK, Bench, Caller, StandIn


class Relay:
    """Answers calls by a script; once that is used up it takes everything."""

    def __init__(self, bench: Bench, *script: Callable[[Caller, int], Coroutine[None]]) -> None:
        self.calls: list[list[dict[str, object]]] = []
        self.script = list(script)
        self.ended = 0  # connections that the director closed
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Coroutine[None]:
        while (call := (yield from caller.request())) is not None:
            target, body = call
            assert target == "/v3/kv/orders"
            orders = orjson.loads(body)["orders"]
            self.calls.append(orders)
            act = self.script.pop(0) if self.script else take_all
            yield from act(caller, len(orders))
        self.ended += 1

    def verbs(self) -> list[list[object]]:
        return [[order["verb"] for order in call] for call in self.calls]


def take_all(caller: Caller, count: int) -> Coroutine[None]:
    yield from caller.answer(200, b'{"ok_count":%d}' % count)


def take_two(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.answer(200, b'{"ok_count":2}')


def take_none(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.answer(200, b'{"ok_count":0}')


def throttle(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.answer(429, b'{"error":"Throttling"}')


def throttle_and_close(caller: Caller, count: int) -> Coroutine[None]:
    yield from throttle(caller, count)
    caller.stream.close()


def invalid(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.answer(400, b'{"error":"ValidationError"}')


def say_nothing(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.silence()


def break_off(caller: Caller, _: int) -> Coroutine[None]:
    caller.reset()
    yield from ()


def half_an_answer(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"ok_c', 1 << 60)
    caller.stream.close()


def not_http(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.stream.send(b"\0\1\2 what\r\n\r\n", 1 << 60)
    yield from caller.silence()


def not_json(caller: Caller, _: int) -> Coroutine[None]:
    yield from caller.answer(200, b"<html>")


def close_when_idle(caller: Caller, count: int) -> Coroutine[None]:
    yield from take_all(caller, count)
    caller.stream.close()


def start_calls(bench: Bench, relay: Relay, outbox: OrderQueue) -> Signal:
    waiting = Signal()
    bench.loop.start(
        "calls", RelayCalls(bench.runtime, relay.stand_in.address, outbox, waiting).run()
    )
    return waiting


def test_a_step_is_one_call_and_the_next_follows_on_the_same_connection(bench: Bench) -> None:
    relay, outbox = Relay(bench), outbox_of(SET, USE, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    outbox.add([WithdrawEndpoint("h1"), Checkpoint(6, True)])
    waiting.set()
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "USE", "SYNC"], ["OUT", "SYNC"]]
    assert relay.stand_in.connections == 1
    assert bench.counters["relay_orders_accepted"] == 5


def test_a_refused_order_is_dropped_and_told_and_the_rest_goes_again(bench: Bench) -> None:
    relay = Relay(bench, take_two, take_none)
    outbox = outbox_of(SET, SetWeight(0, "h2", 1.0), USE, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SET", "USE", "SYNC"], ["USE", "SYNC"], ["SYNC"]]
    assert bench.log.named("order_rejected") == [{"order": encode_order(USE).decode()}]


def test_calls_turned_away_before_the_run_are_made_again(bench: Bench) -> None:
    relay, outbox = Relay(bench, throttle, throttle), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 3
    assert bench.counters["relay_calls_throttled"] == 2


def test_a_refusal_that_a_spoilt_answer_made_up_costs_no_order(bench: Bench) -> None:
    relay, outbox = Relay(bench, take_two), outbox_of(SET, SetWeight(0, "h2", 1.0), USE, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SET", "USE", "SYNC"], ["USE", "SYNC"]]
    assert bench.log.named("order_rejected") == []


def test_a_call_taken_for_none_by_a_spoilt_answer_goes_again(bench: Bench) -> None:
    relay, outbox = Relay(bench, invalid), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.log.named("relay_call_rejected")[0]["dropped"] is False


def test_a_call_that_is_none_is_given_up_so_that_later_orders_go_out(bench: Bench) -> None:
    times = QUICK.max_invalid_responses
    relay, outbox = Relay(bench, *[invalid] * times), outbox_of(SET, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    outbox.add([USE])
    waiting.set()
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * times + [["USE"]]
    assert bench.log.named("relay_call_rejected")[-1]["dropped"] is True


SPOILT = [
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


@pytest.mark.parametrize("answer", SPOILT, ids=repr)
def test_a_spoilt_answer_proves_nothing_and_the_call_goes_again(
    bench: Bench, answer: bytes
) -> None:
    def spoil(caller: Caller, _: int) -> Coroutine[None]:
        yield from caller.answer(200, answer)

    relay, outbox = Relay(bench, spoil), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.counters["relay_calls_failed"] == 1


@pytest.mark.parametrize("trouble", [say_nothing, break_off, half_an_answer, not_http, not_json])
def test_a_call_that_may_have_been_carried_out_goes_again_in_order(
    bench: Bench, trouble: Callable[[Caller, int], Coroutine[None]]
) -> None:
    relay, outbox = Relay(bench, trouble), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: len(relay.calls) == 1)
    outbox.add([SetWeight(0, "h1", 2.0), Checkpoint(6, False)])
    bench.until(lambda: not outbox.batch_count)
    sent = [order for call in relay.calls[1:] for order in call]
    assert [order.get("share", order.get("stamp")) for order in sent] in (
        [2.0, 6],
        [1.5, 5, 2.0, 6],
    )
    assert bench.counters["relay_calls_failed"] == 1
    # the channel may hold the step twice: 36,000 lines ordered again uncounted would be more than it may
    assert [event for event in bench.policy.events if isinstance(event, OrdersOutcomeUnknown)] == [
        OrdersOutcomeUnknown((5,))
    ]


def in_doubt(
    bench: Bench, trouble: Callable[[Caller, int], Coroutine[None]]
) -> tuple[Relay, OrderQueue]:
    """The first call breaks, and the module does not let it go again yet."""
    bench.policy.resends = False
    relay, outbox = Relay(bench, trouble), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    return relay, outbox


@pytest.mark.parametrize("trouble", [say_nothing, break_off, half_an_answer, not_http, not_json])
def test_a_call_in_doubt_waits_until_the_module_lets_it_go_again(
    bench: Bench, trouble: Callable[[Caller, int], Coroutine[None]]
) -> None:
    """6,416 lines waited where 5,800 may: an answer was lost, and the call went again beside its first copy."""
    relay, outbox = in_doubt(bench, trouble)
    bench.until(
        lambda: len([e for e in bench.policy.events if isinstance(e, OrdersOutcomeUnknown)]) > 3
    )
    outbox.add([SetWeight(0, "h1", 2.0), Checkpoint(6, False)])
    bench.pass_us(50 * MS)
    assert len(relay.calls) == 1
    bench.policy.resends = True
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"], ["SET", "SYNC"]]


@pytest.mark.parametrize("trouble", [say_nothing, break_off, half_an_answer, not_http, not_json])
def test_a_call_in_doubt_whose_mark_is_answered_does_not_go_again(
    bench: Bench, trouble: Callable[[Caller, int], Coroutine[None]]
) -> None:
    relay, outbox = in_doubt(bench, trouble)
    bench.until(lambda: any(isinstance(e, OrdersOutcomeUnknown) for e in bench.policy.events))
    outbox.add([USE, Checkpoint(6, False)])
    outbox.acknowledge(5)
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"], ["USE", "SYNC"]]
    assert bench.counters["relay_calls_confirmed"] == 1
    bench.until(lambda: OrdersAccepted(6) in bench.policy.events)
    assert [e for e in bench.policy.events if isinstance(e, OrdersAccepted)] == [
        OrdersAccepted(5),
        OrdersAccepted(6),
    ]


def test_a_connection_closed_while_idle_costs_no_call(bench: Bench) -> None:
    relay, outbox = Relay(bench, close_when_idle), outbox_of(SET, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    bench.pass_us(10 * MS)
    outbox.add([USE])
    waiting.set()
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"], ["USE"]]
    assert bench.counters["relay_calls_failed"] == 0


def test_a_connection_closed_between_two_calls_is_not_written_to(bench: Bench) -> None:
    """What is written to it would be lost or not, and the call would count as broken."""
    relay, outbox = Relay(bench, throttle_and_close), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.counters["relay_calls_failed"] == 0


def test_an_idle_connection_is_given_up_before_the_relay_does_so(bench: Bench) -> None:
    relay, outbox = Relay(bench), outbox_of(SET, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    bench.pass_us(2 * QUICK.idle_connection_us)
    outbox.add([USE])
    waiting.set()
    bench.until(lambda: not outbox.batch_count)
    assert relay.stand_in.connections == 2


def test_a_relay_that_is_down_is_found_again(bench: Bench) -> None:
    relay, outbox = Relay(bench), outbox_of(SET, MARK)
    relay.stand_in.close()
    start_calls(bench, relay, outbox)
    bench.until(lambda: bench.counters["relay_calls_failed"] >= 3)
    assert not relay.calls
    back = Relay(bench)
    calls = RelayCalls(bench.runtime, back.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: not outbox.batch_count)
    assert back.verbs() == [["SET", "SYNC"]]


def test_calls_follow_the_relay_and_the_one_under_way_goes_again_there(bench: Bench) -> None:
    old, new, outbox = Relay(bench, say_nothing), Relay(bench), outbox_of(SET, MARK)
    calls = RelayCalls(bench.runtime, old.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.reconnect_to(new.stand_in.address)
    bench.until(lambda: not outbox.batch_count)
    assert old.verbs() == new.verbs() == [["SET", "SYNC"]]


def test_an_idle_connection_to_the_old_address_is_let_go(bench: Bench) -> None:
    bench.runtime = replace(bench.runtime, limits=replace(QUICK, idle_connection_us=3_600_000_000))
    old, new, outbox = Relay(bench), Relay(bench), outbox_of(SET, MARK)
    waiting = Signal()
    calls = RelayCalls(bench.runtime, old.stand_in.address, outbox, waiting)
    bench.loop.start("calls", calls.run())
    bench.until(lambda: not outbox.batch_count)
    calls.reconnect_to(new.stand_in.address)
    bench.until(lambda: old.ended)
    outbox.add([USE])
    waiting.set()
    bench.until(lambda: not outbox.batch_count)
    assert (old.verbs(), new.verbs()) == ([["SET", "SYNC"]], [["USE"]])


def test_while_the_new_address_does_not_answer_the_old_connection_serves(bench: Bench) -> None:
    old, down, outbox = Relay(bench, throttle), Relay(bench), outbox_of(SET, MARK)
    down.stand_in.close()
    calls = RelayCalls(bench.runtime, old.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.reconnect_to(down.stand_in.address)
    bench.until(lambda: not outbox.batch_count)
    assert old.verbs() == [["SET", "SYNC"]] * 2
    assert old.stand_in.connections == 1


def test_orders_that_come_meanwhile_do_not_shorten_the_wait_for_a_relay_that_is_down(
    bench: Bench,
) -> None:
    """Raised while a call failed, the signal of new orders ended each wait at once."""
    relay, outbox = Relay(bench), outbox_of(SET, MARK)
    relay.stand_in.close()
    waiting = start_calls(bench, relay, outbox)
    for stamp in range(6, 206):
        outbox.add([SetWeight(0, "h1", stamp), Checkpoint(stamp, False)])
        waiting.set()
        bench.pass_us(MS)
    assert 10 < bench.counters["relay_calls_failed"] <= 10 + 200 * MS // QUICK.max_backoff_us


def test_a_call_that_breaks_before_its_last_byte_is_not_in_doubt(bench: Bench) -> None:
    """The relay takes no more of it than the system holds. It was never carried out, and goes again at once."""
    bench.runtime = replace(bench.runtime, limits=replace(QUICK, max_call_bytes=1 << 30))
    long = "h" * 2_000
    orders: list[Order] = [SetWeight(0, f"{long}{k}", 1.0) for k in range(10_000)]

    def takes_nothing(_: Caller) -> Coroutine[None]:
        while True:
            yield Wait(bench.clock() + MS)

    bench.policy.resends = False
    stalled, outbox = StandIn(bench.loop, takes_nothing), outbox_of(*orders, MARK)
    bench.loop.start("calls", RelayCalls(bench.runtime, stalled.address, outbox, Signal()).run())
    bench.until(lambda: bench.counters["relay_calls_failed"] == 3)
    assert bench.log.named("relay_call_failed")[0]["reason"] == "nothing was taken in time"
    assert stalled.connections >= 2
    assert not [e for e in bench.policy.events if isinstance(e, OrdersOutcomeUnknown)]


def test_a_call_unanswered_at_the_old_address_waits_for_the_module_at_the_new_one_too(
    bench: Bench,
) -> None:
    bench.policy.resends = False
    old, new, outbox = Relay(bench, say_nothing), Relay(bench), outbox_of(SET, MARK)
    calls = RelayCalls(bench.runtime, old.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.reconnect_to(new.stand_in.address)
    bench.pass_us(4 * QUICK.call_timeout_us)
    assert not new.calls
    calls.reconnect_to(old.stand_in.address)  # and back, before the first move was through
    bench.policy.resends = True
    bench.until(lambda: not outbox.batch_count)
    assert (old.verbs(), new.verbs()) == ([["SET", "SYNC"]] * 2, [])


def test_a_withdrawal_ordered_while_a_call_is_in_doubt_goes_out_with_it(bench: Bench) -> None:
    """Behind it, not ahead: the call may let the same host back."""
    relay, outbox = Relay(bench, say_nothing), outbox_of(RestoreEndpoint("h1"), MARK)
    bench.policy.resends = False
    start_calls(bench, relay, outbox)
    bench.until(lambda: any(isinstance(e, OrdersOutcomeUnknown) for e in bench.policy.events))
    outbox.add([WithdrawEndpoint("h1"), Checkpoint(6, False)])
    bench.policy.resends = True
    bench.until(lambda: not outbox.batch_count)
    assert relay.verbs() == [["IN", "SYNC"], ["OUT", "SYNC"]]


def test_news_that_opens_sends_what_waits_for_the_relay(bench: Bench) -> None:
    bench.runtime = replace(bench.runtime, limits=replace(QUICK, throttled_retry_us=3_600_000_000))
    relay, outbox = Relay(bench, throttle), outbox_of(SET, MARK)
    source = Broadcaster(bench, [b"{}"])
    calls = RelayCalls(bench.runtime, relay.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: len(relay.calls) == 1)
    bench.pass_us(20 * MS)
    assert len(relay.calls) == 1
    bench.loop.start(
        "news",
        RelayEventStreams(bench.runtime, source.stand_in.address, outbox, calls.reachable).run(0),
    )
    bench.until(lambda: not outbox.batch_count)


def test_a_large_step_is_split_into_calls_in_order(bench: Bench) -> None:
    orders: list[Order] = [SetWeight(0, f"h{k}", 1.0) for k in range(2000)]
    relay, outbox = Relay(bench), outbox_of(*orders, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batch_count)
    assert len(relay.calls) > 1
    sent = [order["host"] for call in relay.calls for order in call if order["verb"] == "SET"]
    assert sent == [f"h{k}" for k in range(2000)]
    assert all(call[-1]["verb"] == "SYNC" for call in relay.calls)
    bench.until(lambda: OrdersAccepted(5) in bench.policy.events)
    assert bench.policy.events.count(OrdersAccepted(5)) == 1  # with its last part

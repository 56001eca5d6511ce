"""The relay client against a stand-in that refuses, breaks, stays silent and answers halfway."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import orjson
import pytest

from kelpcourse.interface import OrdersApplied, OrdersDoubted, OrdersTaken, ProxyJoined, ProxyLeft
from kelpcourse.memory.orders import EmptyTable, Limit, Mark, Order, SetShare, ShutOut, UseTable
from kelpcourse.memory.outbox import Outbox
from kelpcourse.memory.proxies import Applied, Joined, Left
from kelpcourse.wire.fields import BadMessage, NotJson
from kelpcourse.wire.loop import Signal, Wait
from kelpcourse.wire.relay import (
    Calls, Invalid, NewsReader, Throttled, call_body, encode, read_answer, read_news,
)
from kelpcourse.wire.stream import Act
from tests.standins import MS, QUICK, Bench, Caller, StandIn

SET = SetShare(0, "h1", 1.5)
USE = UseTable(3, 0, ("read",))
MARK = Mark(5, False)


@pytest.fixture
def bench() -> Iterator[Bench]:
    made = Bench()
    yield made
    made.close()


def outbox_of(*orders: Order) -> Outbox:
    outbox = Outbox(QUICK.orders, QUICK.marks)
    outbox.add(orders)
    return outbox


def view(text: bytes) -> memoryview:
    return memoryview(text)


# Codec


@pytest.mark.parametrize(("order", "text"), [
    (SetShare(4, "s-1", 1.5), '{"verb":"SET","cluster":4,"host":"s-1","share":1.5}'),
    (EmptyTable(4), '{"verb":"DEL","cluster":4}'),
    (UseTable(17, 4, ("lookup",)), '{"verb":"USE","sidecar":17,"cluster":4,"for":["lookup"]}'),
    (UseTable(17, 4, ()), '{"verb":"USE","sidecar":17,"cluster":4}'),
    (ShutOut("s-1", True), '{"verb":"OUT","host":"s-1"}'),
    (ShutOut("s-1", False), '{"verb":"IN","host":"s-1"}'),
    (Limit(4, ("lookup",), 0.9, 1), '{"verb":"LIMIT","cluster":4,"for":["lookup"],"gate":0.9,"again":1}'),
    (Limit(None, (), 0.0, 1), '{"verb":"LIMIT","cluster":"*","gate":0.0,"again":1}'),
    (Mark(905, True), '{"verb":"SYNC","stamp":905,"yes":1}'),
])
def test_orders_are_written_as_the_protocol_shows_them(order: Order, text: str) -> None:
    assert encode(order).decode() == text


def test_a_call_holds_what_fits_and_each_part_ends_with_the_mark() -> None:
    orders: list[Order] = [*(SetShare(0, f"h{k}", 1.0) for k in range(50)), MARK]
    body, count, added = call_body(orders, 1000)
    assert len(body) <= 1000
    assert 1 < count < 50
    assert added
    assert orjson.loads(body)["orders"][-1]["verb"] == "SYNC"
    assert call_body(orders, 60_000)[1:] == (51, False)


def test_an_order_larger_than_a_call_goes_alone() -> None:
    assert call_body([SetShare(0, "h" * 300, 1.0), SET], 100)[1] == 1


def test_answers() -> None:
    assert read_answer(view(b'{"ok_count":2}'), 2) == 2
    with pytest.raises(Throttled):
        read_answer(view(b'{"error":"Throttling"}'), 2)
    with pytest.raises(Invalid):
        read_answer(view(b'{"error":{"type":"ValidationError"}}'), 2)
    for text in (b'{"ok_count":3}', b'{"ok_count":-1}', b'{"ok_count":true}', b"{}", b"[2]", b"\xff", b""):
        with pytest.raises(BadMessage):
            read_answer(view(text), 2)


def test_news() -> None:
    told = view(b'{"type":"joined","object":{"sidecar":17,"az":"a","share":21.5,"standing":true}}')
    assert read_news(told) == Joined(17, "a", 21.5, True)
    assert read_news(view(b'{"type":"left","object":{"sidecar":17}}')) == Left(17)
    assert read_news(view(b'{"type":"applied","object":{"sidecar":1,"version":9,"lag_ms":310.4}}')) == (
        Applied(1, 9, 310.4))
    assert read_news(view(b"{}")) is None
    for text in (b'{"type":"sung","object":{}}', b'{"type":"left"}',
                 b'{"type":"left","object":{"sidecar":-1}}',
                 b'{"type":"joined","object":{"sidecar":1,"az":"a","share":1e999,"standing":true}}'):
        with pytest.raises(BadMessage):
            read_news(view(text))
    with pytest.raises(NotJson):
        read_news(view(b'{"type":"le'))


# Calls


class Relay:
    """Answers calls by a script; once that is used up it takes everything."""

    def __init__(self, bench: Bench, *script: Callable[[Caller, int], Act[None]]) -> None:
        self.calls: list[list[dict[str, object]]] = []
        self.script = list(script)
        self.ended = 0  # connections that the director closed
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Act[None]:
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


def take_all(caller: Caller, count: int) -> Act[None]:
    yield from caller.answer(200, b'{"ok_count":%d}' % count)


def take_two(caller: Caller, _: int) -> Act[None]:
    yield from caller.answer(200, b'{"ok_count":2}')


def take_none(caller: Caller, _: int) -> Act[None]:
    yield from caller.answer(200, b'{"ok_count":0}')


def throttle(caller: Caller, _: int) -> Act[None]:
    yield from caller.answer(429, b'{"error":"Throttling"}')


def throttle_and_close(caller: Caller, count: int) -> Act[None]:
    yield from throttle(caller, count)
    caller.stream.close()


def invalid(caller: Caller, _: int) -> Act[None]:
    yield from caller.answer(400, b'{"error":"ValidationError"}')


def say_nothing(caller: Caller, _: int) -> Act[None]:
    yield from caller.silence()


def break_off(caller: Caller, _: int) -> Act[None]:
    caller.reset()
    yield from ()


def half_an_answer(caller: Caller, _: int) -> Act[None]:
    yield from caller.stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"ok_c", 1 << 60)
    caller.stream.close()


def not_http(caller: Caller, _: int) -> Act[None]:
    yield from caller.stream.send(b"\0\1\2 what\r\n\r\n", 1 << 60)
    yield from caller.silence()


def not_json(caller: Caller, _: int) -> Act[None]:
    yield from caller.answer(200, b"<html>")


def close_when_idle(caller: Caller, count: int) -> Act[None]:
    yield from take_all(caller, count)
    caller.stream.close()


def start_calls(bench: Bench, relay: Relay, outbox: Outbox) -> Signal:
    waiting = Signal()
    bench.loop.start("calls", Calls(bench.parts, relay.stand_in.address, outbox, waiting).run())
    return waiting


def test_a_step_is_one_call_and_the_next_follows_on_the_same_connection(bench: Bench) -> None:
    relay, outbox = Relay(bench), outbox_of(SET, USE, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    outbox.add([ShutOut("h1", True), Mark(6, True)])
    waiting.raise_()
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "USE", "SYNC"], ["OUT", "SYNC"]]
    assert relay.stand_in.connections == 1
    assert bench.counters["relay_orders_taken"] == 5


def test_a_refused_order_is_dropped_and_told_and_the_rest_goes_again(bench: Bench) -> None:
    relay = Relay(bench, take_two, take_none)
    outbox = outbox_of(SET, SetShare(0, "h2", 1.0), USE, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SET", "USE", "SYNC"], ["USE", "SYNC"], ["SYNC"]]
    assert bench.log.named("order_refused") == [{"order": encode(USE).decode()}]


def test_calls_turned_away_before_the_run_are_made_again(bench: Bench) -> None:
    relay, outbox = Relay(bench, throttle, throttle), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"]] * 3
    assert bench.counters["relay_throttled"] == 2


def test_a_refusal_that_a_spoilt_answer_made_up_costs_no_order(bench: Bench) -> None:
    relay, outbox = Relay(bench, take_two), outbox_of(SET, SetShare(0, "h2", 1.0), USE, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SET", "USE", "SYNC"], ["USE", "SYNC"]]
    assert bench.log.named("order_refused") == []


def test_a_call_taken_for_none_by_a_spoilt_answer_goes_again(bench: Bench) -> None:
    relay, outbox = Relay(bench, invalid), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.log.named("call_invalid")[0]["given_up"] is False


def test_a_call_that_is_none_is_given_up_so_that_later_orders_go_out(bench: Bench) -> None:
    times = QUICK.invalid_most
    relay, outbox = Relay(bench, *[invalid] * times), outbox_of(SET, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    outbox.add([USE])
    waiting.raise_()
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"]] * times + [["USE"]]
    assert bench.log.named("call_invalid")[-1]["given_up"] is True


SPOILT = [b"{}", b"[1]", b'{"ok_count":-3}', b'{"ok_count":[1]}', b'{"ok_count":"s-zz"}',
          b'{"ok_count":1e30}', b'{"ok_count":38654705664}', b'{"ok_count":null}',
          b'{"ok_count":true}', b"\xe9\x81\xc5"]


@pytest.mark.parametrize("answer", SPOILT, ids=repr)
def test_a_spoilt_answer_proves_nothing_and_the_call_goes_again(bench: Bench, answer: bytes) -> None:
    def spoil(caller: Caller, _: int) -> Act[None]:
        yield from caller.answer(200, answer)
    relay, outbox = Relay(bench, spoil), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.counters["relay_calls_failed"] == 1


@pytest.mark.parametrize("trouble", [say_nothing, break_off, half_an_answer, not_http, not_json])
def test_a_call_that_may_have_been_carried_out_goes_again_in_order(
        bench: Bench, trouble: Callable[[Caller, int], Act[None]]) -> None:
    relay, outbox = Relay(bench, trouble), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: len(relay.calls) == 1)
    outbox.add([SetShare(0, "h1", 2.0), Mark(6, False)])
    bench.until(lambda: not outbox.batches)
    sent = [order for call in relay.calls[1:] for order in call]
    assert [order.get("share", order.get("stamp")) for order in sent] in ([2.0, 6], [1.5, 5, 2.0, 6])
    assert bench.counters["relay_calls_failed"] == 1
    # the channel may hold the step twice: 36,000 lines ordered again uncounted would be more than it may
    assert [event for event in bench.module.events if isinstance(event, OrdersDoubted)] == [OrdersDoubted((5,))]


@pytest.mark.parametrize("trouble", [say_nothing, break_off, half_an_answer, not_http, not_json])
def test_a_call_in_doubt_waits_until_the_module_lets_it_go_again(
        bench: Bench, trouble: Callable[[Caller, int], Act[None]]) -> None:
    """6,416 lines waited where 5,800 may: an answer was lost, and the call went again beside its first copy."""
    bench.module.repeats = False
    relay, outbox = Relay(bench, trouble), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: len([e for e in bench.module.events if isinstance(e, OrdersDoubted)]) > 3)
    outbox.add([SetShare(0, "h1", 2.0), Mark(6, False)])
    bench.pass_us(50 * MS)
    assert len(relay.calls) == 1
    bench.module.repeats = True
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"], ["SET", "SYNC"]]


@pytest.mark.parametrize("trouble", [say_nothing, break_off, half_an_answer, not_http, not_json])
def test_a_call_in_doubt_whose_mark_is_answered_does_not_go_again(
        bench: Bench, trouble: Callable[[Caller, int], Act[None]]) -> None:
    bench.module.repeats = False
    relay, outbox = Relay(bench, trouble), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: any(isinstance(e, OrdersDoubted) for e in bench.module.events))
    outbox.add([USE, Mark(6, False)])
    outbox.answered(5)
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"], ["USE", "SYNC"]]
    assert bench.counters["relay_calls_proved"] == 1
    bench.until(lambda: OrdersTaken(6) in bench.module.events)
    assert [e for e in bench.module.events if isinstance(e, OrdersTaken)] == [OrdersTaken(5), OrdersTaken(6)]


def test_a_connection_closed_while_idle_costs_no_call(bench: Bench) -> None:
    relay, outbox = Relay(bench, close_when_idle), outbox_of(SET, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    bench.pass_us(10 * MS)
    outbox.add([USE])
    waiting.raise_()
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"], ["USE"]]
    assert bench.counters["relay_calls_failed"] == 0


def test_a_connection_closed_between_two_calls_is_not_written_to(bench: Bench) -> None:
    """What is written to it would be lost or not, and the call would count as broken."""
    relay, outbox = Relay(bench, throttle_and_close), outbox_of(SET, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["SET", "SYNC"]] * 2
    assert bench.counters["relay_calls_failed"] == 0


def test_an_idle_connection_is_given_up_before_the_relay_does_so(bench: Bench) -> None:
    relay, outbox = Relay(bench), outbox_of(SET, MARK)
    waiting = start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    bench.pass_us(2 * QUICK.idle_us)
    outbox.add([USE])
    waiting.raise_()
    bench.until(lambda: not outbox.batches)
    assert relay.stand_in.connections == 2


def test_a_relay_that_is_down_is_found_again(bench: Bench) -> None:
    relay, outbox = Relay(bench), outbox_of(SET, MARK)
    relay.stand_in.close()
    start_calls(bench, relay, outbox)
    bench.until(lambda: bench.counters["relay_calls_failed"] >= 3)
    assert not relay.calls
    back = Relay(bench)
    calls = Calls(bench.parts, back.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: not outbox.batches)
    assert back.verbs() == [["SET", "SYNC"]]


def test_calls_follow_the_relay_and_the_one_under_way_goes_again_there(bench: Bench) -> None:
    old, new, outbox = Relay(bench, say_nothing), Relay(bench), outbox_of(SET, MARK)
    calls = Calls(bench.parts, old.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.move(new.stand_in.address)
    bench.until(lambda: not outbox.batches)
    assert old.verbs() == new.verbs() == [["SET", "SYNC"]]


def test_an_idle_connection_to_the_old_address_is_let_go(bench: Bench) -> None:
    bench.parts = replace(bench.parts, limits=replace(QUICK, idle_us=3_600_000_000))
    old, new, outbox = Relay(bench), Relay(bench), outbox_of(SET, MARK)
    waiting = Signal()
    calls = Calls(bench.parts, old.stand_in.address, outbox, waiting)
    bench.loop.start("calls", calls.run())
    bench.until(lambda: not outbox.batches)
    calls.move(new.stand_in.address)
    bench.until(lambda: old.ended)
    outbox.add([USE])
    waiting.raise_()
    bench.until(lambda: not outbox.batches)
    assert (old.verbs(), new.verbs()) == ([["SET", "SYNC"]], [["USE"]])


def test_while_the_new_address_does_not_answer_the_old_connection_serves(bench: Bench) -> None:
    old, down, outbox = Relay(bench, throttle), Relay(bench), outbox_of(SET, MARK)
    down.stand_in.close()
    calls = Calls(bench.parts, old.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.move(down.stand_in.address)
    bench.until(lambda: not outbox.batches)
    assert old.verbs() == [["SET", "SYNC"]] * 2
    assert old.stand_in.connections == 1


def test_orders_that_come_meanwhile_do_not_shorten_the_wait_for_a_relay_that_is_down(bench: Bench) -> None:
    """Raised while a call failed, the signal of new orders ended each wait at once."""
    relay, outbox = Relay(bench), outbox_of(SET, MARK)
    relay.stand_in.close()
    waiting = start_calls(bench, relay, outbox)
    for stamp in range(6, 206):
        outbox.add([SetShare(0, "h1", stamp), Mark(stamp, False)])
        waiting.raise_()
        bench.pass_us(MS)
    assert 10 < bench.counters["relay_calls_failed"] <= 10 + 200 * MS // QUICK.backoff_most_us


def test_a_call_that_breaks_before_its_last_byte_is_not_in_doubt(bench: Bench) -> None:
    """The relay takes no more of it than the system holds. It was never carried out, and goes again at once."""
    bench.parts = replace(bench.parts, limits=replace(QUICK, call_bytes=1 << 30))
    long = "h" * 2_000
    orders: list[Order] = [SetShare(0, f"{long}{k}", 1.0) for k in range(10_000)]

    def takes_nothing(_: Caller) -> Act[None]:
        while True:
            yield Wait(bench.clock() + MS)
    bench.module.repeats = False
    stalled, outbox = StandIn(bench.loop, takes_nothing), outbox_of(*orders, MARK)
    bench.loop.start("calls", Calls(bench.parts, stalled.address, outbox, Signal()).run())
    bench.until(lambda: bench.counters["relay_calls_failed"] == 3)
    assert bench.log.named("relay_call_failed")[0]["reason"] == "nothing was taken in time"
    assert stalled.connections >= 2
    assert not [e for e in bench.module.events if isinstance(e, OrdersDoubted)]


def test_a_call_unanswered_at_the_old_address_waits_for_the_module_at_the_new_one_too(bench: Bench) -> None:
    bench.module.repeats = False
    old, new, outbox = Relay(bench, say_nothing), Relay(bench), outbox_of(SET, MARK)
    calls = Calls(bench.parts, old.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: old.calls)
    calls.move(new.stand_in.address)
    bench.pass_us(4 * QUICK.answer_us)
    assert not new.calls
    calls.move(old.stand_in.address)  # and back, before the first move was through
    bench.module.repeats = True
    bench.until(lambda: not outbox.batches)
    assert (old.verbs(), new.verbs()) == ([["SET", "SYNC"]] * 2, [])


def test_a_withdrawal_ordered_while_a_call_is_in_doubt_goes_out_with_it(bench: Bench) -> None:
    """Behind it, not ahead: the call may let the same host back."""
    relay, outbox = Relay(bench, say_nothing), outbox_of(ShutOut("h1", False), MARK)
    bench.module.repeats = False
    start_calls(bench, relay, outbox)
    bench.until(lambda: any(isinstance(e, OrdersDoubted) for e in bench.module.events))
    outbox.add([ShutOut("h1", True), Mark(6, False)])
    bench.module.repeats = True
    bench.until(lambda: not outbox.batches)
    assert relay.verbs() == [["IN", "SYNC"], ["OUT", "SYNC"]]


def test_news_that_opens_sends_what_waits_for_the_relay(bench: Bench) -> None:
    bench.parts = replace(bench.parts, limits=replace(QUICK, throttled_us=3_600_000_000))
    relay, outbox = Relay(bench, throttle), outbox_of(SET, MARK)
    source = Broadcaster(bench, [b"{}"])
    calls = Calls(bench.parts, relay.stand_in.address, outbox, Signal())
    bench.loop.start("calls", calls.run())
    bench.until(lambda: len(relay.calls) == 1)
    bench.pass_us(20 * MS)
    assert len(relay.calls) == 1
    bench.loop.start("news", NewsReader(bench.parts, source.stand_in.address, outbox, calls.there).run(0))
    bench.until(lambda: not outbox.batches)


def test_a_large_step_is_split_into_calls_in_order(bench: Bench) -> None:
    orders: list[Order] = [SetShare(0, f"h{k}", 1.0) for k in range(2000)]
    relay, outbox = Relay(bench), outbox_of(*orders, MARK)
    start_calls(bench, relay, outbox)
    bench.until(lambda: not outbox.batches)
    assert len(relay.calls) > 1
    sent = [order["host"] for call in relay.calls for order in call if order["verb"] == "SET"]
    assert sent == [f"h{k}" for k in range(2000)]
    assert all(call[-1]["verb"] == "SYNC" for call in relay.calls)
    bench.until(lambda: OrdersTaken(5) in bench.module.events)
    assert bench.module.events.count(OrdersTaken(5)) == 1  # with its last part


# News


class Broadcaster:
    """Serves news by a script of lines for each connection, then what the test feeds it."""

    def __init__(self, bench: Bench, *openings: list[bytes]) -> None:
        self._bench = bench
        self._openings = list(openings)
        self.feed: list[bytes] = []  # told on every connection
        self.hang_up = False  # ends the first connection that sees it
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Act[None]:
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
    return orjson.dumps({"type": "joined",
                         "object": {"sidecar": proxy, "az": "east", "share": share, "standing": True}})


def left(proxy: int) -> bytes:
    return orjson.dumps({"type": "left", "object": {"sidecar": proxy}})


def applied(proxy: int, version: int) -> bytes:
    return orjson.dumps({"type": "applied", "object": {"sidecar": proxy, "version": version, "lag_ms": 1.5}})


def start_news(bench: Bench, source: Broadcaster, outbox: Outbox | None = None, streams: int = 1) -> None:
    reader = NewsReader(bench.parts, source.stand_in.address, outbox if outbox is not None else outbox_of(),
                        Signal())
    for stream in range(streams):
        bench.loop.start("news", reader.run(stream))


def test_news_reaches_the_module(bench: Bench) -> None:
    source = Broadcaster(bench, [joined(0), joined(1), b"{}"])
    start_news(bench, source)
    bench.asked(905)
    source.feed += [applied(1, 905), applied(1, 906), left(0)]
    bench.until(lambda: ProxyLeft(0) in bench.module.events)
    assert bench.module.events[1:] == [
        ProxyJoined(0, "east", 2.0, True), ProxyJoined(1, "east", 2.0, True), OrdersApplied(1, 905, 1500),
        ProxyLeft(0)]


def test_after_a_gap_the_snapshot_is_reconciled(bench: Bench) -> None:
    """A proxy that stands in both may have left and come back, one that is missing has left."""
    source = Broadcaster(bench, [joined(0), joined(1), b"{}"], [joined(1), joined(2), b"{}"])
    start_news(bench, source)
    bench.until(lambda: len(bench.module.events) == 3)
    source.hang_up = True
    bench.until(lambda: ProxyLeft(0) in bench.module.events)
    assert bench.module.events[3:] == [
        ProxyJoined(1, "east", 2.0, True), ProxyJoined(2, "east", 2.0, True), ProxyLeft(0)]
    assert len(bench.log.named("news_lost")) == 1


def test_a_stream_that_breaks_beside_another_leaves_no_gap(bench: Bench) -> None:
    source = Broadcaster(bench, *([joined(0), joined(1), b"{}"] for _ in range(3)))
    start_news(bench, source, streams=2)
    bench.until(lambda: source.stand_in.connections == 2 and len(bench.module.events) == 3)
    bench.asked(5)
    source.feed += [b"{}", b"{}", b"{}", applied(0, 5)]
    bench.until(lambda: OrdersApplied(0, 5, 1500) in bench.module.events)
    bench.pass_us(5 * MS)
    source.hang_up = True
    bench.until(lambda: source.stand_in.connections == 3)
    source.feed += [left(1), b"{}"]
    bench.until(lambda: ProxyLeft(1) in bench.module.events)
    bench.pass_us(5 * MS)
    assert bench.module.events[3:] == [OrdersApplied(0, 5, 1500), ProxyLeft(1)]
    assert bench.log.named("news_lost")[0]["steady"] is True


def test_silence_ends_a_stream_of_news(bench: Bench) -> None:
    source = Broadcaster(bench, [joined(0), b"{}"], [joined(0), b"{}"])
    start_news(bench, source)
    bench.until(lambda: source.stand_in.connections == 2)
    assert bench.log.named("news_lost")[0]["reason"] == "nothing came in time"


def test_signs_of_life_keep_a_stream_of_news(bench: Bench) -> None:
    source = Broadcaster(bench, [b"{}"])
    start_news(bench, source)
    for _ in range(6):
        bench.pass_us(QUICK.news_silence_us // 2)
        source.feed.append(b"{}")
    bench.pass_us(QUICK.news_silence_us // 2)
    assert source.stand_in.connections == 1


def test_news_without_shape_asks_for_a_fresh_snapshot(bench: Bench) -> None:
    """What it should have told is lost, so the stream that brought it can't be gone on with."""
    source = Broadcaster(bench, [joined(0), b"{}", b'{"type":"jo'], [joined(1), b"{}"])
    start_news(bench, source)
    bench.until(lambda: ProxyLeft(0) in bench.module.events)
    assert source.stand_in.connections == 2


def test_news_that_can_not_be_used_is_skipped(bench: Bench) -> None:
    source = Broadcaster(bench, [b'{"type":"sung","object":{}}', joined(99), joined(2), b"{}"])
    start_news(bench, source)
    bench.until(lambda: ProxyJoined(2, "east", 2.0, True) in bench.module.events)
    assert bench.counters["relay_bad_messages"] == 2
    assert source.stand_in.connections == 1


def test_bindings_of_a_proxy_that_left_are_dropped(bench: Bench) -> None:
    outbox = outbox_of(UseTable(0, 0, ()), SET)
    source = Broadcaster(bench, [joined(0), b"{}", left(0)])
    start_news(bench, source, outbox)
    bench.until(lambda: ProxyLeft(0) in bench.module.events)
    assert outbox.begin() == [SET]


def test_an_answer_to_a_merged_mark_answers_the_earlier_ones_too(bench: Bench) -> None:
    outbox = outbox_of(SET, Mark(4, False))
    outbox.add([USE, Mark(5, True)])
    assert outbox.begin()[-1] == Mark(5, True, (4,))
    outbox.taken(3)
    bench.asked(4, 5)
    source = Broadcaster(bench, [joined(3), b"{}", applied(3, 5)])
    start_news(bench, source, outbox)
    bench.until(lambda: OrdersApplied(3, 5, 1500) in bench.module.events)
    assert bench.module.events[-2:] == [OrdersApplied(3, 4, 1500), OrdersApplied(3, 5, 1500)]


def test_news_moves_without_a_gap_and_lets_go_of_the_old_streams(bench: Bench) -> None:
    """Nobody is told to have left or joined, so no proxy is bound anew."""
    snapshot = [joined(0), joined(1), b"{}"]
    old, new = Broadcaster(bench, snapshot, snapshot), Broadcaster(bench, snapshot, snapshot)
    reader = NewsReader(bench.parts, old.stand_in.address, outbox_of(), Signal())
    for stream in reader.streams():
        bench.loop.start("news", reader.run(stream))
    bench.until(lambda: old.stand_in.connections == 2 and len(bench.module.events) == 3)
    reader.move(new.stand_in.address)
    for stream in reader.streams():
        bench.loop.start("news", reader.run(stream))
    bench.until(lambda: len(bench.log.named("news_open")) == 4)
    bench.pass_us(5 * MS)
    assert bench.log.named("news_lost") == []
    for _ in range(4):
        old.feed += [b"{}"]
        bench.pass_us(5 * MS)
    assert [line["reason"] for line in bench.log.named("news_lost")] == ["moved", "moved"]
    new.feed += [left(1)]
    bench.until(lambda: ProxyLeft(1) in bench.module.events)
    assert len(bench.module.events) == 4
    assert old.stand_in.connections == 2

"""The relay's event streams: snapshots, gaps, silence and moves to another address."""

from __future__ import annotations

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import BindProxy, Checkpoint
from kelpcourse.policy.events import OrdersAcknowledged, ProxyJoined, ProxyLeft
from kelpcourse.wire.loop import Signal
from kelpcourse.wire.relay_events import RelayEventStreams
from tests.relays import SET, USE, Broadcaster, applied, joined, left, outbox_of
from tests.standins import MS, QUICK, Bench


def start_news(
    bench: Bench, source: Broadcaster, outbox: OrderQueue | None = None, streams: int = 1
) -> None:
    reader = RelayEventStreams(
        bench.runtime,
        source.stand_in.address,
        outbox if outbox is not None else outbox_of(),
        Signal(),
    )
    for stream in range(streams):
        bench.loop.start("news", reader.run(stream))


def test_news_reaches_the_module(bench: Bench) -> None:
    source = Broadcaster(bench, [joined(0), joined(1), b"{}"])
    start_news(bench, source)
    bench.asked(905)
    source.feed += [applied(1, 905), applied(1, 906), left(0)]
    bench.until(lambda: ProxyLeft(0) in bench.module.events)
    assert bench.module.events[1:] == [
        ProxyJoined(0, "east", 2.0, True),
        ProxyJoined(1, "east", 2.0, True),
        OrdersAcknowledged(1, 905, 1500),
        ProxyLeft(0),
    ]


def test_after_a_gap_the_snapshot_is_reconciled(bench: Bench) -> None:
    """A proxy that stands in both may have left and come back, one that is missing has left."""
    source = Broadcaster(bench, [joined(0), joined(1), b"{}"], [joined(1), joined(2), b"{}"])
    start_news(bench, source)
    bench.until(lambda: len(bench.module.events) == 3)
    source.hang_up = True
    bench.until(lambda: ProxyLeft(0) in bench.module.events)
    assert bench.module.events[3:] == [
        ProxyJoined(1, "east", 2.0, True),
        ProxyJoined(2, "east", 2.0, True),
        ProxyLeft(0),
    ]
    assert len(bench.log.named("event_stream_lost")) == 1


def test_a_stream_that_breaks_beside_another_leaves_no_gap(bench: Bench) -> None:
    source = Broadcaster(bench, *([joined(0), joined(1), b"{}"] for _ in range(3)))
    start_news(bench, source, streams=2)
    bench.until(lambda: source.stand_in.connections == 2 and len(bench.module.events) == 3)
    bench.asked(5)
    source.feed += [b"{}", b"{}", b"{}", applied(0, 5)]
    bench.until(lambda: OrdersAcknowledged(0, 5, 1500) in bench.module.events)
    bench.pass_us(5 * MS)
    source.hang_up = True
    bench.until(lambda: source.stand_in.connections == 3)
    source.feed += [left(1), b"{}"]
    bench.until(lambda: ProxyLeft(1) in bench.module.events)
    bench.pass_us(5 * MS)
    assert bench.module.events[3:] == [OrdersAcknowledged(0, 5, 1500), ProxyLeft(1)]
    assert bench.log.named("event_stream_lost")[0]["synchronised"] is True


def test_silence_ends_a_stream_of_news(bench: Bench) -> None:
    source = Broadcaster(bench, [joined(0), b"{}"], [joined(0), b"{}"])
    start_news(bench, source)
    bench.until(lambda: source.stand_in.connections == 2)
    assert bench.log.named("event_stream_lost")[0]["reason"] == "nothing came in time"


def test_signs_of_life_keep_a_stream_of_news(bench: Bench) -> None:
    source = Broadcaster(bench, [b"{}"])
    start_news(bench, source)
    for _ in range(6):
        bench.pass_us(QUICK.event_stream_silence_us // 2)
        source.feed.append(b"{}")
    bench.pass_us(QUICK.event_stream_silence_us // 2)
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
    assert bench.counters["relay_messages_rejected"] == 2
    assert source.stand_in.connections == 1


def test_bindings_of_a_proxy_that_left_are_dropped(bench: Bench) -> None:
    outbox = outbox_of(BindProxy(0, 0, ()), SET)
    source = Broadcaster(bench, [joined(0), b"{}", left(0)])
    start_news(bench, source, outbox)
    bench.until(lambda: ProxyLeft(0) in bench.module.events)
    assert outbox.begin_call() == [SET]


def test_an_answer_to_a_merged_mark_answers_the_earlier_ones_too(bench: Bench) -> None:
    outbox = outbox_of(SET, Checkpoint(4, False))
    outbox.add([USE, Checkpoint(5, True)])
    assert outbox.begin_call()[-1] == Checkpoint(5, True, (4,))
    outbox.accept(3)
    bench.asked(4, 5)
    source = Broadcaster(bench, [joined(3), b"{}", applied(3, 5)])
    start_news(bench, source, outbox)
    bench.until(lambda: OrdersAcknowledged(3, 5, 1500) in bench.module.events)
    assert bench.module.events[-2:] == [
        OrdersAcknowledged(3, 4, 1500),
        OrdersAcknowledged(3, 5, 1500),
    ]


def test_news_moves_without_a_gap_and_lets_go_of_the_old_streams(bench: Bench) -> None:
    """Nobody is told to have left or joined, so no proxy is bound anew."""
    snapshot = [joined(0), joined(1), b"{}"]
    old, new = Broadcaster(bench, snapshot, snapshot), Broadcaster(bench, snapshot, snapshot)
    reader = RelayEventStreams(bench.runtime, old.stand_in.address, outbox_of(), Signal())
    for stream in reader.streams():
        bench.loop.start("news", reader.run(stream))
    bench.until(lambda: old.stand_in.connections == 2 and len(bench.module.events) == 3)
    reader.reconnect_to(new.stand_in.address)
    for stream in reader.streams():
        bench.loop.start("news", reader.run(stream))
    bench.until(lambda: len(bench.log.named("event_stream_opened")) == 4)
    bench.pass_us(5 * MS)
    assert bench.log.named("event_stream_lost") == []
    for _ in range(4):
        old.feed += [b"{}"]
        bench.pass_us(5 * MS)
    assert [line["reason"] for line in bench.log.named("event_stream_lost")] == ["moved", "moved"]
    new.feed += [left(1)]
    bench.until(lambda: ProxyLeft(1) in bench.module.events)
    assert len(bench.module.events) == 4
    assert old.stand_in.connections == 2

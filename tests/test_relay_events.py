"""The relay's event streams: snapshots, gaps, silence and a new address."""

from __future__ import annotations

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import BindProxy, Checkpoint
from kelpcourse.policy.events import OrdersAcknowledged, ProxyJoined, ProxyLeft
from kelpcourse.wire.loop import Signal
from kelpcourse.wire.relay_events import RelayEventStreams
from tests.relays import BIND, SET_WEIGHT, EventBroadcaster, applied, joined, left, order_queue_of
from tests.standins import FAST_LIMITS, MS, Bench


def start_streams(
    bench: Bench, source: EventBroadcaster, orders: OrderQueue | None = None, streams: int = 1
) -> None:
    reader = RelayEventStreams(
        bench.runtime,
        source.server.address,
        orders if orders is not None else order_queue_of(),
        Signal(),
    )
    for stream in range(streams):
        bench.loop.start("events", reader.run(stream))


def test_events_reach_the_policy(bench: Bench) -> None:
    source = EventBroadcaster(bench, [joined(0), joined(1), b"{}"])
    start_streams(bench, source)
    bench.order_checkpoints(905)
    source.lines += [applied(1, 905), applied(1, 906), left(0)]
    bench.until(lambda: ProxyLeft(0) in bench.policy.events)
    assert bench.policy.events[1:] == [
        ProxyJoined(0, "east", 2.0, True),
        ProxyJoined(1, "east", 2.0, True),
        OrdersAcknowledged(1, 905, 1500),
        ProxyLeft(0),
    ]


def test_after_a_gap_the_snapshot_is_reconciled(bench: Bench) -> None:
    """A proxy in both snapshots may have left and rejoined; one that is missing from the second has left."""
    source = EventBroadcaster(bench, [joined(0), joined(1), b"{}"], [joined(1), joined(2), b"{}"])
    start_streams(bench, source)
    bench.until(lambda: len(bench.policy.events) == 3)
    source.disconnect_next = True
    bench.until(lambda: ProxyLeft(0) in bench.policy.events)
    assert bench.policy.events[3:] == [
        ProxyJoined(1, "east", 2.0, True),
        ProxyJoined(2, "east", 2.0, True),
        ProxyLeft(0),
    ]
    assert len(bench.log.named("event_stream_lost")) == 1


def test_loss_of_one_of_two_streams_causes_no_gap(bench: Bench) -> None:
    source = EventBroadcaster(bench, *([joined(0), joined(1), b"{}"] for _ in range(3)))
    start_streams(bench, source, streams=2)
    bench.until(lambda: source.server.connections == 2 and len(bench.policy.events) == 3)
    bench.order_checkpoints(5)
    source.lines += [b"{}", b"{}", b"{}", applied(0, 5)]
    bench.until(lambda: OrdersAcknowledged(0, 5, 1500) in bench.policy.events)
    bench.run_for_us(5 * MS)
    source.disconnect_next = True
    bench.until(lambda: source.server.connections == 3)
    source.lines += [left(1), b"{}"]
    bench.until(lambda: ProxyLeft(1) in bench.policy.events)
    bench.run_for_us(5 * MS)
    assert bench.policy.events[3:] == [OrdersAcknowledged(0, 5, 1500), ProxyLeft(1)]
    assert bench.log.named("event_stream_lost")[0]["synchronised"] is True


def test_silence_ends_a_stream(bench: Bench) -> None:
    source = EventBroadcaster(bench, [joined(0), b"{}"], [joined(0), b"{}"])
    start_streams(bench, source)
    bench.until(lambda: source.server.connections == 2)
    assert (
        bench.log.named("event_stream_lost")[0]["reason"] == "no data received before the deadline"
    )


def test_heartbeats_keep_a_stream_open(bench: Bench) -> None:
    source = EventBroadcaster(bench, [b"{}"])
    start_streams(bench, source)
    for _ in range(6):
        bench.run_for_us(FAST_LIMITS.event_stream_silence_us // 2)
        source.lines.append(b"{}")
    bench.run_for_us(FAST_LIMITS.event_stream_silence_us // 2)
    assert source.server.connections == 1


def test_a_line_that_is_not_json_leads_to_a_new_snapshot(bench: Bench) -> None:
    """The event in the line is lost, so the stream can't be continued."""
    source = EventBroadcaster(bench, [joined(0), b"{}", b'{"type":"jo'], [joined(1), b"{}"])
    start_streams(bench, source)
    bench.until(lambda: ProxyLeft(0) in bench.policy.events)
    assert source.server.connections == 2


def test_an_invalid_event_is_skipped(bench: Bench) -> None:
    source = EventBroadcaster(bench, [b'{"type":"sung","object":{}}', joined(99), joined(2), b"{}"])
    start_streams(bench, source)
    bench.until(lambda: ProxyJoined(2, "east", 2.0, True) in bench.policy.events)
    assert bench.counters["relay_messages_rejected"] == 2
    assert source.server.connections == 1


def test_bindings_of_a_proxy_that_left_are_dropped(bench: Bench) -> None:
    orders = order_queue_of(BindProxy(0, 0, ()), SET_WEIGHT)
    source = EventBroadcaster(bench, [joined(0), b"{}", left(0)])
    start_streams(bench, source, orders)
    bench.until(lambda: ProxyLeft(0) in bench.policy.events)
    assert orders.begin_call() == [SET_WEIGHT]


def test_an_acknowledgement_covers_superseded_checkpoints(bench: Bench) -> None:
    orders = order_queue_of(SET_WEIGHT, Checkpoint(4, False))
    orders.add([BIND, Checkpoint(5, True)])
    assert orders.begin_call()[-1] == Checkpoint(5, True, (4,))
    orders.accept(3)
    bench.order_checkpoints(4, 5)
    source = EventBroadcaster(bench, [joined(3), b"{}", applied(3, 5)])
    start_streams(bench, source, orders)
    bench.until(lambda: OrdersAcknowledged(3, 5, 1500) in bench.policy.events)
    assert bench.policy.events[-2:] == [
        OrdersAcknowledged(3, 4, 1500),
        OrdersAcknowledged(3, 5, 1500),
    ]


def test_streams_reconnect_without_a_gap_and_close_the_old_ones(bench: Bench) -> None:
    """No proxy is reported as left or joined, so none is bound again."""
    snapshot = [joined(0), joined(1), b"{}"]
    old, new = (
        EventBroadcaster(bench, snapshot, snapshot),
        EventBroadcaster(bench, snapshot, snapshot),
    )
    reader = RelayEventStreams(bench.runtime, old.server.address, order_queue_of(), Signal())
    for stream in reader.streams():
        bench.loop.start("events", reader.run(stream))
    bench.until(lambda: old.server.connections == 2 and len(bench.policy.events) == 3)
    reader.reconnect_to(new.server.address)
    for stream in reader.streams():
        bench.loop.start("events", reader.run(stream))
    bench.until(lambda: len(bench.log.named("event_stream_opened")) == 4)
    bench.run_for_us(5 * MS)
    assert bench.log.named("event_stream_lost") == []
    for _ in range(4):
        old.lines += [b"{}"]
        bench.run_for_us(5 * MS)
    assert [line["reason"] for line in bench.log.named("event_stream_lost")] == ["moved", "moved"]
    new.lines += [left(1)]
    bench.until(lambda: ProxyLeft(1) in bench.policy.events)
    assert len(bench.policy.events) == 4
    assert old.server.connections == 2

"""Acceptance, timeouts, eviction and memory limits of client connections."""

from __future__ import annotations

import errno
import socket
from dataclasses import replace

import pytest

from kelpcourse.service.controller import bind_listener
from kelpcourse.wire.listener import Listener
from tests.listening import (
    DEMAND_REPORT,
    ListenerRig,
    is_closed_after,
    received,
    received_until_closed,
    send_available,
)
from tests.standins import FAST_LIMITS, MS, SHORT_IDLE_LIMITS, Bench


def test_a_line_over_the_limit_disconnects_only_its_client(bench: Bench) -> None:
    bench.runtime = replace(bench.runtime, limits=replace(FAST_LIMITS, max_line_bytes=64 << 10))
    listener_rig = ListenerRig(bench)
    sending_endlessly, unaffected = listener_rig.collector(), listener_rig.collector()
    assert any(
        is_closed_after(bench, sending_endlessly, b"heard" + b" x=" * 1400) for _ in range(2000)
    )
    unaffected.sendall(DEMAND_REPORT)
    bench.until(listener_rig.reports)
    assert received(unaffected) is None
    listener_rig.close()


def test_silent_clients_are_refused_before_collectors_time_out(
    short_timeout_listener_rig: ListenerRig,
) -> None:
    listener_rig = short_timeout_listener_rig
    client, collector = listener_rig.connect(), listener_rig.collector()
    listener_rig.bench.run_for_us(SHORT_IDLE_LIMITS.handshake_timeout_us + 20 * MS)
    assert received(client) == b"refused\r\n"
    assert received(collector) is None
    listener_rig.bench.run_for_us(SHORT_IDLE_LIMITS.collector_idle_us)
    assert received(collector) == b""


@pytest.mark.parametrize("sent", [b"", b"ping\r\n"], ids=["immediately", "after a ping"])
def test_an_incomplete_line_does_not_extend_the_handshake_timeout(
    short_timeout_listener_rig: ListenerRig, sent: bytes
) -> None:
    """The timeout runs from the connection or from the first byte of the message, not from the latest byte."""
    listener_rig = short_timeout_listener_rig
    peer = listener_rig.connect()
    send_available(peer, sent)
    for _ in range(20):
        send_available(peer, b"x")
        listener_rig.bench.run_for_us(SHORT_IDLE_LIMITS.handshake_timeout_us // 10)
    assert b"refused" in received_until_closed(peer)


def test_a_client_that_pings_stays_until_its_idle_timeout(
    short_timeout_listener_rig: ListenerRig,
) -> None:
    listener_rig = short_timeout_listener_rig
    peer = listener_rig.connect()
    for _ in range(3):
        send_available(peer, b"ping\r\n")
        listener_rig.bench.run_for_us(SHORT_IDLE_LIMITS.handshake_timeout_us + 20 * MS)
        assert received(peer) == b"pong\r\n"
    listener_rig.bench.run_for_us(SHORT_IDLE_LIMITS.ping_client_idle_us)
    assert received(peer) == b"refused\r\n"


def test_unauthenticated_client_has_a_small_read_buffer(listener_rig: ListenerRig) -> None:
    for _ in range(50):
        send_available(listener_rig.connect(), b"colle")
    listener_rig.bench.until(lambda: listener_rig.bench.counters["bytes_in"] == 250)
    assert (
        listener_rig.bench.counters["max_read_buffer_bytes"]
        == 50 * FAST_LIMITS.max_unauthenticated_bytes
    )


def test_a_new_connection_is_not_evicted_for_later_ones(bench: Bench) -> None:
    """It may be a collector among many clients, whose first line has not arrived yet."""
    bench.runtime = replace(bench.runtime, limits=replace(FAST_LIMITS, max_connections=8))
    listener_rig = ListenerRig(bench)
    for _ in range(20):
        listener_rig.connect()
    collector = listener_rig.connect()
    for _ in range(20):
        listener_rig.connect()
    bench.until(lambda: bench.counters["connections"] >= 21)
    collector.sendall(b"collector az=east\r\n" + DEMAND_REPORT)
    bench.until(listener_rig.reports)
    bench.until(lambda: bench.counters["connections"] == 41)
    assert received(collector) is None
    listener_rig.close()


def test_silent_connections_are_evicted_before_collectors(bench: Bench) -> None:
    bench.runtime = replace(bench.runtime, limits=replace(FAST_LIMITS, max_connections=8))
    listener_rig = ListenerRig(bench)
    collector = listener_rig.collector()
    for _ in range(100):
        listener_rig.connect()
        bench.run_round()
    bench.until(lambda: bench.counters["connections_evicted"] == 100 + 1 - 8)
    collector.sendall(DEMAND_REPORT)
    bench.until(listener_rig.reports)
    assert len(bench.loop) <= 8 + 1
    listener_rig.close()


class FailingAccept:
    """Makes `accept` fail with EMFILE a given number of times."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, times: int) -> None:
        self.remaining = times
        original = socket.socket.accept

        def accept(sock: socket.socket) -> tuple[socket.socket, object]:
            if self.remaining:
                self.remaining -= 1
                raise OSError(errno.EMFILE, "too many open files")
            return original(sock)

        monkeypatch.setattr(socket.socket, "accept", accept)


def test_without_descriptors_the_longest_silent_client_is_evicted(
    listener_rig: ListenerRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    collector, client = listener_rig.collector(), listener_rig.connect()
    listener_rig.bench.run_for_us(FAST_LIMITS.accept_retry_us)
    FailingAccept(monkeypatch, 1)
    later = listener_rig.connect()
    later.sendall(b"collector az=east\r\n" + DEMAND_REPORT)
    listener_rig.bench.until(listener_rig.reports)
    assert received(client) == b""
    assert received(collector) is None


def test_without_descriptors_or_connections_the_new_one_is_rejected(
    listener_rig: ListenerRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The spare descriptor is released for it; otherwise the listener would be woken repeatedly without progress."""
    FailingAccept(monkeypatch, 1)
    rejected = listener_rig.connect()
    listener_rig.bench.until(lambda: listener_rig.bench.counters["connections_evicted"] == 1)
    assert received(rejected) == b""
    listener_rig.collector().sendall(DEMAND_REPORT)
    listener_rig.bench.until(listener_rig.reports)


def test_read_buffers_are_bounded_in_total(bench: Bench) -> None:
    bench.runtime = replace(
        bench.runtime, limits=replace(FAST_LIMITS, max_read_buffers_bytes=256 << 10)
    )
    listener_rig = ListenerRig(bench)
    peers = [listener_rig.collector() for _ in range(12)]
    for _ in range(20):
        for peer in peers:
            send_available(peer, b"heard" + b" x=" * 2700)
        bench.run_round()
    bench.run_for_us(20 * MS)
    ended = bench.log.named("connection_broken")
    assert any("exceed their total limit" in str(line["reason"]) for line in ended)
    assert bench.counters["max_read_buffer_bytes"] <= 2 * (256 << 10)
    listener_rig.close()


def test_connection_made_before_the_loop_runs_is_served(bench: Bench) -> None:
    """The address was bound as a test and closed again, which reset connections made in between."""
    listener_rig = ListenerRig(bench)
    bench.loop.stop(listener_rig.task)
    sock = bind_listener(listener_rig.address)
    assert sock is not None
    early = listener_rig.connect()
    early.sendall(b"ping\r\n")
    bench.loop.start("listener", Listener(bench.runtime, listener_rig.address, sock).run())
    bench.until(lambda: received(early) == b"pong\r\n")
    listener_rig.close()


def test_an_address_in_use_is_retried(bench: Bench) -> None:
    occupying = socket.create_server(("127.0.0.1", 0))
    address = occupying.getsockname()
    bench.loop.start("listener", Listener(bench.runtime, address).run())
    bench.until(lambda: len(bench.log.named("address_in_use")) >= 2)
    occupying.close()
    bench.until(lambda: bench.log.named("ready"))
    peer = socket.create_connection(address)
    peer.close()

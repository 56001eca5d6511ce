"""Lines of report collectors and of unauthenticated clients."""

from __future__ import annotations

import socket

import pytest

from kelpcourse.policy.events import DemandReport, EndpointReport
from tests.listening import (
    DEMAND_REPORT,
    ENDPOINT_REPORT,
    ListenerRig,
    is_closed_after,
    received,
    received_until_closed,
)
from tests.standins import MS


def test_reports_reach_the_policy_and_nothing_is_written_back(listener_rig: ListenerRig) -> None:
    peer = listener_rig.connect()
    peer.sendall(b"collector az=east\r\n" + ENDPOINT_REPORT + DEMAND_REPORT)
    listener_rig.bench.until(lambda: len(listener_rig.reports()) == 2)
    assert listener_rig.reports() == [
        EndpointReport(1, "east", 212, 3, 1_000_000, 41_700, (("inflight", 7.0), ("util", 0.61))),
        DemandReport(2, 0, 19, 0, 1_000_000),
    ]
    assert received(peer) is None


def test_reports_that_arrive_together_are_one_step(listener_rig: ListenerRig) -> None:
    one, other = listener_rig.collector(), listener_rig.collector()
    listener_rig.bench.run_for_us(5 * MS)
    steps = len(listener_rig.bench.policy.steps)
    one.sendall(ENDPOINT_REPORT * 40)
    other.sendall(DEMAND_REPORT * 40)
    listener_rig.bench.until(lambda: len(listener_rig.reports()) == 80)
    assert len(listener_rig.bench.policy.steps) == steps + 1


def test_message_received_in_single_bytes_is_one_message(listener_rig: ListenerRig) -> None:
    peer = listener_rig.connect()
    for byte in b"collector az=east\r\n" + ENDPOINT_REPORT:
        peer.sendall(bytes([byte]))
        listener_rig.bench.run_round()
    listener_rig.bench.until(listener_rig.reports)
    assert len(listener_rig.reports()) == 1


def test_ping_is_answered_on_any_connection(listener_rig: ListenerRig) -> None:
    peer = listener_rig.connect()
    peer.sendall(b"ping\r\nping\r\n")
    answer = b""
    while len(answer) < 12:
        listener_rig.bench.run_round()
        answer += received(peer) or b""
    assert answer == b"pong\r\npong\r\n"


@pytest.mark.parametrize(
    "line",
    [
        b"what is=this",
        b"heard az=east",
        b"heard az=east host=h1 n=-1 bad=0 avg=1 window=1",
        b"heard az=east host=h1 n=5 bad=9 avg=1 window=1",
        b"heard az=west1 host=h1 n=1 bad=0 avg=1 window=1",
        b"heard az=east host=never n=1 bad=0 avg=1 window=1",
        b"heard az=east host=h1 n=1 bad=0 avg=nan window=1",
        b"heard az=east host=h1 n=1 bad=0 avg=1 window=inf",
        b"heard az=east host=h1 n=1 bad=0 avg=1 window=1 report=inflight",
        b"usage sidecar=2 kind=sing n=1 bad=0 window=1",
        b"usage sidecar=4 kind=read n=1 bad=0 window=1",
        b"usage sidecar=2 kind=read n=1e3 bad=0 window=1",
        b"usage sidecar=2 kind=read n=1 bad",
        b"heard az=east host=h1 n=5 n=6 bad=0 avg=1 window=1000",
        b"heard az=east host=h1 n=5 bad=1 window=1000",
        b"heard az=east host=h1 n=5 bad=1 avg=38654705664 window=1000",
        b"heard az=east host=h1 n=38654705664 bad=1 avg=1 window=1000",
        b"heard az=east host=h1 n=5 bad=1 avg=1 window=38654705664",
        b"heard az=east host=h1 n=5 bad=1 avg=1 window=0",
        b"heard az=west host=h1 n=5 bad=1 avg=1 window=1000",
        b"heard az=east host=h1 n=[1] bad=1 avg=1 window=1000",
        b"usage sidecar=2 kind=read n=38654705664 bad=0 window=1000",
        b"usage sidecar=2 kind=read n=1 bad=38654705664 window=1000",
        b"usage sidecar=-3 kind=read n=1 bad=0 window=1000",
        b"collector az=nowhere",
        b"collector az=west",
    ],
)
def test_an_invalid_message_of_a_collector_is_counted_and_skipped(
    listener_rig: ListenerRig, line: bytes
) -> None:
    peer = listener_rig.collector()
    peer.sendall(ENDPOINT_REPORT + line + b"\r\n" + DEMAND_REPORT)
    listener_rig.bench.until(lambda: len(listener_rig.reports()) == 2)
    assert listener_rig.bench.counters["collector_messages_rejected"] == 1
    assert len(listener_rig.bench.log.named("message_rejected")) == 1
    assert received(peer) is None


def test_a_report_of_only_failures_has_no_mean_time(listener_rig: ListenerRig) -> None:
    listener_rig.collector().sendall(b"heard az=east host=h1 n=3 bad=3 window=1000\r\n")
    listener_rig.bench.until(listener_rig.reports)
    assert listener_rig.reports() == [EndpointReport(1, "east", 3, 3, 1_000_000, 0, ())]


@pytest.mark.parametrize(
    "rest",
    [
        b"\xe9\x81\xc5\xa5\xcf" * 9,
        b"\xff\xfe\r\n",
        b"heard az=\xff\r\n",
        b"\x00\x01heard",
        b"GET / HTTP/1.1\r\n",
        b"heard az=east \x07\r\n",
        b"=" * 50,
        b"7f 7f\r\n",
    ],
    ids=repr,
)
def test_a_malformed_line_disconnects_only_its_collector(
    listener_rig: ListenerRig, rest: bytes
) -> None:
    """Valid lines before it are handled. The controller does not wait for its end, because it may never end."""
    peer, other = listener_rig.collector(), listener_rig.collector()
    peer.sendall(ENDPOINT_REPORT + rest)
    listener_rig.bench.until(lambda: listener_rig.bench.counters["collectors_disconnected"])
    assert received(peer) == b""
    other.sendall(DEMAND_REPORT)
    listener_rig.bench.until(lambda: len(listener_rig.reports()) == 2)


@pytest.mark.parametrize(
    "sent",
    [
        b"\xe9\x81\xc5\xa5\xcf",
        b"GET / HTTP/1.1\r\n",
        b"x" * 4096,
        ENDPOINT_REPORT,
        DEMAND_REPORT,
        b'{"orders":[]}\r\n',
        b"joined sidecar=1 az=east share=2 standing=1\r\n",
        b"collector az=nowhere\r\n",
        b"collector az=\r\n",
        b"update rows=1\r\n",
        b"\r\n",
        b"ping\r\n" + ENDPOINT_REPORT,
        b"\xff\xff\xff\xff\x00\x00",
    ],
    ids=repr,
)
def test_an_unauthenticated_client_is_refused_at_once(
    listener_rig: ListenerRig, sent: bytes
) -> None:
    """None of its reports reaches the policy, even if it has pinged."""
    client = listener_rig.connect()
    client.sendall(sent)
    listener_rig.bench.until(lambda: listener_rig.bench.counters["clients_rejected"])
    assert b"refused\r\n" in received_until_closed(client)
    assert listener_rig.reports() == []


def test_an_incomplete_line_before_a_reset_is_dropped(listener_rig: ListenerRig) -> None:
    peer = listener_rig.collector()
    peer.sendall(ENDPOINT_REPORT[:30])
    listener_rig.bench.run_for_us(3 * MS)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    peer.close()
    other = listener_rig.collector()
    other.sendall(DEMAND_REPORT)
    listener_rig.bench.until(listener_rig.reports)
    assert len(listener_rig.reports()) == 1


def test_a_client_that_does_not_read_its_pongs_is_disconnected(listener_rig: ListenerRig) -> None:
    reader = listener_rig.connect()
    reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    assert any(is_closed_after(listener_rig.bench, reader, b"ping\r\n" * 2000) for _ in range(400))
    listener_rig.collector().sendall(DEMAND_REPORT)
    listener_rig.bench.until(listener_rig.reports)


def test_complete_line_before_a_close_is_handled(listener_rig: ListenerRig) -> None:
    """A complete line that was read is handled, even if the connection closes in the same round."""
    peer = listener_rig.collector()
    peer.sendall(ENDPOINT_REPORT)
    peer.close()
    listener_rig.bench.until(lambda: listener_rig.reports())
    assert len(listener_rig.reports()) == 1

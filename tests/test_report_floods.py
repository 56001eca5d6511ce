"""Report collectors that send without pause, with very many fields or in very small pieces."""

from __future__ import annotations

import pytest

from kelpcourse.wire.errors import InvalidMessageError, MalformedLineError
from kelpcourse.wire.report_codec import (
    MAX_FIELDS,
    MAX_LOAD_VALUES,
    check_partial_line,
    decode_line,
)
from tests.listening import DEMAND_REPORT, ListenerRig, send_available
from tests.standins import FAST_LIMITS

REPORT = "heard az=east host=h1 n=1 bad=0 avg=1.0 window=1000"


def test_a_ping_does_not_wait_for_all_lines_of_another_client(listener_rig: ListenerRig) -> None:
    """Guards against pongs that are late while a collector whose buffer has grown sends without pause."""
    flooding, client = listener_rig.collector(), listener_rig.connect()
    client.sendall(b"ping\r\n")
    line_count = 40_000 // len(DEMAND_REPORT)
    data = b"heard " + b"x" * 60_000 + b"\r\n" + DEMAND_REPORT * line_count
    while data:
        sent = flooding.send(data)
        data = data[sent:]
        listener_rig.bench.run_round()
    counters = listener_rig.bench.counters
    listener_rig.bench.until(lambda: counters["demand_reports"])
    for _ in range(4):
        handled = counters["demand_reports"]
        listener_rig.bench.run_round()
        assert counters["demand_reports"] - handled <= FAST_LIMITS.max_lines_per_turn
    listener_rig.bench.until(lambda: counters["demand_reports"] == line_count)
    assert send_available(flooding, DEMAND_REPORT)
    listener_rig.bench.until(lambda: counters["demand_reports"] == line_count + 1)


def test_a_message_with_very_many_fields_is_rejected_before_they_are_read() -> None:
    """Guards against memory and time that thousands of short fields take."""
    accepted = " ".join(f"x{k}=1" for k in range(MAX_FIELDS - 6))
    assert decode_line(memoryview(f"{REPORT} {accepted}".encode()))
    with pytest.raises(InvalidMessageError, match=f"more than {MAX_FIELDS} fields"):
        decode_line(memoryview(f"{REPORT} {accepted} y=1".encode()))


def test_a_load_report_with_very_many_values_is_rejected() -> None:
    values = ",".join(f"x{k}:1" for k in range(MAX_LOAD_VALUES))
    assert decode_line(memoryview(f"{REPORT} report={values}".encode()))
    with pytest.raises(InvalidMessageError, match=f"more than {MAX_LOAD_VALUES} values"):
        decode_line(memoryview(f"{REPORT} report={values},y:1".encode()))


def test_each_byte_of_a_long_line_is_checked_once() -> None:
    """Guards against a long line in small pieces that is read again for each of them."""
    line = "heard az=é€𝄞 ".encode() * 20
    checked = 0
    for end in range(1, len(line) + 1):
        before = checked
        checked = check_partial_line(memoryview(line)[:end], checked)
        assert end - 3 <= checked <= end  # all but an incomplete character
        assert checked >= before
    assert checked == len(line)


@pytest.mark.parametrize("checked", [0, 6, 12])
def test_bytes_that_are_not_utf_8_are_rejected_in_later_pieces(checked: int) -> None:
    with pytest.raises(MalformedLineError, match="not UTF-8"):
        check_partial_line(memoryview(b"heard az=abc\xff"), checked)


def test_lines_after_a_partial_one_are_checked_from_their_start(listener_rig: ListenerRig) -> None:
    collector = listener_rig.collector()
    collector.sendall(b"heard az=east " + b"x" * 2_000)
    listener_rig.bench.run_for_us(2_000)
    collector.sendall(b"\r\n\xff\xff\xff")
    listener_rig.bench.until(lambda: listener_rig.bench.counters["collectors_disconnected"])

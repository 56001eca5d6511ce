"""Log: one JSON line per event, at a bounded rate per event name, and without blocking the controller."""

from __future__ import annotations

import os
from collections.abc import Iterator

import orjson
import pytest

from kelpcourse.memory.counters import Counters
from kelpcourse.service.logs import Log
from tests.standins import FAST_LIMITS, FakeClock


class LogPipe:
    def __init__(self) -> None:
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)
        os.set_blocking(self.write_end, False)
        self.clock, self.counters = FakeClock(), Counters()
        self.log = Log(self.clock, FAST_LIMITS, self.counters, "n1", self.write_end)

    def lines(self) -> list[dict[str, object]]:
        return [orjson.loads(line) for line in os.read(self.read_end, 1 << 20).splitlines()]


@pytest.fixture
def pipe() -> Iterator[LogPipe]:
    log_pipe = LogPipe()
    yield log_pipe
    os.close(log_pipe.read_end)
    os.close(log_pipe.write_end)


def test_an_event_is_one_json_line(pipe: LogPipe) -> None:
    pipe.log.event("endpoints_updated", version=3, text="two\nlines")
    assert pipe.lines() == [
        {"t": 1.0, "event": "endpoints_updated", "node": "n1", "version": 3, "text": "two\nlines"}
    ]


def test_frequent_events_are_suppressed_and_counted(pipe: LogPipe) -> None:
    for _ in range(1000):
        pipe.log.event("message_rejected")
    pipe.log.event("other")
    assert len(pipe.lines()) == FAST_LIMITS.log_burst_lines + 1
    assert pipe.counters["log_lines_suppressed"] == 1000 - FAST_LIMITS.log_burst_lines
    pipe.clock.now += FAST_LIMITS.log_burst_window_us
    pipe.log.event("message_rejected")
    assert [line.get("suppressed") for line in pipe.lines()] == [
        1000 - FAST_LIMITS.log_burst_lines,
        None,
    ]


def test_a_long_line_is_cut_and_still_json(pipe: LogPipe) -> None:
    pipe.log.always("unexpected_error", error="x" * 100_000)
    (line,) = pipe.lines()
    assert line["event"] == "unexpected_error"
    assert len(str(line["cut"])) <= FAST_LIMITS.max_log_line_bytes


def test_a_slow_or_absent_reader_of_the_log_does_not_stop_the_controller(pipe: LogPipe) -> None:
    for _ in range(2000):
        pipe.log.always("counters", text="x" * 3000)
    assert pipe.counters["log_lines_lost"] > 0
    assert all(line["event"] == "counters" for line in pipe.lines())
    read_end, write_end = os.pipe()
    os.close(read_end)
    Log(pipe.clock, FAST_LIMITS, pipe.counters, "n1", write_end).always("stopped")
    os.close(write_end)

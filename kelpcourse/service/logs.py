"""Structured log: one JSON line per event, written to standard output at a bounded rate per event name."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters


@dataclass
class _Window:
    """Number of lines of one event since the start of a time window."""

    start_us: int
    lines: int = 0


class Log:
    """Writes events without blocking; lines that cannot be written are lost and counted."""

    def __init__(
        self,
        clock: Callable[[], int],
        limits: Limits,
        counters: Counters,
        node: str = "",
        fd: int = 1,
    ) -> None:
        """Initializes a log.

        Args:
            clock: Returns the Unix time in microseconds.
            limits: Sizes and rates of log lines.
            counters: Counters of lines that were suppressed or lost.
            node: Name of the controller, written in each line.
            fd: File descriptor to which lines are written.
        """
        self._clock = clock
        self._limits = limits
        self._counters = counters
        self._node = node
        self._fd = fd
        self._windows: dict[str, _Window] = {}  # current window of each event, by event name

    def event(self, name: str, **fields: object) -> None:
        """Writes an event that may be frequent. Lines above its burst limit are counted instead of written."""
        now_us = self._clock()
        window = self._windows.setdefault(name, _Window(now_us))
        if now_us - window.start_us >= self._limits.log_burst_window_us:
            if window.lines > self._limits.log_burst_lines:
                self._write(
                    now_us, name, {"suppressed": window.lines - self._limits.log_burst_lines}
                )
            window.start_us = now_us
            window.lines = 0
        window.lines += 1
        if window.lines <= self._limits.log_burst_lines:
            self._write(now_us, name, fields)
        else:
            self._counters.add("log_lines_suppressed")

    def always(self, name: str, **fields: object) -> None:
        """Writes a rare event, regardless of how many lines were written before."""
        self._write(self._clock(), name, fields)

    def _write(self, now_us: int, name: str, fields: dict[str, object]) -> None:
        head = {"t": round(now_us / 1e6, 6), "event": name, "node": self._node}
        line = _encode({**head, **fields})
        if len(line) > self._limits.max_log_line_bytes:
            cut = line[: self._limits.max_log_line_bytes // 4].decode("utf-8", "replace")
            line = _encode({**head, "cut": cut})
        try:
            os.write(self._fd, line)
        except OSError:  # the pipe is full, or its reader has closed it
            self._counters.add("log_lines_lost")


def _encode(record: dict[str, object]) -> bytes:
    return orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE)

"""The log: one JSON line an event on standard output, at a bounded rate for each event."""

from __future__ import annotations

import os
from collections.abc import Callable

import orjson

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters


class Log:
    def __init__(
        self,
        clock: Callable[[], int],
        limits: Limits,
        counters: Counters,
        node: str = "",
        fd: int = 1,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._counters = counters
        self._node = node
        self._fd = fd
        self._spans: dict[str, tuple[int, int]] = {}  # by event: start of its span and lines in it

    def event(self, name: str, **fields: object) -> None:
        """An event that may come often: beyond a burst its lines are counted and not written."""
        now = self._clock()
        start, lines = self._spans.get(name, (now, 0))
        if now - start >= self._limits.log_burst_window_us:
            if lines > self._limits.log_burst_lines:
                self._write(now, name, {"suppressed": lines - self._limits.log_burst_lines})
            start, lines = now, 0
        self._spans[name] = (start, lines + 1)
        if lines < self._limits.log_burst_lines:
            self._write(now, name, fields)
        else:
            self._counters.add("log_lines_suppressed")

    def always(self, name: str, **fields: object) -> None:
        """An event that comes seldom and is always written."""
        self._write(self._clock(), name, fields)

    def _write(self, now: int, name: str, fields: dict[str, object]) -> None:
        line = _encode({"t": round(now / 1e6, 6), "event": name, "node": self._node, **fields})
        if len(line) > self._limits.max_log_line_bytes:
            line = _encode(
                {
                    "t": round(now / 1e6, 6),
                    "event": name,
                    "node": self._node,
                    "cut": line[: self._limits.max_log_line_bytes // 4].decode("utf-8", "replace"),
                }
            )
        try:
            os.write(self._fd, line)
        except (
            BlockingIOError
        ):  # whoever reads the log is behind: lines are lost rather than the director
            self._counters.add("log_lines_lost")
        except OSError:  # nobody reads the log any more
            self._counters.add("log_lines_lost")


def _encode(record: dict[str, object]) -> bytes:
    return orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE)

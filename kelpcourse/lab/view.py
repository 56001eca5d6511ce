"""The demo on a terminal: a table that changes in place; plain lines where there is no terminal."""

from __future__ import annotations

import time
from collections import deque

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from kelpcourse.lab.story import Story, Summary, play

LINES = 14
FRAME_S = 0.25


class Terminal:
    def __init__(self, console: Console) -> None:
        self._live = Live(console=console, auto_refresh=False)
        self._lines: deque[str] = deque(maxlen=LINES)
        self._drawn = 0.0

    def say(self, text: str) -> None:
        self._lines.append(text)
        self._drawn = 0.0

    def draw(self, story: Story) -> None:
        if time.monotonic() - self._drawn < FRAME_S:
            return
        self._drawn = time.monotonic()
        table = Table("host", "room", "state", "board-read", "move-submit", "served")
        for host, room, state, reads, submits, served in story.table():
            style = "red" if state.startswith("gone") else ""
            table.add_row(
                host, room, state, f"{reads:.2f}", f"{submits:.2f}", str(served), style=style
            )
        self._live.update(Group(table, Text("\n".join(self._lines))), refresh=True)

    def run(self) -> Summary:
        with self._live:
            return play(self.say, on_turn=self.draw)


def summary_lines(summary: Summary) -> list[str]:
    lines = [
        f"requests sent by forwarders: {summary.picks}",
        f"removed by one update: {', '.join(summary.removed) or 'nothing'}",
        f"left by every forwarder after {summary.out_ms:.0f} ms, back after {summary.back_ms:.0f} ms",
        f"rules broken: {len(summary.breaks)}",
        *summary.breaks,
    ]
    if summary.failed:
        lines.append(f"failed: {summary.failed}")
    return [*lines, "all as it should be" if summary.good else "not as it should be"]


def demo() -> int:
    console = Console()
    began = time.monotonic()
    if console.is_terminal:
        summary = Terminal(console).run()
    else:
        summary = play(lambda text: print(f"{time.monotonic() - began:6.2f} s  {text}", flush=True))
    print(
        "\n".join(
            [
                "",
                "Hosts and requests are simulated; every message crossed a loopback socket.",
                *summary_lines(summary),
            ]
        )
    )
    return 0 if summary.good else 1

"""The demo on a terminal: a table that changes in place; plain lines where there is no terminal."""

from __future__ import annotations

import time
from collections import deque

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from kelpcourse.lab.config import READ, SUBMIT
from kelpcourse.lab.scenario import Scenario, Summary, play

SHOWN_LINES = 14
FRAME_S = 0.25


class TerminalView:
    """A table of the endpoints, and the last lines under it."""

    def __init__(self, console: Console) -> None:
        """Draws on `console`."""
        self._live = Live(console=console, auto_refresh=False)
        self._lines: deque[str] = deque(maxlen=SHOWN_LINES)
        self._drawn_s = 0.0

    def say(self, text: str) -> None:
        """Adds a line; the next turn draws it."""
        self._lines.append(text)
        self._drawn_s = 0.0

    def draw(self, scenario: Scenario) -> None:
        """Draws the table and the lines, unless the last frame is recent."""
        if time.monotonic() - self._drawn_s < FRAME_S:
            return
        self._drawn_s = time.monotonic()
        table = Table("host", "room", "state", READ, SUBMIT, "served")
        for row in scenario.rows():
            table.add_row(
                row.name,
                row.room,
                row.state,
                f"{row.read_share:.2f}",
                f"{row.submit_share:.2f}",
                str(row.served),
                style="red" if row.state.startswith("gone") else "",
            )
        self._live.update(Group(table, Text("\n".join(self._lines))), refresh=True)

    def run(self) -> Summary:
        """Plays the scenario."""
        with self._live:
            return play(self.say, on_turn=self.draw)


def summary_lines(summary: Summary) -> list[str]:
    """What came of the scenario, as lines for people."""
    lines = [
        f"requests sent by proxies: {summary.pick_count}",
        f"removed by one update: {', '.join(summary.removed) or 'nothing'}",
        f"left by every proxy after {summary.withdrawn_ms:.0f} ms,"
        f" back after {summary.restored_ms:.0f} ms",
        f"rules broken: {len(summary.violations)}",
        *summary.violations,
    ]
    if summary.failure:
        lines.append(f"failed: {summary.failure}")
    return [*lines, "all as it should be" if summary.passed else "not as it should be"]


def demo() -> int:
    """Plays the demo; the exit code tells whether all went well."""
    console = Console()
    began_s = time.monotonic()
    if console.is_terminal:
        summary = TerminalView(console).run()
    else:
        summary = play(
            lambda text: print(f"{time.monotonic() - began_s:6.2f} s  {text}", flush=True)
        )
    print()
    print("Endpoints and requests are simulated; every message crossed a loopback socket.")
    print("\n".join(summary_lines(summary)))
    return 0 if summary.passed else 1

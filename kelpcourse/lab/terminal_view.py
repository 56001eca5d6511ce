"""Shows the demo: as a table that is updated in place on a terminal, otherwise as plain lines."""

from __future__ import annotations

import time
from collections import deque

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from kelpcourse.lab.config import READ, SUBMIT
from kelpcourse.lab.scenario import Scenario, Summary, run_scenario

MAX_SHOWN_LINES = 14
FRAME_INTERVAL_S = 0.25


class TerminalView:
    """Shows a table of the endpoints with the latest lines below it."""

    def __init__(self, console: Console) -> None:
        """Initializes a view that draws on `console`."""
        self._live = Live(console=console, auto_refresh=False)
        self._lines: deque[str] = deque(maxlen=MAX_SHOWN_LINES)
        self._drawn_s = 0.0

    def print_line(self, text: str) -> None:
        """Adds a line, which is drawn in the next turn of the loop."""
        self._lines.append(text)
        self._drawn_s = 0.0

    def draw(self, scenario: Scenario) -> None:
        """Draws the table and the lines if the frame interval has passed."""
        if time.monotonic() - self._drawn_s < FRAME_INTERVAL_S:
            return
        self._drawn_s = time.monotonic()
        table = Table("endpoint", "room", "state", READ, SUBMIT, "served")
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
        """Runs the scenario and returns its results."""
        with self._live:
            return run_scenario(self.print_line, on_turn=self.draw)


def summary_lines(summary: Summary) -> list[str]:
    """Returns the results of a scenario as lines of text."""
    lines = [
        f"requests sent by proxies: {summary.pick_count}",
        f"removed by one update: {', '.join(summary.removed) or 'nothing'}",
        f"withdrawn at every proxy after {summary.withdrawn_ms:.0f} ms,"
        f" restored after {summary.restored_ms:.0f} ms",
        f"rule violations: {len(summary.violations)}",
        *summary.violations,
    ]
    if summary.failure:
        lines.append(f"failed: {summary.failure}")
    return [*lines, "result: passed" if summary.passed else "result: failed"]


def demo() -> int:
    """Runs the demo and returns the exit code: 0 if it passed, otherwise 1."""
    console = Console()
    began_s = time.monotonic()
    if console.is_terminal:
        summary = TerminalView(console).run()
    else:
        summary = run_scenario(
            lambda text: print(f"{time.monotonic() - began_s:6.2f} s  {text}", flush=True)
        )
    print()
    print("Endpoints and requests are simulated; every message crossed a loopback socket.")
    print("\n".join(summary_lines(summary)))
    return 0 if summary.passed else 1

"""The on-call page names every log line and every counter that the code can write."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCE = "".join(
    path.read_text(encoding="utf-8") for path in sorted((ROOT / "kelpcourse").rglob("*.py"))
)
PAGES = ("on-call.md", "operating-zones.md", "operating-shared.md")
PAGE = "".join((ROOT / "docs" / name).read_text(encoding="utf-8") for name in PAGES)


def named(pattern: str) -> set[str]:
    return set(re.findall(pattern, SOURCE))


def test_every_log_line_is_explained() -> None:
    events = named(r'log\.(?:event|always)\("([a-z_]+)"')
    assert "news_lost" in events
    assert [event for event in sorted(events) if f"| `{event}` |" not in PAGE] == []


def test_every_counter_is_explained() -> None:
    counters = named(r'counters\.(?:add|most)\("([a-z_]+)"')
    counters |= {f"{source}_bad_messages" for source in named(r'bad_message\("([a-z_]+)"')}
    assert "relay_bad_messages" in counters
    assert [counter for counter in sorted(counters) if f"`{counter}`" not in PAGE] == []


def test_nothing_is_explained_that_is_not_there() -> None:
    explained = re.findall(r"^\| `([a-z_]+)` \|", PAGE, re.MULTILINE)
    assert len(explained) > 15
    assert [event for event in explained if f'"{event}"' not in SOURCE] == []

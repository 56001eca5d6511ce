"""Holds the decision module's files together to their length and width: exits 1 with a message when over."""

from __future__ import annotations

import sys
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "kelpcourse"
MODULES = [FOLDER / "decide.py", FOLDER / "channel.py"]
LINES_MOST = 660  # non-blank lines of all together, comments too
WIDTH_MOST = 110  # characters


def problems(texts: dict[str, str]) -> list[str]:
    size = sum(1 for text in texts.values() for line in text.splitlines() if line.strip())
    found = [f"{name}: line {n} has {len(line)} characters, {WIDTH_MOST} at most"
             for name, text in texts.items() for n, line in enumerate(text.splitlines(), 1)
             if len(line) > WIDTH_MOST]
    if size > LINES_MOST:
        found.append(f"{' and '.join(texts)}: {size} non-blank lines, {LINES_MOST} at most")
    return found


def texts() -> dict[str, str]:
    return {module.name: module.read_text(encoding="utf-8") for module in MODULES}


if __name__ == "__main__":
    found = problems(texts())
    for problem in found:
        print(problem, file=sys.stderr)
    sys.exit(1 if found else 0)

"""Commands to a running process by files in a folder that its owner alone may write into: no address, no key.

Whoever commands writes `command-ID.json` whole and waits for `answer-ID.json`.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

ANSWER_S = 10.0


class NoAnswer(Exception):
    """Nobody carried the command out."""


def write_whole(path: Path, data: bytes) -> None:
    """A file that others see whole or not at all."""
    part = path.with_name(f"{path.name}.tmp")
    with open(os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(data)
    os.rename(part, path)


def commands(folder: Path) -> Iterator[tuple[Path, bytes]]:
    """Those that wait, oldest first, each taken away as it is read, and where its answer goes."""
    for path in sorted(folder.glob("command-*.json")):
        try:
            data = path.read_bytes()
        except OSError:
            data = b""
        path.unlink(missing_ok=True)
        yield path.with_name(path.name.replace("command-", "answer-", 1)), data


def ask(folder: Path, command: bytes) -> bytes:
    """The answer of the process that holds the folder. Raises NoAnswer or OSError."""
    name = f"{os.getpid()}-{time.monotonic_ns()}.json"
    waiting, answer = folder / f"command-{name}", folder / f"answer-{name}"
    write_whole(waiting, command)
    ends = time.monotonic() + ANSWER_S
    while not answer.exists():
        if time.monotonic() > ends:
            waiting.unlink(missing_ok=True)
            raise NoAnswer(f"no process that holds {folder} answered within {ANSWER_S:.0f} s")
        time.sleep(0.02)
    data = answer.read_bytes()
    answer.unlink()
    return data

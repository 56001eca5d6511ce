"""Commands to a running process by files in a folder that its owner alone may write into.

No address and no key is needed. A client writes `command-ID.json` completely and waits for `answer-ID.json`.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

from kelpcourse.store.errors import NoAnswerError

ANSWER_TIMEOUT_S = 10.0
POLL_S = 0.02
COMMAND_PREFIX = "command-"
ANSWER_PREFIX = "answer-"


def write_atomically(path: Path, data: bytes) -> None:
    """Writes a file that other processes see completely or not at all."""
    temporary = path.with_name(f"{path.name}.tmp")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with open(fd, "wb") as file:
        file.write(data)
    os.rename(temporary, path)


def take_commands(folder: Path) -> Iterator[tuple[Path, bytes]]:
    """Pending commands, oldest first, each removed as it is read: where its answer goes, and its bytes."""
    for path in sorted(folder.glob(f"{COMMAND_PREFIX}*.json")):
        try:
            data = path.read_bytes()
        except OSError:
            data = b""
        path.unlink(missing_ok=True)
        yield path.with_name(path.name.replace(COMMAND_PREFIX, ANSWER_PREFIX, 1)), data


def send_command(folder: Path, command: bytes) -> bytes:
    """Sends a command to the process that holds the folder and returns its answer.

    Raises:
        NoAnswerError: no answer came within ANSWER_TIMEOUT_S.
        OSError: the folder can't be written or read.
    """
    name = f"{os.getpid()}-{time.monotonic_ns()}.json"
    waiting = folder / f"{COMMAND_PREFIX}{name}"
    answer = folder / f"{ANSWER_PREFIX}{name}"
    write_atomically(waiting, command)
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while not answer.exists():
        if time.monotonic() > deadline:
            waiting.unlink(missing_ok=True)
            raise NoAnswerError(folder, ANSWER_TIMEOUT_S)
        time.sleep(POLL_S)
    data = answer.read_bytes()
    answer.unlink()
    return data

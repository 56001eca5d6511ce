"""Commands to a running process, sent as files in a folder that only its owner can write to.

This needs neither an address nor a key. A client writes `command-ID.json` atomically and waits for `answer-ID.json`.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

from kelpcourse.store.errors import NoResponseError

RESPONSE_TIMEOUT_S = 10.0
POLL_S = 0.02
COMMAND_PREFIX = "command-"
RESPONSE_PREFIX = "answer-"


def write_atomically(path: Path, data: bytes) -> None:
    """Writes a file so that other processes see it completely or not at all."""
    temporary = path.with_name(f"{path.name}.tmp")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with open(fd, "wb") as file:
        file.write(data)
    os.rename(temporary, path)


def take_commands(folder: Path) -> Iterator[tuple[Path, bytes]]:
    """Yields the path of the response and the bytes of each pending command, oldest first.

    Each command's file is removed when it is read.
    """
    for path in sorted(folder.glob(f"{COMMAND_PREFIX}*.json"), key=_sent_order):
        try:
            data = path.read_bytes()
        except OSError:
            data = b""
        path.unlink(missing_ok=True)
        yield path.with_name(path.name.replace(COMMAND_PREFIX, RESPONSE_PREFIX, 1)), data


def _sent_order(path: Path) -> tuple[int, str]:
    """Returns the time in the name of a command's file, which follows the process id, and the name itself."""
    time_text = path.stem.rpartition("-")[2]
    sent_ns = int(time_text) if time_text.isascii() and time_text.isdigit() else 0
    return sent_ns, path.name


def send_command(folder: Path, command: bytes) -> bytes:
    """Sends a command to the process that has locked the folder, and returns its response.

    Raises:
        NoResponseError: No response was received within RESPONSE_TIMEOUT_S.
        OSError: The folder cannot be written or read.
    """
    name = f"{os.getpid()}-{time.monotonic_ns()}.json"
    command_path = folder / f"{COMMAND_PREFIX}{name}"
    response_path = folder / f"{RESPONSE_PREFIX}{name}"
    write_atomically(command_path, command)
    deadline = time.monotonic() + RESPONSE_TIMEOUT_S
    while not response_path.exists():
        if time.monotonic() > deadline:
            command_path.unlink(missing_ok=True)
            raise NoResponseError(folder, RESPONSE_TIMEOUT_S)
        time.sleep(POLL_S)
    data = response_path.read_bytes()
    response_path.unlink()
    return data

"""A controller in a separate process, and its log."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import orjson

from kelpcourse.wire.loop import READ, Coroutine, Loop, Wait

READ_BYTES = 65_536


class ControllerProcess:
    """A process that runs `kelpcourse run` with settings for DNS zones.

    Attributes:
        log: Log lines that were read so far, as JSON objects.
        on_log: Called with each log line.
    """

    def __init__(self, loop: Loop, config: Path, zones: Path) -> None:
        """Starts the process.

        Args:
            loop: Event loop that reads the log.
            config: Configuration file, passed as NODE_CONFIG.
            zones: Settings file of the DNS zones, in KDL.
        """
        self.log: list[dict[str, Any]] = []
        self.on_log: Callable[[Mapping[str, Any]], None] = lambda _: None
        self._process = subprocess.Popen(
            [sys.executable, "-m", "kelpcourse.cli", "run", str(zones)],
            env={**os.environ, "NODE_CONFIG": str(config)},
            stdout=subprocess.PIPE,
        )
        if self._process.stdout is None:
            raise OSError("controller process has no output pipe")
        self._output = self._process.stdout
        os.set_blocking(self._output.fileno(), False)
        loop.start("controller log", self._read_log())

    def _read_log(self) -> Coroutine[None]:
        incomplete = b""
        while True:
            yield Wait(fd=self._output.fileno(), event_mask=READ)
            try:
                data = os.read(self._output.fileno(), READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                return
            *lines, incomplete = (incomplete + data).split(b"\n")
            for line in lines:
                fields = orjson.loads(line)
                self.log.append(fields)
                self.on_log(fields)

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    def terminate(self) -> None:
        """Sends SIGTERM to the process."""
        self._process.send_signal(signal.SIGTERM)

    def exit_code(self) -> int:
        """Returns the exit code; kills the process if it is still running."""
        self.kill()
        return self._process.wait()

    def kill(self) -> None:
        """Kills the process if it is still running, and waits until it has ended."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
        self._process.wait()

    def close(self) -> None:
        """Closes the log's pipe; the loop must no longer read from it."""
        self._output.close()

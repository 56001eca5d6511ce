"""The clock of the process: monotonic, and set to Unix time once."""

from __future__ import annotations

import time


class Clock:
    """A clock of Unix time in microseconds that never goes back, even if the system clock is changed."""

    def __init__(self) -> None:
        """Sets the clock to the current Unix time."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Returns the Unix time in microseconds."""
        return (time.monotonic_ns() + self._offset_ns) // 1000

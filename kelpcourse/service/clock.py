"""The one clock: monotonic, set against Unix time once."""

from __future__ import annotations

import time


class Clock:
    """Microseconds of Unix time that never go back, whatever is done to the system's clock."""

    def __init__(self) -> None:
        """Takes the Unix time of now."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Unix time in microseconds."""
        return (time.monotonic_ns() + self._offset_ns) // 1000

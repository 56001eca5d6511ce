"""Errors raised by the store."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """Base class of the errors that the store raises itself; disk failures are raised as OSError."""


class FolderInUseError(StoreError):
    """Raised when another process holds the lock of a folder."""

    def __init__(self, path: Path) -> None:
        """Initializes the error with the path of the folder."""
        super().__init__(f"{path} is in use by another process")
        self.path = path


class UnusableFileError(StoreError, ValueError):
    """Raised for a file whose header is missing or invalid."""

    def __init__(self, reason: str) -> None:
        """Initializes the error with the fault of the header."""
        super().__init__(reason)
        self.reason = reason


class RecordTooLargeError(StoreError, ValueError):
    """Raised for a payload that is too large for a frame."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        """Initializes the error with the size of the payload and the limit, in bytes."""
        super().__init__(f"a record of {size_bytes} bytes exceeds the limit of {max_bytes} bytes")
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes


class NoResponseError(StoreError):
    """Raised when no process responds to a command in time."""

    def __init__(self, folder: Path, timeout_s: float) -> None:
        """Initializes the error with the folder of the command and the timeout, in seconds."""
        super().__init__(
            f"no response from a process that has {folder} open within {timeout_s:.0f} s"
        )
        self.folder = folder
        self.timeout_s = timeout_s

"""Errors of the store."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """Base of all errors that the store raises itself; the disk's are OSError."""


class FolderInUseError(StoreError):
    """Another process holds the lock of a folder."""

    def __init__(self, path: Path) -> None:
        """Names the folder."""
        super().__init__(f"{path} is in use by another process")
        self.path = path


class UnusableFileError(StoreError, ValueError):
    """A file whose header is missing or wrong."""

    def __init__(self, reason: str) -> None:
        """Names what is wrong with the header."""
        super().__init__(reason)
        self.reason = reason


class RecordTooLargeError(StoreError, ValueError):
    """A payload that no frame may hold."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        """Names the payload's size and the limit."""
        super().__init__(f"a record of {size_bytes} bytes, {max_bytes} at most")
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes


class NoAnswerError(StoreError):
    """No process carried a command out in time."""

    def __init__(self, folder: Path, timeout_s: float) -> None:
        """Names the folder of the command and how long its answer was waited for."""
        super().__init__(f"no process that holds {folder} answered within {timeout_s:.0f} s")
        self.folder = folder
        self.timeout_s = timeout_s

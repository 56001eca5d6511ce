"""A folder of state on disk: the few calls that the journal makes, each of which can fail."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path


class InUse(Exception):
    """Another process holds the folder."""


class Folder:
    """Names in one directory. Every call raises OSError as the system does."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock = -1

    def lock(self) -> None:
        """Creates the folder if need be and holds it against other processes until `close`."""
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
        fd = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise InUse(f"{self.path} is in use by another process") from None
        self._lock = fd

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def create(self, name: str) -> int:
        """A descriptor of a new, empty file."""
        return os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def open(self, name: str) -> int:
        return os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)

    def write(self, fd: int, data: bytes, at: int) -> None:
        """All of `data` from the place `at` on."""
        rest = memoryview(data)
        while rest:
            count = os.pwrite(fd, rest, at)
            rest, at = rest[count:], at + count

    def sync(self, fd: int) -> None:
        os.fdatasync(fd)

    def cut(self, fd: int, size: int) -> None:
        os.ftruncate(fd, size)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.remove(self.path / name)

    def sync_names(self) -> None:
        """Makes creations and renamings durable."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

"""A folder of state on disk: the few calls that the journal makes, each of which can fail."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from kelpcourse.store.errors import FolderInUseError

LOCK_FILE = "lock"
NOT_LOCKED = -1


class Folder:
    """Files of one directory. Every call raises OSError as the system does."""

    def __init__(self, path: Path) -> None:
        """Names a directory, which need not exist yet."""
        self.path = path
        self._lock_fd = NOT_LOCKED

    def lock(self) -> None:
        """Creates the folder if need be and locks it against other processes until `close`.

        Raises:
            FolderInUseError: another process holds the lock.
        """
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
        fd = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            raise FolderInUseError(self.path) from error
        self._lock_fd = fd

    def close(self) -> None:
        """Gives the lock back."""
        if self._lock_fd != NOT_LOCKED:
            os.close(self._lock_fd)
            self._lock_fd = NOT_LOCKED

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        """The whole content of a file."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> int:
        """A descriptor of a new, empty file."""
        return os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def open(self, name: str) -> int:
        """A descriptor of an existing file."""
        return os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)

    def write(self, fd: int, data: bytes, offset: int) -> None:
        """Writes all of `data` from `offset` on."""
        rest = memoryview(data)
        while rest:
            written_bytes = os.pwrite(fd, rest, offset)
            rest = rest[written_bytes:]
            offset += written_bytes

    def sync(self, fd: int) -> None:
        """Makes a file's content and size durable."""
        os.fdatasync(fd)

    def truncate(self, fd: int, size_bytes: int) -> None:
        """Cuts a file to its first `size_bytes`."""
        os.ftruncate(fd, size_bytes)

    def rename(self, old: str, new: str) -> None:
        """Renames a file; one that has the new name is replaced."""
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Removes a file, if it exists."""
        with contextlib.suppress(FileNotFoundError):
            os.remove(self.path / name)

    def sync_names(self) -> None:
        """Makes creations, renamings and removals durable."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

"""A state folder on disk: the file operations of the journal, each of which can fail."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from kelpcourse.store.errors import FolderInUseError

LOCK_FILE = "lock"
NOT_LOCKED = -1


class Folder:
    """The files of one directory. Every method raises OSError if the operating system reports an error."""

    def __init__(self, path: Path) -> None:
        """Initializes the folder with the path of a directory, which does not need to exist yet."""
        self.path = path
        self._lock_fd = NOT_LOCKED

    def lock(self) -> None:
        """Creates the folder if it does not exist, and locks it against other processes until `close`.

        Raises:
            FolderInUseError: Another process holds the lock.
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
        """Releases the lock."""
        if self._lock_fd != NOT_LOCKED:
            os.close(self._lock_fd)
            self._lock_fd = NOT_LOCKED

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> int:
        """Creates an empty file, or empties an existing one, and returns its descriptor."""
        return os.open(self.path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def open(self, name: str) -> int:
        """Opens an existing file and returns its descriptor."""
        return os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)

    def write(self, fd: int, data: bytes, offset: int) -> None:
        """Writes all of `data`, starting at `offset`."""
        rest = memoryview(data)
        while rest:
            written_bytes = os.pwrite(fd, rest, offset)
            rest = rest[written_bytes:]
            offset += written_bytes

    def sync(self, fd: int) -> None:
        """Makes a file's content and size durable."""
        os.fdatasync(fd)

    def truncate(self, fd: int, size_bytes: int) -> None:
        """Truncates a file to its first `size_bytes`."""
        os.ftruncate(fd, size_bytes)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, and replaces an existing file of the new name."""
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        with contextlib.suppress(FileNotFoundError):
            os.remove(self.path / name)

    def sync_names(self) -> None:
        """Syncs the directory, which makes created, renamed and removed files durable."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

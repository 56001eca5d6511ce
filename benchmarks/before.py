"""This project as it stood at an earlier commit: one module of it, or its tree."""

from __future__ import annotations

import subprocess
import sys
import tarfile
import tempfile
import types
from collections.abc import Iterator
from contextlib import contextmanager
from io import BytesIO
from pathlib import Path

ROOT = Path(__file__).parent.parent


class MissingRevisionError(Exception):
    """The repository's history does not hold what was asked for."""

    def __init__(self, revision: str, path: str, reason: str) -> None:
        """Keeps the revision, the path and Git's message."""
        super().__init__(f"no {path} at {revision}: {reason}")
        self.revision = revision
        self.path = path


def _git(command: str, revision: str, path: str, *arguments: str) -> bytes:
    shown = subprocess.run(["git", "-C", str(ROOT), command, *arguments], capture_output=True)
    if shown.returncode:
        raise MissingRevisionError(revision, path, shown.stderr.decode().strip())
    return shown.stdout


def module_at(revision: str, path: str) -> types.ModuleType:
    """Loads one module as it stood at a revision; what it imports is today's.

    Raises:
        MissingRevisionError: the history does not hold the module.
    """
    source = _git("show", revision, path, f"{revision}:{path}")
    module = types.ModuleType(f"before_{Path(path).stem}")
    sys.modules[module.__name__] = module
    exec(compile(source, f"{revision}:{path}", "exec"), module.__dict__)
    return module


@contextmanager
def tree_at(revision: str, *paths: str) -> Iterator[Path]:
    """Lays out folders as they stood at a revision in a temporary folder, and removes it at the end.

    Raises:
        MissingRevisionError: the history does not hold one of the folders.
    """
    archived = _git("archive", revision, " ".join(paths), revision, *paths)
    with tempfile.TemporaryDirectory() as name:
        with tarfile.open(fileobj=BytesIO(archived)) as archive:
            archive.extractall(name, filter="data")
        yield Path(name)

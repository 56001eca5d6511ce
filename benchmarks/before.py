"""Loads an earlier revision of this project: one module of it, or its tree."""

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
    """Raised when the repository's history does not contain a requested path."""

    def __init__(self, revision: str, path: str, reason: str) -> None:
        """Initializes the error.

        Args:
            revision: Revision that was requested.
            path: Path or paths that were requested.
            reason: Git's error message.
        """
        super().__init__(f"no {path} at {revision}: {reason}")
        self.revision = revision
        self.path = path


def _git(command: str, revision: str, path: str, *arguments: str) -> bytes:
    completed = subprocess.run(["git", "-C", str(ROOT), command, *arguments], capture_output=True)
    if completed.returncode:
        raise MissingRevisionError(revision, path, completed.stderr.decode().strip())
    return completed.stdout


def module_at(revision: str, path: str) -> types.ModuleType:
    """Returns one module at a revision; its imports are of the current revision.

    Raises:
        MissingRevisionError: The history does not contain the module.
    """
    source = _git("show", revision, path, f"{revision}:{path}")
    module = types.ModuleType(f"before_{Path(path).stem}")
    sys.modules[module.__name__] = module
    exec(compile(source, f"{revision}:{path}", "exec"), module.__dict__)
    return module


@contextmanager
def tree_at(revision: str, *paths: str) -> Iterator[Path]:
    """Extracts folders of a revision into a temporary folder, which is removed at the end.

    Raises:
        MissingRevisionError: The history does not contain one of the folders.
    """
    archived = _git("archive", revision, " ".join(paths), revision, *paths)
    with tempfile.TemporaryDirectory() as name:
        with tarfile.open(fileobj=BytesIO(archived)) as archive:
            archive.extractall(name, filter="data")
        yield Path(name)

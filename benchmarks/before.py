"""Modules of this project as they stood at an earlier commit, loaded beside those of today."""

from __future__ import annotations

import subprocess
import sys
import types
from pathlib import Path

ROOT = Path(__file__).parent.parent


def module_at(revision: str, path: str) -> types.ModuleType:
    """The module of `path` at `revision`; SystemExit where the repository's history does not reach so far."""
    shown = subprocess.run(
        ["git", "-C", str(ROOT), "show", f"{revision}:{path}"], capture_output=True
    )
    if shown.returncode:
        raise SystemExit(f"no {path} at {revision}: {shown.stderr.decode().strip()}")
    module = types.ModuleType(f"before_{Path(path).stem}")
    sys.modules[module.__name__] = module
    exec(compile(shown.stdout, f"{revision}:{path}", "exec"), module.__dict__)
    return module

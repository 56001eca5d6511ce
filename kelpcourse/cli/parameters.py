"""Types of parameters that several commands use."""

from __future__ import annotations

from pathlib import Path

import click

FILE = click.Path(path_type=Path, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False)
EXISTING_FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)

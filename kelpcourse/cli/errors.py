"""Exit codes of commands, and errors reported as lines on standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from functools import wraps
from typing import NoReturn, ParamSpec, TypeVar

import click

EXIT_PROBLEMS = 1  # The command completed and found problems in what it checked.
EXIT_ERROR = 2  # The command failed because of its arguments, settings or state.

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def fail(message: str) -> NoReturn:
    """Exits with EXIT_ERROR after writing each line of the message to standard error."""
    click.echo("\n".join(f"kelpcourse: {line}" for line in message.splitlines()), err=True)
    sys.exit(EXIT_ERROR)


def exit_with_problems(problems: Iterable[str]) -> NoReturn:
    """Writes problems to standard error, and exits with EXIT_PROBLEMS or, if there are none, with 0."""
    exit_code = 0
    for problem in problems:
        click.echo(problem, err=True)
        exit_code = EXIT_PROBLEMS
    sys.exit(exit_code)


def reports_errors(command: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    """Decorates a command so that errors an operator can correct end in a message, not in a traceback."""

    @wraps(command)
    def run(*args: Parameters.args, **options: Parameters.kwargs) -> Result:
        from kelpcourse.kdl import SettingsError
        from kelpcourse.service.config import ConfigError
        from kelpcourse.store.errors import FolderInUseError, NoResponseError
        from kelpcourse.zones.errors import ZoneError

        try:
            return command(*args, **options)
        except (SettingsError, ConfigError, ZoneError, FolderInUseError, NoResponseError) as error:
            fail(str(error))
        except OSError as error:
            place = f"{error.filename}: " if error.filename else ""
            fail(f"{place}{error.strerror or error}")

    return run

"""How commands end: exit codes, and the operators' mistakes as lines on standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from functools import wraps
from typing import NoReturn, ParamSpec, TypeVar

import click

EXIT_PROBLEMS = 1  # the command ran, and something that it checked can't be used
EXIT_MISTAKE = 2  # a mistake in settings, state or command

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def fail(message: str) -> NoReturn:
    """Ends the command by a mistake: each line of the message goes to standard error."""
    click.echo("\n".join(f"kelpcourse: {line}" for line in message.splitlines()), err=True)
    sys.exit(EXIT_MISTAKE)


def exit_with_problems(problems: Iterable[str]) -> NoReturn:
    """Ends the command: problems go to standard error, and decide the exit code."""
    exit_code = 0
    for problem in problems:
        click.echo(problem, err=True)
        exit_code = EXIT_PROBLEMS
    sys.exit(exit_code)


def reports_mistakes(command: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    """Decorates a command so that an operator's mistake ends in a message and never in a traceback."""

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

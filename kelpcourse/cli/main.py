"""The command `kelpcourse`.

Commands import their dependencies when they run, because an optional extra may not be installed.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from kelpcourse.cli.errors import exit_with_problems, reports_errors
from kelpcourse.cli.parameters import FILE
from kelpcourse.cli.shared_commands import shared
from kelpcourse.cli.zone_commands import zones


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="kelpcourse")
def cli() -> None:
    """Run and manage controllers that publish routing tables to a fleet of proxies."""


cli.add_command(zones)
cli.add_command(shared)


@cli.command("run")
@click.argument("file", type=FILE)
@reports_errors
def run_controller(file: Path) -> None:
    """Run a controller with the zones of FILE in place of discovery.

    NODE_CONFIG names the file with the rest of the configuration.
    """
    from kelpcourse.service.controller import main
    from kelpcourse.zones.settings import read_settings
    from kelpcourse.zones.source import ZoneSource

    zone_settings = read_settings(file)
    exit_code = main(
        os.environ,
        lambda runtime, settings, keep: ZoneSource(runtime, settings, zone_settings, keep),
    )
    sys.exit(exit_code)


@cli.command("check")
@click.argument("file", type=FILE)
@reports_errors
def check_settings(file: Path) -> None:
    """Check the settings in FILE and the zone files that it names."""
    from kelpcourse.limits import Limits
    from kelpcourse.zones.offline import check_file
    from kelpcourse.zones.settings import read_settings

    settings = read_settings(file)
    problems: list[str] = []
    for zone in settings.zones:
        if zone.file is not None:
            checked = check_file(zone.file, zone.origin, settings.service, Limits())
            problems += checked.problems
            click.echo(f"{zone.origin} {len(checked.endpoints)} hosts")
    exit_with_problems(problems)


@cli.command("demo")
@reports_errors
def run_demo() -> None:
    """Demonstrate a controller with a DNS zone on loopback.

    All endpoints of a room are removed by an update and then restored. Takes under a minute.
    """
    from kelpcourse.lab.terminal_view import demo

    sys.exit(demo())

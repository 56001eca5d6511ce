"""The commands `kelpcourse zones`, for DNS zones as a source of the endpoint list."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from kelpcourse.cli.errors import exit_with_problems, reports_errors
from kelpcourse.cli.parameters import FILE, FOLDER

if TYPE_CHECKING:
    from kelpcourse.memory.endpoints import ListedEndpoint

MAX_SERIAL = (1 << 32) - 1


@click.group()
def zones() -> None:
    """Manage DNS zones as a source of the endpoint list."""


@zones.command("check")
@click.argument("zonefile", type=FILE)
@click.option("--origin", required=True, help="Name of the zone.")
@click.option(
    "--service",
    default="_game._tcp",
    show_default=True,
    help="Labels in front of the zone of endpoints.",
)
@click.option("--json", "as_json", is_flag=True, help="Print a JSON array in discovery's format.")
@reports_errors
def check(zonefile: Path, origin: str, service: str, as_json: bool) -> None:
    """List the endpoints that ZONEFILE announces.

    Records that cannot be used are reported one per line, with exit code 1.
    """
    from kelpcourse.limits import Limits
    from kelpcourse.zones.errors import ZoneError
    from kelpcourse.zones.offline import check_file

    try:
        checked = check_file(zonefile, origin, service, Limits())
    except ZoneError as error:
        exit_with_problems([str(error)])
    _show(checked.endpoints, as_json)
    exit_with_problems(checked.problems)


@zones.command("serve")
@click.argument("file", type=FILE)
@click.option("--listen", default="", help="Address to use instead of the one in FILE.")
@click.option("--state", type=FOLDER, help="State folder to use instead of the one in FILE.")
@reports_errors
def serve(file: Path, listen: str, state: Path | None) -> None:
    """Run a primary or secondary server without a controller."""
    from kelpcourse.zones.settings import read_settings
    from kelpcourse.zones.standalone import serve as run_server

    sys.exit(run_server(read_settings(file, listen, state)))


@zones.command("hosts")
@click.argument("file", type=FILE)
@click.option("--state", type=FOLDER, help="State folder to use instead of the one in FILE.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON array in discovery's format.")
@reports_errors
def hosts(file: Path, state: Path | None, as_json: bool) -> None:
    """List the endpoints that the policy would receive, from the stored state alone."""
    from kelpcourse.limits import Limits
    from kelpcourse.zones.errors import ZoneError
    from kelpcourse.zones.offline import merged_endpoints, read_state
    from kelpcourse.zones.settings import read_settings

    settings = read_settings(file, "", state)
    if settings.state is None:
        raise ZoneError(f"{file}: no state folder is set in the file or by --state")
    replay = read_state(settings, settings.state, Limits())
    _show(merged_endpoints(replay.zones.values()), as_json)
    exit_with_problems(replay.warnings)


@zones.command("restore")
@click.argument("file", type=FILE)
@click.argument("origin")
@click.option(
    "--serial",
    type=click.IntRange(0, MAX_SERIAL),
    required=True,
    help="Serial of the version to restore.",
)
@click.option("--json", "as_json", is_flag=True)
@reports_errors
def restore(file: Path, origin: str, serial: int, as_json: bool) -> None:
    """Restore the zone ORIGIN as it was at a serial, under a new serial."""
    import orjson

    from kelpcourse.zones.errors import ZoneError
    from kelpcourse.zones.offline import restore as restore_zone
    from kelpcourse.zones.settings import read_settings

    restored = restore_zone(read_settings(file), origin, serial)
    if restored.error:
        raise ZoneError(restored.error)
    if not as_json:
        click.echo(
            f"{origin} restored from serial {serial}, new serial {restored.serial}, {restored.endpoint_count} hosts"
        )
        return
    result = {
        "origin": origin,
        "as_at": serial,
        "serial": restored.serial,
        "hosts": restored.endpoint_count,
    }
    click.echo(orjson.dumps(result).decode())


def _show(endpoints: Iterable[ListedEndpoint], as_json: bool) -> None:
    """Prints endpoints as JSON in discovery's format, or one per line."""
    import orjson

    from kelpcourse.zones.offline import discovery_entry

    entries = [discovery_entry(endpoint) for endpoint in endpoints]
    if as_json:
        click.echo(orjson.dumps(entries, option=orjson.OPT_INDENT_2).decode())
        return
    for fields in entries:
        click.echo(" ".join(f"{name}={value}" for name, value in fields.items()))

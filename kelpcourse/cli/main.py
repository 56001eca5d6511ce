"""`kelpcourse …`: the commands. What each needs is imported where it runs, as a machine may lack an extra."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import wraps
from pathlib import Path
from typing import Any

import click

BAD_SETTINGS = 2
FILE = click.Path(path_type=Path, dir_okay=False)


@contextmanager
def _mistakes() -> Iterator[None]:
    """Mistakes of the operator's are lines on standard error and exit code 2, never a traceback."""
    from kelpcourse.kdl import SettingsError
    from kelpcourse.service.config import ConfigError
    from kelpcourse.store.errors import FolderInUseError, NoAnswerError
    from kelpcourse.zones.errors import ZoneError

    try:
        yield
    except (SettingsError, ConfigError, ZoneError, FolderInUseError, NoAnswerError) as error:
        click.echo("\n".join(f"kelpcourse: {line}" for line in str(error).splitlines()), err=True)
        sys.exit(BAD_SETTINGS)
    except OSError as error:
        place = f"{error.filename}: " if error.filename else ""
        click.echo(f"kelpcourse: {place}{error.strerror or error}", err=True)
        sys.exit(BAD_SETTINGS)


def plainly(command: Callable[..., Any]) -> Callable[..., Any]:
    @wraps(command)
    def run(*args: Any, **options: Any) -> Any:
        with _mistakes():
            return command(*args, **options)

    return run


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="kelpcourse")
def cli() -> None:
    """A director: publishes routing tables to a fleet of proxies."""


@cli.command("run")
@click.argument("file", type=FILE)
@plainly
def run_director(file: Path) -> None:
    """A director with the zones of FILE in place of discovery; NODE_CONFIG tells the rest."""
    from kelpcourse.service.controller import main
    from kelpcourse.zones.settings import read_settings
    from kelpcourse.zones.source import ZoneSource

    zones = read_settings(file)
    sys.exit(
        main(os.environ, lambda parts, settings, keep: ZoneSource(parts, settings, zones, keep))
    )


@cli.command("check")
@click.argument("file", type=FILE)
@plainly
def check_settings(file: Path) -> None:
    """Checks the settings in FILE and the zone files that it names."""
    from kelpcourse.limits import Limits
    from kelpcourse.zones.offline import check_file
    from kelpcourse.zones.settings import read_settings

    settings, problems = read_settings(file), list[str]()
    for zone in settings.zones:
        if zone.file is not None:
            checked = check_file(zone.file, zone.origin, settings.service, Limits())
            problems += checked.problems
            click.echo(f"{zone.origin} {len(checked.hosts)} hosts")
    _end_with(problems)


def _end_with(problems: list[str]) -> None:
    for problem in problems:
        click.echo(problem, err=True)
    sys.exit(1 if problems else 0)


@cli.group()
def zones() -> None:
    """DNS zones as a source of the host list."""


@zones.command("check")
@click.argument("zonefile", type=FILE)
@click.option("--origin", required=True, help="The zone's name.")
@click.option(
    "--service", default="_game._tcp", show_default=True, help="The labels before a zone of hosts."
)
@click.option("--json", "as_json", is_flag=True, help="An array as discovery has it.")
@plainly
def zones_check(zonefile: Path, origin: str, service: str, as_json: bool) -> None:
    """The hosts that ZONEFILE announces; exit 1 and a line for each record that can't be used."""
    from kelpcourse.limits import Limits
    from kelpcourse.zones.errors import ZoneError
    from kelpcourse.zones.offline import check_file

    try:
        checked = check_file(zonefile, origin, service, Limits())
    except ZoneError as error:
        _end_with([str(error)])
        raise AssertionError from None
    _show(checked.hosts, as_json)
    _end_with(checked.problems)


def _show(hosts: list[Any], as_json: bool) -> None:
    import orjson

    from kelpcourse.zones.offline import entry

    if as_json:
        click.echo(orjson.dumps([entry(m) for m in hosts], option=orjson.OPT_INDENT_2).decode())
        return
    for host in map(entry, hosts):
        click.echo(" ".join(f"{name}={value}" for name, value in host.items()))


@zones.command("serve")
@click.argument("file", type=FILE)
@click.option("--listen", default="", help="In place of the address in FILE.")
@click.option(
    "--state",
    type=click.Path(path_type=Path, file_okay=False),
    help="In place of the folder in FILE.",
)
@plainly
def zones_serve(file: Path, listen: str, state: Path | None) -> None:
    """A primary or secondary on its own, without a director."""
    from kelpcourse.zones.settings import read_settings
    from kelpcourse.zones.standalone import serve

    sys.exit(serve(read_settings(file, listen, state)))


@zones.command("hosts")
@click.argument("file", type=FILE)
@click.option(
    "--state",
    type=click.Path(path_type=Path, file_okay=False),
    help="In place of the folder in FILE.",
)
@click.option("--json", "as_json", is_flag=True, help="An array as discovery has it.")
@plainly
def zones_hosts(file: Path, state: Path | None, as_json: bool) -> None:
    """What the decision module would be told, from the state alone."""
    from kelpcourse.limits import Limits
    from kelpcourse.zones.errors import ZoneError
    from kelpcourse.zones.offline import hosts_of, read_state
    from kelpcourse.zones.settings import read_settings

    settings = read_settings(file, "", state)
    if settings.state is None:
        raise ZoneError(f"{file}: no state is named, there or by --state")
    replay = read_state(settings, settings.state, Limits())
    _show(hosts_of(replay.zones.values()), as_json)
    _end_with(replay.warnings)


@zones.command("restore")
@click.argument("file", type=FILE)
@click.argument("origin")
@click.option(
    "--serial",
    type=click.IntRange(0, (1 << 32) - 1),
    required=True,
    help="As the zone was at this one.",
)
@click.option("--json", "as_json", is_flag=True)
@plainly
def zones_restore(file: Path, origin: str, serial: int, as_json: bool) -> None:
    """Puts the zone ORIGIN back as it was at a serial, under a new one."""
    import orjson

    from kelpcourse.zones.errors import ZoneError
    from kelpcourse.zones.offline import restore
    from kelpcourse.zones.settings import read_settings

    restored = restore(read_settings(file), origin, serial)
    if restored.error:
        raise ZoneError(restored.error)
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "origin": origin,
                    "version_at": serial,
                    "serial": restored.serial,
                    "hosts": restored.hosts,
                }
            ).decode()
        )
    else:
        click.echo(
            f"{origin} is as it was at {serial}, now serial {restored.serial}, {restored.hosts} hosts"
        )


@cli.group()
def shared() -> None:
    """Controllers that share a fleet."""


@shared.command("keys")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--days", type=click.IntRange(1, 3650), default=365, show_default=True, help="Until they end."
)
@plainly
def shared_keys(folder: Path, names: tuple[str, ...], days: int) -> None:
    """An authority in FOLDER, if there is none, and a certificate with its key for each of NAMES."""
    from kelpcourse.shared import certificates
    from kelpcourse.shared.errors import CertificateError

    try:
        if not (folder / "ca.pem").exists():
            certificates.create_authority(folder)
            click.echo(
                f"{folder / 'ca.pem'}: a new authority; keep {folder / 'ca.key'} where no controller runs"
            )
        for name in names:
            certificates.create_member_certificate(folder, name, days)
            click.echo(f"{folder / name}.pem: for {name}, {days} days")
    except CertificateError as error:
        click.echo(f"kelpcourse: {error}", err=True)
        sys.exit(BAD_SETTINGS)


@shared.command("check")
@click.argument("file", type=FILE)
@plainly
def shared_check(file: Path) -> None:
    """Checks the settings in FILE and the keys that they name."""
    from kelpcourse.shared.settings import EXPIRY_WARNING_DAYS, read_settings

    settings = read_settings(file)
    click.echo(
        f"{settings.name} of {len(settings.addresses)} controllers, {settings.options.group_count} groups"
    )
    if (
        settings.certificate_days_left is not None
        and settings.certificate_days_left < EXPIRY_WARNING_DAYS
    ):
        _end_with([f"the certificate ends in {settings.certificate_days_left:.0f} days"])


@shared.command("run")
@click.argument("file", type=FILE)
@plainly
def shared_run(file: Path) -> None:
    """A controller of the fleet in FILE, without a director behind it so far."""
    from kelpcourse.shared.errors import StateLostError
    from kelpcourse.shared.settings import read_settings
    from kelpcourse.shared.standalone import serve

    try:
        sys.exit(serve(file, read_settings(file)))
    except StateLostError as error:
        click.echo(f"kelpcourse: {error}", err=True)
        sys.exit(BAD_SETTINGS)


@shared.command("status")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True)
@plainly
def shared_status(file: Path, as_json: bool) -> None:
    """What the controller of FILE knows: leader, members and their lag, groups, holders, epochs, leases."""
    import orjson

    from kelpcourse.shared.settings import read_settings
    from kelpcourse.shared.standalone import run_command
    from kelpcourse.shared.status import status_lines

    told = run_command(read_settings(file).state_folder, "status", "")
    click.echo(orjson.dumps(told).decode() if as_json else "\n".join(status_lines(told)))


def _member_command(name: str, help_: str) -> None:
    @shared.command(name, help=help_)
    @click.argument("file", type=FILE)
    @click.argument("member")
    @plainly
    def run(file: Path, member: str) -> None:
        from kelpcourse.shared.settings import read_settings
        from kelpcourse.shared.standalone import run_command

        told = run_command(read_settings(file).state_folder, name, member)
        if told.get("error"):
            click.echo(f"kelpcourse: {told['error']}", err=True)
            sys.exit(BAD_SETTINGS)
        click.echo(told["done"])


for _name, _help in (
    (
        "add",
        "Adds MEMBER: first it learns, and said again, once it has caught up, it votes. At the leader.",
    ),
    ("remove", "Removes MEMBER from the fleet. At the leader."),
    ("transfer", "Hands leadership to MEMBER. At the leader."),
    ("drain", "MEMBER is given no groups any more, and those it has go to others. At the leader."),
    ("undrain", "MEMBER may hold groups again. At the leader."),
):
    _member_command(_name, _help)


@cli.command("demo")
@plainly
def run_demo() -> None:
    """Plays a director on a zone on loopback: a room is removed by an update and put back. Under a minute."""
    from kelpcourse.lab.view import demo

    sys.exit(demo())

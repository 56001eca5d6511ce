"""The commands `kelpcourse shared`, for controllers that share a fleet."""

from __future__ import annotations

import datetime
import sys
from pathlib import Path

import click

from kelpcourse.cli.errors import exit_with_problems, fail, reports_errors
from kelpcourse.cli.parameters import EXISTING_FOLDER, FILE

DEFAULT_CERTIFICATE_DAYS = 365
MAX_CERTIFICATE_DAYS = 3650

MEMBER_COMMANDS = {
    "add": "Add MEMBER as a learner; repeat once it has caught up to make it a voter. Run at the leader.",
    "remove": "Remove MEMBER from the fleet. Run at the leader.",
    "transfer": "Transfer leadership to MEMBER. Run at the leader.",
    "drain": "Assign no more groups to MEMBER and move its groups to others. Run at the leader.",
    "undrain": "Allow MEMBER to hold groups again. Run at the leader.",
}


@click.group()
def shared() -> None:
    """Manage controllers that share a fleet."""


@shared.command("keys")
@click.argument("folder", type=EXISTING_FOLDER)
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--days",
    type=click.IntRange(1, MAX_CERTIFICATE_DAYS),
    default=DEFAULT_CERTIFICATE_DAYS,
    show_default=True,
    help="Days until the certificates expire.",
)
@reports_errors
def keys(folder: Path, names: tuple[str, ...], days: int) -> None:
    """Create a certificate and its key for each of NAMES in FOLDER, and an authority if there is none."""
    from kelpcourse.shared import certificates
    from kelpcourse.shared.errors import CertificateError

    authority = folder / "ca.pem"
    try:
        if not authority.exists():
            certificates.create_authority(folder)
            click.echo(
                f"{authority}: created the authority; store {folder / 'ca.key'} where no controller runs"
            )
        for name in names:
            certificates.create_member_certificate(folder, name, days)
            click.echo(f"{folder / name}.pem: certificate of {name}, valid for {days} days")
    except CertificateError as error:
        fail(str(error))


@shared.command("check")
@click.argument("file", type=FILE)
@reports_errors
def check(file: Path) -> None:
    """Check the settings in FILE and the keys that they name."""
    from kelpcourse.shared.settings import EXPIRY_WARNING_DAYS, read_settings

    settings = read_settings(file)
    controller_count = len(settings.addresses)
    group_count = settings.options.group_count
    click.echo(f"{settings.name} of {controller_count} controllers, {group_count} groups")
    days_left = settings.days_until_certificate_expires(datetime.datetime.now(datetime.UTC))
    if days_left is not None and days_left < EXPIRY_WARNING_DAYS:
        exit_with_problems([f"the certificate expires in {days_left:.0f} days"])


@shared.command("run")
@click.argument("file", type=FILE)
@reports_errors
def run(file: Path) -> None:
    """Run a controller of the fleet in FILE.

    It does not publish anything yet.
    """
    from kelpcourse.shared.errors import StateLostError
    from kelpcourse.shared.settings import read_settings
    from kelpcourse.shared.standalone import serve

    try:
        sys.exit(serve(file, read_settings(file)))
    except StateLostError as error:
        fail(str(error))


@shared.command("status")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True)
@reports_errors
def status(file: Path, as_json: bool) -> None:
    """Show the status of the running controller of FILE.

    The status has the leader, members and their lag, groups, lease holders, epochs and leases.
    """
    import orjson

    from kelpcourse.shared.settings import read_settings
    from kelpcourse.shared.standalone import run_command
    from kelpcourse.shared.status import status_lines

    result = run_command(read_settings(file).state_folder, "status", "")
    click.echo(orjson.dumps(result).decode() if as_json else "\n".join(status_lines(result)))


def _add_member_command(name: str, help_text: str) -> None:
    """Adds a command that the running controller of FILE carries out to the command group `shared`."""

    @shared.command(name, help=help_text)
    @click.argument("file", type=FILE)
    @click.argument("member")
    @reports_errors
    def run_member_command(file: Path, member: str) -> None:
        from kelpcourse.shared.settings import read_settings
        from kelpcourse.shared.standalone import run_command

        result = run_command(read_settings(file).state_folder, name, member)
        if result.get("error"):
            fail(result["error"])
        click.echo(result["done"])


for command_name, command_help in MEMBER_COMMANDS.items():
    _add_member_command(command_name, command_help)

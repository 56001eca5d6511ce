"""`kelpcourse shared …`: controllers that share a fleet."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from kelpcourse.cli.errors import exit_with_problems, fail, reports_mistakes
from kelpcourse.cli.parameters import EXISTING_FOLDER, FILE

DEFAULT_CERTIFICATE_DAYS = 365
MAX_CERTIFICATE_DAYS = 3650

MEMBER_COMMANDS = {
    "add": "Add MEMBER: it learns first; repeated, once it has caught up, it votes. At the leader.",
    "remove": "Remove MEMBER from the fleet. At the leader.",
    "transfer": "Transfer leadership to MEMBER. At the leader.",
    "drain": "Give MEMBER no groups any more; those it has migrate to others. At the leader.",
    "undrain": "Let MEMBER hold groups again. At the leader.",
}


@click.group()
def shared() -> None:
    """Controllers that share a fleet."""


@shared.command("keys")
@click.argument("folder", type=EXISTING_FOLDER)
@click.argument("names", nargs=-1, required=True)
@click.option(
    "--days",
    type=click.IntRange(1, MAX_CERTIFICATE_DAYS),
    default=DEFAULT_CERTIFICATE_DAYS,
    show_default=True,
    help="Until they end.",
)
@reports_mistakes
def keys(folder: Path, names: tuple[str, ...], days: int) -> None:
    """Create an authority in FOLDER, if there is none, and a certificate with its key for each of NAMES."""
    from kelpcourse.shared import certificates
    from kelpcourse.shared.errors import CertificateError

    authority = folder / "ca.pem"
    try:
        if not authority.exists():
            certificates.create_authority(folder)
            click.echo(
                f"{authority}: a new authority; keep {folder / 'ca.key'} where no controller runs"
            )
        for name in names:
            certificates.create_member_certificate(folder, name, days)
            click.echo(f"{folder / name}.pem: for {name}, {days} days")
    except CertificateError as error:
        fail(str(error))


@shared.command("check")
@click.argument("file", type=FILE)
@reports_mistakes
def check(file: Path) -> None:
    """Check the settings in FILE and the keys that they name."""
    from kelpcourse.shared.settings import EXPIRY_WARNING_DAYS, read_settings

    settings = read_settings(file)
    controller_count = len(settings.addresses)
    group_count = settings.options.group_count
    click.echo(f"{settings.name} of {controller_count} controllers, {group_count} groups")
    days_left = settings.certificate_days_left
    if days_left is not None and days_left < EXPIRY_WARNING_DAYS:
        exit_with_problems([f"the certificate ends in {days_left:.0f} days"])


@shared.command("run")
@click.argument("file", type=FILE)
@reports_mistakes
def run(file: Path) -> None:
    """Run a controller of the fleet in FILE; it publishes nothing so far."""
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
@reports_mistakes
def status(file: Path, as_json: bool) -> None:
    """Show what the controller of FILE knows.

    Leader, members and their lag, groups, lease holders, epochs, leases.
    """
    import orjson

    from kelpcourse.shared.settings import read_settings
    from kelpcourse.shared.standalone import run_command
    from kelpcourse.shared.status import status_lines

    answer = run_command(read_settings(file).state_folder, "status", "")
    click.echo(orjson.dumps(answer).decode() if as_json else "\n".join(status_lines(answer)))


def _add_member_command(name: str, help_text: str) -> None:
    """Adds a command to the group that is carried out by the running controller of FILE."""

    @shared.command(name, help=help_text)
    @click.argument("file", type=FILE)
    @click.argument("member")
    @reports_mistakes
    def run_member_command(file: Path, member: str) -> None:
        from kelpcourse.shared.settings import read_settings
        from kelpcourse.shared.standalone import run_command

        answer = run_command(read_settings(file).state_folder, name, member)
        if answer.get("error"):
            fail(answer["error"])
        click.echo(answer["done"])


for command_name, command_help in MEMBER_COMMANDS.items():
    _add_member_command(command_name, command_help)

"""Entry point: `python -m kelpcourse.cli` runs the command line where no `kelpcourse` script is on the path."""

from kelpcourse.cli.main import cli

if __name__ == "__main__":
    cli(prog_name="kelpcourse")

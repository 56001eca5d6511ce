"""Entry point: `python -m kelpcourse.cli` is the command line where no `kelpcourse` is on the path."""

from kelpcourse.cli.main import cli

if __name__ == "__main__":
    cli(prog_name="kelpcourse")

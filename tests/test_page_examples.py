"""Examples on the operators' pages are accepted by the readers of their files."""

from __future__ import annotations

import base64
import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from kelpcourse.cli.main import cli
from kelpcourse.kdl import SettingsError
from kelpcourse.shared.settings import SharedSettings, read_settings

DOCS = Path(__file__).parent.parent / "docs"
INDENT = "    "
KEY_BYTES = 32


def example(page: str, first_line: str) -> str:
    """The indented block of a page that begins with a line, without the indent."""
    blocks = re.findall(r"(?:^    .*\n|^\n)+", (DOCS / page).read_text("utf-8"), re.MULTILINE)
    texts = ["".join(line.removeprefix(INDENT) for line in b.splitlines(True)) for b in blocks]
    found = [text.strip("\n") + "\n" for text in texts if text.strip("\n").startswith(first_line)]
    assert len(found) == 1, f"{page} has {len(found)} examples that begin with {first_line!r}"
    return found[0]


def run(*arguments: str) -> str:
    done = CliRunner().invoke(cli, arguments)
    assert done.exit_code == 0, done.output
    return done.stdout


@pytest.fixture
def shared_folder(tmp_path: Path) -> Path:
    """A folder with the certificates that the page's example names."""
    run("shared", "keys", str(tmp_path), "n1")
    return tmp_path


def read_shared(folder: Path, text: str) -> SharedSettings:
    path = folder / "n1.kdl"
    path.write_text(text)
    return read_settings(path)


def test_settings_of_a_shared_controller_on_its_page_are_accepted(shared_folder: Path) -> None:
    settings = read_shared(shared_folder, example("operating-shared.md", "shared {"))
    assert settings.name == "n1"
    assert sorted(settings.addresses) == ["n1", "n2", "n3"]
    assert not settings.bootstrap


def bootstrap_settings() -> list[str]:
    page = (DOCS / "operating-shared.md").read_text("utf-8")
    return re.findall(r"`(begins [^`]+)`", page)


def test_the_page_names_the_bootstrap_setting_in_the_table_and_with_the_command() -> None:
    assert len(bootstrap_settings()) == 2


@pytest.mark.parametrize("setting", bootstrap_settings())
def test_bootstrap_setting_on_the_page_is_accepted(shared_folder: Path, setting: str) -> None:
    text = example("operating-shared.md", "shared {")
    settings = read_shared(shared_folder, text.replace("shared {\n", f"shared {{\n    {setting}\n"))
    assert settings.bootstrap


def test_bare_true_is_not_a_value_in_the_settings(shared_folder: Path) -> None:
    text = example("operating-shared.md", "shared {")
    with pytest.raises(SettingsError):
        read_shared(shared_folder, text.replace("shared {\n", "shared {\n    begins true\n"))


def test_zone_and_settings_on_the_page_of_zones_are_accepted(tmp_path: Path) -> None:
    key = tmp_path / "staff.key"
    key.write_bytes(base64.b64encode(bytes(KEY_BYTES)))
    key.chmod(0o600)
    zone_file = tmp_path / "games.zone"
    zone_file.write_text(example("operating-zones.md", "$TTL"))
    settings = tmp_path / "zones.kdl"
    settings.write_text(example("operating-zones.md", "zones {"))
    listed = run("zones", "check", str(zone_file), "--origin", "games.example.org")
    assert "id=s-1 " in listed
    assert "kind=m2" not in listed  # the command prints the discovery protocol's names
    assert "flavor=m2" in listed
    assert run("check", str(settings)) == "games.example.org. 1 hosts\n"

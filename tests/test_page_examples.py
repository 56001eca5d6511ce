"""Tests that the examples on the operators' pages are accepted by the readers of these files."""

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
    """Returns the only indented block of a page that starts with `first_line`, without the indent."""
    blocks = re.findall(r"(?:^    .*\n|^\n)+", (DOCS / page).read_text("utf-8"), re.MULTILINE)
    examples = [
        "".join(line.removeprefix(INDENT) for line in block.splitlines(True)) for block in blocks
    ]
    matches = [
        text.strip("\n") + "\n" for text in examples if text.strip("\n").startswith(first_line)
    ]
    assert len(matches) == 1, f"{page} has {len(matches)} examples that begin with {first_line!r}"
    return matches[0]


def run(*arguments: str) -> str:
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0, result.output
    return result.stdout


@pytest.fixture
def shared_folder(tmp_path: Path) -> Path:
    """A folder with the certificates that the example on the page names."""
    run("shared", "keys", str(tmp_path), "n1")
    return tmp_path


def read_shared(folder: Path, text: str) -> SharedSettings:
    path = folder / "n1.kdl"
    path.write_text(text)
    return read_settings(path)


def test_shared_settings_on_the_page_are_accepted(shared_folder: Path) -> None:
    settings = read_shared(shared_folder, example("operating-shared.md", "shared {"))
    assert settings.name == "n1"
    assert sorted(settings.addresses) == ["n1", "n2", "n3"]
    assert not settings.bootstrap


def bootstrap_settings() -> list[str]:
    page = (DOCS / "operating-shared.md").read_text("utf-8")
    return re.findall(r"`(begins [^`]+)`", page)


def test_bootstrap_setting_is_in_the_table_and_with_the_command() -> None:
    assert len(bootstrap_settings()) == 2


@pytest.mark.parametrize("setting", bootstrap_settings())
def test_bootstrap_setting_on_the_page_is_accepted(shared_folder: Path, setting: str) -> None:
    text = example("operating-shared.md", "shared {")
    settings = read_shared(shared_folder, text.replace("shared {\n", f"shared {{\n    {setting}\n"))
    assert settings.bootstrap


def test_true_without_a_hash_is_rejected(shared_folder: Path) -> None:
    text = example("operating-shared.md", "shared {")
    with pytest.raises(SettingsError):
        read_shared(shared_folder, text.replace("shared {\n", "shared {\n    begins true\n"))


def test_zone_file_and_zone_settings_on_the_page_are_accepted(tmp_path: Path) -> None:
    key = tmp_path / "staff.key"
    key.write_bytes(base64.b64encode(bytes(KEY_BYTES)))
    key.chmod(0o600)
    zone_file = tmp_path / "games.zone"
    zone_file.write_text(example("operating-zones.md", "$TTL"))
    settings = tmp_path / "zones.kdl"
    settings.write_text(example("operating-zones.md", "zones {"))
    listed = run("zones", "check", str(zone_file), "--origin", "games.example.org")
    assert "id=s-1 " in listed
    assert "kind=m2" not in listed  # the command prints the names of the discovery protocol
    assert "flavor=m2" in listed
    assert run("check", str(settings)) == "games.example.org. 1 hosts\n"

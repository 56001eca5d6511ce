"""Settings of a shared fleet, and the commands that create and check them."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from kelpcourse.cli.main import cli


def test_settings_of_a_shared_fleet_are_checked(tmp_path: Path) -> None:
    done = CliRunner().invoke(cli, ["shared", "keys", str(tmp_path), "n1", "n2"])
    assert done.exit_code == 0, done.output
    again = CliRunner().invoke(cli, ["shared", "keys", str(tmp_path), "n1"])
    assert (again.exit_code, "n1.key already exists" in again.stderr) == (2, True)
    good = """shared {
    me "n1"
    state "state"
    member "n1" address="127.0.0.1:7001"
    member "n2" address="127.0.0.1:7002"
    tls authority="ca.pem" certificate="n1.pem" key="n1.key"
}
"""
    path = tmp_path / "shared.kdl"
    path.write_text(good)
    done = CliRunner().invoke(cli, ["shared", "check", str(path)])
    assert (done.exit_code, done.stdout) == (0, "n1 of 2 controllers, 24 groups\n")
    path.write_text(
        good.replace('me "n1"', 'me "n9"\n    lease-ms 100')
        .replace('"127.0.0.1:7002"', '"nowhere"')
        .replace("n1.key", "n2.key")
        .replace("state", "stat")
    )
    done = CliRunner().invoke(cli, ["shared", "check", str(path)])
    assert done.exit_code == 2
    assert [line.split("shared.kdl:")[1].split(": ")[:2] for line in done.stderr.splitlines()] == [
        ["1", "shared.state"],
        ["4", "shared.stat"],
    ]
    path.write_text(
        good.replace('me "n1"', 'me "n9"\n    lease-ms 100')
        .replace('"127.0.0.1:7002"', '"nowhere"')
        .replace("n1.key", "n2.key")
    )
    done = CliRunner().invoke(cli, ["shared", "check", str(path)])
    assert [line.split("shared.kdl:")[1].split(": ")[:2] for line in done.stderr.splitlines()] == [
        ["1", "shared.me"],
        ["1", "shared.lease-ms"],
        ["6", "shared.member.address"],
        ["7", "shared.tls"],
    ]

"""Tests of controllers that run as processes and are managed by commands."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner, Result

from kelpcourse.cli.main import cli
from kelpcourse.lab.loopback import free_address
from kelpcourse.shared import certificates


class Processes:
    """Three controllers, each in a process of its own, and the commands to them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        certificates.create_authority(folder)
        members = "".join(
            f'    member "n{k}" address="127.0.0.1:{free_address()[1]}"\n' for k in range(3)
        )
        for k in range(3):
            certificates.create_member_certificate(folder, f"n{k}")
            (folder / f"n{k}.kdl").write_text(
                f'shared {{\n    me "n{k}"\n    state "state-n{k}"\n    groups 6\n    begins #{str(k == 0).lower()}\n'
                f"    beat-ms 30\n    election-ms 200\n    lease-ms 500\n"
                f'{members}    tls authority="ca.pem" certificate="n{k}.pem" key="n{k}.key"\n}}\n'
            )

    def start(self, name: str) -> None:
        self.running[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "kelpcourse.cli",
                "shared",
                "run",
                str(self.folder / f"{name}.kdl"),
            ],
            stdout=subprocess.DEVNULL,
        )

    def run_command(self, name: str, command: str, *arguments: str) -> Result:
        return CliRunner().invoke(
            cli, ["shared", command, str(self.folder / f"{name}.kdl"), *arguments]
        )

    def status(self, name: str) -> dict[str, Any]:
        """Returns the status of a controller; empty while it does not respond yet."""
        status: dict[str, Any] = orjson.loads(
            self.run_command(name, "status", "--json").stdout or "{}"
        )
        return status

    def run_until(self, condition: Callable[[], object]) -> None:
        deadline_s = time.monotonic() + 60
        while not condition():
            assert time.monotonic() < deadline_s, {name: self.status(name) for name in self.running}

    def holders(self, name: str) -> set[str]:
        return {g["holder"].partition("@")[0] for g in self.status(name).get("groups", [])}

    def close(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    controllers = Processes(tmp_path)
    yield controllers
    controllers.close()


def test_commands_manage_a_cluster_that_survives_a_killed_leader(processes: Processes) -> None:
    for name in ("n0", "n1", "n2"):
        processes.start(name)
    processes.run_until(lambda: processes.status("n0").get("role") == "leader")
    result = processes.run_command("n1", "add", "n2")
    assert (result.exit_code, "not the leader" in result.stderr) == (2, True)
    for name in ("n1", "n2"):
        processes.run_until(
            lambda name=name: "is now a learner" in processes.run_command("n0", "add", name).output  # type: ignore[misc]
        )
        processes.run_until(
            lambda name=name: "is now a voter" in processes.run_command("n0", "add", name).output  # type: ignore[misc]
        )
    processes.run_until(lambda: processes.holders("n0") == {"n0", "n1", "n2"})
    assert "group    0 epoch" in processes.run_command("n0", "status").stdout
    assert processes.run_command("n0", "drain", "n2").exit_code == 0
    processes.run_until(lambda: processes.holders("n0") == {"n0", "n1"})
    assert processes.run_command("n0", "transfer", "n1").exit_code == 0
    processes.run_until(lambda: processes.status("n1").get("role") == "leader")
    processes.running.pop("n1").kill()
    processes.run_until(
        lambda: any(processes.status(n).get("role") == "leader" for n in ("n0", "n2"))
    )
    # The drain of n2 applies under any leader, because it is in the replicated log.
    processes.run_until(lambda: processes.holders("n0") == {"n0"})
    processes.run_until(
        lambda: any(processes.run_command(n, "undrain", "n2").exit_code == 0 for n in ("n0", "n2"))
    )
    processes.run_until(lambda: processes.holders("n0") == {"n0", "n2"})
    processes.start("n1")
    processes.run_until(lambda: processes.holders("n0") == {"n0", "n1", "n2"})
    processes.running["n2"].send_signal(signal.SIGTERM)
    assert processes.running.pop("n2").wait(60) == 0

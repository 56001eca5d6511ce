"""Controllers as processes, and the commands to them."""

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
    """Three controllers, each a process of its own, and the commands to them."""

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

    def say(self, name: str, word: str, *words: str) -> Result:
        return CliRunner().invoke(cli, ["shared", word, str(self.folder / f"{name}.kdl"), *words])

    def status(self, name: str) -> dict[str, Any]:
        """Empty while it does not answer yet."""
        told: dict[str, Any] = orjson.loads(self.say(name, "status", "--json").stdout or "{}")
        return told

    def until(self, what: Callable[[], object]) -> None:
        ends = time.monotonic() + 60
        while not what():
            assert time.monotonic() < ends, {name: self.status(name) for name in self.running}

    def holders(self, name: str) -> set[str]:
        return {g["holder"].partition("@")[0] for g in self.status(name).get("groups", [])}

    def close(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    made = Processes(tmp_path)
    yield made
    made.close()


def test_a_cluster_is_run_by_commands_and_survives_a_killed_leader(processes: Processes) -> None:
    for name in ("n0", "n1", "n2"):
        processes.start(name)
    processes.until(lambda: processes.status("n0").get("role") == "leader")
    refused = processes.say("n1", "add", "n2")
    assert (refused.exit_code, "not the leader" in refused.stderr) == (2, True)
    for name in ("n1", "n2"):
        processes.until(lambda name=name: "learns" in processes.say("n0", "add", name).output)  # type: ignore[misc]
        processes.until(lambda name=name: "votes" in processes.say("n0", "add", name).output)  # type: ignore[misc]
    processes.until(lambda: processes.holders("n0") == {"n0", "n1", "n2"})
    assert "group    0 epoch" in processes.say("n0", "status").stdout
    assert processes.say("n0", "drain", "n2").exit_code == 0
    processes.until(lambda: processes.holders("n0") == {"n0", "n1"})
    assert processes.say("n0", "transfer", "n1").exit_code == 0
    processes.until(lambda: processes.status("n1").get("role") == "leader")
    processes.running.pop("n1").kill()
    processes.until(lambda: any(processes.status(n).get("role") == "leader" for n in ("n0", "n2")))
    processes.until(
        lambda: processes.holders("n0") == {"n0"}
    )  # whoever leads: the drain is in the log
    processes.until(
        lambda: any(processes.say(n, "undrain", "n2").exit_code == 0 for n in ("n0", "n2"))
    )
    processes.until(lambda: processes.holders("n0") == {"n0", "n2"})
    processes.start("n1")
    processes.until(lambda: processes.holders("n0") == {"n0", "n1", "n2"})
    processes.running["n2"].send_signal(signal.SIGTERM)
    assert processes.running.pop("n2").wait(60) == 0

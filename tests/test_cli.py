"""Tests of the command line: its output, exit codes and error messages."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import dns.message
import dns.rcode
import orjson
import pytest
from click.testing import CliRunner, Result

from kelpcourse.cli.main import cli
from kelpcourse.lab.loopback import free_address
from kelpcourse.zones.zonefile import format_zone
from tests.zonerig import KEY, PRIMARY_SETTINGS, SECRET, added_endpoint, update_message
from tests.zonesamples import ORIGIN, record, sample_endpoints, zone_with

TIMEOUT_S = 60.0


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    key = tmp_path / "staff.key"
    key.write_bytes(SECRET)
    key.chmod(0o600)
    (tmp_path / "games.zone").write_text(format_zone(zone_with(1, sample_endpoints())))
    listen = free_address()
    (tmp_path / "z.kdl").write_text(
        PRIMARY_SETTINGS.format(update="", more="").replace("127.0.0.1:1", f"127.0.0.1:{listen[1]}")
    )
    return tmp_path


def run(*arguments: object) -> Result:
    return CliRunner().invoke(cli, [str(argument) for argument in arguments])


def test_endpoints_of_a_zone_file_are_listed_in_the_format_of_discovery(folder: Path) -> None:
    result = run("zones", "check", folder / "games.zone", "--origin", "games.example.org", "--json")
    assert result.exit_code == 0
    assert orjson.loads(result.stdout)[0] == {
        "id": "s-0",
        "host_port": "127.0.0.10:5000",
        "locality": "room-a",
        "flavor": "m2",
        "cell": 0,
        "phase": "ready",
        "size": 1.0,
        "up_since_ms": 0,
    }
    assert (
        len(run("zones", "check", folder / "games.zone", "--origin", ORIGIN).stdout.splitlines())
        == 4
    )


def test_unusable_records_are_reported_one_per_line_with_exit_code_1(folder: Path) -> None:
    zone = zone_with(
        1,
        sample_endpoints(),
        [
            record("s-9", "TXT", '"cell=x"'),
            record("_game._tcp.room-a", "SRV", f"0 1 5 s-9.{ORIGIN}"),
        ],
    )
    (folder / "games.zone").write_text(format_zone(zone))
    result = run("zones", "check", folder / "games.zone", "--origin", ORIGIN)
    assert (result.exit_code, len(result.stdout.splitlines())) == (1, 4)
    assert result.stderr == (
        f"{folder}/games.zone: s-9.{ORIGIN}: address: no A or AAAA record, although it is the target of"
        f" _game._tcp.room-a.{ORIGIN}\n"
    )
    (folder / "games.zone").write_text("@ SOA nothing\n")
    result = run("zones", "check", folder / "games.zone", "--origin", ORIGIN)
    assert (result.exit_code, result.stdout) == (1, "")
    assert result.stderr.startswith(f"{folder}/games.zone:1: ")


def test_settings_are_validated_and_all_problems_are_reported_together(folder: Path) -> None:
    assert run("check", folder / "z.kdl").exit_code == 0
    (folder / "staff.key").chmod(0o644)
    text = (
        (folder / "z.kdl")
        .read_text()
        .replace("update key", "updaet key")
        .replace('listen "', 'listen 5 "')
    )
    (folder / "bad.kdl").write_text(text)
    result = run("check", folder / "bad.kdl")
    assert result.exit_code == 2
    messages = result.stderr.splitlines()
    assert [line.split("bad.kdl")[1].split(": ")[:2] for line in messages] == [
        [":2", "zones.listen"],
        [":5", "zones.key.secret-file"],
        [":8", "zones.zone.updaet"],
    ]
    assert "readable by other users (mode 0644): run chmod 600" in result.stderr
    assert run("run", folder / "nowhere.kdl").exit_code == 2


@pytest.mark.parametrize(
    ("secret", "message"),
    [
        (b"%%", "must contain only a secret in base64"),
        (b"c2hvcnQ=", "5 bytes instead of at least 16"),
    ],
)
def test_an_invalid_secret_is_reported(folder: Path, secret: bytes, message: str) -> None:
    (folder / "staff.key").write_bytes(secret)
    assert message in run("check", folder / "z.kdl").stderr


class ServerProcess:
    """A process that runs `zones serve`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.process = subprocess.Popen(
            [sys.executable, "-m", "kelpcourse.cli", "zones", "serve", str(folder / "z.kdl")],
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        for line in self.process.stdout:
            event = orjson.loads(line)
            if event["event"] == "dns_ready":
                host, _, port = event["listen"].rpartition(":")
                self.address = host, int(port)
                break
        while self.update(("delete", "nobody")) != dns.rcode.NOERROR:
            pass  # Updates are rejected until the first generation of the state is written.

    def update(self, *calls: tuple[str, ...]) -> dns.rcode.Rcode | None:
        """Returns the response code of an update, or None if the server ended before it responded."""
        message = update_message(*calls)
        wire = message.to_wire()
        try:
            with socket.create_connection(self.address, TIMEOUT_S) as sock:
                sock.sendall(len(wire).to_bytes(2, "big") + wire)
                length_prefix = sock.recv(2, socket.MSG_WAITALL)
                response = sock.recv(int.from_bytes(length_prefix, "big"), socket.MSG_WAITALL)
            return dns.message.from_wire(
                response, keyring={KEY.name: KEY}, request_mac=message.mac or b""
            ).rcode()
        except (OSError, dns.exception.DNSException):
            return None

    def stop(self, signal_number: int) -> int:
        self.process.send_signal(signal_number)
        assert self.process.stdout is not None
        self.process.stdout.close()
        return self.process.wait(TIMEOUT_S)


@pytest.fixture
def server_process(folder: Path) -> Iterator[ServerProcess]:
    server = ServerProcess(folder)
    yield server
    if server.process.poll() is None:
        server.stop(signal.SIGKILL)


def listed_endpoints(folder: Path) -> set[str]:
    result = run("zones", "hosts", folder / "z.kdl", "--state", folder / "state", "--json")
    assert result.exit_code == 0, result.stderr
    return {entry["id"] for entry in orjson.loads(result.stdout)}


def test_updates_that_were_answered_are_kept_after_sigkill(server_process: ServerProcess) -> None:
    accepted = []
    for k in range(30):
        if server_process.update(*added_endpoint(f"n-{k}")) == dns.rcode.NOERROR:
            accepted.append(f"n-{k}")
        if k == 20:
            # The state can be listed while a server writes it.
            assert listed_endpoints(server_process.folder) >= set(accepted)
    server_process.stop(signal.SIGKILL)
    assert len(accepted) == 30
    assert listed_endpoints(server_process.folder) == {*accepted, "s-0", "s-1", "s-2", "s-3"}


def test_a_zone_is_restored_with_and_without_a_running_server(
    server_process: ServerProcess,
) -> None:
    folder = server_process.folder
    assert server_process.update(("delete", "s-0")) == dns.rcode.NOERROR
    result = run("zones", "restore", folder / "z.kdl", "games.example.org", "--serial", 1, "--json")
    assert orjson.loads(result.stdout) == {
        "origin": "games.example.org",
        "as_at": 1,
        "serial": 3,
        "hosts": 4,
    }
    assert server_process.stop(signal.SIGTERM) == 0
    assert listed_endpoints(folder) == {"s-0", "s-1", "s-2", "s-3"}
    result = run("zones", "restore", folder / "z.kdl", ORIGIN, "--serial", 2)
    assert (result.exit_code, result.stdout) == (
        0,
        f"{ORIGIN} restored from serial 2, new serial 4, 3 hosts\n",
    )
    assert listed_endpoints(folder) == {"s-1", "s-2", "s-3"}
    result = run("zones", "restore", folder / "z.kdl", ORIGIN, "--serial", 77)
    assert result.exit_code == 2
    assert "known: 1, 2, 3" in result.stderr


def test_two_servers_cannot_use_the_same_state_folder(server_process: ServerProcess) -> None:
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "kelpcourse.cli",
            "zones",
            "serve",
            str(server_process.folder / "z.kdl"),
            "--listen",
            f"127.0.0.1:{free_address()[1]}",
        ],
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    assert (completed.returncode, completed.stdout) == (2, b"")
    assert b"is in use by another process" in completed.stderr


def test_the_controller_and_the_simulator_adapter_import_no_optional_package() -> None:
    """The platform's build contains only h11 and orjson, and its memory use is measured."""
    code = (
        "import sys, kelpcourse.__main__, kelpcourse.simhost.__main__\n"
        "print(sorted({m.split('.')[0] for m in sys.modules} & set(sys.argv[1:])),"
        " [m for m in sys.modules if m.startswith(('kelpcourse.zones', 'kelpcourse.lab', 'kelpcourse.cli',"
        " 'kelpcourse.store'))])"
    )
    optional_packages = ["dns", "msgspec", "ckdl", "click", "rich", "numpy", "matplotlib", "hdrh"]
    completed = subprocess.run(
        [sys.executable, "-c", code, *optional_packages],
        capture_output=True,
        check=True,
        env={k: v for k, v in os.environ.items() if k != "NODE_CONFIG"},
    )
    assert completed.stdout == b"[] []\n"


def test_the_settings_in_the_deploy_folder_are_valid() -> None:
    deploy = Path(__file__).parent.parent / "deploy"
    result = run("check", deploy / "zones.kdl")
    assert (result.exit_code, result.stdout) == (0, "games.example.org. 2 hosts\n")

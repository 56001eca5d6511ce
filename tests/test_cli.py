"""The command line: its forms, its output for scripts, and plain words for what is wrong."""

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

PATIENCE_S = 60.0


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


def run(*words: object) -> Result:
    return CliRunner().invoke(cli, [str(word) for word in words])


def test_the_hosts_of_a_zone_file_as_discovery_has_them(folder: Path) -> None:
    done = run("zones", "check", folder / "games.zone", "--origin", "games.example.org", "--json")
    assert done.exit_code == 0
    assert orjson.loads(done.stdout)[0] == {
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


def test_a_record_that_can_not_be_used_is_a_line_and_exit_1(folder: Path) -> None:
    bad = zone_with(
        1,
        sample_endpoints(),
        [
            record("s-9", "TXT", '"cell=x"'),
            record("_game._tcp.room-a", "SRV", f"0 1 5 s-9.{ORIGIN}"),
        ],
    )
    (folder / "games.zone").write_text(format_zone(bad))
    done = run("zones", "check", folder / "games.zone", "--origin", ORIGIN)
    assert (done.exit_code, len(done.stdout.splitlines())) == (1, 4)
    assert done.stderr == (
        f"{folder}/games.zone: s-9.{ORIGIN}: address: no A or AAAA record, although it is the target of"
        f" _game._tcp.room-a.{ORIGIN}\n"
    )
    (folder / "games.zone").write_text("@ SOA nothing\n")
    done = run("zones", "check", folder / "games.zone", "--origin", ORIGIN)
    assert (done.exit_code, done.stdout) == (1, "")
    assert done.stderr.startswith(f"{folder}/games.zone:1: ")


def test_settings_are_validated_and_all_mistakes_are_reported_together(folder: Path) -> None:
    assert run("check", folder / "z.kdl").exit_code == 0
    (folder / "staff.key").chmod(0o644)
    text = (
        (folder / "z.kdl")
        .read_text()
        .replace("update key", "updaet key")
        .replace('listen "', 'listen 5 "')
    )
    (folder / "bad.kdl").write_text(text)
    done = run("check", folder / "bad.kdl")
    assert done.exit_code == 2
    told = done.stderr.splitlines()
    assert [line.split("bad.kdl")[1].split(": ")[:2] for line in told] == [
        [":2", "zones.listen"],
        [":5", "zones.key.secret-file"],
        [":8", "zones.zone.updaet"],
    ]
    assert "readable by other users (mode 0644): run chmod 600" in done.stderr
    assert run("run", folder / "nowhere.kdl").exit_code == 2


@pytest.mark.parametrize(
    ("secret", "said"),
    [
        (b"%%", "must contain only a secret in base64"),
        (b"c2hvcnQ=", "5 bytes instead of at least 16"),
    ],
)
def test_an_invalid_secret_is_reported(folder: Path, secret: bytes, said: str) -> None:
    (folder / "staff.key").write_bytes(secret)
    assert said in run("check", folder / "z.kdl").stderr


class Served:
    """`zones serve` as a process of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.process = subprocess.Popen(
            [sys.executable, "-m", "kelpcourse.cli", "zones", "serve", str(folder / "z.kdl")],
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        for line in self.process.stdout:
            told = orjson.loads(line)
            if told["event"] == "dns_ready":
                host, _, port = told["listen"].rpartition(":")
                self.address = host, int(port)
                break
        while self.update(("delete", "nobody")) != dns.rcode.NOERROR:
            pass  # the first generation is being made

    def update(self, *prepare: tuple[str, ...]) -> dns.rcode.Rcode | None:
        """None: it ended before it answered."""
        message = update_message(*prepare)
        wire = message.to_wire()
        try:
            with socket.create_connection(self.address, PATIENCE_S) as sock:
                sock.sendall(len(wire).to_bytes(2, "big") + wire)
                head = sock.recv(2, socket.MSG_WAITALL)
                answer = sock.recv(int.from_bytes(head, "big"), socket.MSG_WAITALL)
            return dns.message.from_wire(
                answer, keyring={KEY.name: KEY}, request_mac=message.mac or b""
            ).rcode()
        except (OSError, dns.exception.DNSException):
            return None

    def end(self, number: int) -> int:
        self.process.send_signal(number)
        assert self.process.stdout is not None
        self.process.stdout.close()
        return self.process.wait(PATIENCE_S)


@pytest.fixture
def served(folder: Path) -> Iterator[Served]:
    made = Served(folder)
    yield made
    if made.process.poll() is None:
        made.end(signal.SIGKILL)


def listed(folder: Path) -> set[str]:
    done = run("zones", "hosts", folder / "z.kdl", "--state", folder / "state", "--json")
    assert done.exit_code == 0, done.stderr
    return {entry["id"] for entry in orjson.loads(done.stdout)}


def test_what_was_answered_outlives_sigkill(served: Served) -> None:
    answered = []
    for k in range(30):
        if served.update(*added_endpoint(f"n-{k}")) == dns.rcode.NOERROR:
            answered.append(f"n-{k}")
        if k == 20:
            assert listed(served.folder) >= set(answered)  # beside a server that writes
    served.end(signal.SIGKILL)
    assert len(answered) == 30
    assert listed(served.folder) == {*answered, "s-0", "s-1", "s-2", "s-3"}


def test_a_zone_is_put_back_with_a_server_and_without(served: Served) -> None:
    folder = served.folder
    assert served.update(("delete", "s-0")) == dns.rcode.NOERROR
    done = run("zones", "restore", folder / "z.kdl", "games.example.org", "--serial", 1, "--json")
    assert orjson.loads(done.stdout) == {
        "origin": "games.example.org",
        "as_at": 1,
        "serial": 3,
        "hosts": 4,
    }
    assert served.end(signal.SIGTERM) == 0
    assert listed(folder) == {"s-0", "s-1", "s-2", "s-3"}
    done = run("zones", "restore", folder / "z.kdl", ORIGIN, "--serial", 2)
    assert (done.exit_code, done.stdout) == (
        0,
        f"{ORIGIN} is as it was at 2, now serial 4, 3 hosts\n",
    )
    assert listed(folder) == {"s-1", "s-2", "s-3"}
    done = run("zones", "restore", folder / "z.kdl", ORIGIN, "--serial", 77)
    assert done.exit_code == 2
    assert "known: 1, 2, 3" in done.stderr


def test_two_servers_do_not_share_a_state(served: Served) -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "kelpcourse.cli",
            "zones",
            "serve",
            str(served.folder / "z.kdl"),
            "--listen",
            f"127.0.0.1:{free_address()[1]}",
        ],
        capture_output=True,
        timeout=PATIENCE_S,
    )
    assert (done.returncode, done.stdout) == (2, b"")
    assert b"is in use by another process" in done.stderr


def test_the_platform_s_run_imports_nothing_of_this() -> None:
    """Its build has h11 and orjson alone, and its memory is counted."""
    code = (
        "import sys, kelpcourse.__main__, kelpcourse.simhost.__main__\n"
        "print(sorted({m.split('.')[0] for m in sys.modules} & set(sys.argv[1:])),"
        " [m for m in sys.modules if m.startswith(('kelpcourse.zones', 'kelpcourse.lab', 'kelpcourse.cli',"
        " 'kelpcourse.store'))])"
    )
    heavy = ["dns", "msgspec", "ckdl", "click", "rich", "numpy", "matplotlib", "hdrh"]
    done = subprocess.run(
        [sys.executable, "-c", code, *heavy],
        capture_output=True,
        check=True,
        env={k: v for k, v in os.environ.items() if k != "NODE_CONFIG"},
    )
    assert done.stdout == b"[] []\n"


def test_the_settings_that_are_delivered_are_sound() -> None:
    deploy = Path(__file__).parent.parent / "deploy"
    done = run("check", deploy / "zones.kdl")
    assert (done.exit_code, done.stdout) == (0, "games.example.org. 2 hosts\n")

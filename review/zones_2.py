"""A zone server process and DNS clients for the zone cases of the second review. Needs the extra `zones` (dnspython)."""

from __future__ import annotations

import base64
import os
import secrets
import signal
import socket
import subprocess
import time
from pathlib import Path

import dns.exception
import dns.message
import dns.query
import dns.rcode
import dns.tsigkeyring
import dns.update
import standins_2 as st

ORIGIN = "games.example.org"
KEY = f"staff.{ORIGIN}."
COMMAND = "exec .venv/bin/python -m kelpcourse.cli"


def free_port() -> int:
    """Returns a port that is free for UDP and TCP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", 0))
            port: int = udp.getsockname()[1]
            try:
                with socket.create_server(("127.0.0.1", port)):
                    return port
            except OSError:
                continue


class ZoneFiles:
    """The settings, the key and the zone file of a small installation."""

    def __init__(self, folder: Path, hosts: dict[str, str], update: str = "") -> None:
        """Writes the files. `hosts` has the room of each host; `update` is added to the update grant."""
        self.folder = folder
        self.port = free_port()
        secret = base64.b64encode(secrets.token_bytes(32)).decode()
        self.ring = dns.tsigkeyring.from_text({KEY: ("hmac-sha256", secret)})
        key = folder / "staff.key"
        key.touch(mode=0o600)
        key.write_text(secret + "\n")
        lines = ["$TTL 60", "@ SOA ns staff 1 60 10 86400 30", "@ NS ns", "ns A 127.0.0.1"]
        for name, room in hosts.items():
            lines += [f"_game._tcp.{room} SRV 0 1 5000 {name}", f"{name} A 127.0.0.1"]
        (folder / "games.zone").write_text("\n".join(lines) + "\n")
        self.settings = folder / "zones.kdl"
        self.settings.write_text(
            f'zones {{\n  listen "127.0.0.1:{self.port}"\n  state "state"\n  service "_game._tcp"\n'
            f'  key "{KEY}" algorithm="hmac-sha256" secret-file="staff.key"\n'
            f'  zone "{ORIGIN}" {{\n    file "games.zone"\n    update key="{KEY}" {update}\n  }}\n}}\n'
        )

    def update(self) -> dns.update.UpdateMessage:
        """Returns an empty update, to be signed when it is written."""
        return dns.update.UpdateMessage(ORIGIN, keyring=self.ring, keyname=KEY, keyalgorithm="hmac-sha256")

    def add_host(self, name: str, room: str) -> dns.update.UpdateMessage:
        """Returns an update that announces a host."""
        message = self.update()
        message.add(f"_game._tcp.{room}", 60, "SRV", f"0 1 5000 {name}.{ORIGIN}.")
        message.add(name, 60, "A", "127.0.0.1")
        return message

    def remove_host(self, name: str, room: str) -> dns.update.UpdateMessage:
        """Returns an update that removes a host."""
        message = self.update()
        message.delete(f"_game._tcp.{room}", "SRV", f"0 1 5000 {name}.{ORIGIN}.")
        message.delete(name)
        return message

    def send(self, message: dns.message.Message, timeout_s: float = 5.0) -> str:
        """Sends a message over TCP and returns the response code, or why there is none."""
        try:
            answer = dns.query.tcp(message, "127.0.0.1", port=self.port, timeout=timeout_s)
        except (OSError, EOFError, dns.exception.DNSException) as error:
            return type(error).__name__
        return dns.rcode.to_text(answer.rcode())

    def has_host(self, name: str, timeout_s: float = 2.0) -> bool:
        """Returns whether the server answers an A query for a host with a record; tries a few times over UDP."""
        query = dns.message.make_query(f"{name}.{ORIGIN}", "A")
        for _ in range(5):
            try:
                answer = dns.query.udp(query, "127.0.0.1", port=self.port, timeout=timeout_s)
            except dns.exception.Timeout:
                continue
            return answer.rcode() == dns.rcode.NOERROR and bool(answer.answer)
        return False

    def wait_served(self, process: subprocess.Popen[bytes], timeout_s: float = 20.0) -> bool:
        """Waits until the zone is answered."""
        query = dns.message.make_query(ORIGIN, "SOA")
        end = time.monotonic() + timeout_s
        while time.monotonic() < end and process.poll() is None:
            try:
                answer = dns.query.udp(query, "127.0.0.1", port=self.port, timeout=0.3)
                if answer.rcode() == dns.rcode.NOERROR:
                    return True
            except (OSError, dns.exception.DNSException):
                time.sleep(0.05)
        return False


class ZoneServer:
    """The zone server as a process."""

    def __init__(self, files: ZoneFiles, record: st.Record) -> None:
        self.files, self.record = files, record
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> bool:
        command = f"{COMMAND} zones serve {self.files.settings}"
        log = (self.files.folder / "server.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=st.ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=dict(os.environ)
        )
        log.close()
        served = self.files.wait_served(self.process)
        self.record.line(f"server started, serves: {served}")
        return served

    def end(self, number: int) -> None:
        """Sends a signal that ends the process, and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
        if self.process is not None:
            self.process.wait(10)
            self.record.line(f"server ended by {signal.Signals(number).name}")

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

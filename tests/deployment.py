"""Test deployment: a controller in a process, with test servers as its relay and discovery."""

from __future__ import annotations

import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from kelpcourse.wire.loop import Coroutine, Loop, Wait
from tests.standins import HttpConnection, HttpServer, entry, listed
from tests.test_config import ROOT

TIMEOUT_S = 60.0  # far longer than any test needs, so that only a hung controller exceeds it
ENDPOINTS = [{**entry(f"s-{k}"), "locality": "room-a" if k % 2 else "room-b"} for k in range(4)]


class Deployment:
    """A controller process with test servers as its relay, which receives calls and sends events, and its discovery."""

    def __init__(self, folder: Path) -> None:
        self.unexpected_errors: list[Exception] = []
        self.loop = Loop(now_us, lambda _, error: self.unexpected_errors.append(error))
        self.orders: list[dict[str, Any]] = []
        self.events: list[bytes] = []
        self.lists: list[bytes] = [listed(41, *ENDPOINTS)]
        self.relay = HttpServer(self.loop, self._serve_relay)
        self.discovery = HttpServer(self.loop, self._serve_discovery)
        self.relay_is_silent = False  # whether the relay leaves calls unanswered
        self.listen = free_address()
        self.path = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None

    def config(self, **changes: object) -> None:
        """Writes the configuration file with the given fields changed."""
        root = {
            **ROOT,
            "name": "n3",
            "listen": text(self.listen),
            "discovery": text(self.discovery.address),
            "registry": {"address": text(self.relay.address)},
            "known": {"revision": 40, "complete": True, "members": ENDPOINTS},
            **changes,
        }
        self.path.write_bytes(orjson.dumps(root))

    def start(self, descriptors: int = 0, program: str = "") -> subprocess.Popen[bytes]:
        environment = {
            **os.environ,
            "NODE_CONFIG": str(self.path),
            "NODE_LISTEN": text(self.listen),
        }
        command = [sys.executable, *(("-c", program) if program else ("-m", "kelpcourse"))]
        if descriptors:
            command = [
                "/bin/sh",
                "-c",
                f"ulimit -n {descriptors}; exec {sys.executable} -m kelpcourse",
            ]
        self.process = subprocess.Popen(
            command,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            cwd=Path(__file__).parent.parent,
        )
        return self.process

    def until(self, condition: Callable[[], object]) -> None:
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, (self.orders[-5:], self.unexpected_errors)
            assert self.process is None or self.process.poll() is None, self.process.communicate()
            self.loop.run_once(now_us() + 5000)

    def ping(self) -> bool:
        """Returns whether the controller answers a ping."""
        try:
            with socket.create_connection(self.listen, TIMEOUT_S) as peer:
                peer.sendall(b"ping\r\n")
                return peer.recv(64) == b"pong\r\n"
        except OSError:
            return False

    def _serve_relay(self, connection: HttpConnection) -> Coroutine[None]:
        while (call := (yield from connection.read_request())) is not None:
            if call[0] == "/v3/kv/events":
                yield from self._stream(connection, self.events)
                return
            orders = orjson.loads(call[1])["orders"]
            self.orders += orders
            if self.relay_is_silent:
                yield from connection.wait_for_close()
                return
            yield from connection.respond(200, b'{"ok_count":%d}' % len(orders))

    def _serve_discovery(self, connection: HttpConnection) -> Coroutine[None]:
        yield from connection.read_request()
        yield from self._stream(connection, self.lists)

    def _stream(self, connection: HttpConnection, source: list[bytes]) -> Coroutine[None]:
        """Sends the lines that exist, then lines that the test adds, with heartbeats between."""
        yield from connection.start_chunked_response()
        sent_count = 0
        while True:
            for line in source[sent_count:]:
                yield from connection.send_line(line)
            sent_count = len(source)
            yield from connection.send_line(b"{}" if source is self.events else b"")
            yield Wait(now_us() + 20_000)

    def has_order(self, **fields: object) -> bool:
        """Returns whether the relay has received an order with these fields."""
        return any(fields.items() <= order.items() for order in self.orders)

    def move_relay_and_discovery(self, **changes: object) -> None:
        """Starts relay and discovery at new addresses, writes these to the file and reloads the configuration."""
        self.relay = HttpServer(self.loop, self._serve_relay)
        self.discovery = HttpServer(self.loop, self._serve_discovery)
        self.config(**changes)
        self.reload()

    def reload(self) -> None:
        assert self.process is not None
        os.kill(self.process.pid, signal.SIGHUP)

    def signal(self, *numbers: int) -> None:
        assert self.process is not None
        for number in numbers:
            os.kill(self.process.pid, number)

    def wait_for_exit(self) -> list[dict[str, Any]]:
        """Waits until the controller has ended without an error, and returns the remaining log lines."""
        assert self.process is not None
        output, errors = self.process.communicate(timeout=TIMEOUT_S)
        assert (self.process.returncode, errors) == (0, b"")
        return log_lines(output)

    def wait_for_log_event(self, event: str) -> dict[str, Any]:
        """Waits for the next log line of an event and returns it."""
        assert self.process is not None
        assert self.process.stdout is not None
        while True:
            assert select.select([self.process.stdout], [], [], TIMEOUT_S)[0]
            line: dict[str, Any] = orjson.loads(self.process.stdout.readline())
            if line["event"] == event:
                return line

    def close(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.communicate()
        self.loop.close()


def now_us() -> int:
    return time.monotonic_ns() // 1000


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address: tuple[str, int] = sock.getsockname()
        return address


def text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def log_lines(output: bytes) -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in output.splitlines()]

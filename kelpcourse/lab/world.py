"""Everything round a director in one process, on loopback and the real clock. Hosts and requests are simulated;
every message to and from the director crosses a socket."""

from __future__ import annotations

import contextlib
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import orjson

from kelpcourse.lab.config import BARE_US, GRACE_US, READ, ROOMS, SUBMIT, node_config
from kelpcourse.lab.forwarder import Forwarder
from kelpcourse.lab.http import Caller, StandIn
from kelpcourse.lab.rules import Checker
from kelpcourse.shared.fencing import EpochFence
from kelpcourse.wire.loop import READ as READABLE
from kelpcourse.wire.loop import Coroutine, Loop, Wait
from kelpcourse.wire.stream import Address

TRANSIT_US = 50_000  # from the relay to a forwarder
TURN_US = 100_000  # between two rounds of picks
GROUP = re.compile(r"/v3/kv/groups/(\d+)/(?:orders\?epoch=(\d+)|events)\Z")
RATE = 20  # requests of a forwarder in a round
ANSWER_MS = 40.0


def now_us() -> int:
    return time.monotonic_ns() // 1000


LISTEN_HOST = (
    "127.0.0.2"  # connections go out from 127.0.0.1, so none can take a port that is free here
)


def free_address(host: str = "127.0.0.1") -> Address:
    """An address with a port that is free now; on LISTEN_HOST it stays so until a listener takes it."""
    with socket.create_server((host, 0)) as sock:
        address: Address = sock.getsockname()
        return address


class Lab:
    """`able` tells which hosts serve a class; nobody else knows."""

    def __init__(
        self,
        folder: Path,
        forwarders: int,
        seed: int = 1,
        grace_us: int = GRACE_US,
        bare_us: int = BARE_US,
    ) -> None:
        self.folder = folder
        self.defects: list[Exception] = []
        self.loop = Loop(now_us, lambda _, error: self.defects.append(error))
        self.checker = Checker(grace_us, bare_us)
        classes = (READ, SUBMIT)
        self.forwarders = [Forwarder(k, ROOMS[k % 2], classes) for k in range(forwarders)]
        self.orders: list[dict[str, Any]] = []
        self.hosts: dict[str, Address] = {}
        self.rooms: dict[str, str] = {}
        self.lists: list[bytes] = []
        self.served: dict[str, int] = {}  # requests by host
        self.relay = StandIn(self.loop, self._serve_relay)
        self.discovery = StandIn(self.loop, self._serve_discovery)
        self.listen = free_address()
        self.log: list[dict[str, Any]] = []
        self.on_order: Callable[[Mapping[str, Any]], None] = lambda _: None
        self.on_log: Callable[[Mapping[str, Any]], None] = lambda _: None
        self._draw = random.Random(seed)
        self._news: list[tuple[frozenset[int], list[bytes]]] = []
        self.groups = 1
        self.fence = EpochFence()
        self.fenced = 0  # calls that were turned away
        self.calls: list[tuple[int | None, int]] = []  # group and epoch of those taken
        self._process: subprocess.Popen[bytes] | None = None
        self._collectors: dict[str, socket.socket] = {}
        self._tries: dict[tuple[str, str], int] = {}
        self._arrived: dict[tuple[int, str], int] = {}

    # Hosts

    def add_host(self, name: str, room: str) -> Address:
        """A host that answers probes at an address of its own."""
        server = StandIn(self.loop, self._serve_host)
        self.hosts[name], self.rooms[name] = server.address, room
        return server.address

    def able(self, cls: str) -> set[str]:
        return {name for name, room in self.rooms.items() if cls != SUBMIT or room == "room-a"}

    def _serve_host(self, caller: Caller) -> Coroutine[None]:
        while (yield from caller.request()) is not None:
            yield from caller.answer(200, b"")

    def _serve_discovery(self, caller: Caller) -> Coroutine[None]:
        """The list as it stands, then what changes. In a run on zones nobody asks here."""
        yield from caller.request()
        yield from caller.open_body()
        told = 0
        while True:
            for line in self.lists[told:]:
                yield from caller.line(line)
            told = len(self.lists)
            yield from caller.line(b"")
            yield Wait(now_us() + 50_000)

    def list_hosts(self, entries: Sequence[dict[str, object]], whole: bool = True) -> None:
        """Discovery tells these from now on."""
        self.lists.append(
            orjson.dumps(
                {"revision": len(self.lists) + 1, "complete": whole, "members": list(entries)}
            )
        )

    # Relay

    def _serve_relay(self, caller: Caller) -> Coroutine[None]:
        """At `/v3/kv/groups/G/…` the forwarders of a group are ordered, under an epoch (`?epoch=`); elsewhere all."""
        while (call := (yield from caller.request())) is not None:
            match = GROUP.match(call[0])
            group = int(match[1]) if match else None
            mine = [f for f in self.forwarders if group is None or f.number % self.groups == group]
            if call[0].endswith("/events"):
                yield from self._tell_news(caller, mine)
                return
            if match and not self.fence.admits(int(match[1]), int(match[2])):
                self.fenced += 1
                yield from caller.answer(409, b'{"error":"Fenced"}')
                continue
            orders = orjson.loads(call[1])["orders"]
            yield from caller.answer(200, b'{"ok_count":%d}' % len(orders))
            self.calls.append((group, int(match[2]) if match else 0))
            self._take(orders, mine)

    def _take(self, orders: Sequence[dict[str, Any]], forwarders: Sequence[Forwarder]) -> None:
        self.orders += orders
        for order in orders:
            self.on_order(order)
        for forwarder in forwarders:
            self.loop.start("transit", self._carry(forwarder, orders))

    def _carry(self, forwarder: Forwarder, orders: Sequence[dict[str, Any]]) -> Coroutine[None]:
        yield Wait(now_us() + TRANSIT_US)
        for order in orders:
            forwarder.apply(order)
            if order["verb"] in ("OUT", "IN"):
                self.checker.applied(forwarder.number, order["host"], order["verb"] == "OUT")
            elif order["verb"] == "SYNC":
                self._say(
                    "applied",
                    sidecar=forwarder.number,
                    version=order["stamp"],
                    lag_ms=TRANSIT_US / 1000,
                )

    def _say(self, kind: str, **told: object) -> None:
        for numbers, lines in self._news:
            if told["sidecar"] in numbers:
                lines.append(orjson.dumps({"type": kind, "object": told}))

    def _tell_news(self, caller: Caller, forwarders: Sequence[Forwarder]) -> Coroutine[None]:
        lines = [
            orjson.dumps(
                {
                    "type": "joined",
                    "object": {
                        "sidecar": f.number,
                        "az": f.zone,
                        "share": RATE * 1e6 / TURN_US,
                        "standing": not f.bound,
                    },
                }
            )
            for f in forwarders
        ]
        entry = frozenset(f.number for f in forwarders), lines
        self._news.append(entry)
        sign_us = now_us()
        try:
            yield from caller.open_body()
            while True:
                for line in lines:
                    yield from caller.line(line)
                lines.clear()
                if now_us() >= sign_us:
                    sign_us = now_us() + 1_000_000
                    yield from caller.line(b"{}")
                yield Wait(now_us() + 5_000)
        finally:
            self._news.remove(entry)

    # Requests and reports

    def run_requests(self) -> Coroutine[None]:
        """Each forwarder picks for requests of both classes; once a second the collectors hand on the sums."""
        report_us = now_us()
        while True:
            yield Wait(now_us() + TURN_US)
            for forwarder in self.forwarders:
                for k in range(RATE):
                    self._request(forwarder, SUBMIT if k % 4 == 0 else READ)
            if now_us() - report_us >= 1_000_000:
                self._report((now_us() - report_us) / 1000)
                report_us = now_us()

    def _request(self, forwarder: Forwarder, cls: str) -> None:
        if not forwarder.bound:  # it has not been steered yet
            return
        key = forwarder.number, cls
        self._arrived[key] = self._arrived.get(key, 0) + 1
        if self._draw.random() >= forwarder.gate(cls):
            return
        host = forwarder.pick(cls, self._draw)
        self.checker.picked(forwarder.number, cls, host, now_us(), self.able(cls))
        if host is not None:
            self.served[host] = self.served.get(host, 0) + 1
            tried = forwarder.zone, host
            self._tries[tried] = self._tries.get(tried, 0) + 1

    def _report(self, window_ms: float) -> None:
        lines = {zone: [f"collector az={zone}"] for zone in ROOMS}
        for (zone, host), n in self._tries.items():
            lines[zone].append(
                f"heard az={zone} host={host} n={n} bad=0 avg={ANSWER_MS} window={window_ms:.1f}"
            )
        for (proxy, cls), n in self._arrived.items():
            lines[ROOMS[proxy % 2]].append(
                f"usage sidecar={proxy} kind={cls} n={n} bad=0 window={window_ms:.1f}"
            )
        self._tries.clear()
        self._arrived.clear()
        for zone, told in lines.items():
            self._send(zone, "".join(f"{line}\r\n" for line in told).encode())

    def _send(self, zone: str, data: bytes) -> None:
        """A director that is away loses these sums, as collectors lose them."""
        try:
            if zone not in self._collectors:
                self._collectors[zone] = socket.create_connection(self.listen, 0.2)
            self._collectors[zone].sendall(data)
        except OSError:
            sock = self._collectors.pop(zone, None)
            if sock is not None:
                sock.close()

    # The director

    def start_director(self, zones: Path) -> None:
        config = self.folder / "config.json"
        config.write_bytes(
            node_config(
                self.listen, self.discovery.address, self.relay.address, len(self.forwarders)
            )
        )
        environment = {**os.environ, "NODE_CONFIG": str(config)}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "kelpcourse.cli", "run", str(zones)],
            env=environment,
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        os.set_blocking(self._process.stdout.fileno(), False)
        self.loop.start("director log", self._read_log(self._process.stdout.fileno()))
        self.loop.start("requests", self.run_requests())

    def _read_log(self, fd: int) -> Coroutine[None]:
        rest = b""
        while True:
            yield Wait(fd=fd, event_mask=READABLE)
            try:
                data = os.read(fd, 65_536)
            except BlockingIOError:
                continue
            if not data:
                return
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                told = orjson.loads(line)
                self.log.append(told)
                self.on_log(told)

    def logged(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.log if line["event"] == event]

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def signal_director(self, number: int) -> None:
        assert self._process is not None
        self._process.send_signal(number)

    def until(self, what: Callable[[], object], patience_s: float = 60.0) -> bool:
        """Whether it came about; false: the director ended or patience did."""
        ends = now_us() + round(patience_s * 1e6)
        while not what():
            if now_us() > ends or (self._process is not None and not self.running):
                return False
            self.loop.run_once(now_us() + 20_000)
        return True

    def for_s(self, seconds: float) -> None:
        ends = now_us() + round(seconds * 1e6)
        self.until(lambda: now_us() >= ends, seconds + 1)

    def stop_director(self) -> int:
        """Its exit code after SIGTERM; its last lines are in the log."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)
        process = self._process
        self.until(lambda: process.poll() is not None, 5.0)
        for _ in range(10):
            self.loop.run_once(now_us())
        if process.poll() is None:
            process.kill()
        return process.wait()

    def close(self) -> None:
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            self._process.wait()
            assert self._process.stdout is not None
        for sock in self._collectors.values():
            sock.close()
        self.loop.close()
        if self._process is not None and self._process.stdout is not None:
            self._process.stdout.close()

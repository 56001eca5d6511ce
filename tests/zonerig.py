"""Zone services on loopback, driven by one event loop with a fake clock, and a DNS client for tests."""

from __future__ import annotations

import base64
import os
import socket
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import dns.message
import dns.name
import dns.rcode
import dns.tsig
import dns.update

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.wire.loop import Loop
from kelpcourse.wire.stream import Address
from kelpcourse.zones.runtime import CoroutineFactory, ZoneRuntime
from kelpcourse.zones.service import ZoneService
from kelpcourse.zones.settings import format_address, read_settings
from kelpcourse.zones.tcp_framing import frame
from kelpcourse.zones.update_policy import EndpointClass
from kelpcourse.zones.versions import Zone
from kelpcourse.zones.zonefile import format_zone
from tests.standins import FakeClock, RecordingLog
from tests.zonesamples import ORIGIN, SERVICE, sample_endpoints, zone_with

MS = 1000
SECOND = 1_000_000
UNIX_US = 1_700_000_000 * SECOND  # at which the clock of a test starts
SECRET = base64.b64encode(bytes(range(32)))
KEY = dns.tsig.Key(
    dns.name.from_text("staff." + ORIGIN), SECRET.decode(), dns.name.from_text("hmac-sha256")
)
OTHER_SECRET_KEY = dns.tsig.Key(KEY.name, base64.b64encode(bytes(32)).decode(), KEY.algorithm)
FAST_LIMITS = replace(
    Limits(),
    soa_query_timeout_us=50 * MS,
    transfer_silence_us=50 * MS,
    zone_file_poll_us=20 * MS,
    zone_command_poll_us=5 * MS,
    notify_batching_us=5 * MS,
    notify_retry_us=20 * MS,
    snapshot_retry_us=20 * MS,
    dns_idle_timeout_us=200 * MS,
    dns_partial_message_timeout_us=60 * MS,
)
SUBMIT = EndpointClass("move-submit", frozenset({"room-a"}), frozenset())
PRIMARY_SETTINGS = """zones {{
    listen "127.0.0.1:1"
    state "state"
    service "_game._tcp"
    key "staff.games.example.org" secret-file="staff.key"
    zone "games.example.org" {{
        file "games.zone"
        update key="staff.games.example.org" {update}
        transfer key="staff.games.example.org"
        {more}
    }}
}}
"""
SECONDARY_SETTINGS = """zones {{
    listen "127.0.0.1:1"
    {more}
    service "_game._tcp"
    key "staff.games.example.org" secret-file="staff.key"
    zone "games.example.org" {{
        {primaries}
        transfer key="staff.games.example.org"
    }}
}}
"""


class World:
    """Several zone services on one event loop, whose clock advances only when no work is pending."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.clock = FakeClock()
        self.clock.now = UNIX_US
        self.unexpected_errors: list[Exception] = []
        self.loop = Loop(self.clock, lambda _, error: self.unexpected_errors.append(error))
        self.nodes: list[ZoneNode] = []

    def run_until(self, condition: Callable[[], object], max_rounds: int = 60_000) -> None:
        for _ in range(max_rounds):
            if condition():
                return
            self.run_once()
        raise AssertionError(
            f"the condition was never true; unexpected errors: {self.unexpected_errors}; "
            f"logs: {[node.log.lines[-4:] for node in self.nodes]}"
        )

    def run_once(self) -> None:
        """Runs the loop once, and advances the clock if the loop did nothing and no thread is running.

        The loop blocks only to wait for threads, because data sent over loopback is available immediately.
        """
        thread_is_running = any(node.disk_is_busy for node in self.nodes) or any(
            thread.name == "work" for thread in threading.enumerate()
        )
        wait_us = MS if thread_is_running else 0
        if not self.loop.run_once(self.clock.now + wait_us) and not thread_is_running:
            self.clock.now += MS

    def run_for_us(self, span_us: int) -> None:
        until_us = self.clock.now + span_us
        self.run_until(lambda: self.clock.now >= until_us)

    def new_folder(self, name: str, zone: Zone | None) -> Path:
        path = self.folder / name
        path.mkdir(exist_ok=True)
        key = path / "staff.key"
        key.write_bytes(SECRET)
        key.chmod(0o600)
        if zone is not None:
            (path / "games.zone").write_text(format_zone(zone))
        return path

    def primary(
        self,
        zone: Zone,
        name: str = "primary",
        update: str = "",
        more: str = "",
        classes: tuple[EndpointClass, ...] = (),
        limits: Limits = FAST_LIMITS,
    ) -> ZoneNode:
        path = self.new_folder(name, zone)
        (path / "z.kdl").write_text(PRIMARY_SETTINGS.format(update=update, more=more))
        return self.node(path, classes, limits)

    def secondary(
        self,
        *primaries: Address,
        name: str = "secondary",
        key: bool = True,
        more: str = "",
        limits: Limits = FAST_LIMITS,
    ) -> ZoneNode:
        path = self.new_folder(name, None)
        signed = ' key="staff.games.example.org"' if key else ""
        lines = "\n".join(f'primary "{format_address(p)}"{signed}' for p in primaries)
        (path / "z.kdl").write_text(SECONDARY_SETTINGS.format(primaries=lines, more=more))
        return self.node(path, (), limits)

    def node(
        self, path: Path, classes: tuple[EndpointClass, ...] = (), limits: Limits = FAST_LIMITS
    ) -> ZoneNode:
        node = ZoneNode(self, path, classes, limits)
        self.nodes.append(node)
        return node

    def close(self) -> None:
        self.loop.close()
        for node in self.nodes:
            node.zones.close()
        if self.unexpected_errors:
            raise self.unexpected_errors[0]


class ZoneNode:
    """A zone service with its own log, counters and endpoint list."""

    def __init__(
        self, world: World, path: Path, classes: tuple[EndpointClass, ...], limits: Limits
    ) -> None:
        self.world = world
        self.path = path
        self.log = RecordingLog()
        self.counters = Counters()
        self.statuses: dict[str, EndpointStatus] = {}
        self.list_changes: list[tuple[dict[str, str], bool]] = []
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.unavailable_count = 0
        self._tasks: list[Any] = []
        runtime = ZoneRuntime(world.loop, limits, self.counters, self.log, self._start)
        settings = read_settings(path / "z.kdl")
        # Port 0 is set here because the settings reader does not accept it.
        if settings.listen is not None:
            settings = replace(settings, listen=(settings.listen[0], 0))
        self.zones = ZoneService(settings, runtime, self, classes, 2 * SECOND)
        self.zones.start()

    def _start(self, name: str, factory: CoroutineFactory) -> None:
        self._tasks.append(self.world.loop.start(name, factory()))

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        statuses = {endpoint.name: endpoint.status.value for endpoint in endpoints}
        self.list_changes.append((statuses, complete))
        if complete:
            self.statuses.clear()
        for endpoint in endpoints:
            self.statuses.pop(endpoint.name, None)
            self.endpoints[endpoint.name] = endpoint
            if endpoint.status is not EndpointStatus.GONE:
                self.statuses[endpoint.name] = endpoint.status

    def list_unavailable(self) -> None:
        self.unavailable_count += 1

    @property
    def disk_is_busy(self) -> bool:
        """Whether a thread is writing to the store; the clock does not advance meanwhile."""
        writer = self.zones.store.writer
        return writer is not None and writer._commit.busy

    @property
    def address(self) -> Address:
        assert self.zones.server_address is not None
        return self.zones.server_address

    @property
    def serial(self) -> int:
        zone = self.zones.zone_states[ORIGIN].zone
        return zone.serial if zone.exists else 0

    def kill(self) -> None:
        """Stops the service like a killed process: nothing more is sent or written."""
        for task in self._tasks:
            self.world.loop.stop(task)
        self.zones.close()
        self.world.nodes.remove(self)


class Client:
    """Sends requests to one node, and runs the loop until the response is received."""

    def __init__(self, world: World, node: ZoneNode) -> None:
        self.world = world
        self.node = node

    def send(self, wire: bytes, tcp: bool = False) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM if tcp else socket.SOCK_DGRAM)
        sock.connect(self.node.address)
        sock.setblocking(False)
        sock.send(frame(wire) if tcp else wire)
        return sock

    def receive(self, sock: socket.socket, tcp: bool = False) -> bytes:
        data = bytearray()

        def is_complete() -> bool:
            try:
                data.extend(sock.recv(65_535))
            except BlockingIOError:
                return False
            return not tcp or (len(data) > 1 and len(data) >= 2 + int.from_bytes(data[:2], "big"))

        self.world.run_until(is_complete)
        return bytes(data[2:] if tcp else data)

    def exchange(self, message: dns.message.Message, tcp: bool = False) -> dns.message.Message:
        sock = self.send(message.to_wire(), tcp)
        try:
            wire = self.receive(sock, tcp)
        finally:
            sock.close()
        ring = {KEY.name: KEY} if message.had_tsig else None
        return dns.message.from_wire(wire, keyring=ring, request_mac=message.mac or b"")

    def query(
        self,
        owner: str,
        type_: str,
        tcp: bool = False,
        use_edns: int | None = None,
        payload: int | None = None,
    ) -> dns.message.Message:
        message = dns.message.make_query(owner, type_, use_edns=use_edns, payload=payload)
        return self.exchange(message, tcp)

    def update(
        self,
        *calls: tuple[str, ...],
        key: dns.tsig.Key | None = KEY,
        tcp: bool = False,
    ) -> dns.rcode.Rcode:
        return self.exchange(update_message(*calls, key=key), tcp).rcode()

    def update_all(self, messages: Iterable[dns.message.Message]) -> list[dns.rcode.Rcode]:
        """Sends all updates, each from its own socket, before receiving the responses."""
        rcodes = []
        sent = [(message, self.send(message.to_wire())) for message in messages]
        for message, sock in sent:
            ring = {KEY.name: KEY}
            rcodes.append(
                dns.message.from_wire(
                    self.receive(sock), keyring=ring, request_mac=message.mac or b""
                ).rcode()
            )
            sock.close()
        return rcodes


def update_message(
    *calls: tuple[str, ...], key: dns.tsig.Key | None = KEY
) -> dns.update.UpdateMessage:
    message = dns.update.UpdateMessage(ORIGIN)
    if key is not None:
        message.use_tsig(key)
    for method, *arguments in calls:
        getattr(message, method)(*arguments)
    return message


def added_endpoint(
    name: str, room: str = "room-a", address: str = "127.0.0.50", txt: str = '"kind=m2"'
) -> tuple[tuple[str, ...], ...]:
    return (
        ("add", f"_game._tcp.{room}", "60", "SRV", f"0 1 5000 {name}.{ORIGIN}"),
        ("add", name, "60", "A", address),
        ("add", name, "60", "TXT", txt),
    )


def open_descriptor_count() -> int:
    return len(os.listdir("/proc/self/fd"))


def start_primary(
    world: World,
    *,
    update: str = "",
    more: str = "",
    classes: tuple[EndpointClass, ...] = (),
    endpoints: int = 4,
) -> tuple[ZoneNode, Client]:
    node = world.primary(
        zone_with(1, sample_endpoints(endpoints)), update=update, more=more, classes=classes
    )
    world.run_until(
        lambda: node.zones.store.writer is not None and not node.zones.store.writer.broken
    )
    return node, Client(world, node)


def room_a_removal() -> list[tuple[str, ...]]:
    return [("delete", f"{SERVICE}.room-a"), ("delete", "s-0"), ("delete", "s-2")]

"""A DNS primary for the lab: this project's own, in the lab's loop, with a key and a zone file made for it."""

from __future__ import annotations

import base64
import os
import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from pathlib import Path

import dns.message
import dns.name
import dns.rcode
import dns.tsig
import dns.update

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.wire.loop import READ, Coroutine, Loop, Wait
from kelpcourse.wire.stream import Address
from kelpcourse.zones.restore import OnResult, RestoreCommand
from kelpcourse.zones.runtime import ZoneRuntime
from kelpcourse.zones.service import ZoneService
from kelpcourse.zones.settings import format_address, read_settings

ORIGIN = "games.example.org."
SERVICE = "_game._tcp"
KEY_NAME = f"staff.{ORIGIN}"
KEY_BYTES = 32
NEVER_US = 1 << 40
MAX_UDP_BYTES = 65_535
SETTINGS = """zones {{
    listen "{listen}"
    state "{state}"
    service "{service}"
    key "{key}" secret-file="staff.key"
    zone "{origin}" {{
        {source}
        transfer key="{key}"
    }}
}}
"""


def make_key(folder: Path) -> dns.tsig.Key:
    """A new secret in a file that only its owner may read."""
    secret = base64.b64encode(os.urandom(KEY_BYTES))
    with open(
        os.open(folder / "staff.key", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb"
    ) as file:
        file.write(secret)
    return dns.tsig.Key(
        dns.name.from_text(KEY_NAME), secret.decode(), dns.name.from_text("hmac-sha256")
    )


def zone_text(endpoints: Iterable[tuple[str, str, Address]], serial: int = 1) -> str:
    """A zone file of endpoints: name, room, address."""
    lines = ["$TTL 60", f"@ SOA ns staff {serial} 30 5 600 30", "@ NS ns", "ns A 127.0.0.1"]
    for name, room, (address, port) in endpoints:
        lines += [
            f"{SERVICE}.{room} SRV 0 1 {port} {name}",
            f"{name} A {address}",
            f'{name} TXT "kind=m2" "cell=0"',
        ]
    return "\n".join(lines) + "\n"


def write_settings(folder: Path, name: str, listen: Address, source: str) -> Path:
    """Writes settings for zones and returns their file.

    Args:
        folder: for settings and state.
        name: of the file and of the state's folder.
        listen: address for DNS.
        source: lines of the zone that say where it comes from.
    """
    path = folder / f"{name}.kdl"
    path.write_text(
        SETTINGS.format(
            listen=format_address(listen),
            state=f"{name}-state",
            service=SERVICE,
            key=KEY_NAME,
            origin=ORIGIN,
            source=source,
        )
    )
    return path


class DiscardingLog:
    """A log that keeps nothing."""

    def event(self, name: str, **fields: object) -> None:
        """Discards an event."""

    def always(self, name: str, **fields: object) -> None:
        """Discards an event."""


class Primary:
    """A zone with a file and updates, which notifies one secondary."""

    def __init__(
        self,
        loop: Loop,
        folder: Path,
        listen: Address,
        endpoints: Sequence[tuple[str, str, Address]],
        notify: Address,
        on_list: Callable[[Sequence[ListedEndpoint]], None],
    ) -> None:
        """Writes a key, a zone file and settings; nothing is answered before `start`.

        Args:
            loop: runs it.
            folder: for files and state.
            listen: address for DNS.
            endpoints: name, room and address of each.
            notify: the secondary's address.
            on_list: is given what the zone announces.
        """
        self._loop = loop
        self._key = make_key(folder)
        self._on_list = on_list
        (folder / "games.zone").write_text(zone_text(endpoints))
        source = f'file "games.zone"\n        update key="{KEY_NAME}"\n        notify "{format_address(notify)}"'
        settings = read_settings(write_settings(folder, "primary", listen, source))
        runtime = ZoneRuntime(
            loop,
            replace(Limits(), zone_file_poll_us=NEVER_US),
            Counters(),
            DiscardingLog(),
            self._keep,
        )
        self._zones = ZoneService(settings, runtime, self)

    def start(self) -> None:
        """Announces the zone and answers from now on."""
        self._zones.start()

    def _keep(self, name: str, factory: Callable[[], Coroutine[None]]) -> None:
        self._loop.start(name, factory())

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Takes what the zone announces."""
        self._on_list(endpoints)

    def list_unavailable(self) -> None:
        """The zone is unavailable, which a primary's own zone never is."""

    @property
    def ready(self) -> bool:
        """Whether updates are accepted."""
        return not self._zones.store.is_recovering

    @property
    def serial(self) -> int:
        """The zone's current serial."""
        return self._zones.zone_states[ORIGIN].zone.serial

    def restore(self, serial: int, on_result: OnResult) -> None:
        """Restores the zone as it was at a serial."""
        self._zones.restore(RestoreCommand(ORIGIN, serial), on_result)

    def update(
        self,
        prepare: Callable[[dns.update.UpdateMessage], None],
        answered: Callable[[dns.rcode.Rcode], None],
    ) -> None:
        """Sends a signed update over UDP, as an operator's tool does."""
        message = dns.update.UpdateMessage(ORIGIN)
        message.use_tsig(self._key)
        prepare(message)
        self._loop.start("update", self._send(message, answered))

    def _send(
        self, message: dns.update.UpdateMessage, answered: Callable[[dns.rcode.Rcode], None]
    ) -> Coroutine[None]:
        server_address = self._zones.server_address
        if server_address is None:
            raise RuntimeError("a primary without an address")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock:
            sock.connect(server_address)
            sock.send(message.to_wire())
            yield Wait(fd=sock.fileno(), event_mask=READ)
            answer = dns.message.from_wire(
                sock.recv(MAX_UDP_BYTES),
                keyring={self._key.name: self._key},
                request_mac=message.mac or b"",
            )
        answered(answer.rcode())

    def close(self) -> None:
        """Ends it; what is durable stays."""
        self._zones.close()

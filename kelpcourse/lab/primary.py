"""The lab's DNS primary: this project's implementation in the lab's event loop, with a generated key and zone file."""

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
# Longer than any run, as the zone file does not change.
ZONE_FILE_POLL_US = 1 << 40
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
    """Generates a TSIG key and writes its secret to a file that only the owner can read."""
    secret = base64.b64encode(os.urandom(KEY_BYTES))
    with open(
        os.open(folder / "staff.key", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb"
    ) as file:
        file.write(secret)
    return dns.tsig.Key(
        dns.name.from_text(KEY_NAME), secret.decode(), dns.name.from_text("hmac-sha256")
    )


def zone_text(endpoints: Iterable[tuple[str, str, Address]], serial: int = 1) -> str:
    """Returns the text of a zone file for endpoints, which are given as name, room and address."""
    lines = ["$TTL 60", f"@ SOA ns staff {serial} 30 5 600 30", "@ NS ns", "ns A 127.0.0.1"]
    for name, room, (address, port) in endpoints:
        lines += [
            f"{SERVICE}.{room} SRV 0 1 {port} {name}",
            f"{name} A {address}",
            f'{name} TXT "kind=m2" "cell=0"',
        ]
    return "\n".join(lines) + "\n"


def write_settings(folder: Path, name: str, listen: Address, source: str) -> Path:
    """Writes a settings file for a zone and returns its path.

    Args:
        folder: Folder for the settings file and the state folder.
        name: Name of the settings file, and prefix of the state folder's name.
        listen: Address on which DNS is served.
        source: Settings lines that give the source of the zone.
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
    """A log that discards all events."""

    def event(self, name: str, **fields: object) -> None:
        """Discards an event."""

    def always(self, name: str, **fields: object) -> None:
        """Discards an event."""


class Primary:
    """A DNS primary with a zone that is loaded from a file, accepts updates and notifies one secondary."""

    def __init__(
        self,
        loop: Loop,
        folder: Path,
        listen: Address,
        endpoints: Sequence[tuple[str, str, Address]],
        notify: Address,
        on_list: Callable[[Sequence[ListedEndpoint]], None],
    ) -> None:
        """Writes a key, a zone file and settings; no request is answered before `start`.

        Args:
            loop: Event loop that runs the primary.
            folder: Folder for files and state.
            listen: Address on which DNS is served.
            endpoints: Name, room and address of each endpoint.
            notify: Address of the secondary.
            on_list: Called with the endpoints that the zone announces, after each change.
        """
        self._loop = loop
        self._key = make_key(folder)
        self._on_list = on_list
        (folder / "games.zone").write_text(zone_text(endpoints))
        source = f'file "games.zone"\n        update key="{KEY_NAME}"\n        notify "{format_address(notify)}"'
        settings = read_settings(write_settings(folder, "primary", listen, source))
        runtime = ZoneRuntime(
            loop,
            replace(Limits(), zone_file_poll_us=ZONE_FILE_POLL_US),
            Counters(),
            DiscardingLog(),
            self._keep,
        )
        self._zones = ZoneService(settings, runtime, self)

    def start(self) -> None:
        """Starts to serve the zone."""
        self._zones.start()

    def _keep(self, name: str, factory: Callable[[], Coroutine[None]]) -> None:
        self._loop.start(name, factory())

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Passes on the endpoints that the zone announces."""
        self._on_list(endpoints)

    def list_unavailable(self) -> None:
        """Does nothing, as a primary's own zone is never unavailable."""

    @property
    def ready(self) -> bool:
        """Whether updates are accepted."""
        return not self._zones.store.is_recovering

    @property
    def serial(self) -> int:
        """The current serial of the zone."""
        return self._zones.zone_states[ORIGIN].zone.serial

    def restore(self, serial: int, on_result: OnResult) -> None:
        """Restores the zone as it was at a serial."""
        self._zones.restore(RestoreCommand(ORIGIN, serial), on_result)

    def update(
        self,
        prepare: Callable[[dns.update.UpdateMessage], None],
        on_response: Callable[[dns.rcode.Rcode], None],
    ) -> None:
        """Sends a signed update over UDP, as an operator's tool does.

        Args:
            prepare: Adds the changes to the update message.
            on_response: Called with the response code.
        """
        message = dns.update.UpdateMessage(ORIGIN)
        message.use_tsig(self._key)
        prepare(message)
        self._loop.start("update", self._send(message, on_response))

    def _send(
        self, message: dns.update.UpdateMessage, on_response: Callable[[dns.rcode.Rcode], None]
    ) -> Coroutine[None]:
        server_address = self._zones.server_address
        if server_address is None:
            raise RuntimeError("the primary has no address")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock:
            sock.connect(server_address)
            sock.send(message.to_wire())
            yield Wait(fd=sock.fileno(), event_mask=READ)
            response = dns.message.from_wire(
                sock.recv(MAX_UDP_BYTES),
                keyring={self._key.name: self._key},
                request_mac=message.mac or b"",
            )
        on_response(response.rcode())

    def close(self) -> None:
        """Stops the primary; its durable state stays."""
        self._zones.close()

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
from kelpcourse.zones.service import Around, Restore, Restored, Zones
from kelpcourse.zones.settings import format_address, read_settings

ORIGIN = "games.example.org."
SERVICE = "_game._tcp"
KEY_NAME = f"staff.{ORIGIN}"
SETTINGS = """zones {{
    listen "{listen}"
    state "{state}"
    service "{service}"
    key "{key}" secret-file="staff.key"
    zone "{origin}" {{
        {way}
        transfer key="{key}"
    }}
}}
"""


def make_key(folder: Path) -> dns.tsig.Key:
    """A new secret in a file that only its owner may read."""
    secret = base64.b64encode(os.urandom(32))
    with open(
        os.open(folder / "staff.key", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb"
    ) as file:
        file.write(secret)
    return dns.tsig.Key(
        dns.name.from_text(KEY_NAME), secret.decode(), dns.name.from_text("hmac-sha256")
    )


def zone_text(hosts: Iterable[tuple[str, str, Address]], serial: int = 1) -> str:
    """A zone file of hosts: id, room, address."""
    lines = ["$TTL 60", f"@ SOA ns staff {serial} 30 5 600 30", "@ NS ns", "ns A 127.0.0.1"]
    for name, room, (address, port) in hosts:
        lines += [
            f"{SERVICE}.{room} SRV 0 1 {port} {name}",
            f"{name} A {address}",
            f'{name} TXT "kind=m2" "cell=0"',
        ]
    return "\n".join(lines) + "\n"


def write_settings(folder: Path, name: str, listen: Address, way: str) -> Path:
    path = folder / f"{name}.kdl"
    path.write_text(
        SETTINGS.format(
            listen=format_address(listen),
            state=f"{name}-state",
            service=SERVICE,
            key=KEY_NAME,
            origin=ORIGIN,
            way=way,
        )
    )
    return path


class Silent:
    """A log that nobody reads."""

    def event(self, name: str, **fields: object) -> None:
        pass

    always = event


class Primary:
    def __init__(
        self,
        loop: Loop,
        folder: Path,
        listen: Address,
        hosts: Sequence[tuple[str, str, Address]],
        notify: Address,
        on_list: Callable[[Sequence[ListedEndpoint]], None],
    ) -> None:
        self._loop = loop
        self._key = make_key(folder)
        self._on_list = on_list
        (folder / "games.zone").write_text(zone_text(hosts))
        way = f'file "games.zone"\n        update key="{KEY_NAME}"\n        notify "{format_address(notify)}"'
        settings = read_settings(write_settings(folder, "primary", listen, way))
        around = Around(
            loop, replace(Limits(), zone_file_poll_us=1 << 40), Counters(), Silent(), self._keep
        )
        self._zones = Zones(settings, around, self)

    def start(self) -> None:
        self._zones.start()

    def _keep(self, name: str, make: Callable[[], Coroutine[None]]) -> None:
        self._loop.start(name, make())

    def listed(self, members: Sequence[ListedEndpoint], version: int, whole: bool) -> None:
        self._on_list(members)

    def lost(self) -> None:
        pass

    @property
    def ready(self) -> bool:
        return not self._zones.settling

    @property
    def serial(self) -> int:
        return self._zones.zone_states[ORIGIN].zone.serial

    def restore(self, serial: int, answer: Callable[[Restored], None]) -> None:
        self._zones.restore(Restore(ORIGIN, serial), answer)

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
        assert self._zones.server is not None
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock:
            sock.connect(self._zones.server.address)
            sock.send(message.to_wire())
            yield Wait(fd=sock.fileno(), event_mask=READ)
            answer = dns.message.from_wire(
                sock.recv(65_535),
                keyring={self._key.name: self._key},
                request_mac=message.mac or b"",
            )
        answered(answer.rcode())

    def close(self) -> None:
        self._zones.close()

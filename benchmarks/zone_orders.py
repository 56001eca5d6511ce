"""Measures the time from a DNS update to the controller's order at the relay."""

from __future__ import annotations

import socket
import tempfile
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import dns.tsig
import dns.update
from hdrh.histogram import HdrHistogram

from benchmarks.zone_tables import print_head, print_row, sample_endpoints
from kelpcourse.lab.config import READ
from kelpcourse.lab.loopback import free_address, now_us
from kelpcourse.lab.primary import ORIGIN, Primary, make_key, write_settings, zone_text
from kelpcourse.lab.world import Lab
from kelpcourse.memory.orders import Order, WithdrawEndpoint
from kelpcourse.wire.stream import Address
from kelpcourse.zones.settings import format_address

ENDPOINTS = 1_000
UPDATES = 200
PROXIES = 4
SETTLE_S = 3
ORDER_TIMEOUT_S = 20.0
PAUSE_S = 0.06  # Pause between updates.
MAX_LATENCY_US = 60_000_000


def orders() -> None:
    """Measures a controller that is the primary, and one that follows a primary."""
    print_head(
        f"From sending an update to the order at the relay, {ENDPOINTS:,} endpoints",
        "setup",
        "updates",
        "median, ms",
        "99th percentile, ms",
    )
    for follows, name in (
        (False, "the controller is the primary"),
        (True, "the controller follows a primary"),
    ):
        with tempfile.TemporaryDirectory() as folder:
            latencies_us = _measure(Path(folder), follows=follows)
        print_row(
            name,
            UPDATES,
            f"{latencies_us.get_value_at_percentile(50) / 1e3:.1f}",
            f"{latencies_us.get_value_at_percentile(99) / 1e3:.1f}",
        )


@dataclass(frozen=True)
class UpdateTarget:
    """The primary that receives the updates, and the controller's source of the zone.

    Attributes:
        address: Address that updates are sent to.
        key: Key that signs the updates.
        zone_source: Lines of the controller's settings that give the source of the zone.
        primary: The separate primary, or None if the controller is the primary.
    """

    address: Address
    key: dns.tsig.Key
    zone_source: str
    primary: Primary | None


def _measure(folder: Path, *, follows: bool) -> HdrHistogram:
    """Drains endpoints by updates and returns the latencies of the orders that withdraw them."""
    lab = Lab(folder, PROXIES)
    ordered_us: dict[str, int] = {}

    def record_order(order: Order) -> None:
        if isinstance(order, WithdrawEndpoint):
            ordered_us.setdefault(order.endpoint, now_us())

    lab.relay.on_order = record_order
    primary_address = free_address()
    controller_address = free_address()
    if follows:
        target = _separate_primary(lab, folder, primary_address, controller_address)
    else:
        target = _own_zone(folder, controller_address)
    controller = lab.start_controller(
        write_settings(folder, "controller", controller_address, target.zone_source)
    )
    assert lab.run_until(lambda: all(proxy.weights(READ) for proxy in lab.proxies))
    lab.run_for(SETTLE_S)
    latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    client.connect(target.address)
    for number in range(UPDATES):
        name = f"s-{number}"
        wire = _drain_update(target.key, name)
        start_us = now_us()
        client.send(wire)
        is_ordered = lab.run_until(partial(ordered_us.__contains__, name), ORDER_TIMEOUT_S)
        assert is_ordered, (name, controller.log[-3:])
        latencies_us.record_value(max(1, ordered_us[name] - start_us))
        lab.run_for(PAUSE_S)
    client.close()
    lab.stop_controller(controller)
    lab.close()
    if target.primary is not None:
        target.primary.close()
    return latencies_us


def _separate_primary(lab: Lab, folder: Path, address: Address, notify: Address) -> UpdateTarget:
    endpoints = sample_endpoints(ENDPOINTS)
    primary = Primary(lab.loop, folder, address, endpoints, notify, lambda _: None)
    primary.start()
    zone_source = f'primary "{format_address(address)}" key="staff.{ORIGIN}"'
    return UpdateTarget(address, primary._key, zone_source, primary)


def _own_zone(folder: Path, address: Address) -> UpdateTarget:
    key = make_key(folder)
    (folder / "games.zone").write_text(zone_text(sample_endpoints(ENDPOINTS)))
    zone_source = f'file "games.zone"\n        update key="staff.{ORIGIN}"'
    return UpdateTarget(address, key, zone_source, None)


def _drain_update(key: dns.tsig.Key, name: str) -> bytes:
    message = dns.update.UpdateMessage(ORIGIN)
    message.use_tsig(key)
    message.replace(name, 60, "TXT", '"phase=draining"')
    return message.to_wire()

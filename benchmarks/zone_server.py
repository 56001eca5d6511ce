"""Measures the rate and latency at which a DNS server answers updates and queries on loopback."""

from __future__ import annotations

import os
import select
import socket
import tempfile
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import dns.message
import dns.rcode
import dns.tsig
import dns.update
from hdrh.histogram import HdrHistogram

from benchmarks.zone_tables import LIMITS, print_head, print_row, sample_endpoints
from kelpcourse.lab.loopback import free_address, now_us
from kelpcourse.lab.primary import ORIGIN, make_key, write_settings, zone_text
from kelpcourse.wire.stream import Address
from kelpcourse.zones.settings import read_settings
from kelpcourse.zones.standalone import StandaloneZones

ENDPOINTS = 1_000
MANY_CLIENTS = 50
MAX_DNS_BYTES = 65_535
POLL_S = 10
LOOP_WAIT_US = 50_000
MAX_LATENCY_US = 60_000_000


class ServedZone:
    """A DNS server in a separate thread, with a zone that accepts updates signed with `key`."""

    def __init__(self, folder: Path, endpoint_count: int) -> None:
        """Starts the server."""
        self.key = make_key(folder)
        (folder / "games.zone").write_text(zone_text(sample_endpoints(endpoint_count)))
        source = f'file "games.zone"\n        update key="staff.{ORIGIN}"'
        settings = read_settings(write_settings(folder, "served", free_address(), source))
        self._host = StandaloneZones(settings, LIMITS, os.open(os.devnull, os.O_WRONLY))
        self._host.zones.start()
        assert self._host.zones.server_address is not None
        self.address = self._host.zones.server_address
        self._stopping = False
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopping:
            self._host.loop.run_once(now_us() + LOOP_WAIT_US)

    def close(self) -> None:
        """Stops the server and its thread."""
        self._stopping = True
        self._thread.join()
        self._host.loop.close()
        self._host.zones.close()


@dataclass(frozen=True)
class Workload:
    """Messages to send and the number of clients that send them."""

    name: str
    client_count: int
    wires: list[bytes]


def server() -> None:
    """Prints the rate and latency of updates and queries."""
    print_head(
        f"A server on loopback, zone of {ENDPOINTS:,} endpoints",
        "workload",
        "per second",
        "median, ms",
        "99th percentile, ms",
    )
    with tempfile.TemporaryDirectory() as folder:
        served = ServedZone(Path(folder), ENDPOINTS)
        for workload in _workloads(served.key):
            rate_per_s, latencies_us = send_all(
                served.address, workload.wires, workload.client_count
            )
            print_row(
                workload.name,
                f"{rate_per_s:.0f}",
                f"{latencies_us.get_value_at_percentile(50) / 1e3:.2f}",
                f"{latencies_us.get_value_at_percentile(99) / 1e3:.2f}",
            )
        served.close()


def _workloads(key: dns.tsig.Key) -> list[Workload]:
    updates = [_update(key, number).to_wire() for number in range(400)]
    more_updates = [_update(key, 1000 + number).to_wire() for number in range(3000)]
    query = dns.message.make_query("s-5." + ORIGIN, "A", flags=0).to_wire()
    return [
        Workload("signed updates, each durable, one client", 1, updates),
        Workload("signed updates, each durable, fifty clients", MANY_CLIENTS, more_updates),
        Workload("queries for an A record, one client", 1, [query] * 3000),
        Workload("queries for an A record, fifty clients", MANY_CLIENTS, [query] * 10_000),
    ]


def _update(key: dns.tsig.Key, number: int) -> dns.update.UpdateMessage:
    message = dns.update.UpdateMessage(ORIGIN)
    message.use_tsig(key)
    address = f"127.8.{number >> 8 & 255}.{number & 255}"
    message.replace(f"s-{number % ENDPOINTS}", 60, "A", address)
    return message


def send_all(
    address: Address, wires: Iterable[bytes], client_count: int
) -> tuple[float, HdrHistogram]:
    """Sends messages; each client waits for a response before it sends the next one.

    Returns the responses per second and their latencies in microseconds.
    """
    pending_wires = iter(wires)
    latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
    poll = select.epoll()
    clients: dict[int, socket.socket] = {}
    sent_us: dict[int, int] = {}
    start_us = now_us()
    response_count = 0
    for _ in range(client_count):
        client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        client.connect(address)
        poll.register(client.fileno(), select.EPOLLIN)
        client.send(next(pending_wires))
        clients[client.fileno()] = client
        sent_us[client.fileno()] = now_us()
    while clients:
        for descriptor, _ in poll.poll(POLL_S):
            client = clients[descriptor]
            _check_response(client.recv(MAX_DNS_BYTES))
            latencies_us.record_value(max(1, now_us() - sent_us[descriptor]))
            response_count += 1
            wire = next(pending_wires, None)
            if wire is None:
                poll.unregister(descriptor)
                client.close()
                del clients[descriptor]
            else:
                client.send(wire)
                sent_us[descriptor] = now_us()
    return response_count / (now_us() - start_us) * 1e6, latencies_us


def _check_response(wire: bytes) -> None:
    rcode = wire[3] & 0x0F  # RFC 1035, section 4.1.1
    if rcode != dns.rcode.NOERROR:
        raise SystemExit("a response is not NOERROR")

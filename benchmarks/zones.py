"""What zones cost: loading, transferring, diffing, updates, questions, memory, recovery, and the way to an order.

`python -m benchmarks.zones [PART …]` prints all of it as tables; each figure says what it counts. Everything is on
loopback, in one process but for the director of the last part; hosts are simulated.
"""

from __future__ import annotations

import os
import select
import socket
import statistics
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import dns.message
import dns.rcode
import dns.update
import dns.versioned
import dns.zone
from hdrh.histogram import HdrHistogram

from kelpcourse.lab.config import READ
from kelpcourse.lab.loopback import free_address, now_us
from kelpcourse.lab.primary import ORIGIN, SERVICE, Primary, make_key, write_settings, zone_text
from kelpcourse.lab.world import Lab
from kelpcourse.limits import Limits
from kelpcourse.memory.orders import Order, WithdrawEndpoint
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import Record as Entry
from kelpcourse.store.journal import Journal
from kelpcourse.wire.stream import Address
from kelpcourse.zones.incoming_transfer import IncomingTransfer
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.persistence import (
    ZoneChanged,
    ZoneReplay,
    encode_entry,
    garbage_collection_paused,
)
from kelpcourse.zones.records import SOA, Record, canonical_data
from kelpcourse.zones.settings import format_address, read_settings
from kelpcourse.zones.standalone import StandaloneZones
from kelpcourse.zones.transfer import AXFR, axfr_records, transfer_messages
from kelpcourse.zones.versions import Zone, difference_between
from kelpcourse.zones.zone_state import ZoneState
from kelpcourse.zones.zonefile import parse_zone_text

HOSTS = 10_000
LIMITS = Limits()


def hosts(count: int) -> list[tuple[str, str, Address]]:
    return [
        (
            f"s-{k}",
            f"room-{'ab'[k % 2]}",
            (f"127.{k >> 14 & 63}.{k >> 7 & 127}.{(k & 127) + 1}", 5000),
        )
        for k in range(count)
    ]


def timed(work: Callable[[], Any], rounds: int = 3) -> tuple[float, Any]:
    """Milliseconds, the median of some rounds, and what came of it."""
    times, out = [], None
    for _ in range(rounds):
        began = time.perf_counter()
        out = work()
        times.append(time.perf_counter() - began)
    return statistics.median(times) * 1e3, out


def row(what: str, *cells: object) -> None:
    print(f"| {what} | " + " | ".join(map(str, cells)) + " |", flush=True)


# A large zone


def large_zone() -> None:
    text = zone_text(hosts(HOSTS))
    print(f"\n## A zone of {HOSTS:,} hosts ({len(text.splitlines()):,} records)\n")
    print("| what | ours, ms | dnspython's own zone, ms |")
    print("| --- | ---: | ---: |")
    ours, zone = timed(lambda: parse_zone_text(text, ORIGIN, LIMITS))
    theirs, library = timed(
        lambda: dns.zone.from_text(text, ORIGIN, relativize=False, zone_factory=dns.versioned.Zone),
        1,
    )
    row("load from a file", f"{ours:.0f}", f"{theirs:.0f}")
    ours, _ = timed(lambda: held_of(zone))
    row("hosts out of it", f"{ours:.0f}", "-")
    other = zone.copy()
    moved = [record for record in other.records() if record.owner.startswith("s-77.")]
    for record in moved:
        other.remove(record)
    other.remove(soa_record(other))
    other.add(soa_record(zone)._replace(data=next_soa(zone)))
    ours, difference = timed(lambda: difference_between(zone, other, 0))
    theirs, _ = timed(lambda: library_difference(library), 1)
    row(
        f"difference of two versions ({difference.record_count} records)",
        f"{ours:.0f}",
        f"{theirs:.0f}",
    )
    held = held_of(zone)
    ours = statistics.median(one_change(held, k) for k in range(100)) * 1e3
    theirs, _ = timed(lambda: library_change(library), 3)
    row("one host's address changed, applied", f"{ours:.2f}", f"{theirs:.2f}")
    ours, _ = timed(lambda: transferred(zone), 1)
    row("AXFR, written and read, without sockets", f"{ours:.0f}", "-")


def held_of(zone: Zone) -> ZoneState:
    held = ZoneState(zone.origin, SERVICE, LIMITS)
    held.apply(held.difference_to(zone, 0), 0)
    return held


def soa_record(zone: Zone) -> Record:
    return Record(zone.origin, SOA, 60, zone.soa_data)


def next_soa(zone: Zone) -> bytes:
    draft = PendingVersion(zone)
    draft.advance_serial()
    return draft.soa_data


def one_change(held: ZoneState, k: int) -> float:
    """Seconds for a draft, the version made of it and the hosts that change."""
    owner = f"s-{k}.{ORIGIN}"
    began = time.perf_counter()
    draft = held.new_pending_version()
    draft.remove_set(owner, 1)
    draft.add(Record(owner, 1, 60, b"\x7f\x09\x09\x09"))
    draft.advance_serial()
    held.apply(draft.difference(0), 0)
    return time.perf_counter() - began


def library_change(zone: Any) -> None:
    with zone.writer() as transaction:
        transaction.replace(
            dns.name.from_text("s-5." + ORIGIN), 60, dns.rdata.from_text("IN", "A", "127.9.9.9")
        )
        transaction.update_serial(name=dns.name.from_text(ORIGIN))


def library_difference(zone: Any) -> int:
    """dnspython keeps versions and not their differences: sets of records are compared."""

    def all_of(reader: Any) -> set[tuple[Any, ...]]:
        return {
            (name, rdataset.rdtype, canonical_data(rdata))
            for name, rdataset in reader.iterate_rdatasets()
            for rdata in rdataset
        }

    with zone.reader() as reader:
        before = all_of(reader)
    with zone.reader() as reader:
        return len(before ^ all_of(reader))


def transferred(zone: Zone) -> int:
    query = dns.message.make_query(ORIGIN, "AXFR")
    incoming = IncomingTransfer(Zone(ORIGIN), AXFR, LIMITS)
    for wire in transfer_messages(query, axfr_records(zone)):
        if incoming.add_message(wire, dns.message.from_wire(wire, one_rr_per_rrset=True, xfr=True)):
            new = incoming.result().zone
            assert new is not None
            return len(new)
    raise AssertionError("not whole")


def memory() -> None:
    text = zone_text(hosts(HOSTS))
    print(f"\n## Memory at {HOSTS:,} hosts, MB of Python objects\n")
    print("| what | MB |")
    print("| --- | ---: |")
    for what, make in (
        ("zone, hosts and history", lambda: held_of(parse_zone_text(text, ORIGIN, LIMITS))),
        (
            "dnspython's own zone, records alone",
            lambda: dns.zone.from_text(text, ORIGIN, relativize=False),
        ),
    ):
        tracemalloc.start()
        kept = make()
        row(what, f"{tracemalloc.get_traced_memory()[0] / 1e6:.1f}")
        tracemalloc.stop()
        del kept


# A server


class Served:
    """A server in a thread of its own, with a zone of so many hosts."""

    def __init__(self, folder: Path, count: int) -> None:
        self.key = make_key(folder)
        (folder / "games.zone").write_text(zone_text(hosts(count)))
        way = f'file "games.zone"\n        update key="staff.{ORIGIN}"'
        settings = read_settings(write_settings(folder, "served", free_address(), way))
        self.host = StandaloneZones(settings, LIMITS, os.open(os.devnull, os.O_WRONLY))
        self.host.zones.start()
        assert self.host.zones.server_address is not None
        self.address = self.host.zones.server_address
        self._ends = False
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while not self._ends:
            self.host.loop.run_once(now_us() + 50_000)

    def close(self) -> None:
        self._ends = True
        self._thread.join()
        self.host.loop.close()
        self.host.zones.close()


def update(key: Any, k: int) -> dns.update.UpdateMessage:
    message = dns.update.UpdateMessage(ORIGIN)
    message.use_tsig(key)
    message.replace(f"s-{k % 1000}", 60, "A", f"127.8.{k >> 8 & 255}.{k & 255}")
    return message


def ask_all(address: Address, wires: Iterable[bytes], clients: int) -> tuple[float, HdrHistogram]:
    """Each client asks, waits for the answer and asks again. How many a second, and their times."""
    todo, times = iter(wires), HdrHistogram(1, 60_000_000, 3)
    poll, socks, sent = select.epoll(), dict[int, socket.socket](), dict[int, int]()
    began_all, done = now_us(), 0
    for _ in range(clients):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.connect(address)
        poll.register(sock.fileno(), select.EPOLLIN)
        sock.send(next(todo))
        socks[sock.fileno()], sent[sock.fileno()] = sock, now_us()
    while socks:
        for fd, _ in poll.poll(10):
            sock = socks[fd]
            if sock.recv(65_535)[3] & 15:
                raise SystemExit("an answer is not NOERROR")
            times.record_value(max(1, now_us() - sent[fd]))
            done += 1
            wire = next(todo, None)
            if wire is None:
                poll.unregister(fd)
                sock.close()
                del socks[fd]
            else:
                sock.send(wire)
                sent[fd] = now_us()
    return done / (now_us() - began_all) * 1e6, times


def server() -> None:
    print("\n## A server on loopback, zone of 1,000 hosts\n")
    print("| what | a second | median, ms | 99th percentile, ms |")
    print("| --- | ---: | ---: | ---: |")
    with tempfile.TemporaryDirectory() as folder:
        served = Served(Path(folder), 1000)
        query = dns.message.make_query("s-5." + ORIGIN, "A", flags=0).to_wire()
        for what, clients, wires in (
            (
                "signed updates, each durable, one client",
                1,
                [update(served.key, k).to_wire() for k in range(400)],
            ),
            (
                "signed updates, each durable, fifty clients",
                50,
                [update(served.key, 1000 + k).to_wire() for k in range(3000)],
            ),
            ("questions for an A record, one client", 1, [query] * 3000),
            ("questions for an A record, fifty clients", 50, [query] * 10_000),
        ):
            rate, times = ask_all(served.address, wires, clients)
            row(
                what,
                f"{rate:.0f}",
                f"{times.get_value_at_percentile(50) / 1e3:.2f}",
                f"{times.get_value_at_percentile(99) / 1e3:.2f}",
            )
        served.close()


def recovery() -> None:
    changes = 100_000
    print(f"\n## Recovery of a journal of {changes:,} changes\n")
    print("| what | s |")
    print("| --- | ---: |")
    with tempfile.TemporaryDirectory() as folder:
        held = held_of(parse_zone_text(zone_text(hosts(1000)), ORIGIN, LIMITS))
        journal = Journal(Folder(Path(folder)))
        journal.open()
        journal.compact(
            0, encode_entry(ZoneChanged(ORIGIN, difference_between(Zone(ORIGIN), held.zone, 0)))
        )
        entries = []
        for k in range(changes):
            draft = held.new_pending_version()
            owner = f"s-{k % 1000}.{ORIGIN}"
            for data in list(draft.record_data(owner, 1)):
                draft.remove(owner, 1, data)
            draft.add(Record(owner, 1, 60, (0x7F080000 + k).to_bytes(4, "big")))
            draft.advance_serial()
            difference = draft.difference(0)
            held.apply(difference, 0)
            entries.append(Entry(k + 1, encode_entry(ZoneChanged(ORIGIN, difference))))
        journal.append(entries)
        journal.close()

        def restart() -> ZoneReplay:
            again = Journal(Folder(Path(folder)))
            with garbage_collection_paused():
                found = again.open()
                replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
                replay.run(found.snapshot, (r.payload for r in found.records))
            again.close()
            return replay

        took, replay = timed(restart)
        assert replay.zones[ORIGIN].zone.serial == held.zone.serial
        row("read, checked and made into zones and hosts again", f"{took / 1e3:.2f}")


# From an update to an order


def to_an_order(count: int = 1000, updates: int = 200) -> None:
    print(
        f"\n## From the update's last byte to the order's first byte at the relay, {count:,} hosts\n"
    )
    print("| way | updates | median, ms | 99th percentile, ms |")
    print("| --- | ---: | ---: | ---: |")
    for way in ("the director is the primary", "the director follows a primary"):
        times = Way(count, updates, "follows" in way).run()
        row(
            way,
            updates,
            f"{times.get_value_at_percentile(50) / 1e3:.1f}",
            f"{times.get_value_at_percentile(99) / 1e3:.1f}",
        )


class Way:
    """A host is drained by an update; the order that shuts it out is waited for."""

    def __init__(self, count: int, updates: int, follows: bool) -> None:
        self._count, self._updates, self._follows = count, updates, follows

    def run(self) -> HdrHistogram:
        with tempfile.TemporaryDirectory() as name:
            return self._measure(Path(name))

    def _measure(self, folder: Path) -> HdrHistogram:
        lab, out = Lab(folder, 4), dict[str, int]()

        def ordered(order: Order) -> None:
            if isinstance(order, WithdrawEndpoint):
                out.setdefault(order.endpoint, now_us())

        lab.relay.on_order = ordered
        listen, second = free_address(), free_address()
        primary = None
        if self._follows:
            primary = Primary(lab.loop, folder, listen, hosts(self._count), second, lambda _: None)
            primary.start()
            key = primary._key
            way = f'primary "{format_address(listen)}" key="staff.{ORIGIN}"'
        else:
            key = make_key(folder)
            (folder / "games.zone").write_text(zone_text(hosts(self._count)))
            way = f'file "games.zone"\n        update key="staff.{ORIGIN}"'
        controller = lab.start_controller(write_settings(folder, "controller", second, way))
        assert lab.run_until(lambda: all(f.weights(READ) for f in lab.proxies))
        lab.run_for(3)
        target = listen if self._follows else second
        times = HdrHistogram(1, 60_000_000, 3)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.connect(target)
        for k in range(self._updates):
            name = f"s-{k}"
            message = dns.update.UpdateMessage(ORIGIN)
            message.use_tsig(key)
            message.replace(name, 60, "TXT", '"phase=draining"')
            wire = message.to_wire()
            began = now_us()
            sock.send(wire)
            assert lab.run_until(partial(out.__contains__, name), 20.0), (name, controller.log[-3:])
            times.record_value(max(1, out[name] - began))
            lab.run_for(0.06)
        sock.close()
        lab.stop_controller(controller)
        lab.close()
        if primary is not None:
            primary.close()
        return times


def main() -> None:
    print(f"Machine: {os.cpu_count()} cores; hosts simulated, all on loopback.")
    parts = {
        "large": large_zone,
        "memory": memory,
        "server": server,
        "recovery": recovery,
        "order": to_an_order,
    }
    for name in sys.argv[1:] or parts:
        parts[name]()


if __name__ == "__main__":
    main()

"""Benchmarks of zones without sockets: loading, differences, transfers, memory and recovery."""

from __future__ import annotations

import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import dns.message
import dns.name
import dns.rdata
import dns.transaction
import dns.versioned
import dns.zone

from benchmarks.zone_tables import LIMITS, print_head, print_row, sample_endpoints, timed_ms
from kelpcourse.lab.primary import ORIGIN, SERVICE, zone_text
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import Record as JournalRecord
from kelpcourse.store.journal import Journal
from kelpcourse.zones.endpoint_extraction import A
from kelpcourse.zones.incoming_transfer import IncomingTransfer
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.persistence import (
    ZoneChanged,
    ZoneReplay,
    encode_entry,
    garbage_collection_paused,
)
from kelpcourse.zones.records import SOA, Record, canonical_data
from kelpcourse.zones.transfer import AXFR, axfr_records, transfer_messages
from kelpcourse.zones.versions import Zone, difference_between
from kelpcourse.zones.zone_state import ZoneState
from kelpcourse.zones.zonefile import parse_zone_text

LARGE_ZONE_ENDPOINTS = 10_000
RECOVERED_ENDPOINTS = 1_000
RECOVERED_CHANGES = 100_000
CHANGE_ROUNDS = 100
TTL_S = 60
FIRST_CHANGED_ADDRESS = 0x7F080000  # 127.8.0.0


def large_zone() -> None:
    """Compares operations on a large zone with those of dnspython."""
    text = zone_text(sample_endpoints(LARGE_ZONE_ENDPOINTS))
    print_head(
        f"A zone of {LARGE_ZONE_ENDPOINTS:,} endpoints ({len(text.splitlines()):,} records)",
        "operation",
        "kelpcourse, ms",
        "dnspython zone, ms",
    )
    kelpcourse_ms, zone = timed_ms(lambda: parse_zone_text(text, ORIGIN, LIMITS))
    dnspython_ms, library_zone = timed_ms(
        lambda: dns.zone.from_text(text, ORIGIN, relativize=False, zone_factory=dns.versioned.Zone),
        rounds=1,
    )
    assert isinstance(library_zone, dns.versioned.Zone)
    print_row("load from a file", f"{kelpcourse_ms:.0f}", f"{dnspython_ms:.0f}")
    kelpcourse_ms, _ = timed_ms(lambda: _state_of(zone))
    print_row("extraction of endpoints", f"{kelpcourse_ms:.0f}", "-")
    _compare_differences(zone, library_zone)
    state = _state_of(zone)
    times_s = [_timed_change_s(state, number) for number in range(CHANGE_ROUNDS)]
    dnspython_ms, _ = timed_ms(lambda: _change_library_zone(library_zone))
    kelpcourse_ms = statistics.median(times_s) * 1e3
    print_row("change of one endpoint's address", f"{kelpcourse_ms:.2f}", f"{dnspython_ms:.2f}")
    kelpcourse_ms, _ = timed_ms(lambda: _transfer(zone), rounds=1)
    print_row("AXFR, encoded and decoded, without sockets", f"{kelpcourse_ms:.0f}", "-")


def memory() -> None:
    """Compares the memory of a large zone with that of dnspython's zone."""
    text = zone_text(sample_endpoints(LARGE_ZONE_ENDPOINTS))
    title = f"Memory of Python objects for {LARGE_ZONE_ENDPOINTS:,} endpoints"
    print_head(title, "data", "MB")
    factories: dict[str, Callable[[], object]] = {
        "kelpcourse: zone, endpoints and history": lambda: _state_of(
            parse_zone_text(text, ORIGIN, LIMITS)
        ),
        "dnspython zone, records only": lambda: dns.zone.from_text(text, ORIGIN, relativize=False),
    }
    for label, factory in factories.items():
        tracemalloc.start()
        result = factory()
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print_row(label, f"{used_bytes / 1e6:.1f}")
        del result


def recovery() -> None:
    """Measures the recovery of a zone from a long journal."""
    print_head(f"Recovery of a journal of {RECOVERED_CHANGES:,} changes", "operation", "s")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        last_serial = _write_journal(folder)
        elapsed_ms, replay = timed_ms(lambda: _replay_journal(folder))
        assert replay.zones[ORIGIN].zone.serial == last_serial
        print_row("read, verify, and rebuild zones and endpoints", f"{elapsed_ms / 1e3:.2f}")


def _state_of(zone: Zone) -> ZoneState:
    state = ZoneState(zone.origin, SERVICE, LIMITS)
    state.apply(state.difference_to(zone, 0), 0)
    return state


def _compare_differences(zone: Zone, library_zone: dns.versioned.Zone) -> None:
    changed = zone.copy()
    moved = [record for record in changed.records() if record.owner.startswith("s-77.")]
    for record in moved:
        changed.remove(record)
    pending = PendingVersion(zone)
    pending.advance_serial()
    soa_record = Record(zone.origin, SOA, TTL_S, zone.soa_data)
    changed.remove(soa_record)
    changed.add(soa_record._replace(data=pending.soa_data))
    kelpcourse_ms, difference = timed_ms(lambda: difference_between(zone, changed, 0))
    dnspython_ms, _ = timed_ms(lambda: _library_difference(library_zone), rounds=1)
    label = f"difference of two versions ({difference.record_count} records)"
    print_row(label, f"{kelpcourse_ms:.0f}", f"{dnspython_ms:.0f}")


def _timed_change_s(state: ZoneState, number: int) -> float:
    """Returns the time to prepare and apply a change and update the endpoints, in seconds."""
    owner = f"s-{number}.{ORIGIN}"
    start_s = time.perf_counter()
    pending = state.new_pending_version()
    pending.remove_set(owner, A)
    pending.add(Record(owner, A, TTL_S, b"\x7f\x09\x09\x09"))
    pending.advance_serial()
    state.apply(pending.difference(0), 0)
    return time.perf_counter() - start_s


def _change_library_zone(zone: dns.versioned.Zone) -> None:
    with zone.writer() as transaction:
        name = dns.name.from_text("s-5." + ORIGIN)
        transaction.replace(name, TTL_S, dns.rdata.from_text("IN", "A", "127.9.9.9"))
        transaction.update_serial(name=dns.name.from_text(ORIGIN))


def _library_difference(zone: dns.versioned.Zone) -> int:
    """Returns the number of records that differ, by comparing sets, as dnspython keeps versions without differences."""
    with zone.reader() as reader:
        before = _all_records(reader)
    with zone.reader() as reader:
        return len(before ^ _all_records(reader))


def _all_records(reader: dns.transaction.Transaction) -> set[tuple[dns.name.Name, int, bytes]]:
    return {
        (name, int(rdataset.rdtype), canonical_data(rdata))
        for name, rdataset in reader.iterate_rdatasets()
        for rdata in rdataset
    }


def _transfer(zone: Zone) -> int:
    """Returns the number of records that are received."""
    query = dns.message.make_query(ORIGIN, "AXFR")
    incoming = IncomingTransfer(Zone(ORIGIN), AXFR, LIMITS)
    for wire in transfer_messages(query, axfr_records(zone)):
        message = dns.message.from_wire(wire, one_rr_per_rrset=True, xfr=True)
        if incoming.add_message(wire, message):
            received = incoming.result().zone
            assert received is not None
            return len(received)
    raise AssertionError("the transfer is not complete")


def _write_journal(folder: Path) -> int:
    """Writes a zone and its changes to a journal; returns the last serial."""
    text = zone_text(sample_endpoints(RECOVERED_ENDPOINTS))
    state = _state_of(parse_zone_text(text, ORIGIN, LIMITS))
    journal = Journal(Folder(folder))
    journal.open()
    first = difference_between(Zone(ORIGIN), state.zone, 0)
    journal.compact(0, encode_entry(ZoneChanged(ORIGIN, first)))
    entries = []
    for number in range(RECOVERED_CHANGES):
        owner = f"s-{number % RECOVERED_ENDPOINTS}.{ORIGIN}"
        pending = state.new_pending_version()
        pending.remove_set(owner, A)
        address = (FIRST_CHANGED_ADDRESS + number).to_bytes(4, "big")
        pending.add(Record(owner, A, TTL_S, address))
        pending.advance_serial()
        difference = pending.difference(0)
        state.apply(difference, 0)
        payload = encode_entry(ZoneChanged(ORIGIN, difference))
        entries.append(JournalRecord(number + 1, payload))
    journal.append(entries)
    journal.close()
    return state.zone.serial


def _replay_journal(folder: Path) -> ZoneReplay:
    journal = Journal(Folder(folder))
    with garbage_collection_paused():
        contents = journal.open()
        replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
        replay.run(contents.snapshot, (record.payload for record in contents.records))
    journal.close()
    return replay

"""Tests of the store of the zones when a write is incomplete, the disk is full or a sync fails."""

from __future__ import annotations

import socket
import threading

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
import pytest

from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import HEADER_BYTES, Kind, read
from kelpcourse.store.recovery import from_bytes
from kelpcourse.zones.persistence import ZoneReplay
from tests.zonerig import (
    KEY,
    SUBMIT,
    World,
    added_endpoint,
    room_a_removal,
    start_primary,
    update_message,
)
from tests.zonesamples import LIMITS, ORIGIN, SERVICE

NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


def test_an_update_truncated_at_any_byte_is_recovered_completely_or_not_at_all(
    world: World,
) -> None:
    node, client = start_primary(world)
    for k in range(3):
        assert client.update(*added_endpoint(f"n-{k}")) == NOERROR
    final = sorted(node.zones.zone_states[ORIGIN].zone.records())
    node.kill()
    folder = Folder(node.path / "state")
    files = {name: folder.read(name) for name in folder.names()}
    journal = max(name for name in files if name.startswith("journal"))
    data = files[journal]
    records = read(Kind.JOURNAL, data).records
    versions: dict[int, int] = {}
    for cut in range(HEADER_BYTES, len(data) + 1):
        found = from_bytes({**files, journal: data[:cut]})
        if cut % 7 and cut < len(data) - 40 and len(found.records) in versions:
            # The tests of the store check each byte; this test checks each version and the end of the last record.
            continue
        replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
        replay.run(found.snapshot, [r.payload for r in found.records])
        zone_state = replay.zones[ORIGIN]
        serial = zone_state.zone.serial if zone_state.zone.exists else 0
        versions[len(found.records)] = serial
        assert {f"n-{k}" for k in range(serial - 1)} == {
            h for h in zone_state.extractor.endpoints if h[0] == "n"
        }
        assert replay.warnings == []
    assert len(records) == 4  # The zone file and three updates
    assert versions == {count: count for count in range(5)}
    assert sorted(zone_state.zone.records()) == final


BLOCKED_TIMEOUT_S = 60.0


class FaultyFolder(Folder):
    """A folder whose writes or syncs fail if the test sets the flag, or wait while it blocks them."""

    disk_full = False
    sync_fails = False
    blocked = threading.Event()  # writes wait until it is set
    blocked.set()

    def write(self, fd: int, data: bytes, offset: int) -> None:
        FaultyFolder.blocked.wait(BLOCKED_TIMEOUT_S)
        if FaultyFolder.disk_full:
            raise OSError(28, "No space left on device")
        super().write(fd, data, offset)

    def sync(self, fd: int) -> None:
        if FaultyFolder.sync_fails:
            raise OSError(5, "Input/output error")


def test_updates_are_rejected_and_queries_answered_while_the_disk_is_full(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world)
    monkeypatch.setattr(FaultyFolder, "disk_full", True)
    assert client.update(*added_endpoint("s-9")) == dns.rcode.SERVFAIL
    assert (node.serial, "s-9" in node.statuses) == (1, False)
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert node.log.named("store_failed")
    monkeypatch.setattr(FaultyFolder, "disk_full", False)
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert node.serial == 2


def test_a_failed_sync_undoes_all_pending_updates(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world)
    monkeypatch.setattr(FaultyFolder, "sync_fails", True)
    codes = client.update_all([update_message(*added_endpoint(f"n-{k}")) for k in range(5)])
    assert codes == [dns.rcode.SERVFAIL] * 5
    # No new generation exists yet.
    assert client.update(*added_endpoint("s-9")) == dns.rcode.SERVFAIL
    monkeypatch.setattr(FaultyFolder, "sync_fails", False)
    world.run_until(
        lambda: not node.zones.store.writer.broken if node.zones.store.writer else False
    )
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert (node.serial, len(node.statuses)) == (2, 5)
    node.kill()
    assert set(world.node(node.path).statuses) == {"s-0", "s-1", "s-2", "s-3", "s-9"}


# Updates that are sent after one that adds s-9, and their responses if that one becomes durable.
DERIVED_RESPONSES = [
    pytest.param(added_endpoint("s-9"), NOERROR, id="no_change"),
    pytest.param([("present", "s-9"), *added_endpoint("s-9")], NOERROR, id="prerequisite_holds"),
    pytest.param([("absent", "s-9"), *added_endpoint("s-9")], dns.rcode.YXDOMAIN, id="fails"),
    pytest.param(room_a_removal(), REFUSED, id="denied"),
]


@pytest.mark.parametrize("tcp", [False, True], ids=["udp", "tcp"])
@pytest.mark.parametrize(("derived", "rcode"), DERIVED_RESPONSES)
def test_a_response_derived_from_a_pending_update_waits_until_that_is_durable(
    world: World, derived: list[tuple[str, ...]], rcode: dns.rcode.Rcode, tcp: bool
) -> None:
    """Guards against NOERROR for an update whose records a kill takes back, as they were only staged by another one."""
    node, client = start_primary(world, update="most=0.5", classes=(SUBMIT,))
    first = client.send(update_message(*added_endpoint("s-9")).to_wire(), tcp)
    second = client.send(update_message(*derived).to_wire(), tcp)
    response = client.receive(second, tcp)
    assert (response[3] & 15, node.serial) == (rcode, 2)
    node.kill()
    assert "s-9" in world.node(node.path).statuses
    first.close()


@pytest.mark.parametrize("tcp", [False, True], ids=["udp", "tcp"])
@pytest.mark.parametrize(("derived", "rcode"), DERIVED_RESPONSES)
def test_a_response_derived_from_an_update_that_fails_is_servfail(
    world: World,
    monkeypatch: pytest.MonkeyPatch,
    derived: list[tuple[str, ...]],
    rcode: dns.rcode.Rcode,
    tcp: bool,
) -> None:
    """Guards against NOERROR for an update whose records a full disk takes back."""
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world, update="most=0.5", classes=(SUBMIT,))
    monkeypatch.setattr(FaultyFolder, "disk_full", True)
    sent = [
        client.send(update_message(*calls).to_wire(), tcp)
        for calls in (added_endpoint("s-9"), derived)
    ]
    assert [client.receive(sock, tcp)[3] & 15 for sock in sent] == [dns.rcode.SERVFAIL] * 2
    assert node.serial == 1
    monkeypatch.setattr(FaultyFolder, "disk_full", False)
    assert client.update(*added_endpoint("s-9")) == NOERROR
    assert client.update(*derived) == rcode


def test_responses_that_wait_for_the_disk_are_limited(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world)
    max_waiting = LIMITS.max_pending_dns_updates
    monkeypatch.setattr(FaultyFolder, "blocked", threading.Event())
    first = client.send(update_message(*added_endpoint("s-9")).to_wire())
    world.run_until(lambda: node.disk_is_busy)
    message = update_message(*added_endpoint("s-9"))
    sent = []
    for count in range(max_waiting + 3):
        message.use_tsig(KEY, fudge=300 + count)  # another MAC each time
        sent.append(client.send(message.to_wire()))
        while node.counters["zone_updates"] < count + 2:
            world.run_once()
    assert [client.receive(sock)[3] & 15 for sock in sent[max_waiting:]] == [2, 2, 2]
    assert node.counters["dns_noerror"] == 0
    FaultyFolder.blocked.set()
    assert [client.receive(sock)[3] & 15 for sock in (first, *sent[:max_waiting])] == (
        [NOERROR] * (max_waiting + 1)
    )


def test_a_removal_that_failed_does_not_count_for_the_removal_limit(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    node, client = start_primary(world, update="most=0.5 within=3600")
    monkeypatch.setattr(FaultyFolder, "disk_full", True)
    removals = [update_message(("delete", f"s-{number}")) for number in range(2)]
    assert client.update_all(removals) == [dns.rcode.SERVFAIL] * 2
    monkeypatch.setattr(FaultyFolder, "disk_full", False)
    assert client.update(("delete", "s-2")) == NOERROR
    assert client.update(("delete", "s-3")) == NOERROR
    assert client.update(("delete", "s-0")) == REFUSED
    assert set(node.statuses) == {"s-0", "s-1"}


def test_nothing_shows_an_update_that_waits_for_the_disk(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a secondary or a controller that holds a version which a crash takes back."""
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", FaultyFolder)
    notified = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    notified.bind(("127.0.0.1", 0))
    notified.setblocking(False)
    node, client = start_primary(world, more=f'notify "127.0.0.1:{notified.getsockname()[1]}"')
    world.run_until(lambda: received_notify(notified))  # of the first version
    monkeypatch.setattr(FaultyFolder, "blocked", threading.Event())
    update = client.send(update_message(*added_endpoint("s-9")).to_wire())
    world.run_until(lambda: node.disk_is_busy)
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert client.query(f"s-9.{ORIGIN}", "A").rcode() == dns.rcode.NXDOMAIN
    transfer = dns.message.make_query(ORIGIN, "AXFR")
    transfer.use_tsig(KEY)
    assert client.exchange(transfer, tcp=True).answer[0][0].serial == 1
    assert "s-9" not in node.statuses
    assert not received_notify(notified)
    FaultyFolder.blocked.set()
    assert client.receive(update)[3] & 15 == NOERROR
    world.run_until(lambda: received_notify(notified))
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 2
    notified.close()


def received_notify(sock: socket.socket) -> bool:
    """Returns whether a NOTIFY message has arrived, and answers it."""
    try:
        wire, peer = sock.recvfrom(512)
    except BlockingIOError:
        return False
    sock.sendto(dns.message.make_response(dns.message.from_wire(wire)).to_wire(), peer)
    return True

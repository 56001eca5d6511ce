"""Zones on loopback sockets: answers, signed updates, transfers, crashes, floods."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from kelpcourse.memory.counters import Counters
from kelpcourse.store.folder import Folder
from kelpcourse.store.frames import HEADER_BYTES, Kind, read
from kelpcourse.store.recovery import from_bytes
from kelpcourse.zones.persistence import ZoneReplay
from kelpcourse.zones.request_handler import DnsRequestHandler
from kelpcourse.zones.restore import RestoreResult
from kelpcourse.zones.update_policy import EndpointClass
from tests.standins import RecordingLog
from tests.zonerig import (
    KEY,
    MS,
    OTHER,
    QUICK,
    SECOND,
    Client,
    Part,
    World,
    fds,
    host_added,
    update_of,
)
from tests.zoning import LIMITS, ORIGIN, SERVICE, held, host, rec, rooms, zone

SUBMIT = EndpointClass("move-submit", frozenset({"room-a"}), frozenset())
NOERROR, REFUSED = dns.rcode.NOERROR, dns.rcode.REFUSED


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    made.close()


def started(
    world: World,
    *records: object,
    update: str = "",
    more: str = "",
    classes: tuple[EndpointClass, ...] = (),
) -> tuple[Part, Client]:
    part = world.primary(zone(1, rooms()), update=update, more=more, classes=classes)
    world.until(lambda: part.zones.store.writer is not None and not part.zones.store.writer.broken)
    return part, Client(world, part)


def room_a_removed() -> list[tuple[str, ...]]:
    return [("delete", f"{SERVICE}.room-a"), ("delete", "s-0"), ("delete", "s-2")]


# Answers


def test_questions_are_answered_over_udp_and_tcp(world: World) -> None:
    _part, client = started(world)
    for tcp in (False, True):
        answer = client.query(f"{SERVICE}.room-a.{ORIGIN}", "SRV", tcp)
        assert answer.flags & dns.flags.AA
        assert len(answer.answer[0]) == 2
    assert client.query("nobody." + ORIGIN, "A").rcode() == dns.rcode.NXDOMAIN
    assert client.query("example.com.", "A").rcode() == REFUSED
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert client.query(ORIGIN, "SOA", use_edns=1).rcode() == dns.rcode.BADVERS


def test_an_answer_that_does_not_fit_is_cut_and_whole_over_tcp(world: World) -> None:
    many = [
        r for k in range(60) for r in host(f"host-with-a-long-name-{k}", address=f"127.0.1.{k}")
    ]
    part = world.primary(zone(1, many))
    client, owner = Client(world, part), f"{SERVICE}.room-a.{ORIGIN}"
    cut = client.query(owner, "SRV")
    assert cut.flags & dns.flags.TC
    assert len(cut.to_wire()) <= 512
    assert client.query(owner, "SRV", use_edns=0, payload=4096).flags & dns.flags.TC
    assert len(client.query(owner, "SRV", tcp=True).answer[0]) == 60


# Updates


def test_a_signed_update_is_durable_before_it_is_answered_and_announced(world: World) -> None:
    part, client = started(world)
    assert set(part.list) == {f"s-{k}" for k in range(4)}
    assert client.update(*host_added("s-9")) == NOERROR
    assert (set(part.list) - {f"s-{k}" for k in range(4)}, part.serial) == ({"s-9"}, 2)
    part.kill()
    again = world.part(part.path)
    assert "s-9" in again.list
    assert again.serial == 2
    assert again.told[0][1]  # one whole list, at once


def test_what_is_not_signed_or_not_allowed_changes_nothing(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    part, client = started(world, update='{ names "*.room-a"; types "SRV"; }')
    add = host_added("s-9")
    assert client.update(*add, key=None) == REFUSED
    wrong = client.send(update_of(*add, key=OTHER).to_wire())
    answer = dns.message.from_wire(client.hear(wrong), keyring=False)
    assert (answer.rcode(), answer.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADSIG)
    stranger = dns.tsig.Key(dns.name.from_text("nobody."), KEY.secret, KEY.algorithm)
    answer = dns.message.from_wire(
        client.hear(client.send(update_of(*add, key=stranger).to_wire())), keyring=False
    )
    assert (answer.rcode(), answer.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADKEY)
    message = update_of(*add)
    with monkeypatch.context() as past:
        past.setattr("dns.message.time.time", lambda: 1_700_000_000)
        wire = message.to_wire()
    answer = dns.message.from_wire(client.hear(client.send(wire)), keyring=False)
    assert (answer.rcode(), answer.tsig_error) == (dns.rcode.NOTAUTH, dns.rcode.BADTIME)
    with pytest.raises(dns.tsig.PeerBadTime):  # told under the key, so that the client believes it
        dns.message.from_wire(
            client.hear(client.send(wire)), keyring={KEY.name: KEY}, request_mac=message.mac or b""
        )
    assert client.update(*add) == REFUSED  # A and TXT at s-9 are beyond the grant
    assert client.update(add[0]) == NOERROR
    assert (set(part.list), part.serial) == ({f"s-{k}" for k in range(4)}, 2)


def test_updates_are_all_or_nothing_and_their_prerequisites_hold(world: World) -> None:
    part, client = started(world)
    assert client.update(("present", "s-0", "AAAA"), *host_added("s-9")) == dns.rcode.NXRRSET
    assert (
        client.update(*host_added("s-9"), ("add", "x.elsewhere.org.", "60", "A", "10.0.0.1"))
        == dns.rcode.NOTZONE
    )
    assert part.serial == 1
    assert client.update(("absent", "s-9"), *host_added("s-9"), tcp=True) == NOERROR
    assert client.update(("absent", "s-9"), *host_added("s-9"), tcp=True) == dns.rcode.YXDOMAIN
    assert client.update(*host_added("s-9")) == NOERROR  # stands already: nothing changes
    assert part.serial == 2


def test_an_update_sent_twice_takes_effect_once_and_is_answered_twice(world: World) -> None:
    """A client repeats what got no answer; a recorded removal must not undo the restore that followed it."""
    part, client = started(world)
    message = update_of(("delete", "s-0"))
    wire = message.to_wire()
    sent = [client.send(wire), client.send(wire)]
    assert [dns.message.from_wire(client.hear(s), keyring=False).rcode() for s in sent] == [
        NOERROR
    ] * 2
    assert client.update(("add", "s-0", "60", "A", "127.0.0.10")) == NOERROR
    late = client.send(wire)
    assert dns.message.from_wire(client.hear(late), keyring=False).rcode() == NOERROR
    assert ("s-0" in part.list, part.serial) == (True, 3)
    assert part.counters["zone_updates_deduplicated"] == 2


def test_all_of_room_a_removed_at_once_is_refused_beyond_most(world: World) -> None:
    part, client = started(world, update="most=0.5", classes=(SUBMIT,))
    assert client.update(*room_a_removed()) == REFUSED
    assert (len(part.list), part.serial) == (4, 1)
    assert "takes away 2 of 2 ready hosts of class move-submit" in str(
        part.log.named("zone_update_denied")[0]
    )
    assert client.update(("delete", "s-0")) == NOERROR
    assert set(part.list) == {"s-1", "s-2", "s-3"}


def test_all_of_room_a_removed_is_obeyed_alarmed_and_put_back_as_started_anew(world: World) -> None:
    part, client = started(world, classes=(SUBMIT,))
    assert client.update(*room_a_removed()) == NOERROR
    assert set(part.list) == {"s-1", "s-3"}
    assert part.told[-1] == ({"s-0": "gone", "s-2": "gone"}, False)  # as one change
    assert part.log.named("zone_classes_without_endpoints")[-1]["classes"] == ["move-submit"]
    world.pass_us(3 * SECOND)  # longer than the grace
    (part.path / "state" / "command-1.json").write_bytes(
        b'{"origin":"%s","serial":1}' % ORIGIN.encode()
    )
    answer = part.path / "state" / "answer-1.json"
    world.until(answer.exists)
    assert msgspec.json.decode(answer.read_bytes(), type=RestoreResult) == RestoreResult(3, 4)
    assert set(part.list) == {f"s-{k}" for k in range(4)}
    assert part.serial == 3
    assert (
        part.members["s-0"].started_ms > 1e12
    )  # it counts as started now: the rule on cold hosts covers it
    assert part.members["s-1"].started_ms == 0
    assert part.log.named("zone_classes_without_endpoints")[-1]["classes"] == []


def test_a_restore_that_can_not_be_is_told(world: World) -> None:
    part, _ = started(world)
    for number, body in (
        (1, b'{"origin":"%s","serial":77}' % ORIGIN.encode()),
        (2, b'{"origin":"x.","serial":1}'),
        (3, b"{"),
    ):
        (part.path / "state" / f"command-{number}.json").write_bytes(body)
        answer = part.path / "state" / f"answer-{number}.json"
        world.until(answer.exists)
        assert msgspec.json.decode(answer.read_bytes(), type=RestoreResult).error
    assert part.serial == 1


def test_fifty_updates_of_one_turn_share_syncs(world: World) -> None:
    part, client = started(world)
    codes = client.all_of(
        [update_of(*host_added(f"n-{k}", address=f"127.0.2.{k}")) for k in range(50)]
    )
    assert codes == [NOERROR] * 50
    assert (len(part.list), part.serial) == (54, 51)


# Crashes and bad disks


def test_an_update_torn_at_any_byte_is_there_as_a_whole_or_not_at_all(world: World) -> None:
    part, client = started(world)
    for k in range(3):
        assert client.update(*host_added(f"n-{k}")) == NOERROR
    final = sorted(part.zones.zone_states[ORIGIN].zone.records())
    part.kill()
    folder = Folder(part.path / "state")
    files = {name: folder.read(name) for name in folder.names()}
    journal = max(name for name in files if name.startswith("journal"))
    data = files[journal]
    records = read(Kind.JOURNAL, data).records
    versions: dict[int, int] = {}
    for cut in range(HEADER_BYTES, len(data) + 1):
        found = from_bytes({**files, journal: data[:cut]})
        if cut % 7 and cut < len(data) - 40 and len(found.records) in versions:
            continue  # the store's own tests look at each byte; here each version and the last record's tail
        replay = ZoneReplay([ORIGIN], SERVICE, LIMITS)
        replay.run(found.snapshot, [r.payload for r in found.records])
        known = replay.zones[ORIGIN]
        serial = known.zone.serial if known.zone.exists else 0
        versions[len(found.records)] = serial
        assert {f"n-{k}" for k in range(serial - 1)} == {
            h for h in known.extractor.endpoints if h[0] == "n"
        }
        assert replay.warnings == []
    assert len(records) == 4  # the file, and three updates
    assert versions == {count: count for count in range(5)}
    assert sorted(known.zone.records()) == final


class Full(Folder):
    full = False
    deaf = False

    def write(self, fd: int, data: bytes, at: int) -> None:
        if Full.full:
            raise OSError(28, "No space left on device")
        super().write(fd, data, at)

    def sync(self, fd: int) -> None:
        if Full.deaf:
            raise OSError(5, "Input/output error")


def test_a_full_disk_turns_updates_away_and_serves_on(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", Full)
    part, client = started(world)
    monkeypatch.setattr(Full, "full", True)
    assert client.update(*host_added("s-9")) == dns.rcode.SERVFAIL
    assert (part.serial, "s-9" in part.list) == (1, False)
    assert client.query(ORIGIN, "SOA").answer[0][0].serial == 1
    assert part.log.named("store_failed")
    monkeypatch.setattr(Full, "full", False)
    assert client.update(*host_added("s-9")) == NOERROR
    assert part.serial == 2


def test_a_failed_sync_takes_back_all_that_was_built_on_it(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("kelpcourse.zones.zone_store.Folder", Full)
    part, client = started(world)
    monkeypatch.setattr(Full, "deaf", True)
    codes = client.all_of([update_of(*host_added(f"n-{k}")) for k in range(5)])
    assert codes == [dns.rcode.SERVFAIL] * 5
    assert client.update(*host_added("s-9")) == dns.rcode.SERVFAIL  # no new generation stands yet
    monkeypatch.setattr(Full, "deaf", False)
    world.until(lambda: not part.zones.store.writer.broken if part.zones.store.writer else False)
    assert client.update(*host_added("s-9")) == NOERROR
    assert (part.serial, len(part.list)) == (2, 5)
    part.kill()
    assert set(world.part(part.path).list) == {"s-0", "s-1", "s-2", "s-3", "s-9"}


# Files


def test_a_file_that_changes_is_read_again_and_one_that_is_wrong_changes_nothing(
    world: World,
) -> None:
    part, _client = started(world)
    path = part.path / "games.zone"
    good = path.read_text()
    path.write_text(
        good.replace(" 1 60 10 600 30", " 2 60 10 600 30").replace("127.0.0.10", "127.0.0.99")
    )
    world.until(lambda: part.serial == 2)
    assert part.members["s-0"].address[0] == "127.0.0.99"
    path.write_text("nonsense here\n")
    world.until(lambda: part.log.named("zone_file_rejected"))
    assert f"{path}:1:" in str(part.log.named("zone_file_rejected")[0]["reason"])
    path.write_text(good.replace("127.0.0.10", "127.0.0.77"))  # its serial goes backwards
    world.until(lambda: len(part.log.named("zone_file_rejected")) == 2)
    assert "serial 1 is not believed beside 2: behind" in str(
        part.log.named("zone_file_rejected")[1]["reason"]
    )
    assert (part.serial, len(part.list)) == (2, 4)


def test_updates_outlive_the_file_that_they_started_from(world: World) -> None:
    part, client = started(world)
    assert client.update(*host_added("s-9")) == NOERROR
    part.zones.reload()
    world.pass_us(100 * MS)
    assert "s-9" in part.list
    part.kill()
    again = world.part(part.path)
    world.pass_us(100 * MS)
    assert "s-9" in again.list
    assert again.log.named("zone_file_rejected") == []


# Transfers


def test_a_secondary_follows_by_notify_and_differences(world: World) -> None:
    second = world.secondary(("127.0.0.1", 1))
    part, client = started(world, more=f'notify "127.0.0.1:{second.address[1]}"')
    second.kill()
    follower = world.secondary(part.address, name="third")
    world.until(lambda: follower.serial == 1)
    assert follower.list == part.list
    assert client.update(*host_added("s-9")) == NOERROR
    follower.zones.notify_received(ORIGIN)
    world.until(lambda: follower.serial == 2)
    assert "s-9" in follower.list
    assert part.counters["zone_ixfr_out"] == 1
    assert sorted(follower.zones.zone_states[ORIGIN].zone.records()) == sorted(
        part.zones.zone_states[ORIGIN].zone.records()
    )


def test_notify_goes_out_until_it_is_heard(world: World) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    _part, _client = started(world, more=f'notify "127.0.0.1:{sock.getsockname()[1]}"')
    heard: list[tuple[bytes, tuple[str, int]]] = []

    def told() -> int:
        with contextlib.suppress(BlockingIOError):
            heard.append(sock.recvfrom(4096))
        return len(heard)

    world.until(lambda: told() >= 2)
    message = dns.message.from_wire(heard[-1][0])
    assert (message.opcode(), message.answer[0][0].serial) == (dns.opcode.NOTIFY, 1)
    sock.sendto(dns.message.make_response(message).to_wire(), heard[-1][1])
    world.pass_us(3 * SECOND)
    assert told() == 2
    sock.close()


def test_transfers_are_for_allowed_keys_and_axfr_for_tcp(world: World) -> None:
    _, client = started(world)
    assert client.query(ORIGIN, "AXFR", tcp=True).rcode() == REFUSED
    signed = dns.message.make_query(ORIGIN, "AXFR")
    signed.use_tsig(KEY)
    assert client.ask(signed).rcode() == dns.rcode.FORMERR
    signed = dns.message.make_query(ORIGIN, "AXFR")
    signed.use_tsig(KEY)
    assert len(client.ask(signed, tcp=True).answer) >= 8


def test_a_zone_of_many_messages_comes_through_whole(world: World) -> None:
    many = [
        r
        for k in range(700)
        for r in host(f"h-{k}", address=f"127.{k % 200}.1.{k // 200}", txt='"kind=m2"')
    ]
    part = world.primary(zone(1, many))
    second = world.secondary(part.address)
    world.until(lambda: second.serial == 1)
    assert len(second.list) == 700


# Floods


def test_garbage_halves_and_loops_are_answered_or_dropped_and_nothing_is_kept(world: World) -> None:
    part, client = started(world)
    before = fds()
    loop = b"\x12\x34\0\0\0\x01\0\0\0\0\0\0\xc0\x0c\0\x01\0\x01"  # a name that points at itself
    longest = (
        b"\x12\x34\0\0\0\x01\0\0\0\0\0\0"
        + b"\x3f"
        + b"a" * 63
        + b"\x3f"
        + b"b" * 63
        + b"\x3f"
        + b"c" * 63
        + b"\x3d"
        + b"d" * 61
        + b"\0\0\x01\0\x01"
    )
    over = longest.replace(b"\x3d", b"\x3f" + b"e" * 63 + b"\x3d", 1)
    for wire, rcode in ((loop, dns.rcode.FORMERR), (over, dns.rcode.FORMERR), (longest, REFUSED)):
        assert (
            dns.message.from_wire(client.hear(client.send(wire)), continue_on_error=True).rcode()
            == rcode
        )
    for wire in (b"", b"\0" * 11, b"\xff" * 300):  # too short, or an answer: nothing is said
        client.send(wire).close()
    halves = [client.send(b"\x00\x50abc", tcp=True) for _ in range(20)]
    idle = [client.send(b"", tcp=True) for _ in range(100)]
    world.until(lambda: part.counters["dns_connections"] >= 100)
    world.pass_us(500 * MS)
    assert client.query(ORIGIN, "SOA", tcp=True).rcode() == NOERROR
    for sock in (*halves, *idle):
        sock.close()
    world.pass_us(300 * MS)
    assert fds() <= before + 3


def test_connections_are_bounded_and_the_quietest_goes_first(world: World) -> None:
    part = world.primary(zone(1, rooms()), limits=replace(QUICK, max_dns_tcp_connections=8))
    client = Client(world, part)
    crowd = []
    for _ in range(30):
        crowd.append(socket.create_connection(part.address))
        world.turn()
    assert client.query(ORIGIN, "SOA", tcp=True).rcode() == NOERROR
    assert part.counters["dns_connections_evicted"] >= 22
    for sock in crowd:
        sock.close()


@pytest.mark.parametrize(
    "drip", [b"\0", b"\1"]
)  # messages of no length, and a long one that never ends
def test_a_slow_drip_does_not_hold_a_place(world: World, drip: bytes) -> None:
    _part, client = started(world)
    sock = client.send(b"", tcp=True)
    sock.setblocking(False)
    for _ in range(200):
        try:
            sock.send(drip)
        except OSError:
            break
        world.pass_us(2 * MS)
    else:
        raise AssertionError("it is held for good")


def test_a_thousand_unsigned_updates_change_nothing_and_are_all_answered(world: World) -> None:
    part, client = started(world)
    wire = update_of(*host_added("s-9"), key=None).to_wire()
    for _ in range(1000):
        client.send(wire).close()
        world.turn()
    assert client.update(*host_added("s-8")) == NOERROR
    assert (part.serial, "s-9" in part.list) == (2, False)
    assert part.counters["zone_updates_denied"] == 1000


class RejectingContext:
    """A context for the request handler alone."""

    classes: tuple[EndpointClass, ...] = ()

    def now_us(self) -> int:
        return 0

    def unix_ms(self) -> int:
        return 0

    def stage(self, ticket: object) -> bool:
        raise AssertionError("nothing that is not signed comes so far")

    def notify_received(self, origin: str) -> None:
        pass


VALID = [
    dns.message.make_query(ORIGIN, "SOA").to_wire(),
    update_of(*host_added("x"), key=None).to_wire(),
    update_of(*host_added("x")).to_wire(),
    dns.message.make_query(ORIGIN, "IXFR", use_edns=0).to_wire(),
]


@given(
    st.one_of(
        st.binary(max_size=200),
        st.builds(
            lambda wire, at, junk: (
                wire[: at % len(wire)] + junk + wire[(at + len(junk)) % len(wire) :]
            ),
            st.sampled_from(VALID),
            st.integers(0, 500),
            st.binary(min_size=1, max_size=8),
        ),
    ),
    st.booleans(),
)
@settings(
    max_examples=1500, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
def test_whatever_comes_in_the_desk_says_one_thing_at_most_and_changes_nothing(
    wire: bytes, tcp: bool
) -> None:
    start = held(zone(1, rooms()))
    said: list[bytes] = []
    handler = DnsRequestHandler(
        {ORIGIN: start}, {}, {"k": OTHER}, LIMITS, Counters(), RecordingLog(), RejectingContext()
    )
    handler.handle(wire, ("127.0.0.1", 9), tcp, lambda wires: said.extend(wires))
    assert len(said) <= 1
    assert all(answer[:2] == wire[:2] and answer[2] & 0x80 for answer in said)
    assert (start.zone.serial, len(start.extractor.endpoints), start.staged_updates) == (1, 4, 0)


def test_records_of_other_types_are_carried_along(world: World) -> None:
    part = world.primary(
        zone(
            1, rooms(), [rec("x", "MX", "5 mail.example.org."), rec("x", "TYPE65400", "\\# 2 abcd")]
        )
    )
    assert len(Client(world, part).query("x." + ORIGIN, "TYPE65400").answer) == 1

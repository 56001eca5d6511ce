"""Controllers as they run: on sockets with TLS, with disks in threads, killed and started anew."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.cli.main import cli
from kelpcourse.lab.world import LISTEN_HOST, free_address
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared import certificates, peer_codec
from kelpcourse.shared.commands import StartDrain
from kelpcourse.shared.controller_events import ControllerOptions, ForwardedCommands, PeerMessage
from kelpcourse.shared.errors import (
    CertificateError,
    PeerMessageError,
    RequestRejectedError,
    StateLostError,
)
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest, LeaseTiming
from kelpcourse.shared.member import FleetMember, MemberSettings
from kelpcourse.shared.peer_codec import AddressedMessage, Hello, UnsupportedMessage
from kelpcourse.shared.peer_schema import Envelope
from kelpcourse.shared.peers import TlsContexts
from kelpcourse.shared.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    LogEntry,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
)
from kelpcourse.shared.raft.options import RaftOptions
from kelpcourse.shared.raft.persistent import (
    PersistentState,
    StateWrite,
    apply_write,
    decode_write,
    encode_write,
    initial_state,
    replay,
)
from kelpcourse.shared.storage import MemberStorage
from kelpcourse.wire.loop import Loop
from kelpcourse.wire.storage import Thread
from tests.standins import Records

MS = 1000
CONFIG = Configuration(frozenset({"a", "b"}), frozenset({"c"}))
BODIES = [
    RequestVote(3, 4, 2, True, True),
    RequestVoteReply(3, False, True),
    AppendEntriesReply(3, True, 5, 6, 7),
    AppendEntries(
        3,
        4,
        2,
        (LogEntry(5, 3, EntryKind.DATA, b"x"), LogEntry(6, 3, EntryKind.CONFIG, b"", CONFIG)),
        4,
        -9,
    ),
    InstallSnapshot(3, 9, 2, CONFIG, 16, b"part", 99, 1),
    InstallSnapshotReply(3, 9, 20, 1),
    TimeoutNow(3),
    LeaseRequest(5, {0: 1, 7: 3}),
    LeaseReply(5, {}),
    ForwardedCommands((b"a", b"")),
    Hello("a@1"),
]


# Codec


@pytest.mark.parametrize("body", BODIES)
def test_each_message_is_the_same_behind_the_wire(body: PeerMessage | Hello) -> None:
    assert peer_codec.decode(peer_codec.encode("a@1", "b@2", body)) == AddressedMessage(
        "a@1", "b@2", body
    )


def test_a_peer_of_the_next_version_is_spoken_with() -> None:
    """Fields and bodies that are not known yet: here under numbers that this version does not use."""
    later = peer_codec.encode("a", "b", TimeoutNow(3)) + b"\xa2\x06\x03new"
    assert peer_codec.decode(later) == AddressedMessage("a", "b", TimeoutNow(3))
    assert (
        b"\xa2\x06\x03new" in Envelope.FromString(later).SerializeToString()
    )  # kept, as it is not ours to drop
    other = Envelope(version=2, sender="a", to="b").SerializeToString() + b"\xfa\x07\x00"
    assert peer_codec.decode(other) == AddressedMessage("a", "b", UnsupportedMessage(2))


@given(st.binary(max_size=80))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_what_is_no_message_is_told_and_nothing_else_happens(data: bytes) -> None:
    with contextlib.suppress(PeerMessageError):
        peer_codec.decode(data)


def test_a_kind_that_is_not_known_is_a_bad_message() -> None:
    body = AppendEntries(1, 0, 0, (LogEntry(1, 1, EntryKind.DATA, b""),), 0, 0)
    with pytest.raises(PeerMessageError):
        peer_codec.decode(peer_codec.encode("a", "b", body).replace(b"data", b"dada"))


# Persistent state

writes = st.lists(st.tuples(st.integers(0, 3), st.integers(1, 4), st.booleans()), max_size=12)


@given(writes)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_replaying_writes_gives_what_each_of_them_made(steps: list[tuple[int, int, bool]]) -> None:
    stored, start, payloads = initial_state(CONFIG), initial_state(CONFIG), []
    for number, (back, count, compacts) in enumerate(steps, 1):
        last = stored.entries[-1].index if stored.entries else stored.snapshot.index
        cut = max(stored.snapshot.index + 1, last + 1 - back)
        write = StateWrite(
            number,
            number,
            "a",
            cut if cut <= last else None,
            tuple(LogEntry(cut + k, number, EntryKind.DATA, b"%d" % k) for k in range(count)),
        )
        if compacts and stored.entries:
            at = stored.entries[0]
            write = StateWrite(
                number, number, None, snapshot=Snapshot(at.index, at.term, CONFIG, b"s")
            )
        payloads.append(encode_write(write))
        assert decode_write(payloads[-1]) == write
        stored = apply_write(stored, write)
    assert replay(start, payloads) == stored


class Rig:
    """Members in one loop, on the real clock: what is asserted is what comes about, not when."""

    def __init__(self, folder: Path, count: int, tls: bool) -> None:
        self.folder = folder
        self.defects: list[Exception] = []
        self.loop = Loop(
            lambda: time.monotonic_ns() // 1000, lambda _, error: self.defects.append(error)
        )
        self.log = Records()
        self.names = [f"n{k}" for k in range(count)]
        self.addresses = {name: free_address(LISTEN_HOST) for name in self.names}
        self.members: dict[str, FleetMember] = {}
        self.tasks: dict[str, list[object]] = {}
        self.tls = tls
        if tls:
            certificates.create_authority(folder)
            for name in self.names:
                certificates.create_member_certificate(folder, name)

    def contexts(self, name: str) -> TlsContexts | None:
        files = self.folder / "ca.pem", self.folder / f"{name}.pem", self.folder / f"{name}.key"
        return (
            TlsContexts(
                certificates.tls_context(True, *files), certificates.tls_context(False, *files)
            )
            if self.tls
            else None
        )

    def start(self, name: str, certificate: str = "") -> FleetMember:
        tls = self.contexts(certificate or name)
        place = MemberSettings(
            name,
            self.addresses[name],
            {n: a for n, a in self.addresses.items() if n != name},
            self.folder / f"state-{name}",
            name == "n0",
            lambda: tls,
        )
        shape = ControllerOptions(
            6, RaftOptions(20 * MS, 150 * MS), LeaseTiming(400 * MS, 0.05, 60 * MS, 250 * MS, 4)
        )
        made = FleetMember(
            self.loop, Limits(), Counters(), self.log, place, shape, Thread(), lambda _: None
        )
        self.tasks[name] = []
        made.start(lambda what, make: self.tasks[name].append(self.loop.start(what, make())))
        self.members[name] = made
        return made

    def kill(self, name: str) -> None:
        for task in self.tasks.pop(name):
            self.loop.stop(task)  # type: ignore[arg-type]
        self.members.pop(name).close()

    def until(self, what: Callable[[], object]) -> None:
        ends = time.monotonic() + 60
        while not what():
            assert time.monotonic() < ends, (self.defects, self.log.lines[-6:])
            self.loop.turn(time.monotonic_ns() // 1000 + 5 * MS)
            assert not self.defects, self.defects

    def leader(self) -> FleetMember | None:
        led = [m for m in self.members.values() if m.status().get("role") == "leader"]
        return led[0] if led else None

    def grown(self) -> None:
        """All of them vote."""
        for name in self.names[1:]:
            for _ in range(2):
                self.until(lambda name=name: self._added(name))  # type: ignore[misc]

    def _added(self, name: str) -> bool:
        leader = self.leader()
        try:
            return leader is not None and bool(leader.add(name))
        except RequestRejectedError:
            return False

    def held(self) -> dict[int, str]:
        return {
            g: name for name, m in self.members.items() for g in range(6) if m.epoch(g) is not None
        }

    def close(self) -> None:
        self.loop.close()
        for member in self.members.values():
            member.close()


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path, 3, True)
    yield made
    made.close()


def test_a_fleet_begins_with_one_and_grows_and_shares_its_groups(rig: Rig) -> None:
    for name in rig.names:
        rig.start(name)
    rig.grown()
    rig.until(lambda: len(rig.held()) == 6 and len(set(rig.held().values())) == 3)
    leader = rig.leader()
    assert leader is not None
    assert leader.status()["voters"] == sorted(m.member_id for m in rig.members.values())
    with pytest.raises(RequestRejectedError, match="is a voter already"):
        leader.add(next(n for n in rig.names if rig.members[n] is not leader))
    follower = next(m for m in rig.members.values() if m is not leader)
    with pytest.raises(RequestRejectedError, match="not the leader"):
        follower.remove("n0")
    follower.submit(StartDrain("h", 5))
    rig.until(lambda: all(m.status()["withdrawn"] == ["h"] for m in rig.members.values()))


def test_a_killed_controller_is_replaced_and_comes_back_with_what_it_promised(rig: Rig) -> None:
    for name in rig.names:
        rig.start(name)
    rig.grown()
    rig.until(lambda: len(rig.held()) == 6)
    leader = rig.leader()
    assert leader is not None
    victim = next(n for n, m in rig.members.items() if m is leader)
    me = leader.member_id
    rig.kill(victim)
    rig.until(lambda: len(rig.held()) == 6 and rig.leader() is not None)
    assert victim not in rig.held().values()
    again = rig.start(victim)
    assert again.member_id == me
    rig.until(lambda: len(set(rig.held().values())) == 3)


def test_a_wrong_certificate_and_a_stranger_are_refused(rig: Rig) -> None:
    rig.start("n0")
    rig.start("n1", certificate="n2")
    rig.until(
        lambda: any(
            "with the certificate of" in str(line["reason"])
            or "Hostname mismatch" in str(line["reason"])
            for line in [
                *rig.log.named("peer_connection_closed"),
                *rig.log.named("peer_unreachable"),
            ]
        )
    )
    leader = rig.members["n0"]
    rig.until(lambda: leader.status().get("role") == "leader")
    with pytest.raises(RequestRejectedError, match="has not said Hello"):
        leader.add("n1")


def test_a_disk_that_forgot_is_told_and_a_fresh_one_is_another_member(tmp_path: Path) -> None:
    loop = Loop(lambda: 0, lambda *_: None)

    def made(path: Path) -> MemberStorage:
        return MemberStorage(
            path, "n0", True, loop, Limits(), Thread(), lambda _: None, lambda _: None
        )

    rig = Rig(tmp_path, 1, False)
    first = rig.start("n0")
    rig.until(lambda: first.status().get("role") == "leader")
    me = first.member_id
    rig.kill("n0")
    rig.close()
    state = tmp_path / "state-n0"
    kept = {path.name: path.read_bytes() for path in state.iterdir()}
    snapshot = max(name for name in kept if name.startswith("snapshot"))
    (state / snapshot).write_bytes(kept[snapshot][:-3])
    with pytest.raises(StateLostError):
        made(state)
    for path in state.iterdir():
        path.unlink()
    fresh = made(state)
    assert fresh.member_id != me
    assert fresh.state == PersistentState(
        0, None, Snapshot(0, 0, Configuration(frozenset({fresh.member_id})), b"")
    )
    fresh.close()
    loop.close()


def test_keys_are_never_written_over_and_their_end_is_known(tmp_path: Path) -> None:
    certificates.create_authority(tmp_path)
    certificates.create_member_certificate(tmp_path, "n0", days=30)
    assert 29 < certificates.days_until_expiry(tmp_path / "n0.pem") < 30.1
    assert (tmp_path / "n0.key").stat().st_mode & 0o77 == 0
    with pytest.raises(CertificateError, match="is there already"):
        certificates.create_authority(tmp_path)
    with pytest.raises(CertificateError, match="no authority"):
        certificates.create_member_certificate(tmp_path / "nowhere", "n1")


def test_settings_of_a_shared_fleet_are_checked(tmp_path: Path) -> None:
    done = CliRunner().invoke(cli, ["shared", "keys", str(tmp_path), "n1", "n2"])
    assert done.exit_code == 0, done.output
    again = CliRunner().invoke(cli, ["shared", "keys", str(tmp_path), "n1"])
    assert (again.exit_code, "n1.key is there already" in again.stderr) == (2, True)
    good = """shared {
    me "n1"
    state "state"
    member "n1" address="127.0.0.1:7001"
    member "n2" address="127.0.0.1:7002"
    tls authority="ca.pem" certificate="n1.pem" key="n1.key"
}
"""
    path = tmp_path / "shared.kdl"
    path.write_text(good)
    done = CliRunner().invoke(cli, ["shared", "check", str(path)])
    assert (done.exit_code, done.stdout) == (0, "n1 of 2 controllers, 24 groups\n")
    path.write_text(
        good.replace('me "n1"', 'me "n9"\n    lease-ms 100')
        .replace('"127.0.0.1:7002"', '"nowhere"')
        .replace("n1.key", "n2.key")
        .replace("state", "stat")
    )
    done = CliRunner().invoke(cli, ["shared", "check", str(path)])
    assert done.exit_code == 2
    assert [line.split("shared.kdl:")[1].split(": ")[:2] for line in done.stderr.splitlines()] == [
        ["1", "shared.state"],
        ["4", "shared.stat"],
    ]
    path.write_text(
        good.replace('me "n1"', 'me "n9"\n    lease-ms 100')
        .replace('"127.0.0.1:7002"', '"nowhere"')
        .replace("n1.key", "n2.key")
    )
    done = CliRunner().invoke(cli, ["shared", "check", str(path)])
    assert [line.split("shared.kdl:")[1].split(": ")[:2] for line in done.stderr.splitlines()] == [
        ["1", "shared.me"],
        ["1", "shared.lease-ms"],
        ["6", "shared.member.address"],
        ["7", "shared.tls"],
    ]


class Processes:
    """Three controllers, each a process of its own, and the commands to them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        certificates.create_authority(folder)
        members = "".join(
            f'    member "n{k}" address="127.0.0.1:{free_address()[1]}"\n' for k in range(3)
        )
        for k in range(3):
            certificates.create_member_certificate(folder, f"n{k}")
            (folder / f"n{k}.kdl").write_text(
                f'shared {{\n    me "n{k}"\n    state "state-n{k}"\n    groups 6\n    begins #{str(k == 0).lower()}\n'
                f"    beat-ms 30\n    election-ms 200\n    lease-ms 500\n"
                f'{members}    tls authority="ca.pem" certificate="n{k}.pem" key="n{k}.key"\n}}\n'
            )

    def start(self, name: str) -> None:
        self.running[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "kelpcourse.cli",
                "shared",
                "run",
                str(self.folder / f"{name}.kdl"),
            ],
            stdout=subprocess.DEVNULL,
        )

    def say(self, name: str, word: str, *words: str) -> Result:
        return CliRunner().invoke(cli, ["shared", word, str(self.folder / f"{name}.kdl"), *words])

    def status(self, name: str) -> dict[str, Any]:
        """Empty while it does not answer yet."""
        told: dict[str, Any] = orjson.loads(self.say(name, "status", "--json").stdout or "{}")
        return told

    def until(self, what: Callable[[], object]) -> None:
        ends = time.monotonic() + 60
        while not what():
            assert time.monotonic() < ends, {name: self.status(name) for name in self.running}

    def holders(self, name: str) -> set[str]:
        return {g["holder"].partition("@")[0] for g in self.status(name).get("groups", [])}

    def close(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    made = Processes(tmp_path)
    yield made
    made.close()


def test_a_fleet_is_run_by_commands_and_outlives_a_killed_leader(processes: Processes) -> None:
    for name in ("n0", "n1", "n2"):
        processes.start(name)
    processes.until(lambda: processes.status("n0").get("role") == "leader")
    refused = processes.say("n1", "add", "n2")
    assert (refused.exit_code, "not the leader" in refused.stderr) == (2, True)
    for name in ("n1", "n2"):
        processes.until(lambda name=name: "learns" in processes.say("n0", "add", name).output)  # type: ignore[misc]
        processes.until(lambda name=name: "votes" in processes.say("n0", "add", name).output)  # type: ignore[misc]
    processes.until(lambda: processes.holders("n0") == {"n0", "n1", "n2"})
    assert "group    0 epoch" in processes.say("n0", "status").stdout
    assert processes.say("n0", "drain", "n2").exit_code == 0
    processes.until(lambda: processes.holders("n0") == {"n0", "n1"})
    assert processes.say("n0", "transfer", "n1").exit_code == 0
    processes.until(lambda: processes.status("n1").get("role") == "leader")
    processes.running.pop("n1").kill()
    processes.until(lambda: any(processes.status(n).get("role") == "leader" for n in ("n0", "n2")))
    processes.until(
        lambda: processes.holders("n0") == {"n0"}
    )  # whoever leads: the drain is in the log
    processes.until(
        lambda: any(processes.say(n, "undrain", "n2").exit_code == 0 for n in ("n0", "n2"))
    )
    processes.until(lambda: processes.holders("n0") == {"n0", "n2"})
    processes.start("n1")
    processes.until(lambda: processes.holders("n0") == {"n0", "n1", "n2"})
    processes.running["n2"].send_signal(signal.SIGTERM)
    assert processes.running.pop("n2").wait(60) == 0

"""Floods of a member's address: clients that never identify themselves, and peers that send without pause."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from dataclasses import replace

import pytest

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.controller_events import PeerMessage
from kelpcourse.shared.peer_codec import Hello, encode
from kelpcourse.shared.peer_framing import with_length_prefix
from kelpcourse.shared.peers import Peers
from kelpcourse.shared.raft.messages import MemberId, TimeoutNow
from kelpcourse.wire.loop import Coroutine, Wait
from tests.loop_rig import LoopRig
from tests.standins import RecordingLog

MEMBER = "n0@1"
PEER = "n1@1"
LIMITS = replace(
    Limits(),
    max_peer_connections=64,
    max_peer_handshakes=32,
    max_peer_buffers_bytes=1 << 20,
    max_peer_message_bytes=1 << 19,
)
MAX_ROUNDS = 3_000
HELLO = with_length_prefix(encode(PEER, "", Hello(PEER)))


class PeerRig:
    """A member whose incoming connections are tested, on a loop with a fake clock."""

    def __init__(self) -> None:
        self.rig = LoopRig()
        self.counters = Counters()
        self.log = RecordingLog()
        self.received: list[int] = []  # term of each message
        self.turns_of_others = 0
        self.peers = Peers(
            self.rig.loop,
            LIMITS,
            self.counters,
            self.log,
            MEMBER,
            ("127.0.0.1", 0),
            {"n1": ("127.0.0.1", 1)},
            lambda: None,
            self._receive,
        )
        self.rig.loop.start("peers in", self.peers._incoming.accept())

    def _receive(self, sender: MemberId, message: PeerMessage) -> None:
        assert sender == PEER
        assert isinstance(message, TimeoutNow)
        self.received.append(message.term)

    def connect(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(self.peers.address)
        sock.sendall(data)
        return sock

    def run(self, rounds: int = 20) -> None:
        for _ in range(rounds):
            self.rig.loop.run_once(self.rig.clock.now)

    def count_turns(self) -> Coroutine[None]:
        while True:
            self.turns_of_others += 1
            yield Wait(0)


@pytest.fixture
def rig() -> Iterator[PeerRig]:
    peer_rig = PeerRig()
    yield peer_rig
    peer_rig.peers.close()
    peer_rig.rig.loop.close()
    assert peer_rig.rig.unexpected_errors == []


def message(term: int) -> bytes:
    return with_length_prefix(encode(PEER, MEMBER, TimeoutNow(term)))


def test_a_client_that_has_not_identified_itself_has_little_memory(rig: PeerRig) -> None:
    """Guards against memory that hundreds of clients fill with half a message of the largest size."""
    size = LIMITS.max_peer_hello_bytes + 1
    sock = rig.connect(size.to_bytes(4, "big"))
    sock.setblocking(False)
    rig.run()
    assert sock.recv(1) == b""
    assert "exceeds the limit" in str(rig.log.named("peer_connection_closed")[0]["reason"])


def test_members_connect_while_other_clients_are_silent(rig: PeerRig) -> None:
    """Guards against members that are shut out by clients that connect and say nothing."""
    silent = [rig.connect() for _ in range(2 * LIMITS.max_peer_connections)]
    rig.run(200)
    member = rig.connect(HELLO + message(7))
    rig.run(200)
    assert rig.received == [7]
    open_count = rig.counters["peer_connections_evicted"]
    assert open_count == len(silent) - LIMITS.max_peer_handshakes + 1
    member.close()


def test_incomplete_messages_of_all_peers_are_limited_together(rig: PeerRig) -> None:
    half = (LIMITS.max_peer_message_bytes).to_bytes(4, "big") + bytes(
        LIMITS.max_peer_message_bytes // 2
    )
    connections = []
    for number in range(8):
        name = f"n1@{number}"
        hello = with_length_prefix(encode(name, "", Hello(name)))
        connections.append(rig.connect(hello + half))
        rig.run(200)
        assert rig.peers._incoming._received_bytes.count <= (
            LIMITS.max_peer_buffers_bytes + LIMITS.initial_read_buffer_bytes
        )
    assert rig.counters["peer_connections_closed"] > 0
    for connection in connections:
        connection.close()
    rig.run(200)
    assert rig.peers._incoming._received_bytes.count == 0


def test_other_tasks_run_while_a_peer_sends_without_pause(rig: PeerRig) -> None:
    """Guards against leases that are lost because one peer's messages are handled without end."""
    rig.rig.loop.start("others", rig.count_turns())
    member = rig.connect(HELLO + b"".join(message(term) for term in range(1, 1_001)))
    rounds = 0
    while len(rig.received) < 1_000 and rounds < MAX_ROUNDS:
        rig.run(1)
        rounds += 1
    assert rig.received == list(range(1, 1_001))
    assert rig.turns_of_others >= 1_000
    member.close()


def test_a_new_connection_of_a_member_replaces_its_former_one(rig: PeerRig) -> None:
    """Guards against messages that a member wrote before it left and that are handled after those of its return."""
    former = rig.connect(HELLO + b"".join(message(1) for _ in range(500)))
    rig.run(10)
    handled = len(rig.received)
    returned = rig.connect(HELLO + message(2))
    former.close()
    rig.run(600)
    assert 0 < handled < 100
    after_return = rig.received[rig.received.index(2) :]
    assert after_return == [2]
    assert len(rig.received) < 100
    returned.close()


def test_a_connection_that_fails_its_identification_leaves_the_others_open(rig: PeerRig) -> None:
    member = rig.connect(HELLO + message(1))
    rig.run()
    stranger = rig.connect(with_length_prefix(encode("n9@1", "", Hello("n9@1"))))
    rig.run()
    assert stranger.recv(1) == b""
    member.sendall(message(2))
    rig.run()
    assert rig.received == [1, 2]
    member.close()

"""Every message between controllers is still encoded to and decoded from the bytes of revision 5b4a458."""

from __future__ import annotations

import pytest

from kelpcourse.shared import peer_codec
from kelpcourse.shared.controller_events import ForwardedCommands, PeerMessage
from kelpcourse.shared.errors import PeerMessageError
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest
from kelpcourse.shared.peer_codec import AddressedMessage, Hello, UnsupportedMessage
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
    TimeoutNow,
)

ENVELOPE = "080112036140311a03624032"  # version 1, from a@1, to b@2
CONFIG = Configuration(frozenset({"a@1", "b@2"}), frozenset({"c@3"}))
ENTRIES = (
    LogEntry(5, 3, EntryKind.DATA, b"x\x00"),
    LogEntry(6, 3, EntryKind.CONFIG, b"", CONFIG),
    LogEntry(7, 3, EntryKind.NO_OP),
)
MESSAGES: dict[str, tuple[PeerMessage | Hello, str]] = {
    "hello": (Hello("a@1"), "8201050a03614031"),
    "vote": (RequestVote(3, 4, 2, True, True), "8a010a08031004180220012801"),
    "vote without flags": (RequestVote(3, 4, 2, False), "8a0106080310041802"),
    "vote reply": (RequestVoteReply(3, False, True), "92010408031801"),
    "vote reply to a pre-vote": (RequestVoteReply(4, True, False), "92010408041001"),
    "append": (
        AppendEntries(3, 4, 2, ENTRIES, 4, 1_234_567),
        "9a014b080310041802220e080510031a046461746122027800221d080610031a06636f6e6669672a0f"
        "0a036140310a036240321203634033220d080710031a076e6f7468696e672804308eda9601",
    ),
    "append without entries": (AppendEntries(0, 0, 0, (), 0, -9), "9a01023011"),
    "append reply": (AppendEntriesReply(3, True, 5, 6, 7), "a2010a0803100118052006280e"),
    "append reply without success": (
        AppendEntriesReply(3, False, 5, 6, 7),
        "a20108080318052006280e",
    ),
    "piece": (
        InstallSnapshot(3, 9, 2, CONFIG, 16, b"part", 99, 1),
        "aa0123080310091802220f0a036140310a036240321203634033281032047061727438634002",
    ),
    "piece with an empty configuration": (
        InstallSnapshot(3, 9, 2, Configuration(frozenset()), 0, b"", 0, 1),
        "aa010a08031009180222004002",
    ),
    "piece reply": (InstallSnapshotReply(3, 9, 20, 1), "b201080803100918142002"),
    "elect now": (TimeoutNow(3), "ba01020803"),
    "ask": (LeaseRequest(5, {7: 3, 0: 1}), "c2010c080a12040807100312021001"),
    "renewed": (LeaseReply(5, {}), "ca0102080a"),
    "renewed with a group": (LeaseReply(5, {300: 70_000}), "ca010b080a120708ac0210f0a204"),
    "tell": (ForwardedCommands((b"a", b"")), "d201050a01610a00"),
    "tell without commands": (ForwardedCommands(()), "d20100"),
}


@pytest.mark.parametrize("name", MESSAGES)
def test_encoded_bytes_are_unchanged(name: str) -> None:
    body, expected = MESSAGES[name]
    assert peer_codec.encode("a@1", "b@2", body).hex() == ENVELOPE + expected


@pytest.mark.parametrize("name", MESSAGES)
def test_recorded_bytes_are_decoded(name: str) -> None:
    body, data = MESSAGES[name]
    assert peer_codec.decode(bytes.fromhex(ENVELOPE + data)) == AddressedMessage("a@1", "b@2", body)


def test_envelope_without_known_body_is_unsupported() -> None:
    assert peer_codec.decode(bytes.fromhex(ENVELOPE)) == AddressedMessage(
        "a@1", "b@2", UnsupportedMessage(1)
    )


def test_error_contains_the_unknown_entry_kind() -> None:
    data = bytes.fromhex(ENVELOPE + MESSAGES["append"][1]).replace(b"nothing", b"nonsens")
    with pytest.raises(PeerMessageError, match="nonsens"):
        peer_codec.decode(data)

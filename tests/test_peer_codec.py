"""Tests of the codec of messages between controllers."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.shared import peer_codec
from kelpcourse.shared.controller_events import ForwardedCommands, PeerMessage
from kelpcourse.shared.errors import (
    PeerMessageError,
)
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest
from kelpcourse.shared.peer_codec import AddressedMessage, Hello, UnsupportedMessage
from kelpcourse.shared.peer_schema import Envelope
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


@pytest.mark.parametrize("body", BODIES)
def test_encoded_message_decodes_to_the_same_value(body: PeerMessage | Hello) -> None:
    assert peer_codec.decode(peer_codec.encode("a@1", "b@2", body)) == AddressedMessage(
        "a@1", "b@2", body
    )


def test_unknown_fields_and_bodies_of_a_later_version_are_tolerated() -> None:
    """An unknown field is ignored and an unknown body is decoded as unsupported.

    The field and the body have numbers that this version does not use.
    """
    message = peer_codec.encode("a", "b", TimeoutNow(3)) + b"\xa2\x06\x03new"
    assert peer_codec.decode(message) == AddressedMessage("a", "b", TimeoutNow(3))
    # protobuf keeps the unknown field when it encodes the message again.
    assert b"\xa2\x06\x03new" in Envelope.FromString(message).SerializeToString()
    unsupported = Envelope(version=2, sender="a", to="b").SerializeToString() + b"\xfa\x07\x00"
    assert peer_codec.decode(unsupported) == AddressedMessage("a", "b", UnsupportedMessage(2))


@given(st.binary(max_size=80))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_invalid_bytes_raise_only_peer_message_errors(data: bytes) -> None:
    with contextlib.suppress(PeerMessageError):
        peer_codec.decode(data)


def test_unknown_entry_kind_is_rejected() -> None:
    body = AppendEntries(1, 0, 0, (LogEntry(1, 1, EntryKind.DATA, b""),), 0, 0)
    with pytest.raises(PeerMessageError):
        peer_codec.decode(peer_codec.encode("a", "b", body).replace(b"data", b"dada"))

"""Tests of the replicated state machine and its commands."""

from __future__ import annotations

import msgspec
import pytest

from kelpcourse.shared.commands import (
    CompleteDrain,
    GrantLease,
    ReleaseLease,
    SaveHandover,
    SetGroupCount,
    SetMemberDrained,
    StartDrain,
    decode_command,
    encode_command,
)
from kelpcourse.shared.replicated_state import Lease, ReplicatedState, overdue_drains


def test_rejected_commands_do_not_change_the_state() -> None:
    state = ReplicatedState()
    assert state.apply(SetGroupCount(2))
    for command, accepted in (
        (GrantLease(0, "a", 2), False),
        (GrantLease(0, "a", 1), True),
        (GrantLease(0, "b", 1), False),
        (GrantLease(9, "b", 1), False),
        (SaveHandover(0, 1, (0.5,), 9.0), True),
        (GrantLease(0, "b", 2), True),
        (SaveHandover(0, 1, (0.1,), 1.0), False),
        (ReleaseLease(0, 1), False),
        (ReleaseLease(0, 2), True),
        (ReleaseLease(0, 2), False),
        (SetMemberDrained("a", False), False),
        (SetMemberDrained("a", True), True),
        (SetMemberDrained("a", True), False),
        (SetMemberDrained("b", True), True),
        (SetMemberDrained("a", False), True),
    ):
        before = state.encode()
        assert state.apply(decode_command(encode_command(command))) is accepted, command
        assert (state.encode() == before) is not accepted
    assert state.leases[0] == Lease("", 2, (0.5,), 9.0)
    assert state.drained_members == {"b"}
    assert ReplicatedState.decode(state.encode()) == state
    assert ReplicatedState.decode(b"") == ReplicatedState()
    with pytest.raises(msgspec.DecodeError):
        decode_command(b"\x00")


def test_drain_is_open_until_every_group_completes_it() -> None:
    state = ReplicatedState()
    state.apply(SetGroupCount(3))
    assert state.apply(StartDrain("h", 100))
    assert not state.apply(StartDrain("h", 100))  # A second controller submits the same drain.
    assert state.apply(CompleteDrain("h", 0, 100))
    assert state.pending_drains(0) == {}
    assert state.pending_drains(1) == {"h": 100}
    assert state.apply(StartDrain("h", 300))  # The endpoint was ready in between and drains again.
    assert not state.apply(CompleteDrain("h", 1, 100))  # A late completion of the first drain.
    assert state.pending_drains(0) == {"h": 300}
    for group in (0, 1, 2):
        assert state.apply(CompleteDrain("h", group, 300))
    assert state.drains == {}


def test_overdue_drains_are_listed() -> None:
    assert overdue_drains(
        {"a": 1000, "b": 5000}, grace_ms=3400, transit_ms=900, now_unix_ms=4000
    ) == ["a"]

"""Commands of the replicated state machine: the data of log entries.

Commands are stored and sent as MessagePack arrays that begin with a tag. Tags and the order of fields stay as they
are; the tag says nothing about the name here:

| tag        | command            |
| ---------- | ------------------ |
| `granted`  | `GrantLease`       |
| `released` | `ReleaseLease`     |
| `withdrew` | `StartDrain`       |
| `cleared`  | `CompleteDrain`    |
| `carried`  | `SaveHandover`     |
| `began`    | `SetGroupCount`    |
| `drained`  | `SetMemberDrained` |
"""

from __future__ import annotations

import msgspec

from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import MemberId


class GrantLease(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """A group goes to a holder, in the epoch after its current one."""

    group: GroupId
    holder: MemberId
    epoch: int


class ReleaseLease(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """The holder gives no more orders under this epoch."""

    group: GroupId
    epoch: int


class StartDrain(msgspec.Struct, tag="withdrew", array_like=True, frozen=True):
    """An endpoint drains or is gone, and may still be in some proxy's tables."""

    endpoint: str
    since_unix_ms: int  # when a controller first learned of it


class CompleteDrain(msgspec.Struct, tag="cleared", array_like=True, frozen=True):
    """Every proxy of the group has left the endpoint, or the endpoint is back."""

    endpoint: str
    group: GroupId
    since_unix_ms: int  # of the drain that is complete: not of a later one


class SaveHandover(msgspec.Struct, tag="carried", array_like=True, frozen=True):
    """What the holder of a group learned slowly, for its next holder."""

    group: GroupId
    epoch: int
    admission_ratios: tuple[float, ...]
    capacity_per_s: float


class SetGroupCount(msgspec.Struct, tag="began", array_like=True, frozen=True):
    """The proxies are divided into this many groups from now on."""

    group_count: int


class SetMemberDrained(msgspec.Struct, tag="drained", array_like=True, frozen=True):
    """An operator wants a member to hold no group, or takes that back. In the log, so that every leader knows."""

    member: MemberId
    is_drained: bool


Command = (
    GrantLease
    | ReleaseLease
    | StartDrain
    | CompleteDrain
    | SaveHandover
    | SetGroupCount
    | SetMemberDrained
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Returns the stored form of a command."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Reads a stored command. Raises msgspec.DecodeError, also for a command of a later version."""
    return _decoder.decode(data)


def command_key(command: Command) -> tuple[object, ...]:
    """Returns what a command is about: a later command with the same key replaces it."""
    match command:
        case CompleteDrain(endpoint, group, _):
            return CompleteDrain, endpoint, group
        case StartDrain(endpoint, _):
            return StartDrain, endpoint
        case SaveHandover(group=group) | ReleaseLease(group=group) | GrantLease(group=group):
            return type(command), group
        case SetGroupCount():
            return (SetGroupCount,)
        case SetMemberDrained(member, _):
            return SetMemberDrained, member

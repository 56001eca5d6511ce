"""Commands of the replicated state machine, which are the data of log entries.

Commands are stored and sent as MessagePack arrays that begin with a tag. Tags and the order of fields must not change.
The tags differ from the names of the classes:

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
    """Grants a group to a holder, in the epoch after the group's current one."""

    group: GroupId
    holder: MemberId
    epoch: int


class ReleaseLease(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """Releases a group: its holder sends no more orders under this epoch."""

    group: GroupId
    epoch: int


class StartDrain(msgspec.Struct, tag="withdrew", array_like=True, frozen=True):
    """Starts a drain: the endpoint is draining or gone, and tables of some proxies may still contain it."""

    endpoint: str
    # Unix time in milliseconds at which a controller first learned of the drain.
    since_unix_ms: int


class CompleteDrain(msgspec.Struct, tag="cleared", array_like=True, frozen=True):
    """Completes a drain in one group: its proxies no longer use the endpoint, or the endpoint is ready again."""

    endpoint: str
    group: GroupId
    since_unix_ms: int  # Start of the completed drain, which tells it apart from a later one.


class SaveHandover(msgspec.Struct, tag="carried", array_like=True, frozen=True):
    """Saves values that a group's holder took a long time to learn, for the group's next holder."""

    group: GroupId
    epoch: int
    admission_ratios: tuple[float, ...]
    capacity_per_s: float


class SetGroupCount(msgspec.Struct, tag="began", array_like=True, frozen=True):
    """Sets the number of groups into which the proxies are divided."""

    group_count: int


class SetMemberDrained(msgspec.Struct, tag="drained", array_like=True, frozen=True):
    """Sets whether a member is drained, that is, holds no group. Replicated, so that it applies under every leader."""

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
    """Returns the encoded command."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Decodes a command. Raises msgspec.DecodeError, also for a command of a later version."""
    return _decoder.decode(data)


def command_key(command: Command) -> tuple[object, ...]:
    """Returns the key of a command: a later command with the same key replaces it."""
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

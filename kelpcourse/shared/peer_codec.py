"""Messages between controllers as protobuf, by the tables of `peer_schema`.

A reader ignores fields that it does not know, and takes an envelope whose body it does not know for an
`UnsupportedMessage`: a peer of a later version is understood as far as possible.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

from google.protobuf.message import DecodeError

from kelpcourse.shared.controller_events import ForwardedCommands, PeerMessage
from kelpcourse.shared.errors import PeerMessageError
from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest
from kelpcourse.shared.peer_schema import (
    MESSAGES,
    Envelope,
    Field,
    Part,
    ProtoMessage,
    body_field_name,
)
from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    LogEntry,
    MemberId,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)

VERSION = 1
FieldValue: TypeAlias = Any  # by the table of the message


@dataclass(frozen=True)
class Hello:
    """The first message of a connection, and its heartbeat: who speaks."""

    member: MemberId


@dataclass(frozen=True)
class UnsupportedMessage:
    """A message of a version that this program does not know."""

    version: int


@dataclass(frozen=True)
class AddressedMessage:
    """A message with its sender and recipient."""

    sender: MemberId
    recipient: MemberId
    body: PeerMessage | Hello | UnsupportedMessage


# Classes of messages, by their names in the schema.
MESSAGE_TYPES: dict[str, type[PeerMessage | Hello]] = {
    "Hello": Hello,
    "Vote": RequestVote,
    "VoteReply": RequestVoteReply,
    "Append": AppendEntries,
    "AppendReply": AppendEntriesReply,
    "Piece": InstallSnapshot,
    "PieceReply": InstallSnapshotReply,
    "ElectNow": TimeoutNow,
    "Ask": LeaseRequest,
    "Renewed": LeaseReply,
    "Tell": ForwardedCommands,
}
_SCHEMA_NAMES = {message_type: name for name, message_type in MESSAGE_TYPES.items()}
_BODY_NAMES = {body_field_name(name): name for name in MESSAGE_TYPES}


def encode(sender: MemberId, recipient: MemberId, body: PeerMessage | Hello) -> bytes:
    """Returns the bytes of a message."""
    envelope = Envelope(version=VERSION, sender=sender, to=recipient)
    name = _SCHEMA_NAMES[type(body)]
    target = getattr(envelope, body_field_name(name))
    target.SetInParent()
    for field in MESSAGES[name]:
        _write_field(target, field, getattr(body, field.attribute_name))
    return bytes(envelope.SerializeToString())


def decode(data: bytes) -> AddressedMessage:
    """Reads a message. Raises PeerMessageError."""
    try:
        envelope = Envelope.FromString(data)
        body = _read_body(envelope)
    except (DecodeError, ValueError) as error:
        raise PeerMessageError(str(error)) from error
    return AddressedMessage(envelope.sender, envelope.to, body)


def _read_body(envelope: ProtoMessage) -> PeerMessage | Hello | UnsupportedMessage:
    field_name = envelope.WhichOneof("body")
    if field_name is None:
        return UnsupportedMessage(envelope.version)
    name = _BODY_NAMES[field_name]
    source = getattr(envelope, field_name)
    values = {field.attribute_name: _read_field(source, field) for field in MESSAGES[name]}
    return MESSAGE_TYPES[name](**values)


def _write_field(target: ProtoMessage, field: Field, value: FieldValue) -> None:
    match field.type:
        case Part.MEMBERS:
            _write_configuration(getattr(target, field.name), value)
        case Part.LOG_ENTRY:
            _write_entries(getattr(target, field.name), value)
        case Part.HELD:
            held = getattr(target, field.name)
            for group, epoch in value.items():
                held.add(group=group, epoch=epoch)
        case _ if field.is_repeated:
            getattr(target, field.name).extend(value)
        case _:
            setattr(target, field.name, value)


def _read_field(source: ProtoMessage, field: Field) -> FieldValue:
    value = getattr(source, field.name)
    match field.type:
        case Part.MEMBERS:
            return _read_configuration(value)
        case Part.LOG_ENTRY:
            return tuple(map(_read_entry, value))
        case Part.HELD:
            return _read_epochs(value)
        case _ if field.is_repeated:
            return tuple(value)
        case _:
            return value


def _write_configuration(target: ProtoMessage, config: Configuration) -> None:
    target.SetInParent()
    target.voters.extend(sorted(config.voters))
    target.learners.extend(sorted(config.learners))


def _read_configuration(source: ProtoMessage) -> Configuration:
    return Configuration(frozenset(source.voters), frozenset(source.learners))


def _write_entries(target: ProtoMessage, entries: tuple[LogEntry, ...]) -> None:
    for entry in entries:
        added = target.add(
            index=entry.index, term=entry.term, kind=entry.kind.value, data=entry.data
        )
        if entry.config is not None:
            _write_configuration(added.members, entry.config)


def _read_entry(source: ProtoMessage) -> LogEntry:
    config = _read_configuration(source.members) if source.HasField("members") else None
    return LogEntry(source.index, source.term, EntryKind(source.kind), source.data, config)


def _read_epochs(source: ProtoMessage) -> dict[GroupId, int]:
    return {held.group: held.epoch for held in source}

"""Encoding and decoding of messages between controllers as protobuf, according to the tables of `peer_schema`.

Unknown fields are ignored, and an envelope with an unknown body is decoded as an `UnsupportedMessage`, so that
messages of a peer with a later version are understood as far as possible.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
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
    NestedMessage,
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
FieldValue: TypeAlias = Any  # the type depends on the field's entry in `MESSAGES`


@dataclass(frozen=True)
class Hello:
    """The first message of a connection, which names its sender; repeated as the heartbeat of the connection."""

    member: MemberId


@dataclass(frozen=True)
class UnsupportedMessage:
    """A message whose body is unknown, as sent by a later version of this program."""

    version: int


@dataclass(frozen=True)
class AddressedMessage:
    """A message with its sender and recipient."""

    sender: MemberId
    recipient: MemberId
    body: PeerMessage | Hello | UnsupportedMessage


# Message classes by their names in the schema.
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


@dataclass(frozen=True)
class _FieldCodec:
    """Functions that write and read one field, chosen once at import because the tables are fixed."""

    name: str
    attribute: str
    write: Callable[[ProtoMessage, str, FieldValue], None]
    read: Callable[[ProtoMessage, str], FieldValue]


@dataclass(frozen=True)
class _BodyCodec:
    """Codecs of all fields of one kind of message."""

    envelope_field: str
    message_type: type[PeerMessage | Hello]
    fields: tuple[_FieldCodec, ...]


def _write_repeated(target: ProtoMessage, name: str, values: FieldValue) -> None:
    getattr(target, name).extend(values)


def _read_repeated(source: ProtoMessage, name: str) -> tuple[FieldValue, ...]:
    return tuple(getattr(source, name))


def _write_configuration(target: ProtoMessage, name: str, config: Configuration) -> None:
    members = getattr(target, name)
    members.SetInParent()
    members.voters.extend(sorted(config.voters))
    members.learners.extend(sorted(config.learners))


def _read_configuration(source: ProtoMessage, name: str) -> Configuration:
    members = getattr(source, name)
    return Configuration(frozenset(members.voters), frozenset(members.learners))


def _write_entries(target: ProtoMessage, name: str, entries: tuple[LogEntry, ...]) -> None:
    message_entries = getattr(target, name)
    for entry in entries:
        added = message_entries.add(
            index=entry.index, term=entry.term, kind=entry.kind.value, data=entry.data
        )
        if entry.config is not None:
            _write_configuration(added, "members", entry.config)


def _read_entries(source: ProtoMessage, name: str) -> tuple[LogEntry, ...]:
    return tuple(map(_read_entry, getattr(source, name)))


def _read_entry(source: ProtoMessage) -> LogEntry:
    config = _read_configuration(source, "members") if source.HasField("members") else None
    return LogEntry(source.index, source.term, EntryKind(source.kind), source.data, config)


def _write_epochs(target: ProtoMessage, name: str, epochs: Mapping[GroupId, int]) -> None:
    held = getattr(target, name)
    for group, epoch in epochs.items():
        held.add(group=group, epoch=epoch)


def _read_epochs(source: ProtoMessage, name: str) -> dict[GroupId, int]:
    return {held.group: held.epoch for held in getattr(source, name)}


def _field_codec(field: Field) -> _FieldCodec:
    name = field.name
    attribute = field.attribute_name
    match field.type:
        case NestedMessage.MEMBERS:
            return _FieldCodec(name, attribute, _write_configuration, _read_configuration)
        case NestedMessage.LOG_ENTRY:
            return _FieldCodec(name, attribute, _write_entries, _read_entries)
        case NestedMessage.HELD:
            return _FieldCodec(name, attribute, _write_epochs, _read_epochs)
        case _ if field.is_repeated:
            return _FieldCodec(name, attribute, _write_repeated, _read_repeated)
        case _:
            return _FieldCodec(name, attribute, setattr, getattr)


def _body_codec(name: str, message_type: type[PeerMessage | Hello]) -> _BodyCodec:
    fields = tuple(map(_field_codec, MESSAGES[name]))
    return _BodyCodec(body_field_name(name), message_type, fields)


_CODECS = [_body_codec(name, message_type) for name, message_type in MESSAGE_TYPES.items()]
_CODEC_BY_TYPE = {codec.message_type: codec for codec in _CODECS}
_CODEC_BY_ENVELOPE_FIELD = {codec.envelope_field: codec for codec in _CODECS}


def encode(sender: MemberId, recipient: MemberId, body: PeerMessage | Hello) -> bytes:
    """Encodes a message."""
    envelope = Envelope(version=VERSION, sender=sender, to=recipient)
    codec = _CODEC_BY_TYPE[type(body)]
    target = getattr(envelope, codec.envelope_field)
    target.SetInParent()
    for field in codec.fields:
        field.write(target, field.name, getattr(body, field.attribute))
    return bytes(envelope.SerializeToString())


def decode(data: bytes) -> AddressedMessage:
    """Decodes a message.

    Raises:
        PeerMessageError: The bytes are not a valid message.
    """
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
    codec = _CODEC_BY_ENVELOPE_FIELD[field_name]
    source = getattr(envelope, field_name)
    values = {field.attribute: field.read(source, field.name) for field in codec.fields}
    return codec.message_type(**values)

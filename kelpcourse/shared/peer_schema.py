"""The protobuf schema of messages between controllers, built at import so that no protobuf compiler is needed.

Field numbers are defined in `MESSAGES`, `BODY_FIELD_NUMBERS` and `ENVELOPE_FIELDS` only. To stay compatible with
other versions, fields are added under new numbers and never changed or removed. A `Field` whose name in the schema
differs from the attribute of the message class specifies that attribute.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeAlias

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

PACKAGE = "kelpcourse.shared"
ProtoMessage: TypeAlias = Any  # classes created at import have no static types
_FIELD = descriptor_pb2.FieldDescriptorProto


class Scalar(Enum):
    """Types of fields that are not messages."""

    UINT64 = _FIELD.TYPE_UINT64
    SINT64 = _FIELD.TYPE_SINT64
    STRING = _FIELD.TYPE_STRING
    BYTES = _FIELD.TYPE_BYTES
    BOOL = _FIELD.TYPE_BOOL


class NestedMessage(Enum):
    """Messages nested in other messages, by their name in the schema."""

    MEMBERS = "Members"
    LOG_ENTRY = "LogEntry"
    HELD = "Held"


@dataclass(frozen=True)
class Field:
    """A field of a message.

    Attributes:
        number: Field number in the schema.
        name: Name in the schema.
        type: Type of a value.
        attribute: Attribute of the message class that contains the value; empty if it has the name of the field.
        is_repeated: Whether the field contains any number of values.
    """

    number: int
    name: str
    type: Scalar | NestedMessage
    attribute: str = ""
    is_repeated: bool = False

    @property
    def attribute_name(self) -> str:
        """Name of the attribute of the message class that contains the value."""
        return self.attribute or self.name


MESSAGES: dict[str, tuple[Field, ...]] = {
    "Members": (
        Field(1, "voters", Scalar.STRING, is_repeated=True),
        Field(2, "learners", Scalar.STRING, is_repeated=True),
    ),
    "LogEntry": (
        Field(1, "index", Scalar.UINT64),
        Field(2, "term", Scalar.UINT64),
        Field(3, "kind", Scalar.STRING),
        Field(4, "data", Scalar.BYTES),
        Field(5, "members", NestedMessage.MEMBERS, "config"),
    ),
    "Held": (
        Field(1, "group", Scalar.UINT64),
        Field(2, "epoch", Scalar.UINT64),
    ),
    "Vote": (
        Field(1, "term", Scalar.UINT64),
        Field(2, "last_index", Scalar.UINT64, "last_log_index"),
        Field(3, "last_term", Scalar.UINT64, "last_log_term"),
        Field(4, "pre", Scalar.BOOL, "pre_vote"),
        Field(5, "forced", Scalar.BOOL, "is_transfer"),
    ),
    "VoteReply": (
        Field(1, "term", Scalar.UINT64),
        Field(2, "pre", Scalar.BOOL, "pre_vote"),
        Field(3, "granted", Scalar.BOOL),
    ),
    "Append": (
        Field(1, "term", Scalar.UINT64),
        Field(2, "prev_index", Scalar.UINT64, "prev_log_index"),
        Field(3, "prev_term", Scalar.UINT64, "prev_log_term"),
        Field(4, "entries", NestedMessage.LOG_ENTRY, is_repeated=True),
        Field(5, "commit", Scalar.UINT64, "leader_commit"),
        Field(6, "sent_us", Scalar.SINT64),
    ),
    "AppendReply": (
        Field(1, "term", Scalar.UINT64),
        Field(2, "ok", Scalar.BOOL, "success"),
        Field(3, "match", Scalar.UINT64, "match_index"),
        Field(4, "last", Scalar.UINT64, "last_log_index"),
        Field(5, "sent_us", Scalar.SINT64),
    ),
    "Piece": (
        Field(1, "term", Scalar.UINT64),
        Field(2, "index", Scalar.UINT64, "last_included_index"),
        Field(3, "snap_term", Scalar.UINT64, "last_included_term"),
        Field(4, "members", NestedMessage.MEMBERS, "config"),
        Field(5, "offset", Scalar.UINT64, "offset_bytes"),
        Field(6, "data", Scalar.BYTES),
        Field(7, "total", Scalar.UINT64, "total_bytes"),
        Field(8, "sent_us", Scalar.SINT64),
    ),
    "PieceReply": (
        Field(1, "term", Scalar.UINT64),
        Field(2, "index", Scalar.UINT64, "last_included_index"),
        Field(3, "offset", Scalar.UINT64, "next_offset_bytes"),
        Field(4, "sent_us", Scalar.SINT64),
    ),
    "ElectNow": (Field(1, "term", Scalar.UINT64),),
    "Ask": (
        Field(1, "asked_us", Scalar.SINT64, "sent_us"),
        Field(2, "holds", NestedMessage.HELD, "epochs", is_repeated=True),
    ),
    "Renewed": (
        Field(1, "asked_us", Scalar.SINT64, "request_sent_us"),
        Field(2, "holds", NestedMessage.HELD, "epochs", is_repeated=True),
    ),
    "Tell": (Field(1, "facts", Scalar.BYTES, "commands", is_repeated=True),),
    "Hello": (Field(1, "member", Scalar.STRING),),
}

# Field numbers of the bodies in the envelope, by message.
BODY_FIELD_NUMBERS: dict[str, int] = {
    "Hello": 16,
    "Vote": 17,
    "VoteReply": 18,
    "Append": 19,
    "AppendReply": 20,
    "Piece": 21,
    "PieceReply": 22,
    "ElectNow": 23,
    "Ask": 24,
    "Renewed": 25,
    "Tell": 26,
}
ENVELOPE_FIELDS = (
    Field(1, "version", Scalar.UINT64),
    Field(2, "sender", Scalar.STRING),
    Field(3, "to", Scalar.STRING),
)


def body_field_name(message_name: str) -> str:
    """Returns the name of the envelope's field that contains a message."""
    return message_name.lower()


def _file_descriptor() -> descriptor_pb2.FileDescriptorProto:
    file = descriptor_pb2.FileDescriptorProto(
        name="kelpcourse/shared.proto", package=PACKAGE, syntax="proto3"
    )
    for name, fields in MESSAGES.items():
        _add_message(file, name, fields)
    envelope = _add_message(file, "Envelope", ENVELOPE_FIELDS)
    envelope.oneof_decl.add(name="body")
    for name, number in BODY_FIELD_NUMBERS.items():
        envelope.field.add(
            name=body_field_name(name),
            number=number,
            label=_FIELD.LABEL_OPTIONAL,
            type=_FIELD.TYPE_MESSAGE,
            type_name=f".{PACKAGE}.{name}",
            oneof_index=0,
        )
    return file


def _add_message(
    file: descriptor_pb2.FileDescriptorProto, name: str, fields: tuple[Field, ...]
) -> descriptor_pb2.DescriptorProto:
    message = file.message_type.add(name=name)
    for field in fields:
        added = message.field.add(name=field.name, number=field.number)
        added.label = _FIELD.LABEL_REPEATED if field.is_repeated else _FIELD.LABEL_OPTIONAL
        if isinstance(field.type, NestedMessage):
            added.type = _FIELD.TYPE_MESSAGE
            added.type_name = f".{PACKAGE}.{field.type.value}"
        else:
            added.type = field.type.value
    return message


_pool = descriptor_pool.DescriptorPool()
_pool.Add(_file_descriptor())
Envelope: ProtoMessage = message_factory.GetMessageClass(
    _pool.FindMessageTypeByName(f"{PACKAGE}.Envelope")
)

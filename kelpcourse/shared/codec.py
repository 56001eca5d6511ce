"""Peers' messages in protobuf. The schema stands here, as descriptors made at import: no compiler is needed to build.

Fields are only ever added, under new numbers. A reader passes over those it does not know, and an envelope whose body
it does not know is Unknown: a peer of the next version is spoken with.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message, message_factory

from kelpcourse.shared.controller import PeerMessage, Tell
from kelpcourse.shared.leases import Ask, Renewed
from kelpcourse.shared.messages import (
    Append,
    AppendReply,
    Config,
    ElectNow,
    Entry,
    Kind,
    Piece,
    PieceReply,
    Vote,
    VoteReply,
)

VERSION = 1
PACKAGE = "kelpcourse.shared"
FIELD = descriptor_pb2.FieldDescriptorProto
TYPES = {
    "u64": FIELD.TYPE_UINT64,
    "i64": FIELD.TYPE_SINT64,
    "text": FIELD.TYPE_STRING,
    "bytes": FIELD.TYPE_BYTES,
    "flag": FIELD.TYPE_BOOL,
}
# Message, then fields as number, name, type; `*` repeats, a capital names a message.
SCHEMA: dict[str, tuple[tuple[int, str, str], ...]] = {
    "Members": ((1, "voters", "*text"), (2, "learners", "*text")),
    "LogEntry": (
        (1, "index", "u64"),
        (2, "term", "u64"),
        (3, "kind", "text"),
        (4, "data", "bytes"),
        (5, "members", "Members"),
    ),
    "Held": ((1, "group", "u64"), (2, "epoch", "u64")),
    "Vote": (
        (1, "term", "u64"),
        (2, "last_index", "u64"),
        (3, "last_term", "u64"),
        (4, "pre", "flag"),
        (5, "forced", "flag"),
    ),
    "VoteReply": ((1, "term", "u64"), (2, "pre", "flag"), (3, "granted", "flag")),
    "Append": (
        (1, "term", "u64"),
        (2, "prev_index", "u64"),
        (3, "prev_term", "u64"),
        (4, "entries", "*LogEntry"),
        (5, "commit", "u64"),
        (6, "sent_us", "i64"),
    ),
    "AppendReply": (
        (1, "term", "u64"),
        (2, "ok", "flag"),
        (3, "match", "u64"),
        (4, "last", "u64"),
        (5, "sent_us", "i64"),
    ),
    "Piece": (
        (1, "term", "u64"),
        (2, "index", "u64"),
        (3, "snap_term", "u64"),
        (4, "members", "Members"),
        (5, "offset", "u64"),
        (6, "data", "bytes"),
        (7, "total", "u64"),
        (8, "sent_us", "i64"),
    ),
    "PieceReply": (
        (1, "term", "u64"),
        (2, "index", "u64"),
        (3, "offset", "u64"),
        (4, "sent_us", "i64"),
    ),
    "ElectNow": ((1, "term", "u64"),),
    "Ask": ((1, "asked_us", "i64"), (2, "holds", "*Held")),
    "Renewed": ((1, "asked_us", "i64"), (2, "holds", "*Held")),
    "Tell": ((1, "facts", "*bytes"),),
    "Hello": ((1, "member", "text"),),
}
BODIES = (
    "Hello",
    "Vote",
    "VoteReply",
    "Append",
    "AppendReply",
    "Piece",
    "PieceReply",
    "ElectNow",
    "Ask",
    "Renewed",
    "Tell",
)
FIRST_BODY = 16  # field number of the first body in an envelope


def _file() -> descriptor_pb2.FileDescriptorProto:
    file = descriptor_pb2.FileDescriptorProto(
        name="kelpcourse/shared.proto", package=PACKAGE, syntax="proto3"
    )
    for name, fields in SCHEMA.items():
        made = file.message_type.add(name=name)
        for number, field, type_ in fields:
            _add_field(made, number, field, type_)
    envelope = file.message_type.add(name="Envelope")
    for number, field, type_ in ((1, "version", "u64"), (2, "sender", "text"), (3, "to", "text")):
        _add_field(envelope, number, field, type_)
    envelope.oneof_decl.add(name="body")
    for k, name in enumerate(BODIES):
        _add_field(envelope, FIRST_BODY + k, name.lower(), name).oneof_index = 0
    return file


def _add_field(made: Any, number: int, name: str, type_: str) -> Any:
    repeats, plain = type_.startswith("*"), type_.lstrip("*")
    field = made.field.add(
        name=name, number=number, label=FIELD.LABEL_REPEATED if repeats else FIELD.LABEL_OPTIONAL
    )
    if plain in TYPES:
        field.type = TYPES[plain]
    else:
        field.type, field.type_name = FIELD.TYPE_MESSAGE, f".{PACKAGE}.{plain}"
    return field


_pool = descriptor_pool.DescriptorPool()
_pool.Add(_file())


def _class(name: str) -> Any:
    return message_factory.GetMessageClass(_pool.FindMessageTypeByName(f"{PACKAGE}.{name}"))


Envelope = _class("Envelope")


class BadPeerMessage(ValueError):
    """What came is no message of a peer."""


@dataclass(frozen=True)
class Hello:
    """The first message of a connection: who speaks."""

    member: str


@dataclass(frozen=True)
class Unknown:
    """A message of a version that this program does not know."""

    version: int


@dataclass(frozen=True)
class Letter:
    sender: str
    to: str
    body: PeerMessage | Hello | Unknown


def encode(sender: str, to: str, body: PeerMessage | Hello) -> bytes:
    envelope = Envelope(version=VERSION, sender=sender, to=to)
    name = type(body).__name__
    place = getattr(envelope, name.lower())
    place.SetInParent()
    for _, field, type_ in SCHEMA[name]:
        _put(place, field, type_, body)
    return bytes(envelope.SerializeToString())


def _put(place: Any, field: str, type_: str, body: Any) -> None:
    if field == "members":
        _put_config(place.members, body.config)
    elif type_ == "*LogEntry":
        for entry in body.entries:
            made = place.entries.add(
                index=entry.index, term=entry.term, kind=entry.kind.value, data=entry.data
            )
            if entry.config is not None:
                _put_config(made.members, entry.config)
    elif type_ == "*Held":
        for group, epoch in body.holds.items():
            place.holds.add(group=group, epoch=epoch)
    elif type_.startswith("*"):
        getattr(place, field).extend(getattr(body, field))
    else:
        setattr(place, field, getattr(body, field))


def _put_config(place: Any, config: Config) -> None:
    place.SetInParent()
    place.voters.extend(sorted(config.voters))
    place.learners.extend(sorted(config.learners))


def _config(place: Any) -> Config:
    return Config(frozenset(place.voters), frozenset(place.learners))


def _entry(place: Any) -> Entry:
    return Entry(
        place.index,
        place.term,
        Kind(place.kind),
        place.data,
        _config(place.members) if place.HasField("members") else None,
    )


def _holds(place: Any) -> dict[int, int]:
    return {held.group: held.epoch for held in place.holds}


READERS: dict[str, Callable[[Any], PeerMessage | Hello]] = {
    "hello": lambda p: Hello(p.member),
    "vote": lambda p: Vote(p.term, p.last_index, p.last_term, p.pre, p.forced),
    "votereply": lambda p: VoteReply(p.term, p.pre, p.granted),
    "append": lambda p: Append(
        p.term, p.prev_index, p.prev_term, tuple(map(_entry, p.entries)), p.commit, p.sent_us
    ),
    "appendreply": lambda p: AppendReply(p.term, p.ok, p.match, p.last, p.sent_us),
    "piece": lambda p: Piece(
        p.term, p.index, p.snap_term, _config(p.members), p.offset, p.data, p.total, p.sent_us
    ),
    "piecereply": lambda p: PieceReply(p.term, p.index, p.offset, p.sent_us),
    "electnow": lambda p: ElectNow(p.term),
    "ask": lambda p: Ask(p.asked_us, _holds(p)),
    "renewed": lambda p: Renewed(p.asked_us, _holds(p)),
    "tell": lambda p: Tell(tuple(p.facts)),
}


def decode(data: bytes) -> Letter:
    """Raises BadPeerMessage."""
    try:
        envelope = Envelope.FromString(data)
        name = envelope.WhichOneof("body")
        if name is None:
            return Letter(envelope.sender, envelope.to, Unknown(envelope.version))
        return Letter(envelope.sender, envelope.to, READERS[name](getattr(envelope, name)))
    except (message.DecodeError, ValueError) as error:
        raise BadPeerMessage(str(error)) from None

"""What the Raft step function puts out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from kelpcourse.shared.raft.messages import LogEntry, MemberId, RaftMessage, Snapshot
from kelpcourse.shared.raft.persistent import StateWrite

MessageT_co = TypeVar("MessageT_co", covariant=True)


class OutgoingMessage(NamedTuple, Generic[MessageT_co]):
    """A message to be sent."""

    recipient: MemberId
    message: MessageT_co


@dataclass
class RaftOutput:
    """What the caller is to do, in this order: writes, messages, and applying entries."""

    messages: list[OutgoingMessage[RaftMessage]] = field(default_factory=list)
    writes: list[StateWrite] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)
    installed_snapshot: Snapshot | None = (
        None  # the state machine restarts from it, before `committed`
    )

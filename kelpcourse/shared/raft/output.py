"""Output of the Raft step function."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from kelpcourse.shared.raft.messages import LogEntry, MemberId, RaftMessage, Snapshot
from kelpcourse.shared.raft.persistent import StateWrite

MessageT_co = TypeVar("MessageT_co", covariant=True)


class OutgoingMessage(NamedTuple, Generic[MessageT_co]):
    """A message to send, with its recipient."""

    recipient: MemberId
    message: MessageT_co


@dataclass
class RaftOutput:
    """Actions for the caller, in this order: perform writes, send messages, apply committed entries."""

    messages: list[OutgoingMessage[RaftMessage]] = field(default_factory=list)
    writes: list[StateWrite] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)
    # The state machine restarts from this snapshot before it applies `committed`.
    installed_snapshot: Snapshot | None = None

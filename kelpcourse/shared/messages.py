"""What controllers say to each other to agree, and what they keep: plain values, without a wire form. Pure.

Names follow Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (Raft), and Ongaro's thesis
for pre-vote (9.6), leadership transfer (3.10) and changes of one member at a time (4.1).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

Member = str  # a controller and its disk: a new disk makes a new member


class Kind(Enum):
    DATA = "data"
    CONFIG = "config"
    NOTHING = "nothing"  # a new leader's first entry, by which it commits what it found


@dataclass(frozen=True)
class Config:
    voters: frozenset[Member]
    learners: frozenset[Member] = frozenset()  # are told everything and count for nothing

    @property
    def all(self) -> frozenset[Member]:
        return self.voters | self.learners

    def has_quorum(self, members: frozenset[Member] | set[Member]) -> bool:
        return len(self.voters & members) > len(self.voters) // 2


@dataclass(frozen=True)
class Entry:
    index: int
    term: int
    kind: Kind
    data: bytes = b""
    config: Config | None = None


@dataclass(frozen=True)
class Snapshot:
    """Everything up to an entry, as the state machine has it."""

    index: int
    term: int
    config: Config
    data: bytes


# Messages. Each carries its sender's term.


@dataclass(frozen=True)
class Vote:
    term: int
    last_index: int
    last_term: int
    pre: bool  # only asks: nobody's term moves by it
    forced: bool = False  # the leader itself asked for this election


@dataclass(frozen=True)
class VoteReply:
    term: int
    pre: bool
    granted: bool


@dataclass(frozen=True)
class Append:
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_us: int  # on the leader's clock; comes back with the reply, so that a lease counts from the asking


@dataclass(frozen=True)
class AppendReply:
    term: int
    ok: bool
    match: int  # ok: what stands on disk up to here; else: where to try next
    last: int  # the last index on the follower's disk
    sent_us: int


@dataclass(frozen=True)
class Piece:
    """A part of a snapshot."""

    term: int
    index: int
    snap_term: int
    config: Config
    offset: int
    data: bytes
    total: int
    sent_us: int


@dataclass(frozen=True)
class PieceReply:
    term: int
    index: int
    offset: int  # of the piece wanted next; `total` of the snapshot: it is whole and on disk
    sent_us: int


@dataclass(frozen=True)
class ElectNow:
    """A leader hands over."""

    term: int


Message = Vote | VoteReply | Append | AppendReply | Piece | PieceReply | ElectNow


# What is kept


@dataclass(frozen=True)
class Write:
    """To be made durable, in the order of numbers. Entries from `cut` on are dropped before `entries` follow."""

    number: int
    term: int
    vote: Member | None
    cut: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None  # replaces everything up to its index


@dataclass(frozen=True)
class Stored:
    """What a disk held at a start."""

    term: int
    vote: Member | None
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()

"""What a shared controller exchanges with its surroundings: peer messages, events, writes and options."""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpcourse.shared.lease_timing import LeaseReply, LeaseRequest, LeaseTiming
from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import MemberId, RaftMessage
from kelpcourse.shared.raft.options import RaftOptions
from kelpcourse.shared.raft.output import OutgoingMessage
from kelpcourse.shared.raft.persistent import StateWrite


@dataclass(frozen=True)
class ForwardedCommands:
    """Commands for the leader to propose, in their stored form."""

    commands: tuple[bytes, ...]


PeerMessage = RaftMessage | LeaseRequest | LeaseReply | ForwardedCommands


@dataclass(frozen=True)
class LeaseAcquired:
    """This controller may order for a group from now on."""

    group: GroupId
    epoch: int
    pending_drains: dict[
        str, int
    ]  # endpoints to withdraw before all else, and since when (Unix ms)
    admission_ratios: tuple[float, ...]
    capacity_per_s: float


@dataclass(frozen=True)
class LeaseLost:
    """This controller may not order for a group any more."""

    group: GroupId


@dataclass(frozen=True)
class LeadershipChanged:
    """Another member leads, as far as this controller knows."""

    leader: MemberId | None
    term: int


ControllerEvent = LeaseAcquired | LeaseLost | LeadershipChanged


@dataclass
class ControllerOutput:
    """What the caller is to do, in this order: writes, messages, and handling events."""

    messages: list[OutgoingMessage[PeerMessage]] = field(default_factory=list)
    writes: list[StateWrite] = field(default_factory=list)
    events: list[ControllerEvent] = field(default_factory=list)


@dataclass(frozen=True)
class ControllerOptions:
    """How a fleet of proxies is shared among controllers."""

    group_count: int
    raft: RaftOptions = field(default_factory=RaftOptions)
    lease: LeaseTiming = field(default_factory=LeaseTiming)
    max_log_entries: int = 4_096  # before the log is compacted into a snapshot
    max_pending_commands: int = 10_000

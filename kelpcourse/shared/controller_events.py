"""Inputs and outputs of a shared controller: peer messages, events, writes and options."""

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
    """Encoded commands for the leader to propose."""

    commands: tuple[bytes, ...]


PeerMessage = RaftMessage | LeaseRequest | LeaseReply | ForwardedCommands


@dataclass(frozen=True)
class LeaseAcquired:
    """This controller has acquired a group's lease, and may order for the group from now on.

    Attributes:
        group: The group whose lease is acquired.
        epoch: Epoch of the lease.
        pending_drains: Endpoints to withdraw before any other order, with the start of each drain (Unix time in
            milliseconds).
        admission_ratios: Admission ratios that an earlier holder saved.
        capacity_per_s: Capacity estimate that an earlier holder saved, per second.
    """

    group: GroupId
    epoch: int
    pending_drains: dict[str, int]
    admission_ratios: tuple[float, ...]
    capacity_per_s: float


@dataclass(frozen=True)
class LeaseLost:
    """This controller has lost a group's lease, and may no longer order for the group."""

    group: GroupId


@dataclass(frozen=True)
class LeadershipChanged:
    """The leader or the term known to this controller has changed; without a known leader, `leader` is None."""

    leader: MemberId | None
    term: int


ControllerEvent = LeaseAcquired | LeaseLost | LeadershipChanged


@dataclass
class ControllerOutput:
    """Actions for the caller, in this order: perform writes, send messages, handle events."""

    messages: list[OutgoingMessage[PeerMessage]] = field(default_factory=list)
    writes: list[StateWrite] = field(default_factory=list)
    events: list[ControllerEvent] = field(default_factory=list)


@dataclass(frozen=True)
class ControllerOptions:
    """Options by which the proxy groups are shared among controllers.

    Attributes:
        group_count: Number of groups into which the proxies are divided.
        raft: Options of the Raft step function.
        lease: Timing of leases.
        max_log_entries: Maximum length of the log, beyond which it is compacted into a snapshot.
        max_pending_commands: Maximum number of submitted commands whose effect is not yet replicated.
    """

    group_count: int
    raft: RaftOptions = field(default_factory=RaftOptions)
    lease: LeaseTiming = field(default_factory=LeaseTiming)
    max_log_entries: int = 4_096
    max_pending_commands: int = 10_000

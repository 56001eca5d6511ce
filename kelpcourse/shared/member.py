"""A member in its process: the controller's step function with its storage, its peers and the clock."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.commands import Command, SetMemberDrained
from kelpcourse.shared.controller import Controller
from kelpcourse.shared.controller_events import (
    ControllerEvent,
    ControllerOptions,
    LeadershipChanged,
    LeaseAcquired,
    LeaseLost,
    PeerMessage,
)
from kelpcourse.shared.errors import MembershipChangeError, NotLeaderError
from kelpcourse.shared.peers import Peers, TlsContexts, member_name
from kelpcourse.shared.placement import GroupId
from kelpcourse.shared.raft.messages import Configuration, MemberId
from kelpcourse.shared.raft.role import Role
from kelpcourse.shared.status import controller_status
from kelpcourse.shared.storage import MemberStorage
from kelpcourse.wire.loop import Coroutine, Loop, Signal, Wait
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.storage import JobRunner
from kelpcourse.wire.stream import Address

Supervise = Callable[[str, Callable[[], Coroutine[None]]], None]

STORAGE_POLL_US = 5_000  # while the storage is not ready at a start


@dataclass(frozen=True)
class MemberSettings:
    """What a member is told about itself and its peers."""

    name: str
    address: Address
    peer_addresses: Mapping[str, Address]  # by name
    state_folder: Path
    bootstrap: bool  # begin a new cluster with this member alone, if the folder is empty
    tls: Callable[[], TlsContexts | None]


class FleetMember:
    """Runs a controller: carries out what its step function puts out."""

    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        settings: MemberSettings,
        options: ControllerOptions,
        runner: JobRunner,
        on_event: Callable[[ControllerEvent], None],
    ) -> None:
        """Opens storage and the listening socket; `start` starts the coroutines.

        Raises:
            StateLostError: The state folder does not hold all that was promised.
            InUse: Another process holds the folder.
            OSError: The folder or the address can't be used.
        """
        self._loop = loop
        self._log = log
        self._counters = counters
        self._options = options
        self._on_event = on_event
        self._storage = MemberStorage(
            settings.state_folder,
            settings.name,
            settings.bootstrap,
            loop,
            limits,
            runner,
            self._on_written,
            self._on_storage_failed,
        )
        self.member_id: MemberId = self._storage.member_id
        self.controller: Controller | None = None
        self._peers = Peers(
            loop,
            limits,
            counters,
            log,
            self.member_id,
            settings.address,
            settings.peer_addresses,
            settings.tls,
            self._on_message,
        )
        self.address = self._peers.address
        self._wake_up = Signal()
        self.halt_reason = ""

    def start(self, supervise: Supervise) -> None:
        """Starts the coroutines; `supervise` restarts one that fails."""
        for warning in self._storage.warnings:
            self._log.always(
                "store_warning",
                file=warning.file,
                problem=warning.problem,
                lost_bytes=warning.lost_bytes,
                alarming=warning.alarming,
            )
        supervise("shared disk", self._storage.run)
        self._peers.start(supervise)
        supervise("shared", self.run)

    def run(self) -> Coroutine[None]:
        """Runs the step function once the storage is ready: before that it can promise nothing."""
        while not self._storage.is_ready and not self.halt_reason:
            yield Wait(self._loop.clock() + STORAGE_POLL_US)
        if not self.halt_reason and self.controller is None:
            self._start_controller()
        while self.controller is not None:
            self.controller.tick(self._loop.clock())
            self._process_output()
            self._wake_up.clear()
            yield Wait(self.controller.next_due_us(), signal=self._wake_up)

    def _start_controller(self) -> None:
        self.controller = Controller(
            self.member_id,
            self._storage.state,
            self._options,
            secrets.randbits(48),
            self._loop.clock(),
        )
        self._log.always(
            "member_started",
            member=self.member_id,
            term=self.controller.raft.term,
            entries=len(self.controller.raft.log),
        )

    def close(self) -> None:
        """Closes the socket and releases the folder."""
        self._peers.close()
        self._storage.close()

    # Input

    def _on_message(self, sender: MemberId, message: PeerMessage) -> None:
        if self.controller is not None:
            self.controller.receive(self._loop.clock(), sender, message)
            self._process_output()

    def _on_written(self, number: int) -> None:
        if self.controller is not None:
            self.controller.on_writes_durable(self._loop.clock(), number)
            self._process_output()

    def _on_storage_failed(self, reason: str) -> None:
        """Ends this member's part in the cluster: its leases expire, and others take over."""
        self.halt_reason = reason
        self.controller = None
        self._counters.add("member_halts")
        self._log.always("member_halted", reason=reason)

    def submit(self, command: Command) -> None:
        """Submits a command for the replicated state."""
        if self.controller is not None:
            self.controller.submit(self._loop.clock(), command)
            self._process_output()

    def epoch(self, group: GroupId) -> int | None:
        """Returns under which epoch the group may be ordered for now, or None."""
        if self.controller is None:
            return None
        return self.controller.epoch(group, self._loop.clock())

    # Operators' commands

    def add(self, name: str) -> str:
        """Adds a running controller: as a learner first, and as a voter once it has caught up.

        Returns:
            What was done.

        Raises:
            RequestRejectedError: This member does not lead, or the controller can't be added now.
        """
        controller = self._leading_controller()
        member = self._peers.members.get(name)
        if member is None:
            raise MembershipChangeError(
                f"{name} has not said Hello: is it running, and is it in the settings?"
            )
        config = controller.raft.config
        if member in config.voters:
            raise MembershipChangeError(f"{member} is a voter already")
        if member not in config.learners:
            proposed = Configuration(config.voters, config.learners | {member})
            self._change_membership(controller, proposed)
            return f"{member} learns"
        proposed = Configuration(config.voters | {member}, config.learners - {member})
        self._change_membership(controller, proposed)
        return f"{member} votes"

    def remove(self, name: str) -> str:
        """Removes a member; returns what was done. Raises RequestRejectedError."""
        controller = self._leading_controller()
        config = controller.raft.config
        removed = _members_named(name, config)
        proposed = Configuration(config.voters - removed, config.learners - removed)
        self._change_membership(controller, proposed)
        return f"{', '.join(sorted(removed))} removed"

    def transfer(self, name: str) -> str:
        """Transfers leadership; returns what was done. Raises RequestRejectedError."""
        controller = self._leading_controller()
        target = name
        for member in controller.raft.config.voters:
            if name in (member, member_name(member)):
                target = member
                break
        controller.raft.transfer_leadership(target)
        controller.tick(self._loop.clock())
        self._process_output()
        return f"leadership goes to {target}"

    def drain(self, name: str, is_drained: bool = True) -> str:
        """Lets a member hold no group, or takes that back; returns what was done.

        Goes through the log, so that every later leader knows it. Raises RequestRejectedError.
        """
        controller = self._leading_controller()
        members = sorted(_members_named(name, controller.raft.config))
        for member in members:
            self.submit(SetMemberDrained(member, is_drained))
        effect = "holds nothing any more" if is_drained else "may hold groups again"
        return f"{', '.join(members)} {effect}"

    def _leading_controller(self) -> Controller:
        if self.controller is None or self.controller.raft.role is not Role.LEADER:
            raise NotLeaderError("not the leader")
        return self.controller

    def _change_membership(self, controller: Controller, config: Configuration) -> None:
        controller.change_membership(self._loop.clock(), config)
        self._process_output()

    # Output

    def _process_output(self) -> None:
        """Writes before messages; the step function itself holds back what rests on a write."""
        if self.controller is None:
            return
        output = self.controller.take_output()
        self._storage.write(output.writes)
        for recipient, message in output.messages:
            self._peers.send(recipient, message)
        for event in output.events:
            self._handle_event(event)
        if output.writes or output.messages or output.events:
            self._wake_up.set()

    def _handle_event(self, event: ControllerEvent) -> None:
        match event:
            case LeaseAcquired(group, epoch, pending_drains):
                self._log.event(
                    "proxy_group_lease_acquired",
                    group=group,
                    epoch=epoch,
                    withdrawn_first=sorted(pending_drains),
                )
            case LeaseLost(group):
                self._log.event("proxy_group_lease_lost", group=group)
            case LeadershipChanged(leader, term):
                self._log.event("leader_changed", leader=leader, term=term)
        self._on_event(event)

    def status(self) -> dict[str, object]:
        """Returns what this controller knows, as `kelpcourse shared status` shows it."""
        if self.controller is None:
            return {"member": self.member_id, "halted": self.halt_reason}
        return controller_status(self.controller, self._loop.clock())


def _members_named(name: str, config: Configuration) -> set[MemberId]:
    """Members by a name, or by a name with its token. Raises MembershipChangeError."""
    members = {member for member in config.members if name in (member, member_name(member))}
    if not members:
        raise MembershipChangeError(f"{name} is no member")
    return members

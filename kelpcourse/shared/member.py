"""A member of a cluster: the controller's step function connected to storage, peers and the clock."""

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
from kelpcourse.shared.peer_identity import TlsContexts, member_name
from kelpcourse.shared.peers import Peers
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

STORAGE_POLL_US = 5_000  # polling interval while the storage is not ready after a start


@dataclass(frozen=True)
class MemberSettings:
    """Settings of a member and its peers.

    Attributes:
        name: Name of the member in the settings.
        address: Address on which the member listens for its peers.
        peer_addresses: Addresses of the other controllers by name.
        state_folder: Folder of the persistent state.
        bootstrap: Whether an empty folder starts a new cluster with this member alone.
        tls: Function that returns the current TLS contexts, or None for connections without TLS.
    """

    name: str
    address: Address
    peer_addresses: Mapping[str, Address]
    state_folder: Path
    bootstrap: bool
    tls: Callable[[], TlsContexts | None]


class FleetMember:
    """Runs a controller and carries out the output of its step function.

    Attributes:
        member_id: Id of this member.
        controller: The step function; None until the storage is ready and after the member has halted.
        address: Address on which this member listens for its peers.
        halt_reason: Reason why the member has halted; empty if it has not.
    """

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
        """Opens the storage and the listening socket; `start` starts the coroutines.

        Raises:
            StateLostError: The state folder lacks state that this member has acknowledged.
            FolderInUseError: Another process uses the folder.
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
        """Runs the step function once the storage is ready, as the member must store what it acknowledges."""
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
        """Closes the listening socket and incoming connections, and releases the state folder."""
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
        """Halts this member: its leases expire, and other members take over its groups."""
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
        """Returns the epoch under which orders may be sent for a proxy group at present, or None."""
        if self.controller is None:
            return None
        return self.controller.epoch(group, self._loop.clock())

    # Operators' commands

    def add(self, name: str) -> str:
        """Adds a running controller as a learner, or promotes a learner that has caught up to a voter.

        Returns:
            Text that describes the change.

        Raises:
            RequestRejectedError: This member is not the leader, or the controller can't be added at present.
        """
        controller = self._leading_controller()
        member = self._peers.members.get(name)
        if member is None:
            raise MembershipChangeError(
                f"{name} has not connected: check that it is running and in the settings"
            )
        config = controller.raft.config
        if member in config.voters:
            raise MembershipChangeError(f"{member} is already a voter")
        if member not in config.learners:
            proposed = Configuration(config.voters, config.learners | {member})
            self._change_membership(controller, proposed)
            return f"{member} is now a learner"
        proposed = Configuration(config.voters | {member}, config.learners - {member})
        self._change_membership(controller, proposed)
        return f"{member} is now a voter"

    def remove(self, name: str) -> str:
        """Removes a member from the cluster.

        Returns:
            Text that describes the change.

        Raises:
            RequestRejectedError: This member is not the leader, or the member can't be removed at present.
        """
        controller = self._leading_controller()
        config = controller.raft.config
        removed = _members_named(name, config)
        proposed = Configuration(config.voters - removed, config.learners - removed)
        self._change_membership(controller, proposed)
        return f"{', '.join(sorted(removed))} removed"

    def transfer(self, name: str) -> str:
        """Transfers leadership to another voter.

        Returns:
            Text that describes the change.

        Raises:
            RequestRejectedError: This member is not the leader, is already transferring its leadership, or the target
                is not another voter.
        """
        controller = self._leading_controller()
        target = name
        for member in controller.raft.config.voters:
            if name in (member, member_name(member)):
                target = member
                break
        controller.raft.transfer_leadership(target)
        controller.tick(self._loop.clock())
        self._process_output()
        return f"leadership is being transferred to {target}"

    def drain(self, name: str, is_drained: bool = True) -> str:
        """Drains a member, so that it holds no proxy group, or ends the drain.

        The drain is stored in the replicated log, so that it also applies under later leaders.

        Returns:
            Text that describes the change.

        Raises:
            RequestRejectedError: This member is not the leader, or no member has this name.
        """
        controller = self._leading_controller()
        members = sorted(_members_named(name, controller.raft.config))
        for member in members:
            self.submit(SetMemberDrained(member, is_drained))
        effect = "is being drained" if is_drained else "is no longer drained"
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
        """Carries out the controller's output, writes first.

        The step function itself delays messages that depend on a write until that write is durable.
        """
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
        """Returns this controller's view of the cluster, as shown by `kelpcourse shared status`."""
        if self.controller is None:
            return {"member": self.member_id, "halted": self.halt_reason}
        return controller_status(self.controller, self._loop.clock())


def _members_named(name: str, config: Configuration) -> set[MemberId]:
    """Returns the members with a name, or the member with a name and token.

    Raises:
        MembershipChangeError: There is no such member.
    """
    members = {member for member in config.members if name in (member, member_name(member))}
    if not members:
        raise MembershipChangeError(f"{name} is not a member")
    return members

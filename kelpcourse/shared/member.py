"""A controller in its process: the step function with its disk, its peers and the clock."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.controller import Controller, Event, Gained, Led, Lost, PeerMessage, Shape
from kelpcourse.shared.disk import Disk
from kelpcourse.shared.ledger import Drained, Fact
from kelpcourse.shared.messages import Config, Member
from kelpcourse.shared.peers import Peers, Tls, name_of
from kelpcourse.shared.raft import Refused, Role
from kelpcourse.wire.loop import Coroutine, Loop, Signal, Wait
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.storage import JobRunner
from kelpcourse.wire.stream import Address

Keep = Callable[[str, Callable[[], Coroutine[None]]], None]


@dataclass(frozen=True)
class Place:
    """Where a controller stands."""

    name: str
    address: Address
    others: Mapping[str, Address]  # by name
    state: Path
    begins: bool  # the fleet with itself alone, if its disk is new
    tls: Callable[[], Tls | None]


class FleetMember:
    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        place: Place,
        shape: Shape,
        runner: JobRunner,
        on_event: Callable[[Event], None],
    ) -> None:
        self._loop = loop
        self._log = log
        self._counters = counters
        self._place = place
        self._shape = shape
        self._on_event = on_event
        self._disk = Disk(
            place.state, place.name, place.begins, loop, limits, runner, self._written, self._failed
        )
        self.me: Member = self._disk.member
        self.controller: Controller | None = None
        self._peers = Peers(
            loop,
            limits,
            counters,
            log,
            self.me,
            place.address,
            place.others,
            place.tls,
            self._heard,
        )
        self.address = self._peers.address
        self._stir = Signal()
        self.halted = ""

    def start(self, keep: Keep) -> None:
        for remark in self._disk.remarks:
            self._log.always(
                "store_warning",
                file=remark.file,
                problem=remark.what,
                lost_bytes=remark.lost_bytes,
                alarming=remark.alarming,
            )
        keep("shared disk", self._disk.run)
        self._peers.start(keep)
        keep("shared", self.run)

    def run(self) -> Coroutine[None]:
        """Begins once its disk can be written: before that it can promise nothing."""
        while not self._disk.ready and not self.halted:
            yield Wait(self._loop.clock() + 5_000)
        if not self.halted and self.controller is None:
            self.controller = Controller(
                self.me, self._disk.stored, self._shape, secrets.randbits(48), self._loop.clock()
            )
            self._log.always(
                "member_started",
                member=self.me,
                term=self.controller.raft.term,
                entries=len(self.controller.raft.log),
            )
        while self.controller is not None:
            self.controller.tick(self._loop.clock())
            self._carry_out()
            self._stir.clear()
            yield Wait(self.controller.due_us(), signal=self._stir)

    def close(self) -> None:
        self._peers.close()
        self._disk.close()

    # In

    def _heard(self, sender: Member, message: PeerMessage) -> None:
        if self.controller is not None:
            self.controller.receive(self._loop.clock(), sender, message)
            self._carry_out()

    def _written(self, number: int) -> None:
        if self.controller is not None:
            self.controller.written(self._loop.clock(), number)
            self._carry_out()

    def _failed(self, reason: str) -> None:
        """It has no part in the fleet any more: its leases run out, and others take over."""
        self.halted, self.controller = reason, None
        self._counters.add("member_halts")
        self._log.always("member_halted", reason=reason)

    def learn(self, fact: Fact) -> None:
        if self.controller is not None:
            self.controller.learn(self._loop.clock(), fact)
            self._carry_out()

    def epoch(self, group: int) -> int | None:
        return (
            self.controller.epoch(group, self._loop.clock())
            if self.controller is not None
            else None
        )

    # Members

    def add(self, name: str) -> str:
        """Adds a controller that is there, as a learner first and as a voter once it has caught up. What was done;
        raises Refused."""
        controller = self._leading()
        member = self._peers.members.get(name)
        if member is None:
            raise Refused(f"{name} has not said Hello: is it running, and is it in the settings?")
        config = controller.raft.config
        if member in config.voters:
            raise Refused(f"{member} is a voter already")
        if member not in config.learners:
            self._change(controller, Config(config.voters, config.learners | {member}))
            return f"{member} learns"
        self._change(controller, Config(config.voters | {member}, config.learners - {member}))
        return f"{member} votes"

    def remove(self, name: str) -> str:
        """Raises Refused."""
        controller = self._leading()
        config = controller.raft.config
        gone = {m for m in config.all if name in (m, name_of(m))}
        if not gone:
            raise Refused(f"{name} is no member")
        self._change(controller, Config(config.voters - gone, config.learners - gone))
        return f"{', '.join(sorted(gone))} removed"

    def transfer(self, name: str) -> str:
        """Raises Refused."""
        controller = self._leading()
        to = next((m for m in controller.raft.config.voters if name in (m, name_of(m))), name)
        controller.raft.hand_over(self._loop.clock(), to)
        controller.tick(self._loop.clock())
        self._carry_out()
        return f"leadership goes to {to}"

    def drain(self, name: str, drains: bool = True) -> str:
        """Goes through the log, so that whoever leads later knows it too. Raises Refused."""
        controller = self._leading()
        named = {m for m in controller.raft.config.all if name in (m, name_of(m))}
        if not named:
            raise Refused(f"{name} is no member")
        for member in sorted(named):
            self.learn(Drained(member, drains))
        return f"{', '.join(sorted(named))} {'holds nothing any more' if drains else 'may hold groups again'}"

    def _leading(self) -> Controller:
        if self.controller is None or self.controller.raft.role is not Role.LEADER:
            raise Refused("not the leader")
        return self.controller

    def _change(self, controller: Controller, config: Config) -> None:
        controller.change(self._loop.clock(), config)
        self._carry_out()

    # Out

    def _carry_out(self) -> None:
        """Writes before messages: what rests on a write is held back by the step function itself."""
        if self.controller is None:
            return
        out = self.controller.take()
        self._disk.write(out.writes)
        for to, message in out.messages:
            self._peers.send(to, message)
        for event in out.events:
            self._tell(event)
        if out.writes or out.messages or out.events:
            self._stir.set()

    def _tell(self, event: Event) -> None:
        match event:
            case Gained(group, epoch, first):
                self._log.event(
                    "proxy_group_lease_acquired",
                    group=group,
                    epoch=epoch,
                    withdrawn_first=sorted(first),
                )
            case Lost(group):
                self._log.event("proxy_group_lease_lost", group=group)
            case Led(leader, term):
                self._log.event("leader_changed", leader=leader, term=term)
        self._on_event(event)

    def status(self) -> dict[str, object]:
        """For the operators: what this controller knows."""
        controller, now = self.controller, self._loop.clock()
        if controller is None:
            return {"member": self.me, "halted": self.halted}
        raft = controller.raft
        lags = {m: raft.log.last_index - p.match for m, p in sorted(raft.peers.items())}
        groups = [
            {
                "group": g,
                "holder": lease.holder,
                "epoch": lease.epoch,
                "left_ms": controller.holder.left_us(g, now) // 1000
                if lease.holder == self.me
                else None,
            }
            for g, lease in sorted(controller.ledger.leases.items())
        ]
        return {
            "member": self.me,
            "role": raft.role.value,
            "leader": raft.leader,
            "term": raft.term,
            "committed": raft.commit,
            "voters": sorted(raft.config.voters),
            "learners": sorted(raft.config.learners),
            "lags": lags,
            "groups": groups,
            "withdrawn": sorted(controller.ledger.withdrawn),
            "drained": sorted(controller.ledger.drained),
        }

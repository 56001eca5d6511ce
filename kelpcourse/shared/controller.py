"""One controller of several: agreement, ledger and leases together, as one step function. Pure.

What it is for: `epoch(group)` says under which epoch it may order for a group now, if at all. Everything else keeps
that true. Facts that it learns (hosts withdrawn, levels) go to the leader again and again until the ledger has them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from kelpcourse.shared.leases import Ask, Holder, Keeper, Renewed, Terms
from kelpcourse.shared.ledger import (
    Began,
    Carried,
    Cleared,
    Drained,
    Fact,
    Granted,
    Ledger,
    Released,
    Withdrew,
    decode,
    encode,
    restored,
)
from kelpcourse.shared.messages import Config, Entry, Kind, Member, Message, Snapshot, Stored, Write
from kelpcourse.shared.placement import Group
from kelpcourse.shared.raft import Raft, Refused, Role, Timing


@dataclass(frozen=True)
class Tell:
    """Facts for the leader to put into the log."""

    facts: tuple[bytes, ...]


PeerMessage = Message | Ask | Renewed | Tell


@dataclass(frozen=True)
class Gained:
    """It may order for a group from now on."""

    group: Group
    epoch: int
    first: dict[str, int]  # hosts to be shut out before anything else, and since when (Unix ms)
    levels: tuple[float, ...]
    volume: float


@dataclass(frozen=True)
class Lost:
    """It may not order for a group any more."""

    group: Group


@dataclass(frozen=True)
class Led:
    """Who leads has changed, as far as this controller knows."""

    leader: Member | None
    term: int


Event = Gained | Lost | Led


@dataclass
class Output:
    messages: list[tuple[Member, PeerMessage]] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


@dataclass(frozen=True)
class Shape:
    """How a fleet is shared."""

    groups: int
    timing: Timing = field(default_factory=Timing)
    terms: Terms = field(default_factory=Terms)
    keep_entries: int = 4_096  # before the log is made into a snapshot
    facts: int = 10_000  # that wait to be taken


class Controller:
    def __init__(
        self,
        me: Member,
        stored: Stored,
        shape: Shape,
        seed: int,
        now_us: int,
        make: type[Raft] = Raft,
        make_holder: type[Holder] = Holder,
        make_keeper: type[Keeper] = Keeper,
    ) -> None:
        self.me = me
        self.shape = shape
        self.raft = make(me, stored, shape.timing, seed, now_us)
        self.ledger = restored(stored.snapshot.data)
        self.holder = make_holder(me, shape.terms)
        self.holder.ledger_changed(self.ledger)
        self.keeper: Keeper | None = None
        self.on_applied: Callable[[Entry, bool], None] = lambda entry, fits: None
        self._make_keeper = make_keeper
        self._kept_term = 0
        self._proposed: dict[tuple[int, int], Fact] = {}  # by index and term
        self._untold: dict[tuple[object, ...], Fact] = {}  # by what they are about
        self._tell_us = now_us
        self._known_leader: tuple[Member | None, int] = (None, 0)
        self._out = Output()

    # In

    def tick(self, now_us: int) -> None:
        self.raft.tick(now_us)
        self._settle(now_us)

    def receive(self, now_us: int, sender: Member, message: PeerMessage) -> None:
        match message:
            case Ask():
                self._answer(now_us, sender, message)
            case Renewed():
                self._renewed(message)
            case Tell(told):
                self._told(now_us, told)
            case _:
                self.raft.receive(now_us, sender, message)
        self._settle(now_us)

    def written(self, now_us: int, number: int) -> None:
        self.raft.written(now_us, number)
        self._settle(now_us)

    def learn(self, now_us: int, fact: Fact) -> None:
        """A fact for the ledger; a later one about the same replaces it. Beyond a limit the oldest goes: what is
        still so is learned again."""
        self._untold.pop(about(fact), None)
        self._untold[about(fact)] = fact
        while len(self._untold) > self.shape.facts:
            del self._untold[next(iter(self._untold))]
        self._tell_us = min(self._tell_us, now_us)
        self._settle(now_us)

    def change(self, now_us: int, config: Config) -> None:
        """Raises Refused."""
        self.raft.change(now_us, config)
        self._settle(now_us)

    def take(self) -> Output:
        out, self._out = self._out, Output()
        return out

    def due_us(self) -> int:
        return min(self.raft.due_us(), self.holder.due_us())

    def epoch(self, group: Group, now_us: int) -> int | None:
        """Under which it may order for the group now; None: it may not."""
        return self.holder.epoch(group, now_us)

    # Leases

    def _answer(self, now_us: int, sender: Member, ask: Ask) -> None:
        if self.keeper is None or self.raft.role is not Role.LEADER:
            return
        answer = self.keeper.asked(sender, ask, now_us, self.raft.led_until_us())
        if answer is not None:
            self._send(now_us, sender, answer)

    def _send(self, now_us: int, to: Member, message: PeerMessage) -> None:
        if to == self.me:
            self.receive(now_us, self.me, message)
        else:
            self._out.messages.append((to, message))

    def _renewed(self, answer: Renewed) -> None:
        for group in self.holder.renewed(answer):
            lease = self.ledger.leases[group]
            self._out.events.append(
                Gained(group, lease.epoch, self.ledger.to_finish(group), lease.levels, lease.volume)
            )

    def _lose(self, groups: list[Group]) -> None:
        self._out.events += [Lost(group) for group in groups]

    # Facts

    def _told(self, now_us: int, told: tuple[bytes, ...]) -> None:
        for data in told:
            try:
                self._propose(now_us, decode(data))
            except msgspec.DecodeError:  # of a newer version: whoever understands it may lead later
                continue

    def _propose(self, now_us: int, fact: Fact) -> None:
        if fact in self._proposed.values():
            return
        try:
            at = self.raft.propose(now_us, encode(fact))
        except Refused:
            if self.keeper is not None:
                self.keeper.lost(fact)
            return
        self._proposed[at] = fact

    def _tell(self, now_us: int) -> None:
        """What still is not in the ledger is told to whoever leads now."""
        self._untold = {
            key: fact for key, fact in self._untold.items() if not stands(fact, self.ledger)
        }
        leader = self.raft.leader
        if now_us < self._tell_us or not self._untold or leader is None:
            return
        self._tell_us = now_us + self.shape.terms.renew_us
        facts = tuple(
            encode(fact) for fact in list(self._untold.values())[: self.shape.timing.entries]
        )
        self._send(now_us, leader, Tell(facts))

    # After each input

    def _settle(self, now_us: int) -> None:
        out = self.raft.take()
        while out.messages or out.writes or out.committed or out.installed:
            self._out.messages += out.messages
            self._out.writes += out.writes
            if out.installed is not None:
                self._install(out.installed)
            for entry in out.committed:
                self._apply(now_us, entry)
            self._compact()
            out = self.raft.take()
        self._note_leader()
        self._lose(self.holder.expired(now_us))
        self._keep(now_us)
        self._ask(now_us)
        self._tell(now_us)
        out = self.raft.take()
        self._out.messages += out.messages
        self._out.writes += out.writes
        for (
            entry
        ) in out.committed:  # with one voter alone an entry is committed as soon as it is written
            self._apply(now_us, entry)

    def _install(self, snapshot: Snapshot) -> None:
        self.ledger = restored(snapshot.data)
        self._lose(self.holder.ledger_changed(self.ledger))

    def _apply(self, now_us: int, entry: Entry) -> None:
        fits = True
        if entry.kind is Kind.DATA:
            fits = self._apply_fact(now_us, entry.data)
        self._proposed = {at: fact for at, fact in self._proposed.items() if at[0] > entry.index}
        self.on_applied(entry, fits)

    def _apply_fact(self, now_us: int, data: bytes) -> bool:
        """One of a newer version is passed over: such facts are proposed only once every member knows them."""
        try:
            fact = decode(data)
        except msgspec.DecodeError:
            return False
        fits = self.ledger.take(fact)
        self._lose(self.holder.ledger_changed(self.ledger))
        if self.keeper is not None and fits:
            self.keeper.committed(fact, now_us)
        elif self.keeper is not None:
            self.keeper.lost(fact)
        return fits

    def _compact(self) -> None:
        if (
            len(self.raft.log) > self.shape.keep_entries
            and self.raft.commit > self.raft.log.snapshot.index
        ):
            self.raft.compact(self.raft.commit, self.ledger.snapshot())

    def _note_leader(self) -> None:
        known = self.raft.leader, self.raft.term
        if known != self._known_leader:
            self._known_leader = known
            self._out.events.append(Led(*known))

    def _keep(self, now_us: int) -> None:
        raft = self.raft
        if raft.role is not Role.LEADER:
            self.keeper = None
            self._proposed.clear()
            return
        if raft.log.term_at(raft.commit) != raft.term:
            return  # what earlier leaders granted is not all known yet
        if self.keeper is None or self._kept_term != raft.term:
            self._kept_term = raft.term
            self.keeper = self._make_keeper(self.shape.terms, self.ledger, now_us)
        if len(self.ledger.leases) != self.shape.groups:
            self._propose(now_us, Began(self.shape.groups))
        for gone in sorted(self.ledger.drained - raft.config.all):
            self._propose(now_us, Drained(gone, False))
        for fact in self.keeper.step(now_us, sorted(raft.config.voters), self.ledger.drained):
            self._propose(now_us, fact)

    def _ask(self, now_us: int) -> None:
        ask = self.holder.ask(now_us)
        if ask is not None and self.raft.leader is not None:
            self._send(now_us, self.raft.leader, ask)


def about(fact: Fact) -> tuple[object, ...]:
    match fact:
        case Withdrew(host, _):
            return "withdrew", host
        case Cleared(host, group, _):
            return "cleared", host, group
        case Carried(group, _, _, _):
            return "carried", group
        case Released(group, _) | Granted(group, _, _):
            return type(fact).__name__, group
        case Began():
            return ("began",)
        case Drained(member, _):
            return "drained", member


def stands(fact: Fact, ledger: Ledger) -> bool:
    """Whether the ledger holds it, or has moved on past it."""
    match fact:
        case Withdrew(host, since_ms):
            known = ledger.withdrawn.get(host)
            return known is not None and known.since_ms >= since_ms
        case Cleared(host, group, since_ms):
            known = ledger.withdrawn.get(host)
            return known is None or known.since_ms != since_ms or group not in known.open
        case Carried(group, epoch, levels, volume):
            lease = ledger.leases.get(group)
            return (
                lease is None
                or lease.epoch != epoch
                or (lease.levels, lease.volume) == (levels, volume)
            )
        case Released(group, epoch):
            lease = ledger.leases.get(group)
            return lease is None or lease.epoch != epoch or not lease.holder
        case Granted(group, _, epoch):
            lease = ledger.leases.get(group)
            return lease is None or lease.epoch >= epoch
        case Began(groups):
            return len(ledger.leases) == groups
        case Drained(member, drains):
            return (member in ledger.drained) == drains

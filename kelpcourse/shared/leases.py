"""Leases of groups: who may order, and until when. Pure; each side goes by its own clock alone.

The holder counts from when it asked, shortened by the drift allowed for; whoever leads counts from when it
answered, lengthened by it. So a lease is over for its holder before it is over for anybody else, however long the
answer was under way. Renewals are not in the log: a leader gives them only while no other can have been elected
(`Raft.led_until_us`), and a new leader first waits for a whole lease, as it does not know what the one before renewed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass

from kelpcourse.shared.ledger import Fact, Granted, Ledger
from kelpcourse.shared.messages import Member
from kelpcourse.shared.placement import Group, place


@dataclass(frozen=True)
class Terms:
    """Microseconds."""

    length_us: int = 1_200_000
    drift: float = 0.05  # by which two clocks may run apart
    renew_us: int = 300_000  # between two askings
    silent_us: int = 900_000  # after which a member that does not ask is given no group
    moves: int = 4  # groups under way to another holder at once

    @property
    def held_us(self) -> int:
        """For the holder, from its asking."""
        return round(self.length_us * (1 - self.drift))

    @property
    def kept_us(self) -> int:
        """For the leader, from its answer."""
        return round(self.length_us * (1 + self.drift))


@dataclass(frozen=True)
class Ask:
    """A holder wants its leases to go on, and anybody tells by it that it is there."""

    asked_us: int  # on its own clock; comes back
    holds: Mapping[Group, int]  # epochs


@dataclass(frozen=True)
class Renewed:
    asked_us: int
    holds: Mapping[Group, int]  # those that go on


class Holder:
    """One controller's side: which groups it may order for."""

    def __init__(self, me: Member, terms: Terms) -> None:
        self._me = me
        self._terms = terms
        self._until_us: dict[Group, int] = {}
        self._epochs: dict[Group, int] = {}
        self._ask_us = 0

    def epoch(self, group: Group, now_us: int) -> int | None:
        """Under which it may order now; None: it may not. Asked again before each call: the process may have stood
        still since."""
        return self._epochs[group] if self._until_us.get(group, 0) > now_us else None

    def left_us(self, group: Group, now_us: int) -> int:
        return max(0, self._until_us.get(group, 0) - now_us)

    def holds(self, now_us: int) -> dict[Group, int]:
        return {g: epoch for g in self._epochs if (epoch := self.epoch(g, now_us)) is not None}

    def ledger_changed(self, ledger: Ledger) -> list[Group]:
        """A grant in the log alone gives no right: it may be old by the time it is heard of. What it takes away
        counts at once. The groups that were lost by it."""
        granted = ledger.held_by(self._me)
        lost = [g for g, epoch in self._epochs.items() if granted.get(g) != epoch]
        for group in lost:
            del self._epochs[group]
            self._until_us.pop(group, None)
        for group, epoch in granted.items():
            if self._epochs.get(group) != epoch:
                self._epochs[group] = epoch
                self._ask_us = 0  # its first renewal is wanted at once
        return lost

    def ask(self, now_us: int) -> Ask | None:
        """What to send to the leader, when it is time."""
        if now_us < self._ask_us:
            return None
        self._ask_us = now_us + self._terms.renew_us
        return Ask(now_us, dict(self._epochs))

    def due_us(self) -> int:
        return self._ask_us

    def renewed(self, answer: Renewed) -> list[Group]:
        """The groups that it may order for from now on and could not before."""
        fresh = []
        for group, epoch in answer.holds.items():
            if self._epochs.get(group) == epoch:
                until = answer.asked_us + self._terms.held_us
                if group not in self._until_us:
                    fresh.append(group)
                self._until_us[group] = max(until, self._until_us.get(group, 0))
        return fresh

    def expired(self, now_us: int) -> list[Group]:
        """Groups whose lease has run out since this was last asked."""
        gone = [g for g, until in self._until_us.items() if until <= now_us]
        for group in gone:
            del self._until_us[group]
        return gone


class Keeper:
    """The leader's side: renews, and gives groups that nobody can hold any more to somebody else. Made anew with
    each election."""

    def __init__(self, terms: Terms, ledger: Ledger, began_us: int) -> None:
        self._terms = terms
        self._ledger = ledger
        self._began_us = began_us  # after its first entry was committed
        self._free_us: dict[Group, int] = {}  # when a group's lease is surely over
        self._heard_us: dict[Member, int] = {}
        self._granting: dict[Group, int] = {}  # epochs that are proposed and not committed
        self._leaving: set[Group] = set()  # held, and on their way to another: renewed no more

    def asked(self, member: Member, ask: Ask, now_us: int, led_until_us: int) -> Renewed | None:
        """None: it is not certain any more that nobody else leads, so nothing may be promised."""
        self._heard_us[member] = now_us
        if now_us >= led_until_us:
            return None
        holds = {}
        for group, epoch in ask.holds.items():
            lease = self._ledger.leases.get(group)
            fits = lease is not None and lease.holder == member and lease.epoch == epoch
            if fits and group not in self._leaving and group not in self._granting:
                holds[group] = epoch
                self._free_us[group] = now_us + self._terms.kept_us
        return Renewed(ask.asked_us, holds)

    def alive(self, members: Iterable[Member], now_us: int) -> set[Member]:
        """A member counts as there while it asks."""
        return {
            m for m in members if now_us - self._heard_us.get(m, -1 << 62) < self._terms.silent_us
        }

    def step(
        self, now_us: int, members: Iterable[Member], drains: Set[Member] = frozenset()
    ) -> list[Fact]:
        """Grants to be proposed. `drains`: members that are to hold nothing."""
        able = self.alive(members, now_us) - drains
        if (
            not able or now_us - self._began_us < 2 * self._terms.renew_us
        ):  # whoever is there has asked by then
            return []
        leases = self._ledger.leases
        wanted = place(
            sorted(leases), sorted(able), {g: lease.holder for g, lease in leases.items()}
        )
        there = self.alive(members, now_us)
        self._leaving &= {
            g for g, lease in leases.items() if lease.holder in there and wanted[g] != lease.holder
        }
        out: list[Fact] = []
        for group, member in sorted(wanted.items()):
            lease = leases[group]
            if lease.holder == member or group in self._granting:
                continue
            if lease.holder in there and group not in self._leaving:
                if len(self._leaving) >= self._terms.moves:
                    continue  # a few at a time: nobody steers a group between two holders
                self._leaving.add(group)
            if self._is_free(group, now_us):
                self._granting[group] = lease.epoch + 1
                out.append(Granted(group, member, lease.epoch + 1))
        return out

    def _is_free(self, group: Group, now_us: int) -> bool:
        if not self._ledger.leases[group].holder:
            return True
        return now_us >= self._free_us.get(group, self._began_us + self._terms.kept_us)

    def committed(self, fact: Fact, now_us: int) -> None:
        """A fact has been taken into the ledger."""
        if isinstance(fact, Granted):
            self._granting.pop(fact.group, None)
            self._leaving.discard(fact.group)
            self._free_us[fact.group] = now_us + self._terms.kept_us

    def lost(self, fact: Fact) -> None:
        """What was proposed will not be committed."""
        if isinstance(fact, Granted) and self._granting.get(fact.group) == fact.epoch:
            del self._granting[fact.group]


class Fence:
    """The relay's side: the highest epoch of each group that it has seen; orders of a lower one are turned away."""

    def __init__(self) -> None:
        self._highest: dict[Group, int] = {}

    def passes(self, group: Group, epoch: int) -> bool:
        if epoch < self._highest.get(group, 0):
            return False
        self._highest[group] = epoch
        return True

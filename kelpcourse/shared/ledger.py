"""What the controllers agree on, entry by entry: who holds which group in which epoch, and what a successor needs.

A state machine over the log: the same entries give the same ledger at every controller. Pure. Entries that do not
fit are passed over in the same way everywhere, as whoever proposed them may have been overtaken.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from kelpcourse.shared.messages import Member
from kelpcourse.shared.placement import Group


class Granted(msgspec.Struct, tag="granted", array_like=True, frozen=True):
    """A group goes to a holder, in the epoch after the one it was in."""

    group: Group
    holder: Member
    epoch: int


class Released(msgspec.Struct, tag="released", array_like=True, frozen=True):
    """Its holder orders no more under this epoch."""

    group: Group
    epoch: int


class Withdrew(msgspec.Struct, tag="withdrew", array_like=True, frozen=True):
    """A host drains or is gone; it is not yet known to be out of every proxy's tables."""

    host: str
    since_ms: int  # Unix time when a controller first learned of it


class Cleared(msgspec.Struct, tag="cleared", array_like=True, frozen=True):
    """Every proxy of the group has left the host, or the host is back."""

    host: str
    group: Group
    since_ms: int  # of the withdrawal that is cleared: not of a later one


class Carried(msgspec.Struct, tag="carried", array_like=True, frozen=True):
    """What the holder of a group learned, at a slow pace, for whoever comes after it."""

    group: Group
    epoch: int
    levels: tuple[float, ...]
    volume: float


class Began(msgspec.Struct, tag="began", array_like=True, frozen=True):
    """So many groups from now on."""

    groups: int


class Drained(msgspec.Struct, tag="drained", array_like=True, frozen=True):
    """An operator wants a member to hold nothing, or takes that back. In the log, as every later leader must know."""

    member: Member
    drains: bool


Fact = Granted | Released | Withdrew | Cleared | Carried | Began | Drained
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Fact)


def encode(fact: Fact) -> bytes:
    return _encoder.encode(fact)


def decode(data: bytes) -> Fact:
    """Raises msgspec.DecodeError."""
    return _decoder.decode(data)


class Lease(msgspec.Struct, array_like=True):
    """`holder` empty: released, or never granted."""

    holder: Member = ""
    epoch: int = 0
    levels: tuple[float, ...] = ()
    volume: float = 0.0


class Withdrawal(msgspec.Struct, array_like=True):
    since_ms: int
    open: list[Group]  # groups of which some proxy may still hold the host


@dataclass
class Ledger:
    leases: dict[Group, Lease] = field(default_factory=dict)
    withdrawn: dict[str, Withdrawal] = field(default_factory=dict)
    drained: set[Member] = field(default_factory=set)  # to hold no group

    def take(self, fact: Fact) -> bool:
        """False: it does not fit what stands, and changes nothing."""
        match fact:
            case Began(groups):
                fits = groups > 0
                if fits:
                    self._begin(groups)
                return fits
            case Granted(group, holder, epoch):
                lease = self.leases.get(group)
                if lease is None or epoch != lease.epoch + 1 or not holder:
                    return False
                lease.holder, lease.epoch = holder, epoch
            case Released(group, epoch):
                lease = self.leases.get(group)
                if lease is None or lease.epoch != epoch or not lease.holder:
                    return False
                lease.holder = ""
            case Carried(group, epoch, levels, volume):
                lease = self.leases.get(group)
                if lease is None or lease.epoch != epoch:
                    return False  # an earlier holder's word on a group that has moved on
                lease.levels, lease.volume = levels, volume
            case Withdrew(host, since_ms):
                known = self.withdrawn.get(host)
                if known is not None and known.since_ms >= since_ms:
                    return False
                self.withdrawn[host] = Withdrawal(since_ms, sorted(self.leases))
            case Cleared(host, group, since_ms):
                return self._clear(host, group, since_ms)
            case Drained(member, drains):
                if (member in self.drained) == drains:
                    return False
                self.drained ^= {member}
        return True

    def _begin(self, groups: int) -> None:
        for group in range(groups):
            self.leases.setdefault(group, Lease())
        for group in [g for g in self.leases if g >= groups]:
            del self.leases[group]
        for host in list(self.withdrawn):
            open_ = [g for g in self.withdrawn[host].open if g < groups]
            self.withdrawn[host].open = open_
            if not open_:
                del self.withdrawn[host]

    def _clear(self, host: str, group: Group, since_ms: int) -> bool:
        known = self.withdrawn.get(host)
        if known is None or known.since_ms != since_ms or group not in known.open:
            return False
        known.open.remove(group)
        if not known.open:
            del self.withdrawn[host]
        return True

    def held_by(self, member: Member) -> dict[Group, int]:
        """Groups and their epochs."""
        return {
            group: lease.epoch for group, lease in self.leases.items() if lease.holder == member
        }

    def to_finish(self, group: Group) -> dict[str, int]:
        """Hosts that a new holder of the group shuts out first, and since when they are to be left."""
        return {host: w.since_ms for host, w in sorted(self.withdrawn.items()) if group in w.open}

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self.leases, self.withdrawn, sorted(self.drained)))


def restored(data: bytes) -> Ledger:
    if not data:
        return Ledger()
    kind = tuple[dict[Group, Lease], dict[str, Withdrawal], set[Member]]
    return Ledger(*msgspec.msgpack.decode(data, type=kind))


def late(to_finish: Mapping[str, int], grace_ms: int, transit_ms: int, now_ms: int) -> list[str]:
    """Hosts whose drain can't be kept in its grace any more, however fast the new holder is: to be told."""
    return [host for host, since in to_finish.items() if now_ms + transit_ms > since + grace_ms]

"""Timing of leases on groups, and the messages by which they are renewed.

A holder counts a lease from its request, shortened by the clock drift allowed for; the leader counts it from its
reply, lengthened by the drift. So a lease ends for its holder before it ends for anybody else, however long the reply
was under way. Renewals are not in the log: a leader grants them only while no other member can have been elected
(`LeaderRole.leadership_guaranteed_until_us`), and a new leader first waits for a whole lease, as it does not know what
the previous leader renewed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from kelpcourse.shared.placement import GroupId


@dataclass(frozen=True)
class LeaseTiming:
    """How long leases last, and how many groups migrate at a time."""

    duration_us: int = 1_200_000
    max_clock_drift: float = 0.05  # part by which two clocks may run apart
    renewal_interval_us: int = 300_000
    member_timeout_us: int = 900_000  # a member that requests nothing for so long gets no group
    max_migrations: int = 4  # groups on their way to another holder at a time

    @property
    def holder_duration_us(self) -> int:
        """For the holder, from its request."""
        return round(self.duration_us * (1 - self.max_clock_drift))

    @property
    def leader_duration_us(self) -> int:
        """For the leader, from its reply."""
        return round(self.duration_us * (1 + self.max_clock_drift))


@dataclass(frozen=True)
class LeaseRequest:
    """A member asks the leader to renew its leases; with none, it shows that it is alive."""

    sent_us: int  # on the member's clock, repeated in the reply
    epochs: Mapping[GroupId, int]


@dataclass(frozen=True)
class LeaseReply:
    """The leader's answer: the leases that are renewed."""

    request_sent_us: int
    epochs: Mapping[GroupId, int]

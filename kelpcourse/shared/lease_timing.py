"""Timing of leases on groups, and the messages by which they are renewed.

A holder counts a lease from its request, shortened by the maximum clock drift; the leader counts it from its reply,
lengthened by the drift. A lease therefore expires for its holder before it expires for the leader, regardless of the
delay of the reply. Renewals are not in the log: a leader grants them only while no other member can have been elected
(`LeaderRole.leadership_guaranteed_until_us`), and a new leader first waits for the duration of a lease, as it does not
know which leases the previous leader renewed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from kelpcourse.shared.placement import GroupId


@dataclass(frozen=True)
class LeaseTiming:
    """Durations of leases, and limits on changes of holders.

    Attributes:
        duration_us: Nominal duration of a lease, in microseconds.
        max_clock_drift: Maximum relative difference between the rates of two clocks.
        renewal_interval_us: Interval between two renewal requests of a member, in microseconds.
        member_timeout_us: Time without a request, in microseconds, after which a member is granted no group.
        max_migrations: Maximum number of groups that migrate to another holder at a time.
    """

    duration_us: int = 1_200_000
    max_clock_drift: float = 0.05
    renewal_interval_us: int = 300_000
    member_timeout_us: int = 900_000
    max_migrations: int = 4

    @property
    def holder_duration_us(self) -> int:
        """Duration of a lease for its holder, counted from its request, in microseconds."""
        return round(self.duration_us * (1 - self.max_clock_drift))

    @property
    def leader_duration_us(self) -> int:
        """Duration of a lease for the leader, counted from its reply, in microseconds."""
        return round(self.duration_us * (1 + self.max_clock_drift))


@dataclass(frozen=True)
class LeaseRequest:
    """Request of a member to renew its leases; without leases, it only shows that the member is alive."""

    sent_us: int  # Send time on the member's clock, which the reply repeats.
    epochs: Mapping[GroupId, int]


@dataclass(frozen=True)
class LeaseReply:
    """Reply of the leader, with the leases that it renewed."""

    request_sent_us: int
    epochs: Mapping[GroupId, int]

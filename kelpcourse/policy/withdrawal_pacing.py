"""Pacing of withdrawals, so that drains that follow one another do not use up the messages that proxies may be sent."""

from __future__ import annotations

from kelpcourse.policy.arithmetic import US_PER_S
from kelpcourse.policy.delivery import DeliveryTracker
from kelpcourse.policy.settings import Settings

ORDER_MARGIN_US = 20_000  # from a change of the list to the call that orders the withdrawal

# Part of the wait of a withdrawal that updates which share its messages may take in the delivery queue, at most.
MAX_UPDATE_SHARE = 0.25


class WithdrawalPacing:
    """Computes how long a withdrawal may wait for others that can share its messages."""

    def __init__(self, settings: Settings, delivery: DeliveryTracker) -> None:
        """Initializes the pacing with the tracker that counts the messages to each proxy."""
        self._delivery = delivery
        self._entries_per_us = settings.delivery_entries_per_s / US_PER_S
        self._grace_us = settings.drain_grace_us - settings.max_transit_us - ORDER_MARGIN_US

    def delay_us(self, now_us: int, queued_entries: float, update_entries: float) -> int:
        """Returns the time in microseconds by which a withdrawal is delayed after it was requested.

        Proxies are sent the withdrawal within the grace of a drain even after the delay. It is 0 as long as drains that
        follow one another without end could each wait for that time and find a message left.

        Args:
            now_us: Time of the step, in microseconds.
            queued_entries: Entries in the delivery queue, including those of the withdrawal.
            update_entries: Entries of the updates that share its messages.
        """
        wait_us = self._grace_us - queued_entries / self._entries_per_us
        updates_us = update_entries / self._entries_per_us
        max_delay_us = int(wait_us - min(updates_us, MAX_UPDATE_SHARE * wait_us))
        if max_delay_us <= 0 or self._delivery.messages.sustains_interval(max_delay_us, now_us):
            return 0
        return max_delay_us

    def max_queued_entries(self, now_us: int, requested_us: int) -> float:
        """Returns the entries that may be in the delivery queue when a withdrawal is ordered, for it to be in time.

        Args:
            now_us: Time of the step, in microseconds.
            requested_us: Time at which the withdrawal was requested, in microseconds.
        """
        return (self._grace_us - (now_us - requested_us)) * self._entries_per_us

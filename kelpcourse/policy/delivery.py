"""Tracking of orders that are not acknowledged yet and of the recent messages to each proxy.

The orders of a controller pass through one ordered delivery queue. The length of the queue can't be observed. It is
estimated from the orders sent, from acknowledgements, and from the rate at which the queue drains. Costs are counted
in table entries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from kelpcourse.policy.message_budget import MessageBudget
from kelpcourse.policy.settings import ProxyId


class Delivery:
    """The messages of one step, which end with one checkpoint."""

    def __init__(
        self,
        checkpoint_id: int,
        sent_us: int,
        due_us: int,
        entries: float,
        unconfirmed_entries: float,
    ) -> None:
        """Initializes the delivery with no acknowledgement.

        Args:
            checkpoint_id: Id of the checkpoint that ends the step.
            sent_us: Time, in microseconds, at which the messages were sent.
            due_us: Time, in microseconds, by which all messages have left the queue if it drains at its usual rate.
            entries: Table entries that the orders add to the queue for proxies that acknowledge them.
            unconfirmed_entries: Estimate of the table entries that the orders add for proxies that may not
                acknowledge them.
        """
        self.checkpoint_id = checkpoint_id
        self.sent_us = sent_us
        self.due_us = due_us
        self.entries = entries
        self.unacknowledged_entries = entries
        self.unconfirmed_entries = unconfirmed_entries
        self.may_lack_acknowledgement = unconfirmed_entries > 0
        self.last_acknowledged_us = 0

    @property
    def total_entries(self) -> float:
        """The entries for all proxies, whether or not they acknowledge them."""
        return self.entries + self.unconfirmed_entries


@dataclass(slots=True)
class ProxyDelivery:
    """The part of a delivery that is sent to one proxy."""

    delivery: Delivery
    entries: float


@dataclass(frozen=True)
class UnreportedDeparture:
    """Entries for a proxy that joined again although no departure was reported; it will not acknowledge them."""

    expires_us: int
    entries: float


class DeliveryTracker:
    """Estimates the backlog of the delivery queue and counts the messages sent to each proxy.

    Messages leave the queue in order. A delivery therefore counts as queued until all earlier deliveries are
    acknowledged, or until the time has passed that a full queue takes to drain.
    """

    def __init__(
        self,
        max_delivery_us: int,
        entries_per_us: float,
        max_messages: int = 0,
        message_window_us: int = 0,
        max_transit_us: int = 0,
    ) -> None:
        """Starts with an empty queue.

        Args:
            max_delivery_us: Longest time, in microseconds, from an order to its acknowledgement.
            entries_per_us: Usual rate, in table entries per microsecond, at which the queue drains.
            max_messages: Maximum number of messages to one proxy within the window; 0 for no limit.
            message_window_us: Length of the window, in microseconds, in which messages to one proxy are counted.
            max_transit_us: Longest time, in microseconds, from leaving the queue to arriving at the proxy.
        """
        self._max_delivery_us = max_delivery_us
        self._entries_per_us = entries_per_us
        self._max_transit_us = max_transit_us
        self._queue_empty_us = 0
        self._deliveries: deque[Delivery] = deque()
        # Parts that are not acknowledged yet, oldest first.
        self._by_proxy: dict[ProxyId, deque[ProxyDelivery]] = {}
        self._unreported_departures: list[UnreportedDeparture] = []
        self._last_acknowledged_sent_us = 0  # latest send time of an acknowledged delivery
        # Time of the latest acknowledgement of a delivery older than all those that are tracked.
        self._last_progress_us = 0
        self.messages = MessageBudget(max_messages, message_window_us)
        self._unknown_outcomes: tuple[int, ...] = ()

    @property
    def unknown_outcomes(self) -> tuple[int, ...]:
        """The checkpoint ids of a call that failed after it was sent, so that it is unknown whether it was executed."""
        return self._unknown_outcomes

    def record_sent(
        self,
        checkpoint_id: int,
        now_us: int,
        entries_by_proxy: Mapping[ProxyId, float],
        unconfirmed_entries: float = 0.0,
        unconfirmed_proxies: Iterable[ProxyId] = (),
    ) -> None:
        """Records the messages of a step.

        Args:
            checkpoint_id: Id of the checkpoint that ends the step.
            now_us: Time of the step, in microseconds.
            entries_by_proxy: Table entries sent to each proxy that acknowledges them.
            unconfirmed_entries: Estimate of the table entries for proxies that may not acknowledge them.
            unconfirmed_proxies: Proxies that may be sent the unconfirmed entries.
        """
        entries = sum(entries_by_proxy.values())
        queue_us = int((entries + unconfirmed_entries) / self._entries_per_us)
        self._queue_empty_us = max(now_us, self._queue_empty_us) + queue_us
        delivery = Delivery(
            checkpoint_id, now_us, self._queue_empty_us, entries, unconfirmed_entries
        )
        self._deliveries.append(delivery)
        for proxy, cost in entries_by_proxy.items():
            self._by_proxy.setdefault(proxy, deque()).append(ProxyDelivery(delivery, cost))
        recipients = set(entries_by_proxy)
        if unconfirmed_entries:
            recipients.update(unconfirmed_proxies)
        self.messages.record_sent(delivery, recipients)

    def within_message_budget(self, fraction: float, now_us: int) -> bool:
        """Returns whether each proxy was sent fewer messages within the window than this fraction of the limit."""
        return self.messages.is_below(fraction, now_us)

    def accepted(self, checkpoint_id: int, now_us: int) -> None:
        """Records that the relay accepted the orders of a step.

        Their times are counted from now, because the orders may have been queued before the call.
        """
        for delivery in self._deliveries:
            if delivery.checkpoint_id == checkpoint_id:
                delivery.due_us += now_us - delivery.sent_us
                delivery.sent_us = now_us
        self.messages.accepted(checkpoint_id, now_us)
        if checkpoint_id in self._unknown_outcomes:
            self._unknown_outcomes = ()

    def acknowledged(self, proxy: ProxyId, checkpoint_id: int, now_us: int = 0) -> None:
        """Records that a proxy applied a checkpoint, and with it every earlier message to the proxy.

        Checkpoint ids wrap around, so they are compared for equality only.
        """
        deliveries = self._by_proxy.get(proxy, deque())
        checkpoint_ids = [part.delivery.checkpoint_id for part in deliveries]
        if checkpoint_id not in checkpoint_ids:
            return
        for _ in range(checkpoint_ids.index(checkpoint_id) + 1):
            part = deliveries.popleft()
            part.delivery.unacknowledged_entries -= part.entries
            part.delivery.last_acknowledged_us = now_us
            self._last_acknowledged_sent_us = max(
                self._last_acknowledged_sent_us, part.delivery.sent_us
            )

    def proxy_left(self, proxy: ProxyId) -> None:
        """Records that a proxy left.

        It acknowledges no more messages, and the count of its messages starts at 0 when it joins again.
        """
        self.messages.proxy_left(proxy)
        self._forget_entries(proxy)

    def proxy_joined(self, proxy: ProxyId, now_us: int) -> None:
        """Records that a proxy joined.

        If its departure was not reported, queued entries may still be sent to it, but it does not acknowledge them.
        """
        unacknowledged = sum(part.entries for part in self._by_proxy.get(proxy, ()))
        self._unreported_departures.append(
            UnreportedDeparture(now_us + self._max_delivery_us, unacknowledged)
        )
        self._forget_entries(proxy)

    def _forget_entries(self, proxy: ProxyId) -> None:
        for part in self._by_proxy.pop(proxy, ()):
            part.delivery.unacknowledged_entries -= part.entries
            part.delivery.entries -= part.entries
            part.delivery.may_lack_acknowledgement = True

    def outcome_unknown(self, checkpoint_ids: tuple[int, ...]) -> None:
        """Records that a call with these checkpoints failed after it was sent."""
        self._unknown_outcomes = checkpoint_ids

    def try_resend(self, now_us: int, max_backlog_entries: float) -> bool:
        """Clears the unknown outcomes if their orders can safely be sent again; returns whether none remains.

        This is safe if both copies fit into the backlog, if the first copy has certainly left the queue, or if no
        proxy acknowledged any of the messages although they must have arrived, so that the call was not executed.
        """
        deliveries = self._deliveries_of_unknown_outcome()
        was_dropped = all(self._was_dropped(delivery, now_us) for delivery in deliveries)
        has_left = all(
            now_us - delivery.sent_us >= self._max_delivery_us for delivery in deliveries
        )
        if not (was_dropped or has_left):
            copy_entries = sum(delivery.total_entries for delivery in deliveries)
            if copy_entries + self.backlog_entries(now_us) > max_backlog_entries:
                return not self._unknown_outcomes
        if not was_dropped:
            for checkpoint_id in self._unknown_outcomes:
                self.record_resent(checkpoint_id, now_us)
        self._unknown_outcomes = ()
        return True

    def _deliveries_of_unknown_outcome(self) -> list[Delivery]:
        """Returns the oldest delivery of each checkpoint with an unknown outcome, latest checkpoint first."""
        by_checkpoint = {
            delivery.checkpoint_id: delivery
            for delivery in reversed(self._deliveries)
            if delivery.checkpoint_id in self._unknown_outcomes
        }
        return list(by_checkpoint.values())

    def _was_dropped(self, delivery: Delivery, now_us: int) -> bool:
        """Returns whether no proxy acknowledged any part of a delivery that must have arrived."""
        arrived_us = delivery.due_us + 2 * self._max_transit_us
        return now_us >= arrived_us and delivery.unacknowledged_entries >= delivery.entries > 0

    def record_resent(self, checkpoint_id: int, now_us: int) -> None:
        """Records that the orders of a step may be in the queue twice.

        The second copy is unconfirmed, because no acknowledgement shows when it has left the queue.
        """
        copy_entries = next(
            (d.total_entries for d in self._deliveries if d.checkpoint_id == checkpoint_id), 0.0
        )
        self.record_sent(checkpoint_id, now_us, {}, copy_entries)
        self.messages.record_copies(checkpoint_id)

    def backlog_entries(self, now_us: int) -> float:
        """Returns the entries that may still be in the delivery queue; removes deliveries that have left it."""
        self._unreported_departures = [
            departure
            for departure in self._unreported_departures
            if departure.expires_us >= now_us and departure.entries
        ]
        total: float = sum(departure.entries for departure in self._unreported_departures)
        kept = deque[Delivery]()
        follows_queued = False  # whether an earlier delivery is still in the queue
        progress_us = self._last_progress_us
        for delivery in self._deliveries:
            progress_us = max(progress_us, delivery.last_acknowledged_us)
            is_awaited = self._is_awaited(delivery, progress_us, now_us)
            is_queued = is_awaited or (
                delivery.may_lack_acknowledgement and now_us < delivery.due_us
            )
            may_be_queued = follows_queued or is_queued or delivery.unacknowledged_entries != 0
            if self._was_lost(delivery, now_us) or not may_be_queued:
                if not kept:
                    self._last_progress_us = progress_us
                continue
            total += self._queued_entries(delivery, follows_queued, is_awaited, now_us)
            follows_queued = follows_queued or is_queued
            kept.append(delivery)
        self._deliveries = kept
        return total

    def _is_awaited(self, delivery: Delivery, progress_us: int, now_us: int) -> bool:
        """Returns whether an acknowledgement may still arrive.

        Each acknowledgement of an earlier delivery extends the time limit, because the queue keeps their order.
        """
        waited_us = now_us - max(delivery.sent_us, progress_us)
        return delivery.unacknowledged_entries > 0 and waited_us < self._max_delivery_us

    def _was_lost(self, delivery: Delivery, now_us: int) -> bool:
        """Returns whether a delivery is long overdue although a much later one was acknowledged."""
        overtaken_us = self._last_acknowledged_sent_us - delivery.sent_us
        half_age_us = (now_us - delivery.sent_us) // 2
        return overtaken_us >= self._max_delivery_us and half_age_us >= self._max_delivery_us

    def _queued_entries(
        self, delivery: Delivery, follows_queued: bool, is_awaited: bool, now_us: int
    ) -> float:
        """Returns the entries of a delivery that may still be in the queue.

        Unconfirmed entries are assumed to leave at the rate of the acknowledged ones or at the usual rate of the
        queue, whichever is slower.
        """
        unacknowledged_part = 0.0
        if follows_queued:
            unacknowledged_part = 1.0
        elif is_awaited:
            unacknowledged_part = delivery.unacknowledged_entries / max(1.0, delivery.entries)
        left_entries = (delivery.due_us - now_us) * self._entries_per_us
        left_part = left_entries / max(1.0, delivery.total_entries)
        unconfirmed_part = min(1.0, max(unacknowledged_part, left_part))
        confirmed = delivery.entries if follows_queued else delivery.unacknowledged_entries
        return confirmed + delivery.unconfirmed_entries * unconfirmed_part

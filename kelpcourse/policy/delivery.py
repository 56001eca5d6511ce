"""Tracks orders that have not been acknowledged yet, and the messages lately sent to each proxy.

Orders leave a controller through one ordered delivery queue. Its length can't be observed, only estimated: from what
was ordered, from acknowledgements, and from the rate at which the queue drains. Costs are counted in table entries.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from kelpcourse.policy.settings import ProxyId


class Delivery:
    """The messages of one step, identified by its checkpoint."""

    def __init__(
        self,
        checkpoint_id: int,
        sent_us: int,
        due_us: int,
        entries: float,
        unconfirmed_entries: float,
    ) -> None:
        """Records a step.

        Args:
            checkpoint_id: of the step's checkpoint.
            sent_us: when its messages were sent.
            due_us: when all of them have left the queue if it drains at its usual rate.
            entries: that its orders put into the queue, for proxies that acknowledge them.
            unconfirmed_entries: about so many more, for proxies that may not acknowledge them.
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
        """All entries, acknowledged or not."""
        return self.entries + self.unconfirmed_entries


@dataclass(slots=True)
class ProxyDelivery:
    """The part of a delivery that goes to one proxy."""

    delivery: Delivery
    entries: float


@dataclass(frozen=True)
class UnreportedDeparture:
    """Entries for a proxy that joined again without a known departure: no acknowledgement of them will come."""

    expires_us: int
    entries: float


class DeliveryTracker:
    """Estimates the backlog of the delivery queue and counts the messages sent to each proxy.

    Messages leave in order: a delivery counts as waiting until all earlier ones are acknowledged, or until the time
    has passed that a full queue takes.
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
            max_delivery_us: the longest time from an order to its acknowledgement.
            entries_per_us: the usual rate at which the queue drains.
            max_messages: that may be sent to one proxy within the window; 0: no limit.
            message_window_us: of that count.
            max_transit_us: the longest time from leaving the queue to the proxy.
        """
        self._max_delivery_us = max_delivery_us
        self._entries_per_us = entries_per_us
        self._max_messages = max_messages
        self._message_window_us = message_window_us
        self._max_transit_us = max_transit_us
        self._queue_empty_us = 0
        self._deliveries: deque[Delivery] = deque()
        self._by_proxy: dict[ProxyId, deque[ProxyDelivery]] = {}  # unacknowledged, oldest first
        self._unseen_departures: list[UnreportedDeparture] = []
        self._last_acknowledged_sent_us = 0  # when what was acknowledged last was sent
        self._last_progress_us = 0  # last acknowledgement ahead of the oldest delivery still kept
        self._recent_messages: deque[Delivery] = deque(maxlen=max_messages)  # to any proxy
        self._recent_by_proxy: dict[ProxyId, deque[Delivery]] = {}
        self._unknown_outcomes: tuple[int, ...] = ()

    @property
    def unknown_outcomes(self) -> tuple[int, ...]:
        """Checkpoints of a call that failed after it was sent: whether it was carried out is unknown."""
        return self._unknown_outcomes

    def record_sent(
        self,
        checkpoint_id: int,
        now_us: int,
        entries_by_proxy: Mapping[ProxyId, float],
        unconfirmed_entries: float = 0.0,
        unconfirmed_proxies: Iterable[ProxyId] = (),
    ) -> None:
        """Records the messages of a step, and entries for proxies that may not acknowledge them."""
        entries = sum(entries_by_proxy.values())
        queue_us = int((entries + unconfirmed_entries) / self._entries_per_us)
        self._queue_empty_us = max(now_us, self._queue_empty_us) + queue_us
        delivery = Delivery(
            checkpoint_id, now_us, self._queue_empty_us, entries, unconfirmed_entries
        )
        self._deliveries.append(delivery)
        for proxy, cost in entries_by_proxy.items():
            self._by_proxy.setdefault(proxy, deque()).append(ProxyDelivery(delivery, cost))
        self._recent_messages.append(delivery)
        recipients = set(entries_by_proxy)
        if unconfirmed_entries:
            recipients.update(unconfirmed_proxies)
        for proxy in recipients:
            recent = self._recent_by_proxy.setdefault(proxy, deque(maxlen=self._max_messages))
            recent.append(delivery)

    def within_message_budget(self, fraction: float, now_us: int) -> bool:
        """Whether every proxy was sent fewer messages within the window than this fraction of the limit."""
        count = math.ceil(self._max_messages * fraction)
        since_us = now_us - self._message_window_us
        if not _has_recent(self._recent_messages, count, since_us):
            return True  # no proxy was sent more messages than all together
        return not any(
            _has_recent(recent, count, since_us) for recent in self._recent_by_proxy.values()
        )

    def accepted(self, checkpoint_id: int, now_us: int) -> None:
        """The relay has accepted a step's orders: their times count from now, as they may have waited."""
        for delivery in (*self._deliveries, *self._recent_messages):
            if delivery.checkpoint_id == checkpoint_id:
                delivery.due_us += now_us - delivery.sent_us
                delivery.sent_us = now_us
        if checkpoint_id in self._unknown_outcomes:
            self._unknown_outcomes = ()

    def acknowledged(self, proxy: ProxyId, checkpoint_id: int, now_us: int = 0) -> None:
        """A proxy has applied a checkpoint, and so every earlier message to it. Numbers wrap around."""
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
        """A proxy has left: it acknowledges nothing more, and its messages count from when it joins again."""
        self._recent_by_proxy.pop(proxy, None)
        self._forget_entries(proxy)

    def proxy_joined(self, proxy: ProxyId, now_us: int) -> None:
        """A proxy has joined. If it was not known to leave, what waits may reach it but is not acknowledged."""
        waiting = sum(part.entries for part in self._by_proxy.get(proxy, ()))
        self._unseen_departures.append(UnreportedDeparture(now_us + self._max_delivery_us, waiting))
        self._forget_entries(proxy)

    def _forget_entries(self, proxy: ProxyId) -> None:
        for part in self._by_proxy.pop(proxy, ()):
            part.delivery.unacknowledged_entries -= part.entries
            part.delivery.entries -= part.entries
            part.delivery.may_lack_acknowledgement = True

    def outcome_unknown(self, checkpoint_ids: tuple[int, ...]) -> None:
        """A call with these checkpoints failed after it was sent."""
        self._unknown_outcomes = checkpoint_ids

    def try_resend(self, now_us: int, max_backlog_entries: float) -> bool:
        """Lets orders of unknown outcome be sent again if that is safe, and tells whether none is left.

        It is safe where both copies fit the backlog, where the first has left the queue for sure, or where nobody
        has acknowledged what must have arrived by now, so that the call was not carried out.
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
        """One delivery a checkpoint, the oldest of a number; the latest checkpoint first."""
        by_checkpoint = {
            delivery.checkpoint_id: delivery
            for delivery in reversed(self._deliveries)
            if delivery.checkpoint_id in self._unknown_outcomes
        }
        return list(by_checkpoint.values())

    def _was_dropped(self, delivery: Delivery, now_us: int) -> bool:
        """Whether nobody has acknowledged anything of a delivery that must have arrived by now."""
        arrived_us = delivery.due_us + 2 * self._max_transit_us
        return now_us >= arrived_us and delivery.unacknowledged_entries >= delivery.entries > 0

    def record_resent(self, checkpoint_id: int, now_us: int) -> None:
        """A step's orders may be in the queue twice: no acknowledgement tells when the second copy has left."""
        copy_entries = next(
            (d.total_entries for d in self._deliveries if d.checkpoint_id == checkpoint_id), 0.0
        )
        self.record_sent(checkpoint_id, now_us, {}, copy_entries)
        for recent in (self._recent_messages, *self._recent_by_proxy.values()):
            first = next((d for d in recent if d.checkpoint_id == checkpoint_id), None)
            if first is not None:
                recent.append(first)

    def backlog_entries(self, now_us: int) -> float:
        """The entries that may still wait in the delivery queue; deliveries that have left it are forgotten."""
        self._unseen_departures = [
            departure
            for departure in self._unseen_departures
            if departure.expires_us >= now_us and departure.entries
        ]
        total: float = sum(departure.entries for departure in self._unseen_departures)
        kept = deque[Delivery]()
        is_behind = False  # behind a delivery that is surely still in the queue
        progress_us = self._last_progress_us
        for delivery in self._deliveries:
            progress_us = max(progress_us, delivery.last_acknowledged_us)
            is_awaited = self._is_awaited(delivery, progress_us, now_us)
            is_held = is_awaited or (delivery.may_lack_acknowledgement and now_us < delivery.due_us)
            may_wait = is_behind or is_held or delivery.unacknowledged_entries != 0
            if self._was_lost(delivery, now_us) or not may_wait:
                if not kept:
                    self._last_progress_us = progress_us
                continue
            total += self._waiting_entries(delivery, is_behind, is_awaited, now_us)
            is_behind = is_behind or is_held
            kept.append(delivery)
        self._deliveries = kept
        return total

    def _is_awaited(self, delivery: Delivery, progress_us: int, now_us: int) -> bool:
        """Whether an acknowledgement may still come: while those ahead come in, its turn is yet to come."""
        waited_us = now_us - max(delivery.sent_us, progress_us)
        return delivery.unacknowledged_entries > 0 and waited_us < self._max_delivery_us

    def _was_lost(self, delivery: Delivery, now_us: int) -> bool:
        """Whether much later deliveries are acknowledged and this one is long overdue."""
        overtaken_us = self._last_acknowledged_sent_us - delivery.sent_us
        half_age_us = (now_us - delivery.sent_us) // 2
        return overtaken_us >= self._max_delivery_us and half_age_us >= self._max_delivery_us

    def _waiting_entries(
        self, delivery: Delivery, is_behind: bool, is_awaited: bool, now_us: int
    ) -> float:
        """Unconfirmed entries are taken to leave as the others do, or at the queue's usual rate."""
        unacknowledged_part = 0.0
        if is_behind:
            unacknowledged_part = 1.0
        elif is_awaited:
            unacknowledged_part = delivery.unacknowledged_entries / max(1.0, delivery.entries)
        left_entries = (delivery.due_us - now_us) * self._entries_per_us
        left_part = left_entries / max(1.0, delivery.total_entries)
        unconfirmed_part = min(1.0, max(unacknowledged_part, left_part))
        confirmed = delivery.entries if is_behind else delivery.unacknowledged_entries
        return confirmed + delivery.unconfirmed_entries * unconfirmed_part


def _has_recent(recent: deque[Delivery], count: int, since_us: int) -> bool:
    """Whether at least `count` (above 0) of these messages were sent after a time."""
    return 0 < count <= len(recent) and recent[-count].sent_us > since_us

"""Tests of the delivery tracker, partly against an independent count of queued entries."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    BindProxy,
    Checkpoint,
    ResendOrders,
    RestoreEndpoint,
    WithdrawEndpoint,
)
from kelpcourse.policy.delivery import DeliveryTracker
from kelpcourse.policy.events import (
    EndpointStatus,
    OrdersAcknowledged,
    OrdersOutcomeUnknown,
    ProxyJoined,
    ProxyLeft,
)
from tests.fleet import (
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    endpoint_orders,
    list_changes,
    make_endpoint,
    make_endpoints,
)

MAX_DELIVERY_US = 10 * SECOND
ENTRIES_PER_US = 100 / SECOND


def tracker_with(*steps: dict[int, float]) -> DeliveryTracker:
    """Returns a tracker of steps 1, 2 and so on, sent at time 0, each with its entries by proxy."""
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    for checkpoint_id, entries in enumerate(steps, 1):
        tracker.record_sent(checkpoint_id, 0, entries)
    return tracker


def test_acknowledged_entries_leave_the_backlog() -> None:
    tracker = tracker_with({1: 10.0, 2: 20.0}, {1: 5.0})
    assert tracker.backlog_entries(0) == 35
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(0) == 25
    tracker.acknowledged(2, 1)
    tracker.acknowledged(1, 2)
    assert tracker.backlog_entries(SECOND) == 0


def test_acknowledged_entries_count_until_earlier_messages_are_acknowledged() -> None:
    """Acknowledgements of later messages must not reduce the backlog while earlier messages are queued.

    After four in five streams broke, orders to the proxies that rejoined were acknowledged within 1.2 s, long before
    older messages to the other proxies. The delivery queue held all of them until those had left: 38,944 entries, where
    the limit is 38,800.
    """
    tracker = tracker_with({1: 10.0}, {2: 20.0}, {3: 40.0})
    tracker.acknowledged(3, 3)
    assert tracker.backlog_entries(SECOND) == 70
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(SECOND) == 60
    tracker.acknowledged(2, 2)
    assert tracker.backlog_entries(SECOND) == 0


def test_a_missing_acknowledgement_does_not_hold_later_entries_forever() -> None:
    tracker = tracker_with({1: 10.0}, {2: 20.0})
    tracker.acknowledged(2, 2)
    assert tracker.backlog_entries(MAX_DELIVERY_US - 1) == 30
    assert tracker.backlog_entries(MAX_DELIVERY_US) == 10
    assert tracker.backlog_entries(3 * MAX_DELIVERY_US) == 10  # The queue may be stalled


def test_a_lost_acknowledgement_is_inferred_from_much_later_ones() -> None:
    """Otherwise withdrawals wait forever for the capacity that the unacknowledged entries occupy."""
    tracker = tracker_with({1: 10.0})
    tracker.record_sent(2, MAX_DELIVERY_US, {2: 20.0})
    tracker.acknowledged(2, 2)
    assert tracker.backlog_entries(2 * MAX_DELIVERY_US - 1) == 10
    assert tracker.backlog_entries(2 * MAX_DELIVERY_US) == 0


def test_queued_entries_of_a_broken_stream_leave_the_backlog() -> None:
    tracker = tracker_with({1: 10.0, 2: 20.0})
    tracker.proxy_left(2)
    assert tracker.backlog_entries(0) == 10
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(SECOND) == 0


def test_messages_queued_after_one_to_a_broken_stream_leave_no_earlier() -> None:
    """Removing a message from the queue does not let later ones leave earlier.

    The last message before a break was one to a broken stream, and the delivery queue held 40,812 entries, where the
    limit is 38,800.
    """
    tracker = tracker_with({1: 10.0, 2: 20.0})
    tracker.proxy_left(2)
    tracker.record_sent(2, 0, {3: 40.0})
    tracker.acknowledged(1, 1)
    tracker.acknowledged(3, 2)
    assert tracker.backlog_entries(300_000 - 1) == 40  # The time at which 30 entries have left
    assert tracker.backlog_entries(300_000) == 0


def test_entries_for_a_proxy_with_an_unreported_departure_count_until_their_deadline() -> None:
    tracker = tracker_with({1: 10.0})
    tracker.proxy_joined(1, 5)
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(MAX_DELIVERY_US) == 10
    assert tracker.backlog_entries(MAX_DELIVERY_US + 6) == 0


def test_unknown_and_repeated_acknowledgements_are_ignored() -> None:
    tracker = tracker_with({1: 10.0})
    tracker.acknowledged(1, 7)
    tracker.acknowledged(9, 1)
    assert tracker.backlog_entries(0) == 10
    tracker.acknowledged(1, 1)
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(SECOND) == 0


def test_resent_orders_count_twice() -> None:
    tracker = tracker_with({1: 10.0}, {2: 20.0})
    tracker.record_resent(2, SECOND)
    tracker.record_resent(9, SECOND)
    assert tracker.backlog_entries(SECOND) == 50
    tracker.acknowledged(1, 1)
    tracker.acknowledged(2, 2)
    assert tracker.backlog_entries(SECOND) == 20


def test_a_resent_call_drains_in_order_at_the_delivery_rate() -> None:
    """The second copy counts for as long as it takes to leave the queue, not for as long as a full queue takes.

    Counted for the longer time, 9,000 entries delayed the withdrawal of endpoints by 12 s.
    """
    tracker = tracker_with({1: 100.0})
    tracker.record_resent(1, 2 * SECOND)
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(2 * SECOND) == 100
    assert tracker.backlog_entries(5 * SECOND // 2) == 50
    tracker.accepted(1, 5 * SECOND // 2)  # The relay accepted it half a second later
    assert tracker.backlog_entries(3 * SECOND) == 50
    assert tracker.backlog_entries(7 * SECOND // 2) == 0


def test_each_resend_of_a_call_counts_once_more() -> None:
    tracker = tracker_with({1: 100.0})
    for _ in range(3):
        tracker.record_resent(1, 0)
    assert tracker.backlog_entries(0) == 400


def tracker_with_unknown_outcome(entries: float, preceding_entries: float = 0.0) -> DeliveryTracker:
    """Returns a tracker of two steps sent at time 0, of which the second has an unknown outcome.

    Args:
        entries: Entries of the step of unknown outcome, half of them for each of two proxies.
        preceding_entries: Entries of the step before it.
    """
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US, max_transit_us=SECOND)
    tracker.record_sent(1, 0, {1: preceding_entries})
    tracker.record_sent(2, 0, {2: entries / 2, 3: entries / 2})
    tracker.outcome_unknown((2,))
    return tracker


def test_a_call_of_unknown_outcome_is_resent_immediately_when_both_copies_fit() -> None:
    tracker = tracker_with_unknown_outcome(100.0)
    assert tracker.try_resend(0, 200.0)
    assert not tracker.unknown_outcomes
    assert tracker.backlog_entries(0) == 200


def test_a_call_of_unknown_outcome_is_not_resent_until_both_copies_fit() -> None:
    tracker = tracker_with_unknown_outcome(100.0, 50.0)
    assert not tracker.try_resend(0, 200.0)
    tracker.acknowledged(1, 1)
    tracker.acknowledged(2, 2)
    assert tracker.try_resend(SECOND, 200.0)
    assert tracker.backlog_entries(SECOND) == 150


def test_a_call_of_unknown_outcome_without_acknowledgements_counts_once() -> None:
    tracker = tracker_with_unknown_outcome(100.0)
    assert not tracker.try_resend(3 * SECOND - 1, 150.0)
    # One second at the delivery rate and two transit times have passed.
    assert tracker.try_resend(3 * SECOND, 150.0)
    assert tracker.backlog_entries(3 * SECOND) == 100


def test_one_acknowledgement_shows_that_a_call_of_unknown_outcome_was_executed() -> None:
    tracker = tracker_with_unknown_outcome(100.0)
    tracker.acknowledged(2, 2)
    assert not tracker.try_resend(MAX_DELIVERY_US - 1, 149.0)
    assert tracker.try_resend(MAX_DELIVERY_US, 149.0)
    assert tracker.backlog_entries(MAX_DELIVERY_US) == 50 + 100


def test_an_accepted_call_is_no_longer_of_unknown_outcome() -> None:
    tracker = tracker_with_unknown_outcome(100.0)
    tracker.accepted(1, SECOND)
    assert tracker.unknown_outcomes
    tracker.accepted(2, SECOND)
    assert not tracker.unknown_outcomes
    assert tracker.backlog_entries(SECOND) == 100


def test_no_order_follows_a_call_of_unknown_outcome_until_it_can_be_resent() -> None:
    settings = replace(
        SETTINGS, proxy_count=70, max_backlog_entries=4000.0, delivery_entries_per_s=2000.0
    )
    harness = PolicyHarness(
        settings=settings, listed=make_endpoints(40), proxies=70, acknowledges=False
    )
    checkpoint_id = max(a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint))
    assert actions_of_type(harness.send(OrdersOutcomeUnknown((checkpoint_id,))), ResendOrders) == []
    assert not endpoint_orders(
        harness.send(list_changes([make_endpoint(100, status=EndpointStatus.GONE)]))
    )
    bound = [a.proxy for _, a in harness.log if isinstance(a, BindProxy)]
    actions = harness.send(*(OrdersAcknowledged(p, checkpoint_id, 1) for p in bound))
    assert len(actions_of_type(actions, ResendOrders)) == 1
    assert harness.policy.delivery.backlog_entries(harness.now_us) <= 4000


def test_bindings_leave_capacity_for_withdrawals() -> None:
    # In a fleet simulation bindings took all capacity that became free in a full delivery queue, and draining endpoints
    # were not withdrawn for 17 s.
    settings = replace(
        SETTINGS, proxy_count=70, max_backlog_entries=4000.0, delivery_entries_per_s=2000.0
    )
    harness = PolicyHarness(
        settings=settings, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    gone = [
        make_endpoint(endpoint.id, endpoint.zone, EndpointStatus.GONE)
        for endpoint in make_endpoints(80)[:30]
    ]
    harness.send(list_changes(gone))
    for k in range(20):
        checkpoint_id = max(a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint))
        bound_proxies = sorted({b.proxy for _, b in harness.log if isinstance(b, BindProxy)})
        actions = harness.run_until(harness.now_us + SECOND // 2)
        actions += harness.send(
            *(
                OrdersAcknowledged(p, checkpoint_id, 300_000)
                for p in bound_proxies[4 * k : 4 * k + 4]
            )
        )
        if sum(isinstance(a, WithdrawEndpoint | RestoreEndpoint) for _, a in harness.log) < 30:
            assert not actions_of_type(actions, BindProxy)
    assert sum(isinstance(a, WithdrawEndpoint | RestoreEndpoint) for _, a in harness.log) == 30


class QueuedBindings:
    """Counts queued bindings independently of the delivery tracker.

    A message stays in the queue until all messages ordered before it are acknowledged or their streams break. In the
    test that uses this count the oldest messages are never acknowledged, so that acknowledgements remove none.
    """

    def __init__(self, harness: PolicyHarness) -> None:
        self.harness = harness
        self.queue: list[tuple[int, int, int]] = []  # Proxy, checkpoint and entries; oldest first
        self._read_actions = 0

    def update(self) -> int:
        """Adds the bindings ordered since the last call and returns the number of queued entries."""
        step: list[int] = []
        for _, action in self.harness.log[self._read_actions :]:
            if isinstance(action, BindProxy):
                step.append(action.proxy)
            elif isinstance(action, Checkpoint):
                # Table entries, binding, admission limits of two classes, and message overhead with checkpoint.
                self.queue.extend((p, action.checkpoint_id, 80 + 1 + 2 + 7) for p in step)
                step = []
        self._read_actions = len(self.harness.log)
        return sum(entries for _, _, entries in self.queue)

    def remove(self, proxy: int) -> None:
        self.queue = [message for message in self.queue if message[0] != proxy]

    def newest(
        self, excluded: set[int], acknowledged_messages: set[tuple[int, int]]
    ) -> tuple[int, int] | None:
        """Returns the proxy and checkpoint of the newest message that is not acknowledged, if any."""
        for proxy, checkpoint_id, _ in reversed(self.queue):
            if proxy not in excluded and (proxy, checkpoint_id) not in acknowledged_messages:
                return proxy, checkpoint_id
        return None


def test_reconnected_proxies_are_bound_within_the_backlog_limit() -> None:
    settings = replace(
        SETTINGS, proxy_count=70, max_backlog_entries=4000.0, delivery_entries_per_s=2000.0
    )
    harness = PolicyHarness(
        settings=settings, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    queued_bindings = QueuedBindings(harness)
    assert 0 < queued_bindings.update() < 4000
    kept = {proxy for proxy, _, _ in queued_bindings.queue[-3:]}
    departed = [proxy for proxy in harness.proxies if proxy not in kept]
    for proxy in departed:
        harness.send(ProxyLeft(proxy))
        queued_bindings.update()
        queued_bindings.remove(proxy)
    for proxy in departed:
        harness.send(ProxyJoined(proxy, "east", 10.0, True))
        assert queued_bindings.update() <= 4000
    acknowledged_messages: set[tuple[int, int]] = set()
    for _ in range(60):
        newest = queued_bindings.newest(kept, acknowledged_messages)
        if newest is None:
            break
        acknowledged_messages.add(newest)
        proxy, checkpoint_id = newest
        harness.send(OrdersAcknowledged(proxy, checkpoint_id, 300_000))
        assert queued_bindings.update() <= 4000


def test_unconfirmed_entries_leave_with_the_others_of_their_step_or_at_the_delivery_rate() -> None:
    """Entries without a certain acknowledgement count no longer than the other entries of their step.

    18,000 entries to unbound proxies counted until the last of them had left, 9 s later. For 7 s the next withdrawals
    waited for capacity that was free.
    """
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    tracker.record_sent(1, 0, {1: 50.0, 2: 50.0}, 400.0)  # Five seconds at the delivery rate
    assert tracker.backlog_entries(4 * SECOND) == 500  # No acknowledgement: the queue is slow
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(4 * SECOND) == 50 + 200
    tracker.acknowledged(2, 1)
    assert tracker.backlog_entries(4 * SECOND) == 80
    separate = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    separate.record_sent(1, 0, {}, 400.0)
    assert [separate.backlog_entries(k * SECOND) for k in (0, 1, 3, 4)] == [400, 300, 100, 0]


def test_unconfirmed_entries_count_while_earlier_messages_are_unacknowledged() -> None:
    tracker = tracker_with({1: 10.0})
    tracker.record_sent(2, 0, {}, 100.0)
    assert tracker.backlog_entries(SECOND) == 110


def tracker_with_messages_at(*times_us: int) -> DeliveryTracker:
    """Returns a tracker of a message to one proxy at each of these times; the limit is four in ten seconds."""
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US, 4, 10 * SECOND)
    for checkpoint_id, sent_us in enumerate(times_us, 1):
        tracker.record_sent(checkpoint_id, sent_us, {1: 10.0})
    return tracker


def test_a_message_counts_from_when_the_relay_accepted_it() -> None:
    """The message limit applies to the times at which messages are written, not to those of their steps.

    The relay accepted a step of 466 orders after 40 ms and one of 12 orders after 10 ms. By the times of the steps
    thirteen messages were 10 s apart, but the last was written 9.99 s after the first.
    """
    tracker = tracker_with_messages_at(0, 1, 2, 3)
    assert not tracker.within_message_budget(1.0, 10 * SECOND - 1)
    tracker.accepted(1, 40_000)
    assert not tracker.within_message_budget(1.0, 10 * SECOND + 39_999)
    assert tracker.within_message_budget(1.0, 10 * SECOND + 40_000)


def test_part_of_the_message_budget_is_reserved_for_urgent_orders() -> None:
    tracker = tracker_with_messages_at(0, SECOND)
    assert tracker.within_message_budget(0.6, SECOND)
    tracker.record_sent(3, 2 * SECOND, {1: 10.0, 2: 10.0})
    assert (
        tracker.within_message_budget(0.6, 2 * SECOND),
        tracker.within_message_budget(1.0, 2 * SECOND),
    ) == (False, True)
    assert tracker.within_message_budget(0.6, 10 * SECOND)


def test_messages_to_possible_recipients_count_against_the_budget() -> None:
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US, 2, 10 * SECOND)
    for checkpoint_id in (1, 2):
        tracker.record_sent(checkpoint_id, 0, {}, 50.0, [7])
    assert not tracker.within_message_budget(1.0, SECOND)


def test_a_resent_call_counts_as_two_messages() -> None:
    tracker = tracker_with_messages_at(0, 0, 0)
    tracker.record_resent(9, SECOND)
    assert tracker.within_message_budget(1.0, SECOND)
    tracker.record_resent(2, SECOND)
    assert not tracker.within_message_budget(1.0, SECOND)


def test_the_message_budget_restarts_when_a_proxy_that_left_rejoins() -> None:
    without_departure = tracker_with_messages_at(0, 0, 0, 0)
    without_departure.proxy_joined(1, SECOND)
    assert not without_departure.within_message_budget(1.0, SECOND)
    with_departure = tracker_with_messages_at(0, 0, 0, 0)
    with_departure.proxy_left(1)
    with_departure.proxy_joined(1, SECOND)
    assert with_departure.within_message_budget(1.0, SECOND)
    for checkpoint_id in range(5, 9):
        with_departure.record_sent(checkpoint_id, 2 * SECOND, {1: 10.0})
    assert not with_departure.within_message_budget(1.0, 3 * SECOND)


def test_messages_are_unlimited_when_no_limit_is_set() -> None:
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    for checkpoint_id in range(50):
        tracker.record_sent(checkpoint_id, 0, {1: 10.0})
    assert tracker.within_message_budget(1.0, 0)


def test_late_acknowledgements_do_not_delay_the_backlog_estimate() -> None:
    """Entries that left the queue but are not acknowledged yet must not delay the estimated departure of later ones."""
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    for checkpoint_id in range(10):
        tracker.record_sent(checkpoint_id, checkpoint_id * SECOND, {1: 30.0}, 30.0)
        if checkpoint_id > 1:
            tracker.acknowledged(1, checkpoint_id - 2)
    tracker.acknowledged(1, 9)
    assert tracker.backlog_entries(10 * SECOND) == 0


def test_entries_stay_queued_while_earlier_ones_are_still_being_acknowledged() -> None:
    """The queue drains at a third of its rate, and acknowledgements of earlier messages keep arriving."""
    tracker = tracker_with({1: 10.0, 2: 10.0})
    tracker.record_sent(2, 0, {3: 20.0}, 50.0)
    tracker.acknowledged(1, 1, MAX_DELIVERY_US - 1)
    assert tracker.backlog_entries(MAX_DELIVERY_US) == 80
    tracker.acknowledged(2, 1, MAX_DELIVERY_US + SECOND)
    assert tracker.backlog_entries(2 * MAX_DELIVERY_US) == 70
    # A missing acknowledgement does not hold later entries forever.
    assert tracker.backlog_entries(2 * MAX_DELIVERY_US + SECOND) == 20

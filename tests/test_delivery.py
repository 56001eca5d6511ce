"""The delivery tracker, and a count of it made apart from them."""

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
    """Steps 1, 2 and so on, ordered at time 0, each with its entries by proxy."""
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    for number, entries in enumerate(steps, 1):
        tracker.record_sent(number, 0, entries)
    return tracker


def test_acknowledged_entries_leave_the_backlog() -> None:
    tracker = tracker_with({1: 10.0, 2: 20.0}, {1: 5.0})
    assert tracker.backlog_entries(0) == 35
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(0) == 25
    tracker.acknowledged(2, 1)
    tracker.acknowledged(1, 2)
    assert tracker.backlog_entries(SECOND) == 0


def test_entries_behind_a_queued_message_count_as_queued() -> None:
    """Four in five streams broke.

    What was ordered for those that came back was answered in 1.2 s, long before older messages to
    the rest, and the channel held all of it until those were through: 38,944 of 38,800.
    """
    tracker = tracker_with({1: 10.0}, {2: 20.0}, {3: 40.0})
    tracker.acknowledged(3, 3)
    assert tracker.backlog_entries(SECOND) == 70
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(SECOND) == 60
    tracker.acknowledged(2, 2)
    assert tracker.backlog_entries(SECOND) == 0


def test_a_missing_acknowledgement_does_not_block_for_ever() -> None:
    tracker = tracker_with({1: 10.0}, {2: 20.0})
    tracker.acknowledged(2, 2)
    assert tracker.backlog_entries(MAX_DELIVERY_US - 1) == 30
    assert tracker.backlog_entries(MAX_DELIVERY_US) == 10
    assert tracker.backlog_entries(3 * MAX_DELIVERY_US) == 10  # the channel may stand still


def test_a_lost_acknowledgement_is_inferred_from_much_later_ones() -> None:
    """Withdrawals waited for ever for the capacity that its entries held."""
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


def test_a_message_to_a_broken_stream_keeps_its_place_in_the_queue() -> None:
    """The channel counted 40,812 entries of 38,800: its last place before the break was one of these."""
    tracker = tracker_with({1: 10.0, 2: 20.0})
    tracker.proxy_left(2)
    tracker.record_sent(2, 0, {3: 40.0})
    tracker.acknowledged(1, 1)
    tracker.acknowledged(3, 2)
    assert tracker.backlog_entries(300_000 - 1) == 40  # when 30 entries were ordered
    assert tracker.backlog_entries(300_000) == 0


def test_entries_of_a_proxy_that_rejoined_unreported_count_until_their_deadline() -> None:
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
    """Held for as long as a full channel takes, 9,000 entries kept endpoints from being withdrawn for 12 s."""
    tracker = tracker_with({1: 100.0})
    tracker.record_resent(1, 2 * SECOND)
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(2 * SECOND) == 100
    assert tracker.backlog_entries(5 * SECOND // 2) == 50
    tracker.accepted(1, 5 * SECOND // 2)  # it waited for the relay for half a second
    assert tracker.backlog_entries(3 * SECOND) == 50
    assert tracker.backlog_entries(7 * SECOND // 2) == 0


def test_each_resend_of_a_call_counts_once_more() -> None:
    tracker = tracker_with({1: 100.0})
    for _ in range(3):
        tracker.record_resent(1, 0)
    assert tracker.backlog_entries(0) == 400


def tracker_with_unknown_outcome(entries: float, behind: float = 0.0) -> DeliveryTracker:
    """A step of unknown outcome, ordered at time 0, and the one before it."""
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US, max_transit_us=SECOND)
    tracker.record_sent(1, 0, {1: behind})
    tracker.record_sent(2, 0, {2: entries / 2, 3: entries / 2})
    tracker.outcome_unknown((2,))
    return tracker


def test_a_call_of_unknown_outcome_is_resent_immediately_when_both_copies_fit() -> None:
    tracker = tracker_with_unknown_outcome(100.0)
    assert tracker.try_resend(0, 200.0)
    assert not tracker.unknown_outcomes
    assert tracker.backlog_entries(0) == 200


def test_a_call_of_unknown_outcome_waits_until_its_first_copy_has_left() -> None:
    tracker = tracker_with_unknown_outcome(100.0, 50.0)
    assert not tracker.try_resend(0, 200.0)
    tracker.acknowledged(1, 1)
    tracker.acknowledged(2, 2)
    assert tracker.try_resend(SECOND, 200.0)
    assert tracker.backlog_entries(SECOND) == 150


def test_a_call_of_unknown_outcome_without_acknowledgements_counts_once() -> None:
    tracker = tracker_with_unknown_outcome(100.0)
    assert not tracker.try_resend(3 * SECOND - 1, 150.0)
    assert tracker.try_resend(3 * SECOND, 150.0)  # a second at the channel's pace, two transits
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


def test_nothing_is_ordered_behind_a_call_of_unknown_outcome_that_must_not_be_resent() -> None:
    settings = replace(
        SETTINGS, proxy_count=70, max_backlog_entries=4000.0, delivery_entries_per_s=2000.0
    )
    harness = PolicyHarness(
        settings=settings, listed=make_endpoints(40), proxies=70, acknowledges=False
    )
    number = max(a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint))
    assert actions_of_type(harness.send(OrdersOutcomeUnknown((number,))), ResendOrders) == []
    assert not endpoint_orders(
        harness.send(list_changes([make_endpoint(100, status=EndpointStatus.GONE)]))
    )
    bound = [a.proxy for _, a in harness.log if isinstance(a, BindProxy)]
    out = harness.send(*(OrdersAcknowledged(p, number, 1) for p in bound))
    assert len(actions_of_type(out, ResendOrders)) == 1
    assert harness.policy.delivery.backlog_entries(harness.now_us) <= 4000


def test_bindings_leave_capacity_for_withdrawals() -> None:
    # In a fleet simulation bindings took each place that came free in a full channel, and endpoints
    # announced as draining waited 17 s for theirs.
    settings = replace(
        SETTINGS, proxy_count=70, max_backlog_entries=4000.0, delivery_entries_per_s=2000.0
    )
    harness = PolicyHarness(
        settings=settings, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    gone = [make_endpoint(h.id, h.zone, EndpointStatus.GONE) for h in make_endpoints(80)[:30]]
    harness.send(list_changes(gone))
    for k in range(20):
        number = max(a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint))
        before = sorted({b.proxy for _, b in harness.log if isinstance(b, BindProxy)})
        out = harness.run_until(harness.now_us + SECOND // 2)
        out += harness.send(
            *(OrdersAcknowledged(p, number, 300_000) for p in before[4 * k : 4 * k + 4])
        )
        if sum(isinstance(a, WithdrawEndpoint | RestoreEndpoint) for _, a in harness.log) < 30:
            assert not actions_of_type(out, BindProxy)
    assert sum(isinstance(a, WithdrawEndpoint | RestoreEndpoint) for _, a in harness.log) == 30


class CountedBindings:
    """A count apart from the tracker.

    A message waits until all that were ordered before it are answered or their stream broke.
    """

    def __init__(self, harness: PolicyHarness) -> None:
        self.harness = harness
        self.queue: list[tuple[int, int, int]] = []  # proxy, checkpoint, entries; oldest first
        self._seen = 0

    def update(self) -> int:
        """Takes in what was ordered since; returns the entries that wait."""
        step: list[int] = []
        for _, action in self.harness.log[self._seen :]:
            if isinstance(action, BindProxy):
                step.append(action.proxy)
            elif isinstance(action, Checkpoint):
                self.queue.extend((p, action.checkpoint_id, 80 + 1 + 2 + 7) for p in step)
                step = []
        self._seen = len(self.harness.log)
        return sum(entries for _, _, entries in self.queue)

    def remove(self, proxy: int) -> None:
        self.queue = [message for message in self.queue if message[0] != proxy]

    def newest(self, excluded: set[int], answered: set[tuple[int, int]]) -> tuple[int, int] | None:
        """The last unanswered message: its proxy and checkpoint."""
        for proxy, checkpoint_id, _ in reversed(self.queue):
            if proxy not in excluded and (proxy, checkpoint_id) not in answered:
                return proxy, checkpoint_id
        return None


def test_reconnected_proxies_are_bound_within_the_backlog_limit() -> None:
    settings = replace(
        SETTINGS, proxy_count=70, max_backlog_entries=4000.0, delivery_entries_per_s=2000.0
    )
    harness = PolicyHarness(
        settings=settings, listed=make_endpoints(80), proxies=70, acknowledges=False
    )
    counted = CountedBindings(harness)
    assert 0 < counted.update() < 4000
    kept = {proxy for proxy, _, _ in counted.queue[-3:]}
    left = [proxy for proxy in harness.proxies if proxy not in kept]
    for proxy in left:
        harness.send(ProxyLeft(proxy))
        counted.update()
        counted.remove(proxy)
    for proxy in left:
        harness.send(ProxyJoined(proxy, "east", 10.0, True))
        assert counted.update() <= 4000
    answered: set[tuple[int, int]] = set()
    for _ in range(60):
        newest = counted.newest(kept, answered)
        if newest is None:
            break
        answered.add(newest)
        proxy, checkpoint_id = newest
        harness.send(OrdersAcknowledged(proxy, checkpoint_id, 300_000))
        assert counted.update() <= 4000


def test_unacknowledgeable_entries_leave_with_their_neighbours_or_at_the_delivery_rate() -> None:
    """18,000 entries to proxies not bound yet were held until the last was through, 9 s later.

    For 7 s the next endpoints to be withdrawn waited for capacity that was free.
    """
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    tracker.record_sent(1, 0, {1: 50.0, 2: 50.0}, 400.0)  # five seconds' worth
    assert tracker.backlog_entries(4 * SECOND) == 500  # a slow channel: nothing is answered
    tracker.acknowledged(1, 1)
    assert tracker.backlog_entries(4 * SECOND) == 50 + 200
    tracker.acknowledged(2, 1)
    assert tracker.backlog_entries(4 * SECOND) == 80
    alone = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    alone.record_sent(1, 0, {}, 400.0)
    assert [alone.backlog_entries(k * SECOND) for k in (0, 1, 3, 4)] == [400, 300, 100, 0]


def test_unacknowledgeable_entries_queue_behind_unacknowledged_ones() -> None:
    tracker = tracker_with({1: 10.0})
    tracker.record_sent(2, 0, {}, 100.0)
    assert tracker.backlog_entries(SECOND) == 110


def counted(*at_us: int) -> DeliveryTracker:
    """A message to one proxy at each of these times; four may be written in ten seconds."""
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US, 4, 10 * SECOND)
    for number, at in enumerate(at_us, 1):
        tracker.record_sent(number, at, {1: 10.0})
    return tracker


def test_a_message_counts_from_when_the_relay_accepted_it() -> None:
    """A step of 466 orders was under way for 40 ms and one of 12 for 10.

    By the steps' times thirteen messages were 10 s apart where the last was written 9.99 s after
    the first.
    """
    tracker = counted(0, 1, 2, 3)
    assert not tracker.within_message_budget(1.0, 10 * SECOND - 1)
    tracker.accepted(1, 40_000)
    assert not tracker.within_message_budget(1.0, 10 * SECOND + 39_999)
    assert tracker.within_message_budget(1.0, 10 * SECOND + 40_000)


def test_part_of_the_message_budget_is_reserved_for_urgent_orders() -> None:
    tracker = counted(0, SECOND)
    assert tracker.within_message_budget(0.6, SECOND)
    tracker.record_sent(3, 2 * SECOND, {1: 10.0, 2: 10.0})
    assert (
        tracker.within_message_budget(0.6, 2 * SECOND),
        tracker.within_message_budget(1.0, 2 * SECOND),
    ) == (False, True)
    assert tracker.within_message_budget(0.6, 10 * SECOND)


def test_messages_to_possible_recipients_count_against_the_budget() -> None:
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US, 2, 10 * SECOND)
    for number in (1, 2):
        tracker.record_sent(number, 0, {}, 50.0, [7])
    assert not tracker.within_message_budget(1.0, SECOND)


def test_a_resent_call_counts_as_two_messages() -> None:
    tracker = counted(0, 0, 0)
    tracker.record_resent(9, SECOND)
    assert tracker.within_message_budget(1.0, SECOND)
    tracker.record_resent(2, SECOND)
    assert not tracker.within_message_budget(1.0, SECOND)


def test_the_message_budget_restarts_when_a_proxy_that_left_rejoins() -> None:
    unheard = counted(0, 0, 0, 0)
    unheard.proxy_joined(1, SECOND)
    assert not unheard.within_message_budget(1.0, SECOND)
    heard = counted(0, 0, 0, 0)
    heard.proxy_left(1)
    heard.proxy_joined(1, SECOND)
    assert heard.within_message_budget(1.0, SECOND)
    for number in range(5, 9):
        heard.record_sent(number, 2 * SECOND, {1: 10.0})
    assert not heard.within_message_budget(1.0, 3 * SECOND)


def test_messages_are_unlimited_when_no_limit_is_set() -> None:
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    for number in range(50):
        tracker.record_sent(number, 0, {1: 10.0})
    assert tracker.within_message_budget(1.0, 0)


def test_late_acknowledgements_do_not_delay_the_backlog_estimate() -> None:
    """What was through but not answered yet was counted into the turn of all that followed."""
    tracker = DeliveryTracker(MAX_DELIVERY_US, ENTRIES_PER_US)
    for number in range(10):
        tracker.record_sent(number, number * SECOND, {1: 30.0}, 30.0)
        if number > 1:
            tracker.acknowledged(1, number - 2)
    tracker.acknowledged(1, 9)
    assert tracker.backlog_entries(10 * SECOND) == 0


def test_entries_stay_queued_while_earlier_ones_are_still_being_acknowledged() -> None:
    """A channel at a third of its pace: answers to what was ordered before came in all the while."""
    tracker = tracker_with({1: 10.0, 2: 10.0})
    tracker.record_sent(2, 0, {3: 20.0}, 50.0)
    tracker.acknowledged(1, 1, MAX_DELIVERY_US - 1)
    assert tracker.backlog_entries(MAX_DELIVERY_US) == 80
    tracker.acknowledged(2, 1, MAX_DELIVERY_US + SECOND)
    assert tracker.backlog_entries(2 * MAX_DELIVERY_US) == 70
    assert (
        tracker.backlog_entries(2 * MAX_DELIVERY_US + SECOND) == 20
    )  # an answer that never comes holds nothing up for good

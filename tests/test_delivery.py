"""The books of the channel, and a count of it made apart from them."""

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

LONGEST, PACE = 10 * SECOND, 100 / SECOND


def booked(*steps: dict[int, float]) -> DeliveryTracker:
    """Steps 1, 2 and so on, ordered at time 0, each with its lines by proxy."""
    channel = DeliveryTracker(LONGEST, PACE)
    for number, lines in enumerate(steps, 1):
        channel.record_sent(number, 0, lines)
    return channel


def test_what_is_answered_waits_no_more() -> None:
    channel = booked({1: 10.0, 2: 20.0}, {1: 5.0})
    assert channel.backlog_entries(0) == 35
    channel.acknowledged(1, 1)
    assert channel.backlog_entries(0) == 25
    channel.acknowledged(2, 1)
    channel.acknowledged(1, 2)
    assert channel.backlog_entries(SECOND) == 0


def test_what_was_ordered_behind_a_message_that_waits_is_taken_to_wait_too() -> None:
    """Four in five streams broke.

    What was ordered for those that came back was answered in 1.2 s, long before older messages to
    the rest, and the channel held all of it until those were through: 38,944 of 38,800.
    """
    channel = booked({1: 10.0}, {2: 20.0}, {3: 40.0})
    channel.acknowledged(3, 3)
    assert channel.backlog_entries(SECOND) == 70
    channel.acknowledged(1, 1)
    assert channel.backlog_entries(SECOND) == 60
    channel.acknowledged(2, 2)
    assert channel.backlog_entries(SECOND) == 0


def test_an_answer_that_never_comes_holds_nothing_up_for_good() -> None:
    channel = booked({1: 10.0}, {2: 20.0})
    channel.acknowledged(2, 2)
    assert channel.backlog_entries(LONGEST - 1) == 30
    assert channel.backlog_entries(LONGEST) == 10
    assert channel.backlog_entries(3 * LONGEST) == 10  # the channel may stand still


def test_a_lost_answer_is_told_by_answers_to_what_was_ordered_much_later() -> None:
    """Hosts to be withdrawn waited for its room for ever."""
    channel = booked({1: 10.0})
    channel.record_sent(2, LONGEST, {2: 20.0})
    channel.acknowledged(2, 2)
    assert channel.backlog_entries(2 * LONGEST - 1) == 10
    assert channel.backlog_entries(2 * LONGEST) == 0


def test_what_waited_for_a_stream_that_broke_is_gone_with_it() -> None:
    channel = booked({1: 10.0, 2: 20.0})
    channel.proxy_left(2)
    assert channel.backlog_entries(0) == 10
    channel.acknowledged(1, 1)
    assert channel.backlog_entries(SECOND) == 0


def test_a_message_to_a_broken_stream_keeps_its_turn() -> None:
    """The channel counted 40,812 lines of 38,800: its last place before the break was one of these."""
    channel = booked({1: 10.0, 2: 20.0})
    channel.proxy_left(2)
    channel.record_sent(2, 0, {3: 40.0})
    channel.acknowledged(1, 1)
    channel.acknowledged(3, 2)
    assert channel.backlog_entries(300_000 - 1) == 40  # when 30 lines were ordered
    assert channel.backlog_entries(300_000) == 0


def test_what_waits_for_one_that_joined_again_unseen_counts_until_it_must_be_through() -> None:
    channel = booked({1: 10.0})
    channel.proxy_joined(1, 5)
    channel.acknowledged(1, 1)
    assert channel.backlog_entries(LONGEST) == 10
    assert channel.backlog_entries(LONGEST + 6) == 0


def test_answers_to_numbers_never_sent_or_told_twice_change_nothing() -> None:
    channel = booked({1: 10.0})
    channel.acknowledged(1, 7)
    channel.acknowledged(9, 1)
    assert channel.backlog_entries(0) == 10
    channel.acknowledged(1, 1)
    channel.acknowledged(1, 1)
    assert channel.backlog_entries(SECOND) == 0


def test_orders_that_may_have_gone_out_twice_count_twice() -> None:
    channel = booked({1: 10.0}, {2: 20.0})
    channel.record_resent(2, SECOND)
    channel.record_resent(9, SECOND)
    assert channel.backlog_entries(SECOND) == 50
    channel.acknowledged(1, 1)
    channel.acknowledged(2, 2)
    assert channel.backlog_entries(SECOND) == 20


def test_the_second_copy_of_a_call_leaves_in_its_turn_at_the_channels_pace() -> None:
    """Held for as long as a full channel takes, 9,000 lines kept hosts from being withdrawn for 12 s."""
    channel = booked({1: 100.0})
    channel.record_resent(1, 2 * SECOND)
    channel.acknowledged(1, 1)
    assert channel.backlog_entries(2 * SECOND) == 100
    assert channel.backlog_entries(5 * SECOND // 2) == 50
    channel.accepted(1, 5 * SECOND // 2)  # it waited for the relay for half a second
    assert channel.backlog_entries(3 * SECOND) == 50
    assert channel.backlog_entries(7 * SECOND // 2) == 0


def test_a_call_that_broke_again_and_again_counts_once_more_each_time() -> None:
    channel = booked({1: 100.0})
    for _ in range(3):
        channel.record_resent(1, 0)
    assert channel.backlog_entries(0) == 400


def doubted(lines: float, behind: float = 0.0) -> DeliveryTracker:
    """A step ordered at time 0 of which nobody knows whether it was carried out, and the one before it."""
    channel = DeliveryTracker(LONGEST, PACE, max_transit_us=SECOND)
    channel.record_sent(1, 0, {1: behind})
    channel.record_sent(2, 0, {2: lines / 2, 3: lines / 2})
    channel.outcome_unknown((2,))
    return channel


def test_a_call_in_doubt_goes_again_at_once_where_both_copies_fit() -> None:
    channel = doubted(100.0)
    assert channel.try_resend(0, 200.0)
    assert not channel.unknown_outcomes
    assert channel.backlog_entries(0) == 200


def test_a_call_in_doubt_waits_until_its_first_copy_has_left() -> None:
    channel = doubted(100.0, 50.0)
    assert not channel.try_resend(0, 200.0)
    channel.acknowledged(1, 1)
    channel.acknowledged(2, 2)
    assert channel.try_resend(SECOND, 200.0)
    assert channel.backlog_entries(SECOND) == 150


def test_a_call_in_doubt_that_nobody_answers_in_time_was_not_carried_out_and_counts_once() -> None:
    channel = doubted(100.0)
    assert not channel.try_resend(3 * SECOND - 1, 150.0)
    assert channel.try_resend(3 * SECOND, 150.0)  # a second at the channel's pace, two transits
    assert channel.backlog_entries(3 * SECOND) == 100


def test_one_answer_speaks_against_that_and_then_all_must_be_through() -> None:
    channel = doubted(100.0)
    channel.acknowledged(2, 2)
    assert not channel.try_resend(LONGEST - 1, 149.0)
    assert channel.try_resend(LONGEST, 149.0)
    assert channel.backlog_entries(LONGEST) == 50 + 100


def test_a_call_in_doubt_that_is_taken_after_all_is_in_doubt_no_more() -> None:
    channel = doubted(100.0)
    channel.accepted(1, SECOND)
    assert channel.unknown_outcomes
    channel.accepted(2, SECOND)
    assert not channel.unknown_outcomes
    assert channel.backlog_entries(SECOND) == 100


def test_nothing_is_ordered_behind_a_call_in_doubt_that_must_not_go_again() -> None:
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


def test_bindings_leave_room_for_hosts_to_be_withdrawn() -> None:
    # On a fleet day bindings took each place that came free in a full channel, and hosts
    # announced as leaving waited 17 s for theirs.
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


def test_streams_that_break_and_come_back_are_bound_within_the_channel() -> None:
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


def test_lines_of_which_no_answer_tells_leave_as_those_beside_them_or_at_the_channels_pace() -> (
    None
):
    """18,000 lines to proxies not bound yet were held until the last was through, 9 s later.

    For 7 s the next hosts that leave waited for room that there was.
    """
    channel = DeliveryTracker(LONGEST, PACE)
    channel.record_sent(1, 0, {1: 50.0, 2: 50.0}, 400.0)  # five seconds' worth
    assert channel.backlog_entries(4 * SECOND) == 500  # a slow channel: nothing is answered
    channel.acknowledged(1, 1)
    assert channel.backlog_entries(4 * SECOND) == 50 + 200
    channel.acknowledged(2, 1)
    assert channel.backlog_entries(4 * SECOND) == 80
    alone = DeliveryTracker(LONGEST, PACE)
    alone.record_sent(1, 0, {}, 400.0)
    assert [alone.backlog_entries(k * SECOND) for k in (0, 1, 3, 4)] == [400, 300, 100, 0]


def test_lines_of_which_no_answer_tells_wait_behind_what_is_not_answered() -> None:
    channel = booked({1: 10.0})
    channel.record_sent(2, 0, {}, 100.0)
    assert channel.backlog_entries(SECOND) == 110


def counted(*at_us: int) -> DeliveryTracker:
    """A message to one proxy at each of these times; four may be written in ten seconds."""
    channel = DeliveryTracker(LONGEST, PACE, 4, 10 * SECOND)
    for number, at in enumerate(at_us, 1):
        channel.record_sent(number, at, {1: 10.0})
    return channel


def test_a_message_counts_from_when_the_relay_took_it() -> None:
    """A step of 466 orders was under way for 40 ms and one of 12 for 10.

    By the steps' times thirteen messages were 10 s apart where the last was written 9.99 s after
    the first.
    """
    channel = counted(0, 1, 2, 3)
    assert not channel.within_message_budget(1.0, 10 * SECOND - 1)
    channel.accepted(1, 40_000)
    assert not channel.within_message_budget(1.0, 10 * SECOND + 39_999)
    assert channel.within_message_budget(1.0, 10 * SECOND + 40_000)


def test_a_part_of_the_messages_is_kept_for_what_can_not_wait() -> None:
    channel = counted(0, SECOND)
    assert channel.within_message_budget(0.6, SECOND)
    channel.record_sent(3, 2 * SECOND, {1: 10.0, 2: 10.0})
    assert (
        channel.within_message_budget(0.6, 2 * SECOND),
        channel.within_message_budget(1.0, 2 * SECOND),
    ) == (False, True)
    assert channel.within_message_budget(0.6, 10 * SECOND)


def test_messages_to_those_that_may_or_may_not_answer_count_as_well() -> None:
    channel = DeliveryTracker(LONGEST, PACE, 2, 10 * SECOND)
    for number in (1, 2):
        channel.record_sent(number, 0, {}, 50.0, [7])
    assert not channel.within_message_budget(1.0, SECOND)


def test_a_call_that_went_twice_is_two_messages() -> None:
    channel = counted(0, 0, 0)
    channel.record_resent(9, SECOND)
    assert channel.within_message_budget(1.0, SECOND)
    channel.record_resent(2, SECOND)
    assert not channel.within_message_budget(1.0, SECOND)


def test_messages_count_from_a_proxys_joining_where_it_was_heard_to_leave() -> None:
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


def test_any_number_of_messages_may_be_written_where_no_limit_is_set() -> None:
    channel = DeliveryTracker(LONGEST, PACE)
    for number in range(50):
        channel.record_sent(number, 0, {1: 10.0})
    assert channel.within_message_budget(1.0, 0)


def test_answers_that_are_late_do_not_slow_the_books() -> None:
    """What was through but not answered yet was counted into the turn of all that followed."""
    channel = DeliveryTracker(LONGEST, PACE)
    for number in range(10):
        channel.record_sent(number, number * SECOND, {1: 30.0}, 30.0)
        if number > 1:
            channel.acknowledged(1, number - 2)
    channel.acknowledged(1, 9)
    assert channel.backlog_entries(10 * SECOND) == 0


def test_lines_wait_for_as_long_as_what_is_ahead_of_them_is_still_being_answered() -> None:
    """A channel at a third of its pace: answers to what was ordered before came in all the while."""
    channel = booked({1: 10.0, 2: 10.0})
    channel.record_sent(2, 0, {3: 20.0}, 50.0)
    channel.acknowledged(1, 1, LONGEST - 1)
    assert channel.backlog_entries(LONGEST) == 80
    channel.acknowledged(2, 1, LONGEST + SECOND)
    assert channel.backlog_entries(2 * LONGEST) == 70
    assert (
        channel.backlog_entries(2 * LONGEST + SECOND) == 20
    )  # an answer that never comes holds nothing up for good

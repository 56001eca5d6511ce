"""Orders that wait: merged to the same end result, bounded, and never out of order."""

from __future__ import annotations

from kelpcourse.memory.orders import EmptyTable, Limit, Mark, Order, SetShare, ShutOut, UseTable
from kelpcourse.memory.outbox import Outbox


def test_batches_that_wait_are_merged_to_their_end_result() -> None:
    outbox = Outbox(100, 8)
    outbox.add(
        [SetShare(0, "a", 1.0), SetShare(0, "b", 1.0), Limit(0, ("read",), 0.5, 1), Mark(1, True)]
    )
    outbox.add([SetShare(0, "a", 2.0), ShutOut("b", True), Mark(2, False)])
    outbox.add([Limit(0, ("read",), 1.0, 1), ShutOut("b", False), Mark(3, False)])
    assert outbox.batches == 1
    assert outbox.begin() == [
        SetShare(0, "b", 1.0),
        SetShare(0, "a", 2.0),
        Limit(0, ("read",), 1.0, 1),
        ShutOut("b", False),
        Mark(3, True, (1, 2)),
    ]


def test_hosts_shut_out_go_ahead_of_what_piled_up() -> None:
    """A drain has a time limit, and a call of many lines takes the channel a while."""
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), UseTable(1, 0, ()), ShutOut("c", False), Mark(1, False)])
    outbox.add([ShutOut("b", True), ShutOut("a", True), SetShare(0, "d", 1.0), Mark(2, False)])
    assert outbox.begin() == [ShutOut("b", True), ShutOut("a", True), Mark(2, False, (1,))]
    assert outbox.taken(3) == [1, 2]
    assert outbox.begin() == [
        SetShare(0, "a", 1.0),
        UseTable(1, 0, ()),
        ShutOut("c", False),
        SetShare(0, "d", 1.0),
        Mark(2, False, (1,)),
    ]


def test_lines_of_hosts_shut_out_go_ahead_with_them() -> None:
    """Behind them, a host shut out would be a line at each proxy whose table holds it, and its line one more."""
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), SetShare(0, "c", 0.0), Mark(1, False)])
    outbox.add([SetShare(0, "b", 0.0), SetShare(1, "b", 0.0), ShutOut("b", True), Mark(2, False)])
    assert outbox.begin() == [
        SetShare(0, "b", 0.0),
        SetShare(1, "b", 0.0),
        ShutOut("b", True),
        Mark(2, False, (1,)),
    ]
    outbox.taken(4)
    assert outbox.begin() == [SetShare(0, "a", 1.0), SetShare(0, "c", 0.0), Mark(2, False, (1,))]


def test_a_step_of_its_own_is_not_taken_apart() -> None:
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), ShutOut("b", True), Mark(1, True)])
    assert len(outbox.begin()) == 3


def test_an_emptied_table_takes_its_earlier_lines_and_levels_along() -> None:
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), SetShare(1, "a", 1.0), Limit(0, (), 0.5, 1)])
    outbox.add([EmptyTable(0), SetShare(0, "b", 1.0)])
    assert outbox.begin() == [SetShare(1, "a", 1.0), EmptyTable(0), SetShare(0, "b", 1.0)]


def test_a_call_under_way_stays_as_it_is() -> None:
    outbox = Outbox(100, 8)
    first: list[Order] = [SetShare(0, "a", 1.0), Mark(1, False)]
    outbox.add(first)
    assert outbox.begin() == first
    outbox.add([SetShare(0, "a", 2.0), Mark(2, False)])
    outbox.add([SetShare(0, "a", 3.0), Mark(3, False)])
    outbox.taken(2)
    assert outbox.begin() == [SetShare(0, "a", 3.0), Mark(3, False, (2,))]


def test_a_call_that_may_have_been_carried_out_merges_with_what_followed() -> None:
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), UseTable(1, 0, ())])
    outbox.begin()
    outbox.add([SetShare(0, "a", 2.0)])
    assert outbox.doubted() == ()
    outbox.again()
    assert outbox.begin() == [UseTable(1, 0, ()), SetShare(0, "a", 2.0)]


def test_a_call_that_may_have_been_carried_out_tells_which_steps_may_wait_twice() -> None:
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), Mark(1, False)])
    outbox.begin()
    outbox.add([SetShare(0, "b", 1.0), Mark(2, False)])
    outbox.add([SetShare(0, "c", 1.0), Mark(3, False)])
    assert outbox.doubted() == (1,)
    outbox.again()
    outbox.begin()
    assert outbox.doubted() == (1, 2, 3)


def test_a_call_that_was_taken_tells_which_steps_messages_were_written() -> None:
    outbox = Outbox(100, 8)
    assert outbox.taken(0) == []
    outbox.add([SetShare(0, "a", 1.0), SetShare(0, "b", 1.0), Mark(1, False)])
    assert (outbox.taken(1), outbox.taken(2)) == ([], [1])
    for stamp in (2, 3, 4):
        outbox.add([ShutOut(f"h{stamp}", True), Mark(stamp, False)])
    assert outbox.taken(4) == [3, 4]


def test_hosts_shut_out_ahead_of_their_mark_count_with_it() -> None:
    """They are the largest calls. Without a mark of its own after a merge, nobody answered theirs who was not concerned
    by what followed: 12,000 lines stood in the books of an empty channel, and nothing was withdrawn for 12 s."""
    outbox = Outbox(100, 8)
    outbox.add([ShutOut("a", True), Mark(1, False)])
    outbox.add([SetShare(0, "b", 1.0), Mark(2, False)])
    assert outbox.begin() == [ShutOut("a", True), Mark(2, False, (1,))]
    assert outbox.doubted() == (1, 2)
    outbox.again()
    assert outbox.stamps(2) == (1, 2)
    assert outbox.begin() == [ShutOut("a", True), Mark(2, False, (1,))]
    outbox.taken(2)
    assert outbox.begin() == [SetShare(0, "b", 1.0), Mark(2, False, (1,))]


def test_hosts_shut_out_and_nothing_else_are_one_call() -> None:
    outbox = Outbox(100, 8)
    for stamp in (1, 2):
        outbox.add([ShutOut(f"h{stamp}", True), Mark(stamp, False)])
    assert outbox.batches == 1


def test_bindings_of_a_proxy_that_left_during_a_call_are_not_sent_again() -> None:
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), UseTable(1, 0, ())])
    outbox.begin()
    outbox.forget_proxy(1)
    outbox.again()
    assert outbox.begin() == [SetShare(0, "a", 1.0)]


def test_one_that_left_and_came_back_during_a_call_that_broke_keeps_its_new_binding() -> None:
    """Bindings were taken out by the proxy's number, also the one ordered after its return: it was never bound."""
    outbox = Outbox(100, 8)
    outbox.add([UseTable(1, 0, ()), UseTable(2, 0, ())])
    outbox.begin()
    outbox.forget_proxy(1)
    outbox.add([UseTable(1, 3, ())])
    outbox.again()
    assert outbox.begin() == [UseTable(2, 0, ()), UseTable(1, 3, ())]


def calling(*orders: Order) -> Outbox:
    outbox = Outbox(100, 8)
    outbox.add(orders)
    outbox.begin()
    return outbox


def test_an_answer_to_its_mark_proves_that_a_call_was_carried_out() -> None:
    outbox = calling(SetShare(0, "a", 1.0), Mark(1, False))
    outbox.answered(7)
    assert not outbox.proved
    outbox.answered(1)
    assert outbox.proved
    outbox.again()
    outbox.begin()
    assert not outbox.proved  # it went a second time for all that
    outbox.answered(1)
    assert outbox.proved


def test_an_answer_to_a_mark_that_an_earlier_call_bore_too_proves_nothing() -> None:
    """Hosts shut out go ahead under the mark of what follows; taken for proof, it would lose all that."""
    outbox = Outbox(100, 8)
    outbox.add([ShutOut("a", True), Mark(1, False)])
    outbox.add([SetShare(0, "b", 1.0), Mark(2, False)])
    outbox.begin()
    outbox.taken(2)
    assert outbox.begin() == [SetShare(0, "b", 1.0), Mark(2, False, (1,))]
    outbox.answered(2)
    assert not outbox.proved


def test_a_part_of_a_call_that_was_taken_spends_its_mark() -> None:
    outbox = calling(SetShare(0, "a", 1.0), SetShare(0, "b", 1.0), Mark(1, False))
    outbox.taken(1)  # the relay was handed a mark behind this part as well
    outbox.begin()
    outbox.answered(1)
    assert not outbox.proved


def test_what_joined_a_call_that_broke_is_not_proved_by_an_answer_to_the_first() -> None:
    outbox = calling(SetShare(0, "a", 1.0), Mark(1, False))
    outbox.add([Limit(0, (), 0.5, 1)])  # to a table that nobody holds: no mark
    outbox.again()
    assert outbox.begin() == [SetShare(0, "a", 1.0), Limit(0, (), 0.5, 1), Mark(1, False)]
    outbox.answered(1)
    assert not outbox.proved


def test_what_waits_is_bounded_however_long_the_relay_is_away() -> None:
    outbox = Outbox(1000, 8)
    for step in range(5000):
        outbox.add(
            [
                SetShare(0, f"h{step % 30}", float(step)),
                UseTable(step % 60, 0, ()),
                Mark(step, False),
            ]
        )
    assert len(outbox) == 30 + 60 + 1
    assert len(outbox.begin()[-1].key) == 1
    mark = outbox.begin()[-1]
    assert isinstance(mark, Mark)
    assert len(mark.covers) == 8


def test_orders_beyond_the_limit_are_given_up_oldest_first_and_counted() -> None:
    outbox = Outbox(10, 8)
    assert outbox.add([SetShare(0, f"h{k}", 1.0) for k in range(8)]) == 0
    assert outbox.add([SetShare(0, f"g{k}", 1.0) for k in range(5)]) == 3
    assert outbox.begin()[0] == SetShare(0, "h3", 1.0)


def test_marks_remembered_are_bounded() -> None:
    outbox = Outbox(100, 4)
    for stamp in range(0, 100, 2):
        outbox.add([Mark(stamp, False)])
        outbox.add([Mark(stamp + 1, False)])
        outbox.begin()
        outbox.taken(1)
    assert outbox.stamps(99) == (98, 99)
    assert outbox.stamps(1) == (1,)


def test_a_refused_order_is_taken_out_alone() -> None:
    outbox = Outbox(100, 8)
    outbox.add([SetShare(0, "a", 1.0), UseTable(1, 0, ()), Mark(1, False)])
    outbox.begin()
    outbox.taken(1)
    assert outbox.drop_first() == UseTable(1, 0, ())
    assert outbox.begin() == [Mark(1, False)]


def test_no_host_shut_out_is_given_up_for_room() -> None:
    """On a fleet of 1,600 proxies what waits for a relay that is away was cut from its oldest end, where the
    withdrawals are."""
    outbox = Outbox(10, 8)
    assert (
        outbox.add(
            [ShutOut(f"h{k}", True) for k in range(8)]
            + [SetShare(0, f"g{k}", 1.0) for k in range(8)]
        )
        == 6
    )
    assert outbox.add([UseTable(1, 0, ())]) == 1
    waiting: list[Order] = []
    while outbox.batches:
        waiting += outbox.begin()
        outbox.taken(len(outbox.begin()))
    assert [order for order in waiting if isinstance(order, ShutOut)] == [
        ShutOut(f"h{k}", True) for k in range(8)
    ]

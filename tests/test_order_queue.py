"""Orders that wait: merged to the same end result, bounded, and never out of order."""

from __future__ import annotations

from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.orders import (
    BindProxy,
    Checkpoint,
    ClearTable,
    Order,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)


def test_batches_that_wait_are_merged_to_their_end_result() -> None:
    outbox = OrderQueue(100, 8)
    outbox.add(
        [
            SetWeight(0, "a", 1.0),
            SetWeight(0, "b", 1.0),
            SetAdmission(0, ("read",), 0.5, 1),
            Checkpoint(1, True),
        ]
    )
    outbox.add([SetWeight(0, "a", 2.0), WithdrawEndpoint("b"), Checkpoint(2, False)])
    outbox.add([SetAdmission(0, ("read",), 1.0, 1), RestoreEndpoint("b"), Checkpoint(3, False)])
    assert outbox.batch_count == 1
    assert outbox.begin_call() == [
        SetWeight(0, "b", 1.0),
        SetWeight(0, "a", 2.0),
        SetAdmission(0, ("read",), 1.0, 1),
        RestoreEndpoint("b"),
        Checkpoint(3, True, (1, 2)),
    ]


def test_hosts_shut_out_go_ahead_of_what_piled_up() -> None:
    """A drain has a time limit, and a call of many lines takes the channel a while."""
    outbox = OrderQueue(100, 8)
    outbox.add(
        [SetWeight(0, "a", 1.0), BindProxy(1, 0, ()), RestoreEndpoint("c"), Checkpoint(1, False)]
    )
    outbox.add(
        [WithdrawEndpoint("b"), WithdrawEndpoint("a"), SetWeight(0, "d", 1.0), Checkpoint(2, False)]
    )
    assert outbox.begin_call() == [
        WithdrawEndpoint("b"),
        WithdrawEndpoint("a"),
        Checkpoint(2, False, (1,)),
    ]
    assert outbox.accept(3) == [1, 2]
    assert outbox.begin_call() == [
        SetWeight(0, "a", 1.0),
        BindProxy(1, 0, ()),
        RestoreEndpoint("c"),
        SetWeight(0, "d", 1.0),
        Checkpoint(2, False, (1,)),
    ]


def test_lines_of_hosts_shut_out_go_ahead_with_them() -> None:
    """Behind them, a host shut out would be a line at each proxy whose table holds it, and its line one more."""
    outbox = OrderQueue(100, 8)
    outbox.add([SetWeight(0, "a", 1.0), SetWeight(0, "c", 0.0), Checkpoint(1, False)])
    outbox.add(
        [
            SetWeight(0, "b", 0.0),
            SetWeight(1, "b", 0.0),
            WithdrawEndpoint("b"),
            Checkpoint(2, False),
        ]
    )
    assert outbox.begin_call() == [
        SetWeight(0, "b", 0.0),
        SetWeight(1, "b", 0.0),
        WithdrawEndpoint("b"),
        Checkpoint(2, False, (1,)),
    ]
    outbox.accept(4)
    assert outbox.begin_call() == [
        SetWeight(0, "a", 1.0),
        SetWeight(0, "c", 0.0),
        Checkpoint(2, False, (1,)),
    ]


def test_a_step_of_its_own_is_not_taken_apart() -> None:
    outbox = OrderQueue(100, 8)
    outbox.add([SetWeight(0, "a", 1.0), WithdrawEndpoint("b"), Checkpoint(1, True)])
    assert len(outbox.begin_call()) == 3


def test_an_emptied_table_takes_its_earlier_lines_and_levels_along() -> None:
    outbox = OrderQueue(100, 8)
    outbox.add([SetWeight(0, "a", 1.0), SetWeight(1, "a", 1.0), SetAdmission(0, (), 0.5, 1)])
    outbox.add([ClearTable(0), SetWeight(0, "b", 1.0)])
    assert outbox.begin_call() == [SetWeight(1, "a", 1.0), ClearTable(0), SetWeight(0, "b", 1.0)]


def test_a_call_under_way_stays_as_it_is() -> None:
    outbox = OrderQueue(100, 8)
    first: list[Order] = [SetWeight(0, "a", 1.0), Checkpoint(1, False)]
    outbox.add(first)
    assert outbox.begin_call() == first
    outbox.add([SetWeight(0, "a", 2.0), Checkpoint(2, False)])
    outbox.add([SetWeight(0, "a", 3.0), Checkpoint(3, False)])
    outbox.accept(2)
    assert outbox.begin_call() == [SetWeight(0, "a", 3.0), Checkpoint(3, False, (2,))]


def test_a_call_that_may_have_been_carried_out_merges_with_what_followed() -> None:
    outbox = OrderQueue(100, 8)
    outbox.add([SetWeight(0, "a", 1.0), BindProxy(1, 0, ())])
    outbox.begin_call()
    outbox.add([SetWeight(0, "a", 2.0)])
    assert outbox.checkpoints_in_call() == ()
    outbox.requeue_call()
    assert outbox.begin_call() == [BindProxy(1, 0, ()), SetWeight(0, "a", 2.0)]


def test_a_call_that_may_have_been_carried_out_tells_which_steps_may_wait_twice() -> None:
    outbox = OrderQueue(100, 8)
    outbox.add([SetWeight(0, "a", 1.0), Checkpoint(1, False)])
    outbox.begin_call()
    outbox.add([SetWeight(0, "b", 1.0), Checkpoint(2, False)])
    outbox.add([SetWeight(0, "c", 1.0), Checkpoint(3, False)])
    assert outbox.checkpoints_in_call() == (1,)
    outbox.requeue_call()
    outbox.begin_call()
    assert outbox.checkpoints_in_call() == (1, 2, 3)


def test_a_call_that_was_taken_tells_which_steps_messages_were_written() -> None:
    outbox = OrderQueue(100, 8)
    assert outbox.accept(0) == []
    outbox.add([SetWeight(0, "a", 1.0), SetWeight(0, "b", 1.0), Checkpoint(1, False)])
    assert (outbox.accept(1), outbox.accept(2)) == ([], [1])
    for stamp in (2, 3, 4):
        outbox.add([WithdrawEndpoint(f"h{stamp}"), Checkpoint(stamp, False)])
    assert outbox.accept(4) == [3, 4]


def test_hosts_shut_out_ahead_of_their_mark_count_with_it() -> None:
    """They are the largest calls.

    Without a mark of its own after a merge, nobody answered theirs who was not concerned by what
    followed: 12,000 lines stood in the books of an empty channel, and nothing was withdrawn for
    12 s.
    """
    outbox = OrderQueue(100, 8)
    outbox.add([WithdrawEndpoint("a"), Checkpoint(1, False)])
    outbox.add([SetWeight(0, "b", 1.0), Checkpoint(2, False)])
    assert outbox.begin_call() == [WithdrawEndpoint("a"), Checkpoint(2, False, (1,))]
    assert outbox.checkpoints_in_call() == (1, 2)
    outbox.requeue_call()
    assert outbox.covered_checkpoints(2) == (1, 2)
    assert outbox.begin_call() == [WithdrawEndpoint("a"), Checkpoint(2, False, (1,))]
    outbox.accept(2)
    assert outbox.begin_call() == [SetWeight(0, "b", 1.0), Checkpoint(2, False, (1,))]


def test_hosts_shut_out_and_nothing_else_are_one_call() -> None:
    outbox = OrderQueue(100, 8)
    for stamp in (1, 2):
        outbox.add([WithdrawEndpoint(f"h{stamp}"), Checkpoint(stamp, False)])
    assert outbox.batch_count == 1


def test_bindings_of_a_proxy_that_left_during_a_call_are_not_sent_again() -> None:
    outbox = OrderQueue(100, 8)
    outbox.add([SetWeight(0, "a", 1.0), BindProxy(1, 0, ())])
    outbox.begin_call()
    outbox.forget_proxy(1)
    outbox.requeue_call()
    assert outbox.begin_call() == [SetWeight(0, "a", 1.0)]


def test_one_that_left_and_came_back_during_a_call_that_broke_keeps_its_new_binding() -> None:
    """Bindings were taken out by the proxy's number, also the one ordered after its return: it was never bound."""
    outbox = OrderQueue(100, 8)
    outbox.add([BindProxy(1, 0, ()), BindProxy(2, 0, ())])
    outbox.begin_call()
    outbox.forget_proxy(1)
    outbox.add([BindProxy(1, 3, ())])
    outbox.requeue_call()
    assert outbox.begin_call() == [BindProxy(2, 0, ()), BindProxy(1, 3, ())]


def calling(*orders: Order) -> OrderQueue:
    outbox = OrderQueue(100, 8)
    outbox.add(orders)
    outbox.begin_call()
    return outbox


def test_an_answer_to_its_mark_proves_that_a_call_was_carried_out() -> None:
    outbox = calling(SetWeight(0, "a", 1.0), Checkpoint(1, False))
    outbox.acknowledge(7)
    assert not outbox.call_acknowledged
    outbox.acknowledge(1)
    assert outbox.call_acknowledged
    outbox.requeue_call()
    outbox.begin_call()
    assert not outbox.call_acknowledged  # it went a second time for all that
    outbox.acknowledge(1)
    assert outbox.call_acknowledged


def test_an_answer_to_a_mark_that_an_earlier_call_bore_too_proves_nothing() -> None:
    """Hosts shut out go ahead under the mark of what follows; taken for proof, it would lose all that."""
    outbox = OrderQueue(100, 8)
    outbox.add([WithdrawEndpoint("a"), Checkpoint(1, False)])
    outbox.add([SetWeight(0, "b", 1.0), Checkpoint(2, False)])
    outbox.begin_call()
    outbox.accept(2)
    assert outbox.begin_call() == [SetWeight(0, "b", 1.0), Checkpoint(2, False, (1,))]
    outbox.acknowledge(2)
    assert not outbox.call_acknowledged


def test_a_part_of_a_call_that_was_taken_spends_its_mark() -> None:
    outbox = calling(SetWeight(0, "a", 1.0), SetWeight(0, "b", 1.0), Checkpoint(1, False))
    outbox.accept(1)  # the relay was handed a mark behind this part as well
    outbox.begin_call()
    outbox.acknowledge(1)
    assert not outbox.call_acknowledged


def test_what_joined_a_call_that_broke_is_not_proved_by_an_answer_to_the_first() -> None:
    outbox = calling(SetWeight(0, "a", 1.0), Checkpoint(1, False))
    outbox.add([SetAdmission(0, (), 0.5, 1)])  # to a table that nobody holds: no mark
    outbox.requeue_call()
    assert outbox.begin_call() == [
        SetWeight(0, "a", 1.0),
        SetAdmission(0, (), 0.5, 1),
        Checkpoint(1, False),
    ]
    outbox.acknowledge(1)
    assert not outbox.call_acknowledged


def test_what_waits_is_bounded_however_long_the_relay_is_away() -> None:
    outbox = OrderQueue(1000, 8)
    for step in range(5000):
        outbox.add(
            [
                SetWeight(0, f"h{step % 30}", float(step)),
                BindProxy(step % 60, 0, ()),
                Checkpoint(step, False),
            ]
        )
    assert len(outbox) == 30 + 60 + 1
    assert len(outbox.begin_call()[-1].key) == 1
    mark = outbox.begin_call()[-1]
    assert isinstance(mark, Checkpoint)
    assert len(mark.superseded) == 8


def test_orders_beyond_the_limit_are_given_up_oldest_first_and_counted() -> None:
    outbox = OrderQueue(10, 8)
    assert outbox.add([SetWeight(0, f"h{k}", 1.0) for k in range(8)]) == 0
    assert outbox.add([SetWeight(0, f"g{k}", 1.0) for k in range(5)]) == 3
    assert outbox.begin_call()[0] == SetWeight(0, "h3", 1.0)


def test_marks_remembered_are_bounded() -> None:
    outbox = OrderQueue(100, 4)
    for stamp in range(0, 100, 2):
        outbox.add([Checkpoint(stamp, False)])
        outbox.add([Checkpoint(stamp + 1, False)])
        outbox.begin_call()
        outbox.accept(1)
    assert outbox.covered_checkpoints(99) == (98, 99)
    assert outbox.covered_checkpoints(1) == (1,)


def test_a_refused_order_is_taken_out_alone() -> None:
    outbox = OrderQueue(100, 8)
    outbox.add([SetWeight(0, "a", 1.0), BindProxy(1, 0, ()), Checkpoint(1, False)])
    outbox.begin_call()
    outbox.accept(1)
    assert outbox.drop_first() == BindProxy(1, 0, ())
    assert outbox.begin_call() == [Checkpoint(1, False)]


def test_no_host_shut_out_is_given_up_for_room() -> None:
    # On a fleet of 1,600 proxies what waits for a relay that is away was cut from its oldest end,
    # where the withdrawals are.
    outbox = OrderQueue(10, 8)
    assert (
        outbox.add(
            [WithdrawEndpoint(f"h{k}") for k in range(8)]
            + [SetWeight(0, f"g{k}", 1.0) for k in range(8)]
        )
        == 6
    )
    assert outbox.add([BindProxy(1, 0, ())]) == 1
    waiting: list[Order] = []
    while outbox.batch_count:
        waiting += outbox.begin_call()
        outbox.accept(len(outbox.begin_call()))
    assert [
        order for order in waiting if isinstance(order, WithdrawEndpoint | RestoreEndpoint)
    ] == [WithdrawEndpoint(f"h{k}") for k in range(8)]

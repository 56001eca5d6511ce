"""OrderQueue: queued orders are coalesced without a change of the end result, bounded, and kept in order."""

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


def test_queued_batches_are_coalesced_to_their_end_result() -> None:
    queue = OrderQueue(100, 8)
    queue.add(
        [
            SetWeight(0, "a", 1.0),
            SetWeight(0, "b", 1.0),
            SetAdmission(0, ("read",), 0.5, 1),
            Checkpoint(1, True),
        ]
    )
    queue.add([SetWeight(0, "a", 2.0), WithdrawEndpoint("b"), Checkpoint(2, False)])
    queue.add([SetAdmission(0, ("read",), 1.0, 1), RestoreEndpoint("b"), Checkpoint(3, False)])
    assert queue.batch_count == 1
    assert queue.begin_call() == [
        SetWeight(0, "b", 1.0),
        SetWeight(0, "a", 2.0),
        SetAdmission(0, ("read",), 1.0, 1),
        RestoreEndpoint("b"),
        Checkpoint(3, True, (1, 2)),
    ]


def test_withdrawals_are_sent_before_the_backlog() -> None:
    """A withdrawal has a time limit, and a call with many entries takes time to deliver."""
    queue = OrderQueue(100, 8)
    queue.add(
        [SetWeight(0, "a", 1.0), BindProxy(1, 0, ()), RestoreEndpoint("c"), Checkpoint(1, False)]
    )
    queue.add(
        [WithdrawEndpoint("b"), WithdrawEndpoint("a"), SetWeight(0, "d", 1.0), Checkpoint(2, False)]
    )
    assert queue.begin_call() == [
        WithdrawEndpoint("b"),
        WithdrawEndpoint("a"),
        Checkpoint(2, False, (1,)),
    ]
    assert queue.accept(3) == [1, 2]
    assert queue.begin_call() == [
        SetWeight(0, "a", 1.0),
        BindProxy(1, 0, ()),
        RestoreEndpoint("c"),
        SetWeight(0, "d", 1.0),
        Checkpoint(2, False, (1,)),
    ]


def test_removals_of_withdrawn_endpoints_are_sent_with_the_withdrawals() -> None:
    """If sent separately, withdrawal and removal would each add an entry for every proxy that has the endpoint."""
    queue = OrderQueue(100, 8)
    queue.add([SetWeight(0, "a", 1.0), SetWeight(0, "c", 0.0), Checkpoint(1, False)])
    queue.add(
        [
            SetWeight(0, "b", 0.0),
            SetWeight(1, "b", 0.0),
            WithdrawEndpoint("b"),
            Checkpoint(2, False),
        ]
    )
    assert queue.begin_call() == [
        SetWeight(0, "b", 0.0),
        SetWeight(1, "b", 0.0),
        WithdrawEndpoint("b"),
        Checkpoint(2, False, (1,)),
    ]
    queue.accept(4)
    assert queue.begin_call() == [
        SetWeight(0, "a", 1.0),
        SetWeight(0, "c", 0.0),
        Checkpoint(2, False, (1,)),
    ]


def test_the_orders_of_a_single_step_are_not_split() -> None:
    queue = OrderQueue(100, 8)
    queue.add([SetWeight(0, "a", 1.0), WithdrawEndpoint("b"), Checkpoint(1, True)])
    assert len(queue.begin_call()) == 3


def test_a_cleared_table_supersedes_its_earlier_weights_and_limits() -> None:
    queue = OrderQueue(100, 8)
    queue.add([SetWeight(0, "a", 1.0), SetWeight(1, "a", 1.0), SetAdmission(0, (), 0.5, 1)])
    queue.add([ClearTable(0), SetWeight(0, "b", 1.0)])
    assert queue.begin_call() == [SetWeight(1, "a", 1.0), ClearTable(0), SetWeight(0, "b", 1.0)]


def test_a_call_in_progress_is_not_changed() -> None:
    queue = OrderQueue(100, 8)
    first: list[Order] = [SetWeight(0, "a", 1.0), Checkpoint(1, False)]
    queue.add(first)
    assert queue.begin_call() == first
    queue.add([SetWeight(0, "a", 2.0), Checkpoint(2, False)])
    queue.add([SetWeight(0, "a", 3.0), Checkpoint(3, False)])
    queue.accept(2)
    assert queue.begin_call() == [SetWeight(0, "a", 3.0), Checkpoint(3, False, (2,))]


def test_a_call_of_unknown_outcome_is_coalesced_with_later_orders() -> None:
    queue = OrderQueue(100, 8)
    queue.add([SetWeight(0, "a", 1.0), BindProxy(1, 0, ())])
    queue.begin_call()
    queue.add([SetWeight(0, "a", 2.0)])
    assert queue.checkpoints_in_call() == ()
    queue.requeue_call()
    assert queue.begin_call() == [BindProxy(1, 0, ()), SetWeight(0, "a", 2.0)]


def test_the_checkpoints_of_a_call_of_unknown_outcome_are_returned() -> None:
    queue = OrderQueue(100, 8)
    queue.add([SetWeight(0, "a", 1.0), Checkpoint(1, False)])
    queue.begin_call()
    queue.add([SetWeight(0, "b", 1.0), Checkpoint(2, False)])
    queue.add([SetWeight(0, "c", 1.0), Checkpoint(3, False)])
    assert queue.checkpoints_in_call() == (1,)
    queue.requeue_call()
    queue.begin_call()
    assert queue.checkpoints_in_call() == (1, 2, 3)


def test_accepting_a_call_returns_the_checkpoints_of_completed_steps() -> None:
    queue = OrderQueue(100, 8)
    assert queue.accept(0) == []
    queue.add([SetWeight(0, "a", 1.0), SetWeight(0, "b", 1.0), Checkpoint(1, False)])
    assert (queue.accept(1), queue.accept(2)) == ([], [1])
    for checkpoint_id in (2, 3, 4):
        queue.add([WithdrawEndpoint(f"h{checkpoint_id}"), Checkpoint(checkpoint_id, False)])
    assert queue.accept(4) == [3, 4]


def test_withdrawals_sent_first_are_followed_by_a_checkpoint() -> None:
    """Withdrawals are the largest calls.

    Without a checkpoint in their batch, proxies that received nothing from the other batch never acknowledged them:
    12,000 entries stayed in the delivery tracker although the queue was empty, and nothing was withdrawn for 12 s.
    """
    queue = OrderQueue(100, 8)
    queue.add([WithdrawEndpoint("a"), Checkpoint(1, False)])
    queue.add([SetWeight(0, "b", 1.0), Checkpoint(2, False)])
    assert queue.begin_call() == [WithdrawEndpoint("a"), Checkpoint(2, False, (1,))]
    assert queue.checkpoints_in_call() == (1, 2)
    queue.requeue_call()
    assert queue.covered_checkpoints(2) == (1, 2)
    assert queue.begin_call() == [WithdrawEndpoint("a"), Checkpoint(2, False, (1,))]
    queue.accept(2)
    assert queue.begin_call() == [SetWeight(0, "b", 1.0), Checkpoint(2, False, (1,))]


def test_batches_of_only_withdrawals_are_coalesced() -> None:
    queue = OrderQueue(100, 8)
    for checkpoint_id in (1, 2):
        queue.add([WithdrawEndpoint(f"h{checkpoint_id}"), Checkpoint(checkpoint_id, False)])
    assert queue.batch_count == 1


def test_bindings_of_a_proxy_that_left_during_a_call_are_not_resent() -> None:
    queue = OrderQueue(100, 8)
    queue.add([SetWeight(0, "a", 1.0), BindProxy(1, 0, ())])
    queue.begin_call()
    queue.drop_bindings(1)
    queue.requeue_call()
    assert queue.begin_call() == [SetWeight(0, "a", 1.0)]


def test_a_proxy_that_rejoined_during_a_failed_call_keeps_its_new_binding() -> None:
    """The binding ordered after a proxy had rejoined was dropped with its older ones, and the proxy was never bound."""
    queue = OrderQueue(100, 8)
    queue.add([BindProxy(1, 0, ()), BindProxy(2, 0, ())])
    queue.begin_call()
    queue.drop_bindings(1)
    queue.add([BindProxy(1, 3, ())])
    queue.requeue_call()
    assert queue.begin_call() == [BindProxy(2, 0, ()), BindProxy(1, 3, ())]


def queue_in_call(*orders: Order) -> OrderQueue:
    queue = OrderQueue(100, 8)
    queue.add(orders)
    queue.begin_call()
    return queue


def test_an_acknowledged_checkpoint_confirms_its_call() -> None:
    queue = queue_in_call(SetWeight(0, "a", 1.0), Checkpoint(1, False))
    queue.acknowledge(7)
    assert not queue.call_acknowledged
    queue.acknowledge(1)
    assert queue.call_acknowledged
    queue.requeue_call()
    queue.begin_call()
    assert not queue.call_acknowledged  # the acknowledgement counted only for the earlier attempt
    queue.acknowledge(1)
    assert queue.call_acknowledged


def test_an_acknowledged_checkpoint_of_an_earlier_call_confirms_no_later_call() -> None:
    """Withdrawals that are sent first end in the checkpoint of the next batch.

    If an acknowledgement of that checkpoint confirmed the next batch too, that batch would be lost.
    """
    queue = OrderQueue(100, 8)
    queue.add([WithdrawEndpoint("a"), Checkpoint(1, False)])
    queue.add([SetWeight(0, "b", 1.0), Checkpoint(2, False)])
    queue.begin_call()
    queue.accept(2)
    assert queue.begin_call() == [SetWeight(0, "b", 1.0), Checkpoint(2, False, (1,))]
    queue.acknowledge(2)
    assert not queue.call_acknowledged


def test_an_acknowledged_checkpoint_confirms_no_call_after_a_partly_accepted_one() -> None:
    queue = queue_in_call(SetWeight(0, "a", 1.0), SetWeight(0, "b", 1.0), Checkpoint(1, False))
    queue.accept(1)  # the relay received a checkpoint after this part too
    queue.begin_call()
    queue.acknowledge(1)
    assert not queue.call_acknowledged


def test_orders_added_to_a_failed_call_are_not_confirmed_by_its_checkpoint() -> None:
    queue = queue_in_call(SetWeight(0, "a", 1.0), Checkpoint(1, False))
    # No checkpoint follows, because no proxy uses the table.
    queue.add([SetAdmission(0, (), 0.5, 1)])
    queue.requeue_call()
    assert queue.begin_call() == [
        SetWeight(0, "a", 1.0),
        SetAdmission(0, (), 0.5, 1),
        Checkpoint(1, False),
    ]
    queue.acknowledge(1)
    assert not queue.call_acknowledged


def test_the_queue_is_bounded_while_the_relay_is_unreachable() -> None:
    queue = OrderQueue(1000, 8)
    for step in range(5000):
        queue.add(
            [
                SetWeight(0, f"h{step % 30}", float(step)),
                BindProxy(step % 60, 0, ()),
                Checkpoint(step, False),
            ]
        )
    assert len(queue) == 30 + 60 + 1
    assert len(queue.begin_call()[-1].key) == 1
    checkpoint = queue.begin_call()[-1]
    assert isinstance(checkpoint, Checkpoint)
    assert len(checkpoint.superseded) == 8


def test_orders_beyond_the_limit_are_dropped_oldest_first_and_counted() -> None:
    queue = OrderQueue(10, 8)
    assert queue.add([SetWeight(0, f"h{k}", 1.0) for k in range(8)]) == 0
    assert queue.add([SetWeight(0, f"g{k}", 1.0) for k in range(5)]) == 3
    assert queue.begin_call()[0] == SetWeight(0, "h3", 1.0)


def test_the_number_of_retained_checkpoints_is_bounded() -> None:
    queue = OrderQueue(100, 4)
    for checkpoint_id in range(0, 100, 2):
        queue.add([Checkpoint(checkpoint_id, False)])
        queue.add([Checkpoint(checkpoint_id + 1, False)])
        queue.begin_call()
        queue.accept(1)
    assert queue.covered_checkpoints(99) == (98, 99)
    assert queue.covered_checkpoints(1) == (1,)


def test_only_the_rejected_order_is_dropped() -> None:
    queue = OrderQueue(100, 8)
    queue.add([SetWeight(0, "a", 1.0), BindProxy(1, 0, ()), Checkpoint(1, False)])
    queue.begin_call()
    queue.accept(1)
    assert queue.drop_first() == BindProxy(1, 0, ())
    assert queue.begin_call() == [Checkpoint(1, False)]


def test_no_withdrawal_is_dropped() -> None:
    # On a fleet of 1,600 proxies, the oldest orders were dropped while the relay was unreachable, and these included
    # withdrawals.
    queue = OrderQueue(10, 8)
    assert (
        queue.add(
            [WithdrawEndpoint(f"h{k}") for k in range(8)]
            + [SetWeight(0, f"g{k}", 1.0) for k in range(8)]
        )
        == 6
    )
    assert queue.add([BindProxy(1, 0, ())]) == 1
    sent_orders: list[Order] = []
    while queue.batch_count:
        sent_orders += queue.begin_call()
        queue.accept(len(queue.begin_call()))
    assert [
        order for order in sent_orders if isinstance(order, WithdrawEndpoint | RestoreEndpoint)
    ] == [WithdrawEndpoint(f"h{k}") for k in range(8)]

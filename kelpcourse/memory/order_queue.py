"""Queue of orders that the relay has not yet accepted: one batch per step, coalesced until it is sent."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from kelpcourse.memory.coalesce import coalesce
from kelpcourse.memory.orders import BindProxy, Checkpoint, Order, WithdrawEndpoint


class OrderQueue:
    """The outbound order queue. The first batch is sent as one call and does not change during that call."""

    def __init__(self, max_orders: int, max_superseded: int) -> None:
        """Initializes an empty queue.

        Args:
            max_orders: Number of orders above which the oldest are dropped. Withdrawals are never dropped.
            max_superseded: Maximum number of earlier checkpoints that one checkpoint supersedes, and of sent
                checkpoints whose superseded ones are retained.
        """
        self._max_orders = max_orders
        self._max_superseded = max_superseded
        # The superseded checkpoints, by the checkpoint that was sent in their place.
        self._superseded: dict[int, tuple[int, ...]] = {}
        self._batches: deque[list[Order]] = deque()
        self._in_call = False  # whether the first batch is being sent as a call
        self._proxies_left_during_call: set[int] = set()
        # The checkpoint whose acknowledgement proves that the call in progress was carried out.
        self._conclusive_checkpoint: int | None = None
        # The checkpoint that an earlier call ended in, so that its acknowledgement proves nothing about a later call.
        self._ambiguous_checkpoint: int | None = None
        self._call_acknowledged = False

    def __len__(self) -> int:
        """Returns the number of orders in the queue."""
        return sum(len(batch) for batch in self._batches)

    @property
    def batch_count(self) -> int:
        """The number of batches in the queue, including that of the call in progress."""
        return len(self._batches)

    def add(self, orders: Sequence[Order]) -> int:
        """Adds a step's orders and returns how many orders were dropped because the queue was full."""
        if orders:
            self._batches.append(list(orders))
        if len(self._batches) > (2 if self._in_call else 1):
            self._coalesce_pending()
        return self._drop_excess()

    # The call in progress

    def begin_call(self) -> list[Order]:
        """Begins a call and returns its orders."""
        self._in_call = True
        self._proxies_left_during_call.clear()
        self._call_acknowledged = False
        self._conclusive_checkpoint = None
        orders = self._batches[0] if self._batches else []
        checkpoint = _checkpoint_of(orders)
        if checkpoint is not None:
            if checkpoint.superseded:
                self._record_superseded(checkpoint)
            if checkpoint.checkpoint_id != self._ambiguous_checkpoint:
                self._conclusive_checkpoint = checkpoint.checkpoint_id
        return orders

    def accept(self, count: int) -> list[int]:
        """Ends the call, of which the relay accepted the first `count` orders.

        Returns the checkpoints of the steps whose messages the relay has just written. Of the superseded checkpoints,
        only the last one is included, because coalesced orders may result in two messages to a proxy.
        """
        self._in_call = False
        if not self._batches:
            return []
        self._mark_checkpoint_ambiguous()
        accepted = self._batches[0][:count]
        del self._batches[0][:count]
        if not self._batches[0]:
            self._batches.popleft()
        checkpoint = _checkpoint_of(accepted)
        if checkpoint is None:
            return []
        return [*checkpoint.superseded[-1:], checkpoint.checkpoint_id]

    def acknowledge(self, checkpoint_id: int) -> None:
        """Records that a proxy has applied every order up to a checkpoint."""
        if self._in_call and checkpoint_id == self._conclusive_checkpoint:
            self._call_acknowledged = True

    @property
    def call_acknowledged(self) -> bool:
        """Whether a proxy has applied the call's checkpoint, so that the call was carried out even if unanswered."""
        return self._call_acknowledged

    def checkpoints_in_call(self) -> tuple[int, ...]:
        """Returns the checkpoints of the steps in the call, to be reported if its outcome is unknown."""
        checkpoint = _checkpoint_of(self._batches[0]) if self._batches else None
        if checkpoint is None:
            return ()
        return (*checkpoint.superseded, checkpoint.checkpoint_id)

    def requeue_call(self) -> None:
        """Ends a failed call and keeps its orders, before later orders or coalesced with them."""
        self._in_call = False
        if self._batches:
            orders = _without_bindings(self._batches.popleft(), self._proxies_left_during_call)
            if orders:
                self._batches.appendleft(orders)
        self._proxies_left_during_call.clear()
        if len(self._batches) > 1:
            self._mark_checkpoint_ambiguous()  # it may now end a batch with other orders
            self._coalesce_pending()

    def first(self) -> Order:
        """Returns the oldest order."""
        return self._batches[0][0]

    def drop_first(self) -> Order:
        """Removes the oldest order and returns it."""
        order = self._batches[0].pop(0)
        if not self._batches[0]:
            self._batches.popleft()
        return order

    def _mark_checkpoint_ambiguous(self) -> None:
        """Records that an acknowledgement of this call's checkpoint will prove nothing about a later call."""
        checkpoint = _checkpoint_of(self._batches[0])
        if checkpoint is not None:
            self._ambiguous_checkpoint = checkpoint.checkpoint_id

    # Checkpoints and proxies

    def covered_checkpoints(self, checkpoint_id: int) -> tuple[int, ...]:
        """Returns the checkpoints that an acknowledgement covers: the superseded ones, then the given one."""
        return (*self._superseded.get(checkpoint_id, ()), checkpoint_id)

    def _record_superseded(self, checkpoint: Checkpoint) -> None:
        self._superseded.pop(checkpoint.checkpoint_id, None)
        self._superseded[checkpoint.checkpoint_id] = checkpoint.superseded
        while len(self._superseded) > self._max_superseded:
            del self._superseded[next(iter(self._superseded))]

    def drop_bindings(self, proxy: int) -> None:
        """Drops the bindings of a proxy that has left, because the relay would reject them.

        Bindings in the call in progress are dropped if the call is requeued. A binding that is ordered after the proxy
        has rejoined is kept.
        """
        pending = list(self._batches)
        in_call: list[list[Order]] = []
        if self._in_call:
            self._proxies_left_during_call.add(proxy)
            in_call = pending[:1]
            pending = pending[1:]
        kept = [_without_bindings(batch, {proxy}) for batch in pending]
        self._batches = deque([*in_call, *(batch for batch in kept if batch)])

    # Limits

    def _coalesce_pending(self) -> None:
        in_call = [self._batches.popleft()] if self._in_call else []
        merged = coalesce(self._batches, self._max_superseded)
        self._batches = deque(batch for batch in (*in_call, *merged) if batch)

    def _drop_excess(self) -> int:
        """Drops the oldest orders above the limit, except withdrawals, and returns how many were dropped."""
        excess = len(self) - self._max_orders
        only_call_queued = self._in_call and len(self._batches) == 1
        if excess <= 0 or only_call_queued:
            return 0
        kept: list[Order] = []
        dropped = 0
        for order in self._batches[-1]:
            if dropped < excess and not isinstance(order, WithdrawEndpoint):
                dropped += 1
            else:
                kept.append(order)
        self._batches[-1] = kept
        return dropped


def _checkpoint_of(orders: Sequence[Order]) -> Checkpoint | None:
    """Returns the checkpoint that ends a batch, or None."""
    last = orders[-1] if orders else None
    return last if isinstance(last, Checkpoint) else None


def _without_bindings(orders: Sequence[Order], proxies: set[int]) -> list[Order]:
    """Returns the orders without the bindings of the given proxies."""
    return [
        order for order in orders if not (isinstance(order, BindProxy) and order.proxy in proxies)
    ]

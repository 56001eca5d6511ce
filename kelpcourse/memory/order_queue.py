"""Orders that the relay has not yet accepted: one batch for each step, coalesced while they wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from kelpcourse.memory.coalesce import coalesce
from kelpcourse.memory.orders import BindProxy, Checkpoint, Order, WithdrawEndpoint


class OrderQueue:
    """The outbound order queue. The first batch goes out as one call and stays as it is meanwhile."""

    def __init__(self, max_orders: int, max_superseded: int) -> None:
        """Starts empty.

        Args:
            max_orders: Orders beyond which the oldest are dropped; withdrawals never are.
            max_superseded: Checkpoints that are remembered as superseded by a later one.
        """
        self._max_orders = max_orders
        self._max_superseded = max_superseded
        self._superseded: dict[int, tuple[int, ...]] = {}  # by the checkpoint that was sent
        self._batches: deque[list[Order]] = deque()
        self._in_call = False  # the first batch is with the relay
        self._left_during_call: set[int] = set()  # proxies
        self._proving_checkpoint: int | None = None  # that no other call carried
        self._used_checkpoint: int | None = None  # that an earlier call carried too
        self._call_acknowledged = False

    def __len__(self) -> int:
        """Orders in the queue."""
        return sum(len(batch) for batch in self._batches)

    @property
    def batch_count(self) -> int:
        """Batches in the queue, with that of the call in progress."""
        return len(self._batches)

    def add(self, orders: Sequence[Order]) -> int:
        """Adds a step's orders and returns how many were dropped for lack of space."""
        if orders:
            self._batches.append(list(orders))
        if len(self._batches) > (2 if self._in_call else 1):
            self._coalesce_waiting()
        return self._drop_excess()

    # The call in progress

    def begin_call(self) -> list[Order]:
        """The orders of the next call."""
        self._in_call = True
        self._left_during_call.clear()
        self._call_acknowledged = False
        self._proving_checkpoint = None
        orders = self._batches[0] if self._batches else []
        checkpoint = _checkpoint_of(orders)
        if checkpoint is not None:
            if checkpoint.superseded:
                self._remember_superseded(checkpoint)
            if checkpoint.checkpoint_id != self._used_checkpoint:
                self._proving_checkpoint = checkpoint.checkpoint_id
        return orders

    def accept(self, count: int) -> list[int]:
        """Ends the call: the relay accepted the first `count` orders.

        Returns the checkpoints of the steps whose messages were just written. Of superseded ones it is the last, as
        what was coalesced may be two messages to a proxy.
        """
        self._in_call = False
        if not self._batches:
            return []
        self._use_checkpoint()
        accepted = self._batches[0][:count]
        del self._batches[0][:count]
        if not self._batches[0]:
            self._batches.popleft()
        checkpoint = _checkpoint_of(accepted)
        if checkpoint is None:
            return []
        return [*checkpoint.superseded[-1:], checkpoint.checkpoint_id]

    def acknowledge(self, checkpoint_id: int) -> None:
        """Notes that a proxy has applied everything up to a checkpoint."""
        if self._in_call and checkpoint_id == self._proving_checkpoint:
            self._call_acknowledged = True

    @property
    def call_acknowledged(self) -> bool:
        """Whether the call was carried out, answered or not: a proxy has applied its checkpoint."""
        return self._call_acknowledged

    def checkpoints_in_call(self) -> tuple[int, ...]:
        """The checkpoints of the steps in the call, for when it fails with its outcome unknown."""
        checkpoint = _checkpoint_of(self._batches[0]) if self._batches else None
        if checkpoint is None:
            return ()
        return (*checkpoint.superseded, checkpoint.checkpoint_id)

    def requeue_call(self) -> None:
        """Puts the orders of the call back, ahead of later ones or coalesced with them."""
        self._in_call = False
        if self._batches:
            orders = _without_bindings(self._batches.popleft(), self._left_during_call)
            if orders:
                self._batches.appendleft(orders)
        self._left_during_call.clear()
        if len(self._batches) > 1:
            self._use_checkpoint()  # it may end orders that were not in the call
            self._coalesce_waiting()

    def first(self) -> Order:
        """The oldest order."""
        return self._batches[0][0]

    def drop_first(self) -> Order:
        """Removes the oldest order and returns it."""
        order = self._batches[0].pop(0)
        if not self._batches[0]:
            self._batches.popleft()
        return order

    def _use_checkpoint(self) -> None:
        """An acknowledgement of this call's checkpoint proves nothing about a later call."""
        checkpoint = _checkpoint_of(self._batches[0])
        if checkpoint is not None:
            self._used_checkpoint = checkpoint.checkpoint_id

    # Checkpoints and proxies

    def covered_checkpoints(self, checkpoint_id: int) -> tuple[int, ...]:
        """What an acknowledgement acknowledges: superseded checkpoints, then the named one."""
        return (*self._superseded.get(checkpoint_id, ()), checkpoint_id)

    def _remember_superseded(self, checkpoint: Checkpoint) -> None:
        self._superseded.pop(checkpoint.checkpoint_id, None)
        self._superseded[checkpoint.checkpoint_id] = checkpoint.superseded
        while len(self._superseded) > self._max_superseded:
            del self._superseded[next(iter(self._superseded))]

    def drop_bindings(self, proxy: int) -> None:
        """Drops bindings of a proxy that has left: the relay would reject them.

        Those in the call are dropped if it is requeued; a binding ordered after the proxy's return stays.
        """
        waiting = list(self._batches)
        in_call: list[list[Order]] = []
        if self._in_call:
            self._left_during_call.add(proxy)
            in_call = waiting[:1]
            waiting = waiting[1:]
        kept = [_without_bindings(batch, {proxy}) for batch in waiting]
        self._batches = deque([*in_call, *(batch for batch in kept if batch)])

    # Limits

    def _coalesce_waiting(self) -> None:
        in_call = [self._batches.popleft()] if self._in_call else []
        merged = coalesce(self._batches, self._max_superseded)
        self._batches = deque(batch for batch in (*in_call, *merged) if batch)

    def _drop_excess(self) -> int:
        """Drops the oldest orders beyond the limit, but no withdrawal, and returns how many."""
        excess = len(self) - self._max_orders
        only_call_left = self._in_call and len(self._batches) == 1
        if excess <= 0 or only_call_left:
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
    """The checkpoint that ends a batch, if one does."""
    last = orders[-1] if orders else None
    return last if isinstance(last, Checkpoint) else None


def _without_bindings(orders: Sequence[Order], proxies: set[int]) -> list[Order]:
    """The orders, but for bindings of these proxies."""
    return [
        order for order in orders if not (isinstance(order, BindProxy) and order.proxy in proxies)
    ]

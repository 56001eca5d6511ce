"""Orders not yet taken by the relay: a batch for each step, merged while they have to wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from kelpcourse.memory.orders import EmptyTable, Limit, Mark, Order, SetShare, UseTable


class Outbox:
    def __init__(self, most: int) -> None:
        self._most = most
        self._batches: deque[list[Order]] = deque()
        self._calling = False  # the first batch is with the relay: it must stay as it is

    def __len__(self) -> int:
        return sum(len(batch) for batch in self._batches)

    @property
    def batches(self) -> int:
        return len(self._batches)

    def add(self, orders: Sequence[Order]) -> int:
        """Takes a step's orders; returns how many had to be given up for room."""
        if orders:
            self._batches.append(list(orders))
        if len(self._batches) > 1 + self._calling:
            self._merge()
        return self._cut()

    def begin(self) -> list[Order]:
        """The orders of the next call."""
        self._calling = True
        return self._batches[0] if self._batches else []

    def taken(self, count: int) -> None:
        """The call was answered: the first `count` of its orders stand."""
        self._calling = False
        if self._batches:
            del self._batches[0][:count]
            if not self._batches[0]:
                self._batches.popleft()

    def unsure(self) -> None:
        """The call may have been carried out or not: its orders go again, before or with later ones."""
        self._calling = False
        if len(self._batches) > 1:
            self._merge()

    def drop_first(self) -> Order:
        order = self._batches[0].pop(0)
        if not self._batches[0]:
            self._batches.popleft()
        return order

    def forget_proxy(self, proxy: int) -> None:
        """A proxy that has left can't be bound any more: the relay would refuse the order."""
        first = 1 if self._calling else 0
        for batch in list(self._batches)[first:]:
            batch[:] = [o for o in batch if not (isinstance(o, UseTable) and o.proxy == proxy)]
        kept = [batch for k, batch in enumerate(self._batches) if batch or k < first]
        self._batches = deque(kept)

    def _merge(self) -> None:
        """Folds all batches that wait into one with the same end result."""
        first = [self._batches.popleft()] if self._calling else []
        merged: dict[tuple[object, ...], Order] = {}
        for batch in self._batches:
            for order in batch:
                fold(merged, order)
        self._batches = deque([*first, list(merged.values())])

    def _cut(self) -> int:
        over = len(self) - self._most
        batch = self._batches[-1] if self._batches else []
        if over > 0 and not (self._calling and len(self._batches) == 1):
            cut = min(over, len(batch))
            del batch[:cut]
            return cut
        return 0


def fold(merged: dict[tuple[object, ...], Order], order: Order) -> None:
    """Adds an order behind others: what it overrides is taken out, what it does not keeps its place."""
    if isinstance(order, EmptyTable):
        for key in [k for k, o in merged.items()
                    if isinstance(o, SetShare | Limit) and o.table == order.table]:
            del merged[key]
    earlier = merged.pop(order.key, None)
    if isinstance(order, Mark) and isinstance(earlier, Mark) and earlier.everyone:
        order = Mark(order.stamp, True)
    if not isinstance(order, Mark):
        mark = merged.pop(("mark",), None)
        merged[order.key] = order
        if mark is not None:  # a mark stays last: it answers for all that its call carries
            merged[mark.key] = mark
        return
    merged[order.key] = order

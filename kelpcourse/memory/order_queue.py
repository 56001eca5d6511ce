"""Orders not yet taken by the relay: a batch for each step, merged while they have to wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from kelpcourse.memory.orders import (
    CHECKPOINT_KEY,
    BindProxy,
    Checkpoint,
    ClearTable,
    Order,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)


class OrderQueue:
    def __init__(self, most: int, marks: int) -> None:
        self._most = most
        self._marks = marks
        self._covered: dict[int, tuple[int, ...]] = {}  # by stamp of the mark that went out
        self._batches: deque[list[Order]] = deque()
        self._calling = False  # the first batch is with the relay: it must stay as it is
        self._left: set[int] = set()  # proxies that left while it was
        self._telling: int | None = (
            None  # stamp of a mark that only this call carried: an answer proves it
        )
        self._spent: int | None = (
            None  # stamp of the mark of the last call that was taken, or of its like
        )
        self._proved = False

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
        self._left.clear()
        orders = self._batches[0] if self._batches else []
        mark = orders[-1] if orders else None
        if isinstance(mark, Checkpoint) and mark.superseded:
            self._remember(mark)
        self._telling = (
            mark.checkpoint_id
            if isinstance(mark, Checkpoint) and mark.checkpoint_id != self._spent
            else None
        )
        self._proved = False
        return orders

    def _remember(self, mark: Checkpoint) -> None:
        self._covered.pop(mark.checkpoint_id, None)
        self._covered[mark.checkpoint_id] = mark.superseded
        while len(self._covered) > self._marks:
            del self._covered[next(iter(self._covered))]

    def stamps(self, stamp: int) -> tuple[int, ...]:
        """What an answer to a mark answers: earlier marks merged into it, then itself."""
        return (*self._covered.get(stamp, ()), stamp)

    def taken(self, count: int) -> list[int]:
        """The call was answered: the first `count` of its orders stand. The stamps of the steps whose messages were
        just written; of steps merged into it the last one, as what is merged may be two messages to a proxy."""
        self._calling = False
        if not self._batches:
            return []
        self._spend()
        done, self._batches[0][:count] = self._batches[0][:count], []
        if not self._batches[0]:
            self._batches.popleft()
        mark = done[-1] if done else None
        return [*mark.superseded[-1:], mark.checkpoint_id] if isinstance(mark, Checkpoint) else []

    def answered(self, stamp: int) -> None:
        """A proxy has applied all up to a mark."""
        self._proved = self._proved or (self._calling and stamp == self._telling)

    @property
    def proved(self) -> bool:
        """Whether the call under way was carried out, answered or not: a proxy has applied its mark."""
        return self._proved

    def doubted(self) -> tuple[int, ...]:
        """The stamps of the steps whose messages the call under way holds: it broke, carried out or not."""
        mark = self._batches[0][-1] if self._batches and self._batches[0] else None
        return (*mark.superseded, mark.checkpoint_id) if isinstance(mark, Checkpoint) else ()

    def again(self) -> None:
        """The orders of the call under way go again, before or with later ones."""
        self._calling = False
        if self._batches:  # a later binding is of one that came back, and stands
            first = self._batches.popleft()
            kept = [o for o in first if not (isinstance(o, BindProxy) and o.proxy in self._left)]
            self._batches.extendleft([kept] if kept else [])
        self._left.clear()
        if len(self._batches) > 1:
            self._spend()  # what is merged may go under the mark that the call had, and was not all in it
            self._merge()

    def _spend(self) -> None:
        mark = self._batches[0][-1] if self._batches[0] else None
        if isinstance(mark, Checkpoint):
            self._spent = mark.checkpoint_id

    def first(self) -> Order:
        return self._batches[0][0]

    def drop_first(self) -> Order:
        order = self._batches[0].pop(0)
        if not self._batches[0]:
            self._batches.popleft()
        return order

    def forget_proxy(self, proxy: int) -> None:
        """A proxy that has left can't be bound any more: the relay would refuse the order."""
        first = 1 if self._calling else 0
        if self._calling:
            self._left.add(proxy)
        for batch in list(self._batches)[first:]:
            batch[:] = [o for o in batch if not (isinstance(o, BindProxy) and o.proxy == proxy)]
        kept = [batch for k, batch in enumerate(self._batches) if batch or k < first]
        self._batches = deque(kept)

    def _merge(self) -> None:
        """Folds all batches that wait into one with the same end result. Hosts shut out go ahead of it, in a
        call of their own: they have a time limit, and what piled up takes the channel a while. Both end in the mark:
        proxies that the second does not concern would never answer, and the module would wait for them."""
        first = [self._batches.popleft()] if self._calling else []
        merged: dict[tuple[object, ...], Order] = {}
        for batch in self._batches:
            for order in batch:
                fold(merged, order, self._marks)
        out = {order.endpoint for order in merged.values() if isinstance(order, WithdrawEndpoint)}
        urgent = [order for order in merged.values() if withdraws(order, out)]
        rest = [order for order in merged.values() if not withdraws(order, out)]
        urgent += [merged[CHECKPOINT_KEY]] if urgent and CHECKPOINT_KEY in merged else []
        self._batches = deque(
            batch for batch in (*first, urgent, rest if rest != urgent[-1:] else []) if batch
        )

    def _cut(self) -> int:
        """Gives up the oldest orders beyond the limit, but no host shut out: proxies would go on sending there."""
        over = len(self) - self._most
        if over <= 0 or (self._calling and len(self._batches) == 1):
            return 0
        kept, left = list[Order](), over
        for order in self._batches[-1]:
            if left and not shuts_out(order):
                left -= 1
            else:
                kept.append(order)
        self._batches[-1] = kept
        return over - left


def withdraws(order: Order, out: set[str]) -> bool:
    """Whether it shuts one of these hosts out or takes its line. The lines go first, as ordered: a proxy that
    holds the host no more is not written to for it."""
    return shuts_out(order) or (
        isinstance(order, SetWeight) and order.weight == 0 and order.endpoint in out
    )


def shuts_out(order: Order) -> bool:
    return isinstance(order, WithdrawEndpoint)


def fold(merged: dict[tuple[object, ...], Order], order: Order, marks: int) -> None:
    """Adds an order behind others: what it overrides is taken out, what it does not keeps its place. A mark
    stays last, as it answers for all that its call carries, and also for up to so many marks before it."""
    if isinstance(order, ClearTable):
        for key in [
            k
            for k, o in merged.items()
            if isinstance(o, SetWeight | SetAdmission) and o.table == order.table
        ]:
            del merged[key]
    mark = merged.pop(CHECKPOINT_KEY, None)
    if isinstance(order, Checkpoint):
        merged[CHECKPOINT_KEY] = (
            later_mark(mark, order, marks) if isinstance(mark, Checkpoint) else order
        )
        return
    merged.pop(order.key, None)
    merged[order.key] = order
    if mark is not None:
        merged[CHECKPOINT_KEY] = mark


def later_mark(earlier: Checkpoint, later: Checkpoint, most: int) -> Checkpoint:
    if earlier.checkpoint_id == later.checkpoint_id:  # of hosts that were to go ahead
        return later
    covers = (*earlier.superseded, earlier.checkpoint_id, *later.superseded)
    return Checkpoint(later.checkpoint_id, earlier.all_proxies or later.all_proxies, covers[-most:])

"""Coalescing of orders: many batches become one or two with the same end result."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from kelpcourse.memory.orders import (
    CHECKPOINT_KEY,
    Checkpoint,
    ClearTable,
    Order,
    OrderKey,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)


def coalesce(batches: Iterable[Sequence[Order]], max_superseded: int) -> list[list[Order]]:
    """Merges batches into one, or into two if endpoints are withdrawn.

    Withdrawals go first, in a batch of their own: they have a time limit, and a long backlog takes a while to deliver.
    Both batches end in the checkpoint: proxies that the second does not concern would never acknowledge the first.

    Args:
        batches: Orders of successive steps.
        max_superseded: Earlier checkpoints that the last one stands for at most.
    """
    merged: dict[OrderKey, Order] = {}
    for batch in batches:
        for order in batch:
            _add(merged, order, max_superseded)
    withdrawn = {order.endpoint for order in merged.values() if isinstance(order, WithdrawEndpoint)}
    urgent = [order for order in merged.values() if _withdraws(order, withdrawn)]
    rest = [order for order in merged.values() if not _withdraws(order, withdrawn)]
    if urgent and CHECKPOINT_KEY in merged:
        urgent.append(merged[CHECKPOINT_KEY])
    if rest == urgent[-1:]:  # nothing but the checkpoint
        rest = []
    return [batch for batch in (urgent, rest) if batch]


def _withdraws(order: Order, withdrawn: set[str]) -> bool:
    """Whether an order withdraws an endpoint, or removes one of `withdrawn` from a table.

    Removals go along, as a proxy without an entry for the endpoint needs no message about it.
    """
    if isinstance(order, SetWeight):
        return order.weight == 0 and order.endpoint in withdrawn
    return isinstance(order, WithdrawEndpoint)


def _add(merged: dict[OrderKey, Order], order: Order, max_superseded: int) -> None:
    """Adds an order behind others and takes out those that it overrides.

    The checkpoint stays last, as it stands for all orders of its call.
    """
    if isinstance(order, ClearTable):
        _remove_entries(merged, order.table)
    checkpoint = merged.pop(CHECKPOINT_KEY, None)
    if isinstance(order, Checkpoint):
        if isinstance(checkpoint, Checkpoint):
            order = _supersede(checkpoint, order, max_superseded)
        merged[CHECKPOINT_KEY] = order
        return
    merged.pop(order.key, None)
    merged[order.key] = order
    if checkpoint is not None:
        merged[CHECKPOINT_KEY] = checkpoint


def _remove_entries(merged: dict[OrderKey, Order], table: int) -> None:
    for key, order in list(merged.items()):
        if isinstance(order, SetWeight | SetAdmission) and order.table == table:
            del merged[key]


def _supersede(earlier: Checkpoint, later: Checkpoint, max_superseded: int) -> Checkpoint:
    """The later checkpoint, which stands for the earlier one too."""
    if earlier.checkpoint_id == later.checkpoint_id:  # a step whose withdrawals went ahead
        return later
    superseded = (*earlier.superseded, earlier.checkpoint_id, *later.superseded)
    return Checkpoint(
        later.checkpoint_id,
        earlier.all_proxies or later.all_proxies,
        superseded[-max_superseded:],
    )

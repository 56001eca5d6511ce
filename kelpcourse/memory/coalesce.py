"""Coalescing of batches of orders into one or two batches with the same end result."""

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

    Withdrawals are sent first, in a separate batch, because they have a time limit and a long backlog takes time to
    deliver. Both batches end in the checkpoint; otherwise proxies that receive nothing from the second batch would
    never acknowledge the first.

    Args:
        batches: Orders of successive steps, oldest first.
        max_superseded: Maximum number of earlier checkpoints that the last checkpoint supersedes.
    """
    merged: dict[OrderKey, Order] = {}
    for batch in batches:
        for order in batch:
            _merge_order(merged, order, max_superseded)
    withdrawn = {order.endpoint for order in merged.values() if isinstance(order, WithdrawEndpoint)}
    urgent = [order for order in merged.values() if _is_withdrawal(order, withdrawn)]
    rest = [order for order in merged.values() if not _is_withdrawal(order, withdrawn)]
    if urgent and CHECKPOINT_KEY in merged:
        urgent.append(merged[CHECKPOINT_KEY])
    if rest == urgent[-1:]:  # the second batch would hold only the checkpoint
        rest = []
    return [batch for batch in (urgent, rest) if batch]


def _is_withdrawal(order: Order, withdrawn: set[str]) -> bool:
    """Returns whether an order withdraws an endpoint, or removes one of `withdrawn` from a table.

    Removals are sent together with the withdrawals because a proxy without an entry for the endpoint needs no message
    about its withdrawal.
    """
    if isinstance(order, SetWeight):
        return order.weight == 0 and order.endpoint in withdrawn
    return isinstance(order, WithdrawEndpoint)


def _merge_order(merged: dict[OrderKey, Order], order: Order, max_superseded: int) -> None:
    """Appends an order and removes the earlier orders that it supersedes.

    The checkpoint stays last because it covers all orders of its call.
    """
    if isinstance(order, ClearTable):
        _remove_entries(merged, order.table)
    checkpoint = merged.pop(CHECKPOINT_KEY, None)
    if isinstance(order, Checkpoint):
        if isinstance(checkpoint, Checkpoint):
            order = _merge_checkpoints(checkpoint, order, max_superseded)
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


def _merge_checkpoints(earlier: Checkpoint, later: Checkpoint, max_superseded: int) -> Checkpoint:
    """Returns the later checkpoint, extended to supersede the earlier one."""
    # Both batches of a step whose withdrawals were sent first end in the same checkpoint.
    if earlier.checkpoint_id == later.checkpoint_id:
        return later
    superseded = (*earlier.superseded, earlier.checkpoint_id, *later.superseded)
    return Checkpoint(
        later.checkpoint_id,
        earlier.all_proxies or later.all_proxies,
        superseded[-max_superseded:],
    )

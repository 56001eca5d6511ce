"""Fencing: a receiver of orders rejects those of an earlier holder of a group."""

from __future__ import annotations

from kelpcourse.shared.placement import GroupId


class EpochFence:
    """Tracks the highest epoch seen for each group."""

    def __init__(self) -> None:
        """Initializes the fence without any epoch."""
        self._highest: dict[GroupId, int] = {}

    def admits(self, group: GroupId, epoch: int) -> bool:
        """Returns whether an order under this epoch is accepted: no order under a higher epoch came before it."""
        if epoch < self._highest.get(group, 0):
            return False
        self._highest[group] = epoch
        return True

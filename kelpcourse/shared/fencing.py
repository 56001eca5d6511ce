"""Fencing: whoever receives orders rejects those of an earlier holder of a group."""

from __future__ import annotations

from kelpcourse.shared.placement import GroupId


class EpochFence:
    """The highest epoch of each group that was seen."""

    def __init__(self) -> None:
        """Starts without any epoch seen."""
        self._highest: dict[GroupId, int] = {}

    def admits(self, group: GroupId, epoch: int) -> bool:
        """Whether an order under this epoch is not older than one before it."""
        if epoch < self._highest.get(group, 0):
            return False
        self._highest[group] = epoch
        return True

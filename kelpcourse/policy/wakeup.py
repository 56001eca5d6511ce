"""Timers that wake the policy when delayed orders are due."""

from __future__ import annotations

from kelpcourse.policy.actions import Action, SetTimer


class Wakeup:
    """A timer of the policy that is set again only where the pending one would fire too late."""

    def __init__(self, name: str) -> None:
        """Starts without a pending timer.

        Args:
            name: Name of the timer, with which it is reported when it fires.
        """
        self._name = name
        self._due_us = 0

    def request(self, now_us: int, due_us: int, actions: list[Action]) -> None:
        """Adds an action that sets the timer, unless one fires between now and the time at which orders are due."""
        if now_us < self._due_us <= due_us:
            return
        self._due_us = due_us
        actions.append(SetTimer(self._name, due_us))

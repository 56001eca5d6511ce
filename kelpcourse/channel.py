"""Books of a director's channel: the lines that may still wait in it, from what was ordered and answered."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from kelpcourse.interface import ProxyId


@dataclass
class Step:
    """What one step's orders put into the channel."""

    number: int  # of its checkpoint
    at_us: int
    lines: float = 0.0
    unanswered: float = 0.0  # lines of those
    messages: int = 0  # not answered
    due_us: int = 0  # when it is through, by what waited when it was ordered
    broken: bool = False  # a stream broke that it had a message to: nothing will tell that it had its turn


class Channel:
    """Messages leave the channel one after another. So what was ordered counts as waiting until all that was
    ordered before it is answered, too: after a broken stream later messages may be answered first, and the
    channel still holds them. A proxy that stands still or an answer that got lost must not block this for
    good, so after the longest that a full channel takes only what is itself unanswered counts."""

    def __init__(self, longest_us: int, lines_per_s: float) -> None:
        """`longest_us`: from an order to its answer through a full channel."""
        self._longest_us = longest_us
        self._lines_per_s = lines_per_s
        self._steps: deque[Step] = deque()
        self._of: dict[ProxyId, deque[tuple[Step, float]]] = {}  # unanswered, oldest first
        self._unseen: deque[tuple[int, float]] = deque()  # lines, and until when they count

    def sent(self, number: int, now_us: int, lines: dict[ProxyId, float]) -> None:
        """Books a step's messages, by proxy."""
        total = sum(lines.values())
        ahead = self.waiting(now_us) + total
        due_us = now_us + int(ahead / self._lines_per_s * 1e6)
        step = Step(number, now_us, total, total, len(lines), due_us)
        self._steps.append(step)
        for proxy, cost in lines.items():
            self._of.setdefault(proxy, deque()).append((step, cost))

    def applied(self, proxy: ProxyId, number: int) -> None:
        """A proxy's messages arrive in order: this one and all before it are through. Numbers start over."""
        waiting = self._of.get(proxy, deque())
        if any(step.number == number for step, _ in waiting):
            while waiting:
                step, cost = waiting.popleft()
                step.unanswered -= cost
                step.messages -= 1
                if step.number == number:
                    return

    def left(self, proxy: ProxyId) -> None:
        """With its stream what waited for it is gone, but its turn in the channel is not: what was ordered
        behind counted for up to 0.8 s after the last older message to another proxy was answered."""
        for step, cost in self._of.pop(proxy, ()):
            step.lines -= cost
            step.unanswered -= cost
            step.messages -= 1
            step.broken = True

    def joined(self, proxy: ProxyId, now_us: int) -> None:
        """Of one that was not heard to leave, what waits may reach it yet, but no answer to it will come."""
        if waits := sum(cost for _, cost in self._of.get(proxy, ())):
            self._unseen.append((now_us + self._longest_us, waits))
        self.left(proxy)

    def waiting(self, now_us: int) -> float:
        """Lines that may wait now."""
        while self._unseen and self._unseen[0][0] < now_us:
            self._unseen.popleft()
        total, kept = sum(lines for _, lines in self._unseen), deque[Step]()
        behind = False  # one that is surely still in the channel
        for step in self._steps:
            held = (step.messages > 0 and now_us - step.at_us < self._longest_us) or (
                step.broken and now_us < step.due_us)
            if not (behind or held or step.messages):
                continue
            total += step.lines if behind else step.unanswered
            behind = behind or held
            kept.append(step)
        self._steps = kept
        return total

"""Books of a director's channel: the lines that may still wait in it, from what was ordered and answered."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from kelpcourse.interface import ProxyId


@dataclass
class Step:
    number: int  # of its checkpoint
    at_us: int
    due_us: int  # when it is through at the channel's pace, or later
    lines: float  # that its orders put into the channel
    unanswered: float  # lines of those
    messages: int  # not answered
    others: float  # lines to proxies that may not answer
    unsure: bool  # some of its lines are never answered: it has its turn at the channel's pace


class Channel:
    """Messages leave the channel one after another: what was ordered counts as waiting until all before it is
    answered, too. After a broken stream later messages may be answered first, and it still holds them. None
    blocks those behind for longer than a full channel takes: it may stand still, or its answer be lost."""

    def __init__(self, longest_us: int, lines_per_us: float) -> None:
        """`longest_us`: from an order to its answer through a full channel."""
        self._longest_us, self._lines_per_us, self._due_us = longest_us, lines_per_us, 0
        self._steps: deque[Step] = deque()
        self._of: dict[ProxyId, deque[tuple[Step, float]]] = {}  # unanswered, oldest first
        self._unseen: list[tuple[int, float]] = []  # until when lines count

    def sent(self, number: int, now_us: int, lines: dict[ProxyId, float], others: float = 0.0) -> None:
        """Books a step's messages, by proxy, and about so many lines to others, of whom no answer is sure."""
        total = sum(lines.values())
        self._due_us = max(now_us, self._due_us) + int((total + others) / self._lines_per_us)
        step = Step(number, now_us, self._due_us, total, total, len(lines), others, others > 0)
        self._steps.append(step)
        for proxy, cost in lines.items():
            self._of.setdefault(proxy, deque()).append((step, cost))

    def applied(self, proxy: ProxyId, number: int) -> None:
        """A proxy's messages arrive in order: this one and all before it are through. Numbers start over."""
        numbers = [step.number for step, _ in self._of.get(proxy, ())]
        for _ in range(numbers.index(number) + 1 if number in numbers else 0):
            self._answer(*self._of[proxy].popleft())

    def _answer(self, step: Step, cost: float) -> None:
        step.unanswered, step.messages = step.unanswered - cost, step.messages - 1

    def left(self, proxy: ProxyId) -> None:
        """With its stream what waited for it is gone, but its turn is not: what is behind still waits."""
        for step, cost in self._of.pop(proxy, ()):
            self._answer(step, cost)
            step.lines, step.unsure = step.lines - cost, True

    def joined(self, proxy: ProxyId, now_us: int) -> None:
        """Of one that was not heard to leave, what waits may reach it yet, but no answer to it will come."""
        if waits := sum(cost for _, cost in self._of.get(proxy, ())):
            self._unseen.append((now_us + self._longest_us, waits))
        self.left(proxy)

    def repeated(self, number: int, now_us: int) -> None:
        """A step's orders may have gone out twice: no answer tells when the second are through."""
        waits = sum(step.lines + step.others for step in self._steps if step.number == number)
        self._unseen.append((now_us + self._longest_us, waits))

    def waiting(self, now_us: int) -> float:
        self._unseen = [(until_us, lines) for until_us, lines in self._unseen if until_us >= now_us]
        total, kept = sum(lines for _, lines in self._unseen), deque[Step]()
        behind = False  # one that is surely still in the channel
        for step in self._steps:
            unanswered = step.messages > 0 and now_us - step.at_us < self._longest_us
            held = unanswered or (step.unsure and now_us < step.due_us)
            if not (behind or held or step.messages):
                continue
            total += (step.lines if behind else step.unanswered) + step.others
            behind = behind or held
            kept.append(step)
        self._steps = kept
        return total

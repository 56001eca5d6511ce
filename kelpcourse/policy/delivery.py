"""Books of a director's channel: lines that may still wait in it, messages written to each proxy lately."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from kelpcourse.policy.settings import ProxyId


class Step:
    def __init__(self, number: int, at_us: int, due_us: int, lines: float, others: float) -> None:
        self.number, self.at_us = number, at_us  # of its checkpoint; when its messages were written
        self.due_us = due_us  # when it is through at the channel's pace, or later
        self.lines = self.unanswered = (
            lines  # that its orders put into the channel; those not answered
        )
        self.others, self.unsure, self.heard_us = (
            others,
            others > 0,
            0,
        )  # to those that may not answer


class Channel:
    """Messages leave in order: what was ordered waits for answers to all before, or a full channel's time."""

    def __init__(
        self, longest_us: int, pace: float, most: int = 0, in_us: int = 0, lag_us: int = 0
    ) -> None:
        self._longest_us, self._lines_per_us, self._due_us = longest_us, pace, 0
        self._steps: deque[Step] = deque()
        self._of: dict[ProxyId, deque[tuple[Step, float]]] = {}  # unanswered, oldest first
        self._unseen: list[tuple[int, float]] = []  # until when lines count
        self._told_us = self._heard_us = 0  # when what was answered last was ordered; heard
        self._most, self._over_us = most, in_us  # messages to a proxy, and in which time
        self._transit_us, self.doubted = lag_us, tuple[int, ...]()  # steps of a call that broke
        self._written: dict[ProxyId | None, deque[Step]] = {}  # the last of them

    def sent(
        self,
        number: int,
        now_us: int,
        lines: dict[ProxyId, float],
        others: float = 0.0,
        to: Iterable[ProxyId] = (),
    ) -> None:
        """Books a step's messages, by proxy, and about so many lines `to` others, whose answer is unsure."""
        total = sum(lines.values())
        self._due_us = max(now_us, self._due_us) + int((total + others) / self._lines_per_us)
        step = Step(number, now_us, self._due_us, total, others)
        self._steps.append(step)
        for proxy, cost in lines.items():
            self._of.setdefault(proxy, deque()).append((step, cost))
        for to_one in (None, *(lines.keys() | (to if others else ()))):  # None: to any
            self._written.setdefault(to_one, deque(maxlen=self._most)).append(step)

    def few(self, part: float, now_us: int) -> bool:
        """Rule 5: no proxy was written so large a part of the messages that it may be within a time."""
        count, since_us = math.ceil(self._most * part), now_us - self._over_us
        many = (s[-count].at_us > since_us for s in self._written.values() if 0 < count <= len(s))
        return not (next(many, False) and any(many))  # the first is of messages to any

    def taken(self, number: int, now_us: int) -> None:
        for step in (*self._steps, *self._written.get(None, ())):
            if step.number == number:  # times run from here: it may have had to wait
                step.due_us, step.at_us = step.due_us + now_us - step.at_us, now_us
        self.doubted = self.doubted if number not in self.doubted else ()

    def applied(self, proxy: ProxyId, number: int, now_us: int = 0) -> None:
        """A proxy's messages arrive in order: this one and all before it are through. Numbers start over."""
        numbers = [step.number for step, _ in self._of.get(proxy, ())]
        for _ in range(numbers.index(number) + 1 if number in numbers else 0):
            step, cost = self._of[proxy].popleft()
            step.unanswered, step.heard_us = step.unanswered - cost, now_us
            self._told_us = max(self._told_us, step.at_us)

    def left(self, proxy: ProxyId, heard: bool = True) -> None:
        self._written.pop(proxy if heard else -1, None)  # messages count from its joining
        for step, cost in self._of.pop(proxy, ()):
            step.unanswered, step.lines, step.unsure = (
                step.unanswered - cost,
                step.lines - cost,
                True,
            )

    def joined(self, proxy: ProxyId, now_us: int) -> None:
        """Of one that was not heard to leave, what waits may reach it yet, but no answer to it will come."""
        self._unseen.append(
            (now_us + self._longest_us, sum(cost for _, cost in self._of.get(proxy, ())))
        )
        self.left(proxy, False)

    def repeated(self, number: int, now_us: int) -> None:
        """A step's orders may have gone out twice: no answer tells when the second are through."""
        again = (step.lines + step.others for step in self._steps if step.number == number)
        self.sent(number, now_us, {}, next(again, 0.0))
        for written in self._written.values():
            written += [step for step in written if step.number == number][:1]

    def again(self, now_us: int, most: float) -> bool:
        """Whether a call that broke may go again: both copies fit, or nobody answers what must be through."""
        steps = {
            step.number: step for step in reversed(self._steps) if step.number in self.doubted
        }.values()
        silent = all(
            now_us >= step.due_us + 2 * self._transit_us and step.unanswered >= step.lines > 0
            for step in steps
        )  # so it was not carried out
        old = all(now_us - step.at_us >= self._longest_us for step in steps)
        if (
            silent
            or old
            or sum(step.lines + step.others for step in steps) + self.waiting(now_us) <= most
        ):
            for number in () if silent else self.doubted:
                self.repeated(number, now_us)
            self.doubted = ()
        return not self.doubted

    def waiting(self, now_us: int) -> float:
        self._unseen = [(until_us, n) for until_us, n in self._unseen if until_us >= now_us and n]
        total, kept, behind, heard_us = (
            sum(n for _, n in self._unseen),
            deque[Step](),
            False,
            self._heard_us,
        )
        for step in self._steps:
            heard_us = max(
                heard_us, step.heard_us
            )  # while what is ahead is answered, its turn is to come
            unanswered = (
                step.unanswered > 0 and now_us - max(step.at_us, heard_us) < self._longest_us
            )
            held = unanswered or (step.unsure and now_us < step.due_us)
            lost = self._told_us - step.at_us >= self._longest_us <= (now_us - step.at_us) // 2
            if lost or not (
                behind or held or step.unanswered
            ):  # lost: much later ones are answered
                self._heard_us = self._heard_us if kept else heard_us
                continue
            told = 1.0 if behind else step.unanswered / max(1.0, step.lines) if unanswered else 0.0
            pace = (step.due_us - now_us) * self._lines_per_us / max(1.0, step.lines + step.others)
            total += (step.lines if behind else step.unanswered) + step.others * min(
                1.0, max(told, pace)
            )
            behind = behind or held  # it is surely still in the channel
            kept.append(step)
        self._steps = kept
        return total

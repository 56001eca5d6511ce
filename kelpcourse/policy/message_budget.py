"""Count of the recent messages to each proxy, of which settings may limit the number within a window."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from typing import Protocol

from kelpcourse.policy.settings import ProxyId


class SentMessage(Protocol):
    """A message of one step, to one proxy or to several.

    Attributes:
        checkpoint_id: Id of the checkpoint that ends the step.
        sent_us: Time, in microseconds, at which the message was sent; it may be corrected later.
    """

    checkpoint_id: int
    sent_us: int


class MessageBudget:
    """The latest messages to any proxy and to each proxy; as many of them as the message limit allows."""

    def __init__(self, max_messages: int, window_us: int) -> None:
        """Starts without messages.

        Args:
            max_messages: Maximum number of messages to one proxy within the window; 0 for no limit.
            window_us: Length of the window, in microseconds.
        """
        self._max_messages = max_messages
        self._window_us = window_us
        self._recent: deque[SentMessage] = deque(maxlen=max_messages)
        self._recent_by_proxy: dict[ProxyId, deque[SentMessage]] = {}

    def record_sent(self, message: SentMessage, recipients: Iterable[ProxyId]) -> None:
        """Records a message of one step to some proxies."""
        self._recent.append(message)
        for proxy in recipients:
            recent = self._recent_by_proxy.setdefault(proxy, deque(maxlen=self._max_messages))
            recent.append(message)

    def accepted(self, checkpoint_id: int, now_us: int) -> None:
        """Records that the relay accepted the messages of a step only now, so that they count from now."""
        for message in self._recent:
            if message.checkpoint_id == checkpoint_id:
                message.sent_us = now_us

    def record_copies(self, checkpoint_id: int) -> None:
        """Records that each proxy that was sent the messages of a step may be sent them again."""
        for recent in (self._recent, *self._recent_by_proxy.values()):
            first = next((each for each in recent if each.checkpoint_id == checkpoint_id), None)
            if first is not None:
                recent.append(first)

    def proxy_left(self, proxy: ProxyId) -> None:
        """Forgets the messages to a proxy; their count starts at 0 when it joins again."""
        self._recent_by_proxy.pop(proxy, None)

    def is_below(self, fraction: float, now_us: int) -> bool:
        """Returns whether each proxy was sent fewer messages within the window than this fraction of the limit."""
        count = math.ceil(self._max_messages * fraction)
        since_us = now_us - self._window_us
        if not _has_recent(self._recent, count, since_us):
            return True  # one proxy was sent at most as many messages as all proxies together
        return not any(
            _has_recent(recent, count, since_us) for recent in self._recent_by_proxy.values()
        )

    def sustains_interval(self, interval_us: int, now_us: int) -> bool:
        """Returns whether each proxy can be sent a message now and one after each interval, without end.

        Args:
            interval_us: Time, in microseconds, between two messages; above 0.
            now_us: Time of the first message, in microseconds.
        """
        if not self._max_messages:
            return True
        if self._window_us // interval_us >= self._max_messages:
            return False
        if self._has_room(self._recent, interval_us, now_us):
            return True  # one proxy was sent at most as many messages as all proxies together
        return all(
            self._has_room(recent, interval_us, now_us) for recent in self._recent_by_proxy.values()
        )

    def _has_room(self, recent: Sequence[SentMessage], interval_us: int, now_us: int) -> bool:
        """Returns whether a proxy with these messages can be sent one now and one after each interval."""
        for sent_count in range(1, self._window_us // interval_us + 2):
            since_us = now_us + (sent_count - 1) * interval_us - self._window_us
            if _has_recent(recent, self._max_messages - sent_count + 1, since_us):
                return False
        return True


def _has_recent(recent: Sequence[SentMessage], count: int, since_us: int) -> bool:
    """Returns whether at least `count` of these messages, which is above 0, were sent after a time."""
    return 0 < count <= len(recent) and recent[-count].sent_us > since_us

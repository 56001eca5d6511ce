"""Joined proxies, as the relay's news tells of them over streams that all tell the same."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Joined:
    proxy: int
    zone: str
    share: float
    standing: bool


@dataclass(frozen=True)
class Left:
    proxy: int


@dataclass(frozen=True)
class Applied:
    proxy: int
    stamp: int
    lag_ms: float


News = Joined | Left | Applied
SIGNS = 2  # of life on a stream in step, until one that opened beside it is in step too


@dataclass
class Feed:
    """A stream of news: a snapshot of who is joined, then what changes."""

    settles_us: int  # when its snapshot counts as whole at the latest
    ahead: deque[News]  # told by others in step and not yet by this one
    view: dict[int, Joined] = field(default_factory=dict)
    settled: bool = False
    in_step: bool = False  # it has missed nothing that was reported
    signs: int = 0


class Proxies:
    """Turns what the streams tell into one sequence of news, each told once. As long as one stream in step is
    left, nothing is missed. After a gap a proxy may have left and come back unseen, which ends its bindings:
    so whoever stands in the next snapshot and was joined before has left and joined."""

    def __init__(self, most_ahead: int) -> None:
        self._most_ahead = most_ahead
        self._joined: set[int] = set()
        self._feeds: dict[int, Feed] = {}

    def __len__(self) -> int:
        return len(self._joined)

    def opened(self, stream: int, settles_us: int) -> None:
        feed = Feed(settles_us, deque(maxlen=self._most_ahead))
        feed.in_step = not self.steady
        self._feeds[stream] = feed

    @property
    def steady(self) -> bool:
        """Whether a stream is in step."""
        return any(feed.in_step for feed in self._feeds.values())

    def told(self, stream: int, news: News | None, now_us: int) -> list[News]:
        """What is new by a line of a stream; None is a sign of life."""
        feed, out = self._feeds[stream], list[News]()
        if not feed.settled and (not isinstance(news, Joined) or now_us > feed.settles_us):
            feed.settled = True
            out += self._missing(feed) if feed.in_step else []
        if news is None:
            self._count_sign(feed)
            return out
        _keep(feed.view, news)
        if feed.in_step and self._is_new(feed, news):
            out += self._change(news)
        return out

    def lost(self, stream: int) -> list[News]:
        """A stream has ended. If none in step is left, another one's view is what stands after the gap."""
        self._feeds.pop(stream, None)
        if self.steady or not self._feeds:
            return []
        feed = max(self._feeds.values(), key=lambda f: f.settled)
        feed.in_step = True
        out = [change for news in feed.view.values() for change in self._change(news)]
        return out + (self._missing(feed) if feed.settled else [])

    def _is_new(self, feed: Feed, news: News) -> bool:
        if news in feed.ahead:
            while feed.ahead.popleft() != news:  # those before it stood in this stream's snapshot
                pass
            return False
        for other in self._others(feed):
            if other.in_step:
                other.ahead.append(news)
        return True

    def _count_sign(self, feed: Feed) -> None:
        """One that opened beside a stream in step is in step itself once that has surely told all that came
        before the snapshot: till then its end would leave a gap."""
        if not feed.in_step:
            return
        for other in self._others(feed):
            other.signs += other.settled and not other.in_step
            other.in_step = other.in_step or other.signs >= SIGNS

    def _others(self, feed: Feed) -> Iterable[Feed]:
        return [other for other in self._feeds.values() if other is not feed]

    def _missing(self, feed: Feed) -> list[News]:
        gone = sorted(self._joined - set(feed.view))
        return [change for proxy in gone for change in self._change(Left(proxy))]

    def _change(self, news: News) -> list[News]:
        if isinstance(news, Applied):
            return [news]
        known = news.proxy in self._joined
        if isinstance(news, Left):
            self._joined.discard(news.proxy)
            return [news] if known else []
        self._joined.add(news.proxy)
        return [Left(news.proxy), news] if known else [news]


def _keep(view: dict[int, Joined], news: News) -> None:
    if isinstance(news, Joined):
        view[news.proxy] = news
    elif isinstance(news, Left):
        view.pop(news.proxy, None)

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

    opened_us: int
    settles_us: int  # when its snapshot counts as whole at the latest
    ahead: deque[News]  # told by others in step and not yet by this one, or before its snapshot
    early: deque[
        News
    ]  # while not in step: told by this one since its snapshot and not yet by one in step
    view: dict[int, Joined] = field(default_factory=dict)
    settled: bool = False
    met: bool = (
        False  # it has told what another told before, so nothing from before its snapshot is ahead
    )
    in_step: bool = False  # it has missed nothing that was reported
    signs: int = 0


class Proxies:
    """Turns what the streams tell into one sequence of news, each told once. As long as one stream in step is
    left, or the last of them told on past another's snapshot, nothing is missed. After a gap a proxy may have
    left and come back unseen, which ends its bindings: so whoever stands in the next snapshot is told as
    joined once more, but not as left: what waits for it in the channel may still reach it."""

    def __init__(self, most_ahead: int, cover_us: int) -> None:
        self._most_ahead = most_ahead
        self._cover_us = cover_us
        self._told_us = 0  # when a stream in step last told anything
        self._joined: set[int] = set()
        self._feeds: dict[int, Feed] = {}

    def __len__(self) -> int:
        return len(self._joined)

    def opened(self, stream: int, now_us: int, settles_us: int) -> None:
        feed = Feed(
            now_us, settles_us, deque(maxlen=self._most_ahead), deque(maxlen=self._most_ahead)
        )
        feed.in_step = not self.steady
        self._feeds[stream] = feed

    @property
    def steady(self) -> bool:
        """Whether a stream is in step."""
        return any(feed.in_step for feed in self._feeds.values())

    def in_step(self, streams: Iterable[int]) -> bool:
        """Whether one of these streams could do without the others."""
        return any(stream in self._feeds and self._feeds[stream].in_step for stream in streams)

    def told(self, stream: int, news: News | None, now_us: int) -> list[News]:
        """What is new by a line of a stream; None is a sign of life."""
        feed, out = self._feeds[stream], list[News]()
        if not feed.settled and (not isinstance(news, Joined) or now_us > feed.settles_us):
            feed.settled = True
            out += self._missing(feed) if feed.in_step else []
        if feed.in_step:
            self._told_us = now_us
        if news is None:
            return out + self._count_sign(feed)
        _keep(feed.view, news)
        if feed.in_step:
            out += self._change(news) if self._is_new(feed, news) else []
        elif feed.settled and not self._passed(feed, news):
            feed.early.append(news)
        return out

    def lost(self, stream: int) -> list[News]:
        """A stream has ended. If none in step is left, another goes on from where that one stopped, if that
        told on past its snapshot; else its view is what stands after a gap."""
        self._feeds.pop(stream, None)
        if self.steady or not self._feeds:
            return []
        feed = min(self._feeds.values(), key=lambda f: f.opened_us)
        covered = self._told_us - feed.opened_us >= self._cover_us
        if not covered:
            feed.early.clear()
        out = self._promote(feed)
        for news in feed.view.values():
            if not covered or news.proxy not in self._joined:
                out += self._change(news)
        return out + (self._missing(feed) if feed.settled else [])

    def _promote(self, feed: Feed) -> list[News]:
        """From now on it is one of those that miss nothing: what it alone has told so far is news."""
        if not feed.met:
            feed.ahead.clear()
        early, feed.early = feed.early, deque(maxlen=self._most_ahead)
        feed.in_step = True
        out = list[News]()
        for news in early:
            self._pass_on(feed, news)
            out += self._change(news)
        return out

    def _is_new(self, feed: Feed, news: News) -> bool:
        if self._passed(feed, news):
            return False
        self._pass_on(feed, news)
        return True

    def _passed(self, feed: Feed, news: News) -> bool:
        """Whether others have told this before; what they told before it stood in this stream's snapshot."""
        if news not in feed.ahead:
            return False
        while feed.ahead.popleft() != news:
            pass
        feed.met = True
        return True

    def _pass_on(self, feed: Feed, news: News) -> None:
        for other in self._others(feed):
            if news not in other.early:
                other.ahead.append(news)
                continue
            while other.early.popleft() != news:
                pass

    def _count_sign(self, feed: Feed) -> list[News]:
        """One that opened beside a stream in step is in step itself once that has surely told all that came
        before the snapshot: till then its end would leave a gap."""
        out: list[News] = []
        for other in self._others(feed) if feed.in_step else ():
            if other.settled and not other.in_step:
                other.signs += 1
                out += self._promote(other) if other.signs >= SIGNS else []
        return out

    def _others(self, feed: Feed) -> Iterable[Feed]:
        return [other for other in self._feeds.values() if other is not feed]

    def _missing(self, feed: Feed) -> list[News]:
        gone = sorted(self._joined - set(feed.view))
        return [change for proxy in gone for change in self._change(Left(proxy))]

    def _change(self, news: News) -> list[News]:
        if isinstance(news, Applied):
            return [news]
        if isinstance(news, Left):
            known = news.proxy in self._joined
            self._joined.discard(news.proxy)
            return [news] if known else []
        self._joined.add(news.proxy)
        return [news]


def _keep(view: dict[int, Joined], news: News) -> None:
    if isinstance(news, Joined):
        view[news.proxy] = news
    elif isinstance(news, Left):
        view.pop(news.proxy, None)

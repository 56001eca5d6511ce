"""Joined proxies, as the relay's news tells of them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Joined:
    proxy: int
    zone: str
    share: float
    standing: bool


@dataclass(frozen=True)
class Left:
    proxy: int


class Proxies:
    """Turns news into what changed. After a gap a proxy may have left and come back unseen, which ends its
    bindings: so whoever stands in a fresh snapshot and was joined before has left and joined."""

    def __init__(self) -> None:
        self._joined: set[int] = set()
        self._unseen: set[int] = set()  # joined before the gap, not in the snapshot so far

    def __len__(self) -> int:
        return len(self._joined)

    def begin_snapshot(self) -> None:
        self._unseen = set(self._joined)

    def joined(self, news: Joined) -> list[Joined | Left]:
        again = news.proxy in self._joined
        self._joined.add(news.proxy)
        self._unseen.discard(news.proxy)
        return [Left(news.proxy), news] if again else [news]

    def left(self, news: Left) -> list[Joined | Left]:
        self._unseen.discard(news.proxy)
        if news.proxy not in self._joined:
            return []
        self._joined.discard(news.proxy)
        return [news]

    def end_snapshot(self) -> list[Left]:
        gone, self._unseen = sorted(self._unseen), set()
        self._joined.difference_update(gone)
        return [Left(proxy) for proxy in gone]

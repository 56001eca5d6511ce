"""Whether forwarders kept the rules, from what crossed the sockets alone: announcements, orders, picks. Pure.

Independent of the decision module's own books. Times in microseconds on one clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class Checker:
    """`grace_us`: from when a director hears of a drain or removal. `bare_us`: for which a forwarder may be
    without a host while one is ready."""

    grace_us: int
    bare_us: int
    ready_us: dict[str, int] = field(default_factory=dict)  # since when
    stopped_us: dict[str, int] = field(default_factory=dict)  # drained or gone, since when
    out_at: dict[int, set[str]] = field(
        default_factory=dict
    )  # by forwarder: hosts that it was told to leave
    breaks: list[str] = field(default_factory=list)
    picks: int = 0
    worst_us: int = 0  # the longest that a host was still picked after it had stopped
    _bare_us: dict[tuple[int, str], int] = field(default_factory=dict)

    def announced(self, host: str, now_us: int) -> None:
        self.stopped_us.pop(host, None)
        self.ready_us.setdefault(host, now_us)

    def stopped(self, host: str, now_us: int) -> None:
        self.ready_us.pop(host, None)
        self.stopped_us.setdefault(host, now_us)

    def applied(self, forwarder: int, host: str, out: bool) -> None:
        held = self.out_at.setdefault(forwarder, set())
        (held.add if out else held.discard)(host)

    def picked(
        self,
        forwarder: int,
        cls: str,
        host: str | None,
        now_us: int,
        able: Iterable[str] | None = None,
    ) -> None:
        """`able`: hosts that serve the class, if not all do."""
        self.picks += 1
        if host is None:
            self._bare(forwarder, cls, now_us, set(self.ready_us if able is None else able))
            return
        self._bare_us.pop((forwarder, cls), None)
        if host in self.out_at.get(forwarder, ()):
            self._break(f"forwarder {forwarder} picks {host}, which it was told to leave")
        if host in self.ready_us:
            return
        if host not in self.stopped_us:
            self._break(f"forwarder {forwarder} picks {host}, which was never announced")
            return
        late_us = now_us - self.stopped_us[host]
        self.worst_us = max(self.worst_us, late_us)
        if late_us > self.grace_us:
            self._break(
                f"forwarder {forwarder} picks {host} {late_us / 1e6:.3f} s after it stopped"
            )

    def _bare(self, forwarder: int, cls: str, now_us: int, able: set[str]) -> None:
        since = max((when for host, when in self.ready_us.items() if host in able), default=None)
        if since is None:  # nobody could serve it
            self._bare_us.pop((forwarder, cls), None)
            return
        began = self._bare_us.setdefault((forwarder, cls), now_us)
        if now_us - max(began, since) > self.bare_us:
            self._break(f"forwarder {forwarder} has no host for {cls} though some are ready")

    def _break(self, text: str) -> None:
        if len(self.breaks) < 20:
            self.breaks.append(text)

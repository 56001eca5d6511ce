"""Joined proxies: which are bound to all their tables, and which keep a previous controller's."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from kelpcourse.policy.events import ProxyJoined
from kelpcourse.policy.settings import ProxyId, Settings

RECONNECT_STORM_SPAN_US = 1_000_000
RECONNECT_STORM_DIVISOR = 15  # of all proxies, joining within the span
MIN_RECONNECT_STORM_JOINS = 2
INHERITANCE_US = 6_000_000  # for which proxies keep the tables of a previous controller


@dataclass(frozen=True)
class ProxyOrigin:
    """What a proxy reported when it joined."""

    zone: str
    usual_rate: float  # requests per second


class ProxyBindings:
    """The joined proxies and the state of their bindings."""

    def __init__(self, settings: Settings) -> None:
        """Starts without proxies, which may come with inherited tables."""
        self.inherited_until_us: dict[ProxyId, int] = {}  # every joined proxy; 0 for a new one
        self.unbound_since_us: dict[ProxyId, int] = {}  # these may hold any endpoint
        self.possibly_stale: set[ProxyId] = (
            set()
        )  # unbound, but still bound unless they left unseen
        self.origins: dict[ProxyId, ProxyOrigin] = {}  # of all proxies that ever joined
        self.inherited_tables_usable = True
        storm_joins = max(
            MIN_RECONNECT_STORM_JOINS, settings.proxy_count // RECONNECT_STORM_DIVISOR
        )
        self._joined_us: deque[int] = deque(maxlen=storm_joins)

    def __len__(self) -> int:
        """Returns the count of joined proxies."""
        return len(self.inherited_until_us)

    def __iter__(self) -> Iterator[ProxyId]:
        """Yields the joined proxies, first those that joined first."""
        return iter(self.inherited_until_us)

    def __contains__(self, proxy: ProxyId) -> bool:
        """Whether the proxy is joined."""
        return proxy in self.inherited_until_us

    def join(self, now_us: int, joined: ProxyJoined) -> bool:
        """Takes in a proxy; returns whether it may still be bound from before.

        A proxy that is not known to have left is either bound still or left unseen.
        """
        proxy = joined.proxy
        self._joined_us.append(now_us)
        is_known = proxy in self.inherited_until_us
        may_be_bound = is_known and (
            proxy in self.possibly_stale or proxy not in self.unbound_since_us
        )
        if may_be_bound:
            self.possibly_stale.add(proxy)
        else:
            self.remove(proxy)
        keeps_table = self.in_reconnect_storm(now_us) and not joined.has_no_table
        self.inherited_until_us[proxy] = now_us + INHERITANCE_US if keeps_table else 0
        self.unbound_since_us[proxy] = now_us
        self.origins[proxy] = ProxyOrigin(joined.zone, joined.request_rate_per_s)
        return may_be_bound

    def remove(self, proxy: ProxyId) -> None:
        """Forgets a proxy, but for its origin."""
        self.possibly_stale.discard(proxy)
        self.inherited_until_us.pop(proxy, None)
        self.unbound_since_us.pop(proxy, None)

    def in_reconnect_storm(self, now_us: int) -> bool:
        """Whether so many proxies joined lately that a controller must have been lost."""
        if len(self._joined_us) < (self._joined_us.maxlen or 0):
            return False
        return now_us - self._joined_us[0] <= RECONNECT_STORM_SPAN_US

    def mostly_inherited(self) -> bool:
        """Whether more than half of the proxies came with a table of a previous controller."""
        inherited = sum(until_us > 0 for until_us in self.inherited_until_us.values())
        return 2 * inherited > len(self.inherited_until_us)

    def is_served_by_inherited_table(self, proxy: ProxyId, now_us: int) -> bool:
        """Whether binding the proxy can wait."""
        return self.inherited_tables_usable and now_us < self.inherited_until_us[proxy]

    def usual_rate(self) -> float:
        """Returns the usual request rate of the joined proxies."""
        return sum(self.origins[proxy].usual_rate for proxy in self)

    def count_with_unknown_entries(self) -> int:
        """Returns of how many unbound proxies it is not known what they hold."""
        return len(self.unbound_since_us) - len(self.possibly_stale)

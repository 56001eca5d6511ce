"""Joined proxies: which are bound to all their tables, and which use tables of a previous controller."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from kelpcourse.policy.events import ProxyJoined
from kelpcourse.policy.settings import ProxyId, Settings

RECONNECT_STORM_SPAN_US = 1_000_000
RECONNECT_STORM_DIVISOR = 15  # proxies of the fleet for each join that a reconnect storm requires
MIN_RECONNECT_STORM_JOINS = 2
MAX_USUAL_RATE_PER_S = 1e9  # requests per second of one proxy; larger figures count as this one
INHERITANCE_US = 6_000_000  # time for which proxies may use tables of a previous controller


@dataclass(frozen=True)
class ProxyOrigin:
    """The zone and the usual request rate that a proxy reported when it joined."""

    zone: str
    usual_rate: float  # usual rate of the proxy, in requests per second


class ProxyBindings:
    """The joined proxies and the state of their bindings."""

    def __init__(self, settings: Settings) -> None:
        """Starts without proxies; those that join may have inherited tables."""
        # For every joined proxy, the time until which its inherited table may be used; 0 if it has none.
        self.inherited_until_us: dict[ProxyId, int] = {}
        # Proxies that are not bound to all their tables; they may have entries of any endpoint.
        self.unbound_since_us: dict[ProxyId, int] = {}
        # Unbound proxies that still have their former bindings, unless they left without a report.
        self.possibly_stale: set[ProxyId] = set()
        self.origins: dict[ProxyId, ProxyOrigin] = {}  # origins of all proxies that ever joined
        self.inherited_tables_usable = True
        storm_joins = max(
            MIN_RECONNECT_STORM_JOINS, settings.proxy_count // RECONNECT_STORM_DIVISOR
        )
        self._joined_us: deque[int] = deque(maxlen=storm_joins)

    def __len__(self) -> int:
        """Returns the number of joined proxies."""
        return len(self.inherited_until_us)

    def __iter__(self) -> Iterator[ProxyId]:
        """Yields the joined proxies in the order in which they joined."""
        return iter(self.inherited_until_us)

    def __contains__(self, proxy: ProxyId) -> bool:
        """Returns whether the proxy is joined."""
        return proxy in self.inherited_until_us

    def join(self, now_us: int, joined: ProxyJoined) -> bool:
        """Adds a proxy; returns whether it may still have its former bindings.

        If no departure of a joined proxy was reported, it either still has its bindings or left without a report.
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
        usual_rate = min(joined.request_rate_per_s, MAX_USUAL_RATE_PER_S)
        self.origins[proxy] = ProxyOrigin(joined.zone, usual_rate)
        return may_be_bound

    def remove(self, proxy: ProxyId) -> None:
        """Removes a proxy, except for its origin."""
        self.possibly_stale.discard(proxy)
        self.inherited_until_us.pop(proxy, None)
        self.unbound_since_us.pop(proxy, None)

    def in_reconnect_storm(self, now_us: int) -> bool:
        """Returns whether enough proxies joined recently to infer that another controller failed."""
        if len(self._joined_us) < (self._joined_us.maxlen or 0):
            return False
        return now_us - self._joined_us[0] <= RECONNECT_STORM_SPAN_US

    def mostly_inherited(self) -> bool:
        """Returns whether more than half of the proxies joined with a table of a previous controller."""
        inherited = sum(until_us > 0 for until_us in self.inherited_until_us.values())
        return 2 * inherited > len(self.inherited_until_us)

    def usual_rate(self) -> float:
        """Returns the usual request rate of all joined proxies together."""
        return sum(self.origins[proxy].usual_rate for proxy in self)

    def count_with_unknown_entries(self) -> int:
        """Returns the number of unbound proxies whose table entries are unknown."""
        return len(self.unbound_since_us) - len(self.possibly_stale)

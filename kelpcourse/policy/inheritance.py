"""Limit of the time for which proxies may use the tables of a previous controller."""

from __future__ import annotations

from kelpcourse.policy.arithmetic import US_PER_S
from kelpcourse.policy.bindings import INHERITANCE_US, ProxyBindings
from kelpcourse.policy.budget import OrderCosts
from kelpcourse.policy.settings import ProxyId, Settings
from kelpcourse.policy.tables import RoutingTables


class InheritanceLimit:
    """Computes until when proxies may use inherited tables.

    Inherited tables may have endpoints that left the list before this controller started, which no list names any
    more. The grace of their drain begins when a proxy joins, and the proxy stops using them when its binding arrives.
    """

    def __init__(
        self, settings: Settings, tables: RoutingTables, bindings: ProxyBindings, costs: OrderCosts
    ) -> None:
        """Initializes the limit with the components that it depends on."""
        self._tables = tables
        self._bindings = bindings
        self._costs = costs
        self._entries_per_us = settings.delivery_entries_per_s / US_PER_S
        self._grace_us = settings.drain_grace_us - settings.max_transit_us
        self._removed_may_be_used = settings.drain_rule_excludes_removed

    def ends_us(self, queued_entries: float) -> dict[ProxyId, int]:
        """Returns the time, in microseconds, at which each unbound proxy has to be bound; 0 for immediately.

        Args:
            queued_entries: Entries in the delivery queue.
        """
        unbound_since_us = self._bindings.unbound_since_us
        if not unbound_since_us or not self._bindings.inherited_tables_usable:
            return dict.fromkeys(unbound_since_us, 0)
        span_us = self._max_span_us(queued_entries)
        until_us = self._bindings.inherited_until_us
        return {
            proxy: min(until_us[proxy], since_us + span_us)
            for proxy, since_us in unbound_since_us.items()
        }

    def _max_span_us(self, queued_entries: float) -> int:
        """Returns for how long proxies may use inherited tables if all are then bound within the grace of a drain."""
        if self._removed_may_be_used:
            return INHERITANCE_US
        binding_entries = self._costs.with_message(self._tables.max_binding_entries_of_proxy())
        entries = queued_entries + binding_entries * len(self._bindings.unbound_since_us)
        return max(0, int(self._grace_us - entries / self._entries_per_us))

"""Binding of joined proxies to their tables, as far as the delivery queue allows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from kelpcourse.policy.actions import BindProxy
from kelpcourse.policy.bindings import ProxyBindings
from kelpcourse.policy.budget import BacklogLimits, OrderBatch, OrderCosts
from kelpcourse.policy.draining import Withdrawals
from kelpcourse.policy.inheritance import InheritanceLimit
from kelpcourse.policy.settings import ProxyId, Settings, TableId
from kelpcourse.policy.tables import ClassPositions, RoutingTables
from kelpcourse.policy.wakeup import Wakeup

BINDING_TIMER = "binding"  # fires when proxies may no longer use inherited tables


class BindingOrders:
    """Orders the bindings of joined proxies."""

    def __init__(
        self,
        settings: Settings,
        tables: RoutingTables,
        bindings: ProxyBindings,
        withdrawals: Withdrawals,
        costs: OrderCosts,
    ) -> None:
        """Initializes the orders with the components that they depend on."""
        self._tables = tables
        self._bindings = bindings
        self._withdrawals = withdrawals
        self._costs = costs
        self._limits = BacklogLimits.of(settings)
        self._inheritance = InheritanceLimit(settings, tables, bindings, costs)
        self._wakeup = Wakeup(BINDING_TIMER)

    def send(
        self,
        now_us: int,
        batch: OrderBatch,
        entries: Counter[ProxyId],
        late_joiners: Mapping[ProxyId, int],
        max_entries: float,
    ) -> None:
        """Binds late joiners, then the others, until the delivery queue is full.

        Args:
            now_us: Time of the step, in microseconds.
            batch: Batch that the orders are added to.
            entries: Table entries sent to each proxy in this step; those of the bindings are added.
            late_joiners: Unbound proxies that joined after a withdrawal, with the time at which they joined.
            max_entries: Entries up to which bindings may fill the delivery queue without delaying withdrawals.
        """
        in_storm = self._bindings.in_reconnect_storm(now_us)
        for proxy in self._candidates(now_us, batch, late_joiners):
            tables = self._tables.tables_of(proxy, self._bindings.origins[proxy].zone)
            sizes = self._binding_sizes(proxy, tables)
            if not sizes and proxy in self._bindings.possibly_stale:
                continue  # it may still have its former bindings
            size = sum(sizes.values())
            is_urgent = proxy in late_joiners and not batch.endpoint_orders and not in_storm
            limit = self._limits.urgent if is_urgent else self._limits.bindings
            if sizes and not _fits(batch, self._costs.with_message(size), min(limit, max_entries)):
                break
            self._bind(now_us, batch, proxy, {table: tables[table] for table in sizes})
            if sizes:
                entries[proxy] += size
                batch.queued_entries += self._costs.with_message(size)
            if self._tables.is_bound_to_all(proxy, tables):
                del self._bindings.unbound_since_us[proxy]

    def _candidates(
        self, now_us: int, batch: OrderBatch, late_joiners: Mapping[ProxyId, int]
    ) -> list[ProxyId]:
        """Returns the unbound proxies that are due; a timer is set for those that may use inherited tables."""
        unbound = {**late_joiners, **self._bindings.unbound_since_us}
        ends_us = self._inheritance.ends_us(batch.queued_entries)
        pending_us = [end_us for end_us in ends_us.values() if end_us > now_us]
        if pending_us:
            self._wakeup.request(now_us, min(pending_us), batch.actions)
        return [proxy for proxy in unbound if ends_us[proxy] <= now_us]

    def _binding_sizes(
        self, proxy: ProxyId, tables: Mapping[TableId, ClassPositions]
    ) -> dict[TableId, int]:
        """Returns the number of entries of each binding that is to be ordered.

        A proxy is not bound to a table without entries, because it would lose the entries that it has.
        """
        may_be_stale = proxy in self._bindings.possibly_stale
        sizes = {}
        for table, classes in tables.items():
            entries = self._tables.entries[table]
            is_bound = not may_be_stale and proxy in self._tables.bound_proxies[table]
            if entries and not is_bound:
                withdrawn = entries.keys() & self._withdrawals.withdrawn.keys()
                sizes[table] = 1 + len(entries) + len(classes) + len(withdrawn)
        return sizes

    def _bind(
        self,
        now_us: int,
        batch: OrderBatch,
        proxy: ProxyId,
        tables: Mapping[TableId, ClassPositions],
    ) -> None:
        if proxy in self._bindings.possibly_stale:
            self._bindings.possibly_stale.discard(proxy)
            self._tables.unbind(proxy)
        for table, classes in tables.items():
            self._tables.bound_proxies[table][proxy] = now_us
            batch.actions.append(BindProxy(proxy, table, tuple(classes)))


def _fits(batch: OrderBatch, cost: float, limit: float) -> bool:
    """Returns whether a binding fits; one always fits in an empty delivery queue."""
    return not batch.queued_entries or batch.available_entries(limit) >= cost

"""Withdrawal of endpoints that are draining or removed, and their restore when they return."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from kelpcourse.policy.actions import RestoreEndpoint, SetWeight, WithdrawEndpoint
from kelpcourse.policy.bindings import ProxyBindings
from kelpcourse.policy.budget import (
    BINDING_GRACE_SHARE,
    BacklogLimits,
    OrderBatch,
    OrderCosts,
)
from kelpcourse.policy.endpoints import EndpointRegistry
from kelpcourse.policy.settings import EndpointId, ProxyId, Settings, TableId
from kelpcourse.policy.tables import RoutingTables
from kelpcourse.policy.weights import MIN_WEIGHT_CHANGE, Weights

WITHDRAWAL_RETENTION_US = 30_000_000  # a removed endpoint does not return after this time


class Withdrawals:
    """The endpoints that are to be withdrawn and those that are withdrawn."""

    def __init__(
        self,
        settings: Settings,
        registry: EndpointRegistry,
        tables: RoutingTables,
        bindings: ProxyBindings,
        costs: OrderCosts,
    ) -> None:
        """Starts without withdrawals."""
        # Endpoints that are to be withdrawn, with the time at which this was requested.
        self.draining: dict[EndpointId, int] = {}
        # Withdrawn endpoints, with the time at which the withdrawal was ordered.
        self.withdrawn: dict[EndpointId, int] = {}
        self._registry = registry
        self._tables = tables
        self._bindings = bindings
        self._costs = costs
        self._limits = BacklogLimits.of(settings)
        self._max_delay_us = BINDING_GRACE_SHARE * settings.drain_grace_us

    def drain(self, now_us: int, endpoint: EndpointId) -> None:
        """Requests the withdrawal of an endpoint."""
        if endpoint not in self.withdrawn:
            self.draining.setdefault(endpoint, now_us)

    def cancel(self, endpoint: EndpointId) -> None:
        """Cancels the requested withdrawal of an endpoint that is ready again."""
        self.draining.pop(endpoint, None)

    def late_joiners(self, now_us: int) -> dict[ProxyId, int]:
        """Returns unbound proxies that joined after a withdrawal and are to be bound before others.

        If binding them costs more than withdrawing the endpoints again, a second withdrawal is requested instead. One
        is also requested if a table of such a proxy is empty: the proxy keeps its former table for that class.
        """
        if not self._bindings.unbound_since_us:
            return {}
        gone = [endpoint for endpoint in self.withdrawn if endpoint not in self._registry]
        since_us = min((self.withdrawn[endpoint] for endpoint in gone), default=now_us)
        late = {
            proxy: joined_us
            for proxy, joined_us in self._bindings.unbound_since_us.items()
            if joined_us > since_us
        }
        binding_cost = len(late) * self._costs.with_message(self._tables.mean_size())
        are_bound = binding_cost <= self._costs.of_unbound(len(gone))
        is_repeated = not are_bound or any(map(self._has_empty_table, late))
        if is_repeated and (self.draining or now_us - min(late.values()) >= self._max_delay_us):
            for endpoint in gone:
                self.draining.setdefault(endpoint, now_us)
        return late if are_bound else {}

    def _has_empty_table(self, proxy: ProxyId) -> bool:
        tables = self._tables.tables_of(proxy, self._bindings.origins[proxy].zone)
        return not all(self._tables.entries[table] for table in tables)

    def first_requested_us(self) -> int | None:
        """Returns the time at which the oldest pending withdrawal was requested, or None if none is pending."""
        return min(self.draining.values(), default=None)

    def pending_cost(self) -> float:
        """Returns the cost of ordering all pending withdrawals in one step, in table entries."""
        return self._costs.of_withdrawal(list(self.draining))

    def withdraw_pending(self, now_us: int, batch: OrderBatch) -> None:
        """Withdraws all draining endpoints in one step, because message heads cost more than entries.

        A withdrawal that takes long to pass the delivery queue is delayed, so that others are combined with it.
        """
        if not self.draining:
            return
        endpoints, cost = self._fitting_endpoints(batch)
        fits = cost <= batch.available_entries(self._limits.urgent) or not batch.queued_entries
        if not fits or self._can_be_delayed(now_us, cost, batch):
            return
        for endpoint in endpoints:
            self.withdraw(batch, endpoint)
            del self.draining[endpoint]
            self.withdrawn[endpoint] = now_us

    def withdraw(self, batch: OrderBatch, endpoint: EndpointId) -> None:
        """Orders a withdrawal and removes the entries of the endpoint, so that later orders need not do so."""
        tables = self._tables.containing(endpoint)
        removes_entries = batch.fits_reply(len(tables))
        for table in tables:
            if removes_entries:
                batch.change(table, SetWeight(table, endpoint, 0.0))
                del self._tables.entries[table][endpoint]
            else:
                batch.reserve_change(table)
        batch.add_endpoint_order(WithdrawEndpoint(endpoint))

    def has_returned(self) -> bool:
        """Returns whether a withdrawn endpoint is ready again."""
        return any(endpoint in self._registry for endpoint in self.withdrawn)

    def restore_returned(self, batch: OrderBatch, intended: Mapping[TableId, Weights]) -> None:
        """Restores endpoints that have returned, as far as the delivery queue allows.

        An endpoint stays withdrawn while a table gives it more than its intended weight, because it may be warming up.

        Args:
            batch: Batch that the orders are added to.
            intended: Weights that each table is to have.
        """
        returned = sorted(endpoint for endpoint in self.withdrawn if endpoint in self._registry)
        for endpoint in returned:
            tables = self._tables.containing(endpoint)
            cost = sum(map(batch.change_cost, tables)) + batch.endpoint_order_cost()
            fits = not cost or batch.available_entries(self._limits.urgent) >= cost
            if fits and not self._has_excessive_weight(endpoint, tables, intended):
                self._restore(batch, endpoint)

    def restore_expired(self, now_us: int, batch: OrderBatch) -> None:
        """Ends the withdrawals of permanently removed endpoints, in steps that have other orders."""
        if not batch.changes or self._bindings.unbound_since_us:
            return
        available = batch.available_entries(self._limits.bindings)
        max_count = max(0, int(available / max(1, len(self._bindings))))
        for endpoint in sorted(self._expired(now_us))[:max_count]:
            self._restore(batch, endpoint)

    def _has_excessive_weight(
        self,
        endpoint: EndpointId,
        tables: Iterable[TableId],
        intended: Mapping[TableId, Weights],
    ) -> bool:
        return any(
            self._tables.entries[table][endpoint]
            > (1 + MIN_WEIGHT_CHANGE) * intended[table].get(endpoint, 0.0)
            for table in tables
        )

    def _fitting_endpoints(self, batch: OrderBatch) -> tuple[list[EndpointId], float]:
        """Returns the draining endpoints whose withdrawal fits in an empty delivery queue, and its cost."""
        endpoints = list(self.draining)
        cost = self._cost_with_reserve(endpoints)
        max_cost = batch.available_entries(self._limits.urgent) + batch.queued_entries
        while cost > max_cost and len(endpoints) > 1:
            endpoints = endpoints[: len(endpoints) // 2]
            cost = self._cost_with_reserve(endpoints)
        return endpoints, cost

    def _cost_with_reserve(self, endpoints: Sequence[EndpointId]) -> float:
        """Returns the cost of a withdrawal, and of an entry and the admission ratios of each table that it empties."""
        withdrawn = set(endpoints)
        emptied = [
            table
            for table, entries in self._tables.entries.items()
            if entries and entries.keys() <= withdrawn
        ]
        reserve = sum(
            len(self._tables.bound_proxies[table]) * (1 + self._tables.class_count(table))
            for table in emptied
        )
        return self._costs.of_withdrawal(endpoints) + reserve

    def _can_be_delayed(self, now_us: int, cost: float, batch: OrderBatch) -> bool:
        """Returns whether an expensive withdrawal can be delayed until the delivery queue has drained."""
        if now_us - min(self.draining.values()) >= self._max_delay_us:
            return False
        if cost <= self._limits.binding_span_entries:
            return False
        is_filled = batch.available_entries(self._limits.bindings) < 0
        return is_filled or self._bindings.in_reconnect_storm(now_us)

    def _expired(self, now_us: int) -> list[EndpointId]:
        return [
            endpoint
            for endpoint, withdrawn_us in self.withdrawn.items()
            if now_us - withdrawn_us >= WITHDRAWAL_RETENTION_US
            and endpoint not in self._registry
            and not self._tables.has_entry(endpoint)
        ]

    def _restore(self, batch: OrderBatch, endpoint: EndpointId) -> None:
        del self.withdrawn[endpoint]
        for table in self._tables.containing(endpoint):
            batch.reserve_change(table)
        batch.add_endpoint_order(RestoreEndpoint(endpoint))

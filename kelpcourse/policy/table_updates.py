"""Changes of table entries, found by comparison with the weights and sent in order of urgency."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from kelpcourse.policy.actions import SetWeight
from kelpcourse.policy.arithmetic import MIN_DIVISOR
from kelpcourse.policy.bindings import ProxyBindings
from kelpcourse.policy.budget import BacklogLimits, OrderBatch, OrderCosts
from kelpcourse.policy.draining import Withdrawals
from kelpcourse.policy.endpoints import EndpointRegistry
from kelpcourse.policy.settings import EndpointId, Settings, TableId
from kelpcourse.policy.subsetting import subset_weights
from kelpcourse.policy.tables import MIN_TABLE_ENTRIES, RoutingTables, TableKey
from kelpcourse.policy.weights import (
    MIN_WEIGHT_CHANGE,
    EndpointWeights,
    WeightInputs,
    Weights,
)


class ChangePriority(IntEnum):
    """The priority of a change; changes with the highest value are sent first."""

    ORDINARY = 0
    NEW_ENTRY = 1
    WARM_UP_DECREASE = 2  # a warming-up endpoint must not get more than it can serve


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change of a table entry that is to be ordered."""

    priority: ChangePriority
    size_per_cost: float  # total change of weights in the table per entry of message cost
    size: float
    endpoint: EndpointId
    table: TableId
    weight: float


def _urgency(change: PendingChange) -> tuple[int, float, float, EndpointId, TableId]:
    return (
        -change.priority,
        -change.size_per_cost,
        -change.size,
        change.endpoint,
        change.table,
    )


class TableUpdates:
    """Updates the tables to the weights, as far as the delivery queue allows."""

    def __init__(
        self,
        settings: Settings,
        registry: EndpointRegistry,
        tables: RoutingTables,
        bindings: ProxyBindings,
        withdrawals: Withdrawals,
        costs: OrderCosts,
    ) -> None:
        """Initializes the updates with the components that weights and costs depend on."""
        self._registry = registry
        self._tables = tables
        self._bindings = bindings
        self._withdrawals = withdrawals
        self._costs = costs
        self._weights = EndpointWeights(settings, registry)
        self._limits = BacklogLimits.of(settings)

    def intended_weights(self, inputs: WeightInputs) -> dict[TableId, Weights]:
        """Returns the weights that each table is to have."""
        intended: dict[TableId, Weights] = {}
        for key, tables in self._tables.ids_by_key.items():
            intended.update(zip(tables, self._weights_by_subset(key, inputs), strict=True))
        if self._tables.subset_count == 1:
            return intended
        return {table: self._rescaled(table, weights) for table, weights in intended.items()}

    def _rescaled(self, table: TableId, weights: Weights) -> Weights:
        """Returns weights in the scale of the table: present entries keep their sum, and first ones have a mean of 1.

        The scale of fitted weights follows the traffic of subsets and zones. Without a scale of its own, a table would
        give a new entry a wrong share until all older entries are updated.
        """
        entries = self._tables.entries[table]
        present = [endpoint for endpoint in weights if endpoint in entries]
        if present:
            current_sum = sum(entries[endpoint] for endpoint in present)
        else:
            present = list(weights)
            current_sum = float(len(weights))
        scale = current_sum / max(MIN_DIVISOR, sum(weights[endpoint] for endpoint in present))
        return {endpoint: weight * scale for endpoint, weight in weights.items()}

    def send(
        self,
        now_us: int,
        batch: OrderBatch,
        intended: Mapping[TableId, Weights],
        max_entries: float,
    ) -> bool:
        """Orders the changes that fit: decreases during warm-up, new entries, then the largest changes.

        Args:
            now_us: Time of the step, in microseconds.
            batch: Batch that the orders are added to.
            intended: Weights that each table is to have.
            max_entries: Entries up to which changes other than decreases during warm-up may fill the delivery queue.

        Returns:
            Whether a decrease during warm-up did not fit in the delivery queue.
        """
        changes = [
            change
            for table, weights in intended.items()
            for change in self._changes_of(table, weights, now_us)
        ]
        changes.sort(key=_urgency)
        ordinary_limit = min(self._limits.ordinary, max_entries)
        withdrawals = self._withdrawals
        if withdrawals.draining or (withdrawals.withdrawn and self._bindings.unbound_since_us):
            ordinary_limit = 0.0  # the other withdrawals or the bindings are sent first
        has_delayed_decrease = False
        unfilled = {table for table in intended if self._is_unfilled(table)}
        for change in changes:
            is_warm_up_decrease = change.priority is ChangePriority.WARM_UP_DECREASE
            limit = self._limits.urgent if is_warm_up_decrease else ordinary_limit
            if change.table in unfilled or self._fits(batch, change.table, limit):
                self._tables.set_entry(change.table, change.endpoint, change.weight)
                action = SetWeight(change.table, change.endpoint, change.weight)
                batch.change(change.table, action)
            elif is_warm_up_decrease:
                has_delayed_decrease = True
        return has_delayed_decrease

    def _is_unfilled(self, table: TableId) -> bool:
        """Returns whether a table has no entries and no proxies, so that it is filled whole at no cost."""
        return not self._tables.entries[table] and not self._tables.bound_proxies[table]

    def _fits(self, batch: OrderBatch, table: TableId, limit: float) -> bool:
        """Returns whether a change of a table fits; a table in use that is empty is left to its refill."""
        if not self._tables.entries[table]:
            return False
        available = batch.available_entries(limit) if batch.fits_reply(0) else 0.0
        return available >= batch.change_cost(table)

    def _weights_by_subset(self, key: TableKey, inputs: WeightInputs) -> list[Weights]:
        weights = self._weights.of_table(key, inputs)
        if self._tables.subset_count == 1:
            return [weights]
        rates = inputs.traffic.of_zone(key.proxy_zone)
        size = max(MIN_TABLE_ENTRIES, self._tables.subset_share * len(weights))
        return subset_weights(weights, self._registry, rates, size)

    def _changes_of(self, table: TableId, weights: Weights, now_us: int) -> list[PendingChange]:
        entries = self._tables.entries[table]
        changed = []
        sizes = []
        for endpoint in entries | weights:
            old = entries.get(endpoint, 0.0)
            new = weights.get(endpoint, 0.0)
            if abs(new - old) > MIN_WEIGHT_CHANGE * old:
                changed.append(endpoint)
                is_gone = not new and endpoint not in self._registry
                sizes.append(0.0 if is_gone else abs(new - old))
        size_per_cost = sum(sizes) / self._costs.with_message(len(changed))
        return [
            PendingChange(
                self._priority(endpoint, entries, weights, now_us),
                size_per_cost,
                size,
                endpoint,
                table,
                weights.get(endpoint, 0.0),
            )
            for endpoint, size in zip(changed, sizes, strict=True)
        ]

    def _priority(
        self, endpoint: EndpointId, entries: Weights, weights: Weights, now_us: int
    ) -> ChangePriority:
        old = entries.get(endpoint, 0.0)
        if not old:
            return ChangePriority.NEW_ENTRY
        is_decrease = 0 < weights.get(endpoint, 0.0) < old
        if is_decrease and self._registry.is_warming_up(self._registry.endpoints[endpoint], now_us):
            return ChangePriority.WARM_UP_DECREASE
        return ChangePriority.ORDINARY

"""Urgent refill of tables that have lost most of their capacity, as when all endpoints of a class are replaced.

Proxies send all requests of a table to the entries that remain. Few entries would therefore be overloaded, most of all
if they are warming up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from kelpcourse.policy.actions import SetWeight
from kelpcourse.policy.budget import BacklogLimits, OrderBatch, OrderCosts
from kelpcourse.policy.settings import EndpointId, ProxyId, Settings, TableId
from kelpcourse.policy.tables import RoutingTables
from kelpcourse.policy.weights import Weights

# Part of the intended weights below which a table counts as depleted: its entries then get over twice their load.
MIN_TABLE_FILL = 0.5


@dataclass(frozen=True)
class RefillResult:
    """The state of depleted tables after a step.

    Attributes:
        fill_by_table: Part of the intended weights that each table has which is still depleted.
        missing_cost: Cost, in table entries, of a step with the entries that did not fit in the delivery queue.
    """

    fill_by_table: Mapping[TableId, float]
    missing_cost: float


@dataclass(frozen=True)
class _MissingEntry:
    share: float  # part of the intended weights of the table
    endpoint: EndpointId
    table: TableId
    weight: float


class TableRefill:
    """Orders the missing entries of depleted tables up to the limit of urgent orders."""

    def __init__(self, settings: Settings, tables: RoutingTables, costs: OrderCosts) -> None:
        """Initializes the refill of these tables."""
        self._tables = tables
        self._costs = costs
        self._limits = BacklogLimits.of(settings)

    def send(self, batch: OrderBatch, intended: Mapping[TableId, Weights]) -> RefillResult:
        """Orders missing entries of all depleted tables, the greatest parts of a table first."""
        depleted = {
            table: weights
            for table, weights in intended.items()
            if self._is_depleted(table, weights)
        }
        missing = [
            entry
            for table, weights in depleted.items()
            for entry in self._missing_of(table, weights)
        ]
        missing.sort(key=lambda entry: (-entry.share, entry.endpoint, entry.table))
        delayed: Counter[TableId] = Counter()
        for entry in missing:
            if self._fits(batch, entry.table):
                self._tables.set_entry(entry.table, entry.endpoint, entry.weight)
                batch.change(entry.table, SetWeight(entry.table, entry.endpoint, entry.weight))
            else:
                delayed[entry.table] += 1
        fills = {table: self._fill(table, weights) for table, weights in depleted.items()}
        still_depleted = {table: fill for table, fill in fills.items() if fill < MIN_TABLE_FILL}
        return RefillResult(still_depleted, self._cost(delayed) if still_depleted else 0.0)

    def _cost(self, entry_counts: Mapping[TableId, int]) -> float:
        """Returns the cost of a step with a number of entries of each table, and its admission ratios."""
        bound_proxies = self._tables.bound_proxies
        entries = sum(
            len(bound_proxies[table]) * (count + self._tables.class_count(table))
            for table, count in entry_counts.items()
        )
        recipients = set[ProxyId]().union(*(bound_proxies[table] for table in entry_counts))
        return entries + self._costs.of_messages(len(recipients))

    def _is_depleted(self, table: TableId, weights: Weights) -> bool:
        if not weights or not self._tables.bound_proxies[table]:
            return False
        return self._fill(table, weights) < MIN_TABLE_FILL

    def _fill(self, table: TableId, weights: Weights) -> float:
        """Returns the part of the intended weights that belongs to endpoints in the table."""
        entries = self._tables.entries[table]
        present = sum(weight for endpoint, weight in weights.items() if endpoint in entries)
        return present / sum(weights.values())

    def _missing_of(self, table: TableId, weights: Weights) -> list[_MissingEntry]:
        entries = self._tables.entries[table]
        total = sum(weights.values())
        return [
            _MissingEntry(weight / total, endpoint, table, weight)
            for endpoint, weight in weights.items()
            if endpoint not in entries
        ]

    def _fits(self, batch: OrderBatch, table: TableId) -> bool:
        """Returns whether an entry fits beside the admission ratios of the table, without which it may be overloaded.

        The first entry of a table always fits into an empty delivery queue.
        """
        if not self._tables.entries[table] and not batch.queued_entries:
            return True
        if not batch.fits_reply(0):
            return False
        admission_entries = len(self._tables.bound_proxies[table]) * self._tables.class_count(table)
        available = batch.available_entries(self._limits.urgent) - admission_entries
        return available >= batch.change_cost(table)

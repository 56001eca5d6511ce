"""Costs of orders in the delivery queue, limits of each kind of order, and the orders of one step.

Costs are in table entries, the unit in which the rate and the backlog of the delivery queue are given.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from kelpcourse.policy.actions import Action
from kelpcourse.policy.arithmetic import US_PER_S
from kelpcourse.policy.bindings import ProxyBindings
from kelpcourse.policy.settings import EndpointId, ProxyId, Settings, TableId
from kelpcourse.policy.tables import RoutingTables

UPDATE_PERIOD_US = 2_000_000  # time between two ordinary table updates

# Parts of the maximum backlog of the delivery queue that each kind of order may fill.
ORDINARY_BACKLOG_SHARE = 0.5
BINDING_BACKLOG_SHARE = 0.6
URGENT_BACKLOG_SHARE = 0.95

# Part of a drain's grace that bindings may take, and by which a withdrawal may be delayed.
BINDING_GRACE_SHARE = 0.25
MIN_BINDING_SPAN_US = 1_000_000  # least time that queued bindings may take to leave the queue
MAX_ACTIONS = 700  # actions of one step that fit in 60,000 bytes


def max_delivery_us(settings: Settings) -> int:
    """Returns the longest time, in microseconds, that an order takes through a full delivery queue."""
    per_us = settings.delivery_entries_per_s / US_PER_S
    return int(settings.max_backlog_entries / per_us) + settings.max_transit_us


@dataclass(frozen=True)
class BacklogLimits:
    """Numbers of entries up to which each kind of order may fill the delivery queue.

    Attributes:
        ordinary: Limit of ordinary table updates.
        bindings: Limit of bindings.
        urgent: Limit of urgent orders.
        binding_span_entries: Entries that leave the queue in the time that bindings may take.
    """

    ordinary: float
    bindings: float
    urgent: float
    binding_span_entries: float

    @classmethod
    def of(cls, settings: Settings) -> BacklogLimits:
        """Computes the limits for a deployment."""
        backlog = settings.max_backlog_entries
        per_us = settings.delivery_entries_per_s / US_PER_S
        grace_us = settings.drain_grace_us
        span_us = min(BINDING_GRACE_SHARE * grace_us, grace_us - max_delivery_us(settings))
        binding_span_entries = per_us * max(MIN_BINDING_SPAN_US, span_us)
        return cls(
            ordinary=min(ORDINARY_BACKLOG_SHARE * backlog, per_us * UPDATE_PERIOD_US),
            bindings=min(BINDING_BACKLOG_SHARE * backlog, binding_span_entries),
            urgent=URGENT_BACKLOG_SHARE * backlog,
            binding_span_entries=binding_span_entries,
        )


class OrderCosts:
    """Computes the entries that orders add to the delivery queue."""

    def __init__(self, settings: Settings, tables: RoutingTables, bindings: ProxyBindings) -> None:
        """Initializes the costs with the components that they depend on."""
        self._message_overhead_entries = settings.message_overhead_entries
        self._tables = tables
        self._bindings = bindings

    def with_message(self, entries: float) -> float:
        """Returns the cost of a message with the given entries, including its head and its checkpoint."""
        return entries + self._message_overhead_entries + 1

    def of_messages(self, proxy_count: int) -> float:
        """Returns the cost of the heads and checkpoints of messages to a number of proxies."""
        return proxy_count * (self._message_overhead_entries + 1)

    def of_withdrawal(self, endpoints: Sequence[EndpointId]) -> float:
        """Returns the cost of withdrawing endpoints in one step."""
        endpoint_counts = Counter(
            table for endpoint in endpoints for table in self._tables.containing(endpoint)
        )
        bound_proxies = self._tables.bound_proxies
        entries = sum(len(bound_proxies[table]) * n for table, n in endpoint_counts.items())
        recipients = set[ProxyId]().union(*(bound_proxies[table] for table in endpoint_counts))
        return entries + self.of_messages(len(recipients)) + self.of_unbound(len(endpoints))

    def of_unbound(self, endpoint_count: int) -> float:
        """Returns the cost of orders on a number of endpoints at the proxies whose table entries are unknown."""
        share = self._tables.unbound_share
        reached = 1 - (1 - share) ** endpoint_count
        per_proxy = share * endpoint_count + (self._message_overhead_entries + 1) * reached
        return self._bindings.count_with_unknown_entries() * per_proxy


class OrderBatch:
    """The actions of one step, and the number of entries in the delivery queue including those of the step."""

    def __init__(
        self,
        actions: list[Action],
        tables: RoutingTables,
        costs: OrderCosts,
        queued_entries: float,
    ) -> None:
        """Starts a step.

        Args:
            actions: Actions of the step, to which orders are added.
            tables: Tables with the proxies bound to them.
            costs: Costs of orders.
            queued_entries: Entries that are in the delivery queue before the step.
        """
        self.actions = actions
        self.queued_entries = queued_entries
        # Number of orders to all proxies bound to a table.
        self.changes: Counter[TableId] = Counter()
        self.endpoint_orders = 0  # number of withdrawals and restores
        self._costs = costs
        self._tables = tables

    def available_entries(self, limit: float) -> float:
        """Returns the number of entries that can still be ordered under a limit."""
        return limit - self.queued_entries

    def fits_reply(self, action_count: int) -> bool:
        """Returns whether one more action fits in the reply of the step together with the given number of others."""
        return len(self.actions) + action_count < MAX_ACTIONS

    def change_cost(self, table: TableId) -> float:
        """Returns the cost of one more change of a table in this step, at most.

        The first change of a table adds a message to each of its proxies, as if none had another message in this step.
        """
        bound_count = len(self._tables.bound_proxies[table])
        if table in self.changes:
            return bound_count
        return bound_count + self._costs.of_messages(bound_count)

    def change(self, table: TableId, action: Action) -> None:
        """Orders a change of a table."""
        self.actions.append(action)
        self.reserve_change(table)

    def reserve_change(self, table: TableId) -> None:
        """Counts a change of a table that proxies make because of another order."""
        self.queued_entries += self.change_cost(table)
        self.changes[table] += 1

    def add_endpoint_order(self, action: Action) -> None:
        """Adds a withdrawal or restore, which is also sent to proxies that are not bound yet."""
        self.actions.append(action)
        self.queued_entries += self.endpoint_order_cost()
        self.endpoint_orders += 1

    def endpoint_order_cost(self) -> float:
        """Returns the cost of one more withdrawal or restore at the proxies that are not bound yet."""
        before = self._costs.of_unbound(self.endpoint_orders)
        return self._costs.of_unbound(self.endpoint_orders + 1) - before

    def unbound_entries(self) -> float:
        """Returns the entries for proxies whose table entries are unknown."""
        return self._costs.of_unbound(self.endpoint_orders)

    def entries_by_proxy(self, tables: RoutingTables) -> Counter[ProxyId]:
        """Returns the entries for each proxy bound so far; bindings later in the step contain the changes already."""
        entries: Counter[ProxyId] = Counter()
        for table, count in self.changes.items():
            entries.update(dict.fromkeys(tables.bound_proxies[table], count))
        return entries

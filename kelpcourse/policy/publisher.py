"""Selection and order of the orders of a step, within the budgets of the delivery queue and of messages."""

from __future__ import annotations

import math
from collections import Counter

from kelpcourse.policy.actions import Action, Checkpoint, ResendOrders
from kelpcourse.policy.admission_orders import AdmissionOrders
from kelpcourse.policy.binding_orders import BindingOrders
from kelpcourse.policy.bindings import ProxyBindings
from kelpcourse.policy.budget import (
    UPDATE_PERIOD_US,
    BacklogLimits,
    OrderBatch,
    OrderCosts,
)
from kelpcourse.policy.delivery import DeliveryTracker
from kelpcourse.policy.draining import Withdrawals
from kelpcourse.policy.refill import TableRefill
from kelpcourse.policy.settings import ProxyId, Settings
from kelpcourse.policy.subsetting import ProxyTraffic
from kelpcourse.policy.table_updates import TableUpdates
from kelpcourse.policy.tables import RoutingTables
from kelpcourse.policy.wakeup import Wakeup
from kelpcourse.policy.weights import WeightInputs
from kelpcourse.policy.withdrawal_pacing import WithdrawalPacing

CHECKPOINT_IDS = 65_536
WITHDRAWAL_TIMER = "withdrawal"  # fires when delayed withdrawals are due

# Parts of the message limit of a proxy up to which orders are sent.
URGENT_MESSAGE_SHARE = 0.8
ORDINARY_MESSAGE_SHARE = 0.6


class Publisher:
    """Converts the current decisions into orders."""

    def __init__(
        self,
        settings: Settings,
        tables: RoutingTables,
        bindings: ProxyBindings,
        withdrawals: Withdrawals,
        costs: OrderCosts,
        admission_orders: AdmissionOrders,
        updates: TableUpdates,
        delivery: DeliveryTracker,
    ) -> None:
        """Initializes the publisher with the components whose decisions it publishes."""
        self.withdrawals = withdrawals
        self.checkpoint_id = 0
        # Whether the next table updates are sent without waiting for the end of the update period.
        self.urgent = False
        self._tables = tables
        self._bindings = bindings
        self._costs = costs
        self._admission_orders = admission_orders
        self._updates = updates
        self._refill = TableRefill(settings, tables, costs)
        self._pacing = WithdrawalPacing(settings, delivery)
        self._withdrawal_wakeup = Wakeup(WITHDRAWAL_TIMER)
        self._delivery = delivery
        self._binding_orders = BindingOrders(settings, tables, bindings, withdrawals, costs)
        self._limits = BacklogLimits.of(settings)
        self._is_sliced = settings.slice_count > 0
        self._refill_cost = 0.0  # cost of refills that did not fit in the delivery queue
        self._updated_us = 0
        self._update_entries = 0.0  # of the latest updates

    def publish(self, now_us: int, actions: list[Action]) -> None:
        """Adds the orders of this step to its actions."""
        if not self._may_publish(now_us, actions):
            return
        batch = OrderBatch(
            actions, self._tables, self._costs, self._delivery.backlog_entries(now_us)
        )
        late_joiners = self.withdrawals.late_joiners(now_us)
        requested_us = self.withdrawals.first_requested_us()
        withdrawals_due = self._withdrawals_due(now_us, batch)
        if withdrawals_due:
            self.withdrawals.withdraw_pending(now_us, batch)
        max_update_entries = math.inf
        if requested_us is not None:
            max_update_entries = self._pacing.max_queued_entries(now_us, requested_us)
        is_delayed = self.withdrawals.draining and not batch.endpoint_orders
        if not is_delayed and self._updates_due(now_us, batch):
            self._send_updates(now_us, batch, max_update_entries)
        entries = batch.entries_by_proxy(self._tables)
        max_entries = self._max_binding_entries(now_us, withdrawals_due)
        self._binding_orders.send(now_us, batch, entries, late_joiners, max_entries)
        if batch.changes or entries or batch.endpoint_orders:
            self._send_checkpoint(now_us, batch, entries)

    def _may_publish(self, now_us: int, actions: list[Action]) -> bool:
        """Returns whether orders may be sent; after a call with an unknown outcome only if resending is safe."""
        if self._is_sliced or not self._delivery.within_message_budget(1.0, now_us):
            return False
        if self._delivery.unknown_outcomes:
            if not self._delivery.try_resend(now_us, self._limits.urgent):
                return False
            actions.append(ResendOrders())
        return True

    def _withdrawals_due(self, now_us: int, batch: OrderBatch) -> bool:
        """Returns whether withdrawals are ordered in this step; otherwise a timer is set for the time when they are.

        Updates wait for delayed withdrawals and share their messages. Those that shed load or refill tables don't wait,
        and the withdrawals share their messages.
        """
        requested_us = self.withdrawals.first_requested_us()
        if requested_us is None or (self._has_relief() and self._updates_due(now_us, batch)):
            return True
        queued_entries = batch.queued_entries + self.withdrawals.pending_cost()
        delay_us = self._pacing.delay_us(now_us, queued_entries, self._update_entries)
        due_us = requested_us + delay_us
        if now_us >= due_us:
            return True
        self._withdrawal_wakeup.request(now_us, due_us, batch.actions)
        return False

    def _has_relief(self) -> bool:
        """Returns whether there are updates that shed load or refill tables."""
        return self._refill_cost > 0 or self._admission_orders.is_urgent()

    def _max_binding_entries(self, now_us: int, withdrawals_due: bool) -> float:
        """Returns the entries up to which bindings may fill the delivery queue without delaying pending withdrawals."""
        requested_us = self.withdrawals.first_requested_us()
        if requested_us is None:
            return math.inf
        if withdrawals_due:
            return 0.0  # they wait for room in the delivery queue
        max_entries = self._pacing.max_queued_entries(now_us, requested_us)
        return max_entries - self.withdrawals.pending_cost()

    def _updates_due(self, now_us: int, batch: OrderBatch) -> bool:
        if batch.endpoint_orders:
            return True
        if self._urgent_updates_fit(batch) and self._delivery.within_message_budget(
            URGENT_MESSAGE_SHARE, now_us
        ):
            return True
        if not self._ordinary_updates_due(now_us):
            return False
        if self.withdrawals.has_returned():
            # Restores are not held back by bindings and refills that keep the delivery queue full.
            limit, message_share = self._limits.urgent, URGENT_MESSAGE_SHARE
        else:
            limit, message_share = self._limits.ordinary, ORDINARY_MESSAGE_SHARE
        return batch.available_entries(limit) > 0 and self._delivery.within_message_budget(
            message_share, now_us
        )

    def _urgent_updates_fit(self, batch: OrderBatch) -> bool:
        """Returns whether there are urgent updates and the delivery queue has room for them.

        A refill of many entries waits for room, because it would otherwise be sent as many small messages.
        """
        available = batch.available_entries(self._limits.urgent)
        if self.urgent and available > 0:
            return True
        required = min(self._refill_cost, self._limits.ordinary)
        return self._refill_cost > 0 and available >= required

    def _ordinary_updates_due(self, now_us: int) -> bool:
        """Returns whether the update period has passed or an overload requires orders without delay.

        Subsets are fitted to the distribution of traffic over zones, which is known only from joined proxies.
        """
        if not len(self._bindings) and self._tables.subset_count > 1:
            return False
        return now_us - self._updated_us >= UPDATE_PERIOD_US or self._admission_orders.is_urgent()

    def _send_updates(self, now_us: int, batch: OrderBatch, max_entries: float) -> None:
        """Restores endpoints that have returned, then orders refills, admission ratios and table updates.

        Args:
            now_us: Time of the step, in microseconds.
            batch: Batch that the orders are added to.
            max_entries: Entries up to which ordinary updates may fill the delivery queue, so that withdrawals in the
                same messages are in time.
        """
        entries_before = batch.queued_entries
        traffic = ProxyTraffic(self._bindings.origins, self._tables.subset_count)
        admitted_per_s = self._admission_orders.admitted_per_s()
        inputs = WeightInputs(now_us, traffic, admitted_per_s)
        intended = self._updates.intended_weights(inputs)
        self.withdrawals.restore_returned(batch, intended)
        refill = self._refill.send(batch, intended)
        self._admission_orders.send(now_us, batch, refill.fill_by_table)
        self.urgent = self._updates.send(now_us, batch, intended, max_entries)
        self.withdrawals.restore_expired(now_us, batch)
        self._refill_cost = refill.missing_cost
        self._updated_us = now_us
        self._update_entries = batch.queued_entries - entries_before

    def _send_checkpoint(self, now_us: int, batch: OrderBatch, entries: Counter[ProxyId]) -> None:
        self.checkpoint_id = (self.checkpoint_id + 1) % CHECKPOINT_IDS
        batch.actions.append(Checkpoint(self.checkpoint_id, False))
        costs = {proxy: self._costs.with_message(count) for proxy, count in entries.items()}
        self._delivery.record_sent(
            self.checkpoint_id,
            now_us,
            costs,
            batch.unbound_entries(),
            self._bindings.unbound_since_us,
        )

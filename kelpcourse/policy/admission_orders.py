"""Orders that set admission ratios at the proxies of each table."""

from __future__ import annotations

from collections.abc import Mapping

from kelpcourse.policy.actions import SetAdmission
from kelpcourse.policy.admission import AdmissionControl
from kelpcourse.policy.bindings import ProxyBindings
from kelpcourse.policy.budget import BacklogLimits, OrderBatch
from kelpcourse.policy.load import LoadEstimate
from kelpcourse.policy.settings import AdmissionMode, RetryPolicy, Settings, TableId
from kelpcourse.policy.tables import RoutingTables

URGENT_RATIO_DECREASE = 0.1  # a greater decrease of a ratio is ordered in the same step
MIN_RATIO_CHANGE = 0.03  # smaller changes of a ratio are not ordered
UNSENT_RATIO = -1.0
UNLIMITED_RATE_PER_S = 1e6


class AdmissionOrders:
    """Sends admission ratios that have changed, either as ratios or as a rate of each proxy."""

    def __init__(
        self,
        settings: Settings,
        tables: RoutingTables,
        bindings: ProxyBindings,
        load: LoadEstimate,
        admission: AdmissionControl,
    ) -> None:
        """Initializes the orders with the components that they depend on."""
        self._tables = tables
        self._bindings = bindings
        self._load = load
        self._admission = admission
        self._limits = BacklogLimits.of(settings)
        self._limits_are_rates = settings.admission_mode is AdmissionMode.RATE

    def is_urgent(self) -> bool:
        """Returns whether a ratio decreased so much that it is ordered before the next regular update."""
        return any(
            self._admission.ratios[position] < ratio - URGENT_RATIO_DECREASE
            for (_, position), ratio in self._tables.admission_sent.items()
        )

    def admitted_per_s(self) -> list[float]:
        """Returns the admitted rate of each class, in requests per second."""
        return [
            offered * ratio
            for offered, ratio in zip(self._load.offered_per_s, self._admission.ratios, strict=True)
        ]

    def send(self, now_us: int, batch: OrderBatch, fill_by_table: Mapping[TableId, float]) -> None:
        """Orders the ratios that have changed, as far as the delivery queue allows.

        Args:
            now_us: Time of the step, in microseconds.
            batch: Batch that the orders are added to.
            fill_by_table: Part of the intended weights that each depleted table has.
        """
        self._admission.history.record(now_us, self._admission.ratios)
        for position in range(len(self._admission.ratios)):
            for table in self._tables.ids_by_class[position]:
                ratio = self._admission.ratio_at_fill(position, fill_by_table.get(table, 1.0))
                fits = batch.available_entries(self._limits.urgent) >= batch.change_cost(table)
                if fits and self._is_changed(table, position, ratio):
                    self._send_ratio(batch, table, position, ratio)

    def _is_changed(self, table: TableId, position: int, ratio: float) -> bool:
        sent = self._tables.admission_sent.get((table, position), UNSENT_RATIO)
        if sent < 1 <= ratio:
            return True
        return abs(sent - ratio) >= MIN_RATIO_CHANGE

    def _send_ratio(self, batch: OrderBatch, table: TableId, position: int, ratio: float) -> None:
        self._tables.admission_sent[table, position] = ratio
        limit = self._rate_of_proxy(position, ratio) if self._limits_are_rates else ratio
        batch.change(table, SetAdmission(table, (position,), limit, RetryPolicy.IF_NOT_EXECUTED))

    def _rate_of_proxy(self, position: int, ratio: float) -> float:
        if ratio >= 1:
            return UNLIMITED_RATE_PER_S
        return ratio * self._load.offered_per_s[position] / max(1, len(self._bindings))

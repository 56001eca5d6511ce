"""The routing policy, which receives batches of events, evaluates load and returns orders.

`RoutingPolicy.step` is the entry point. It applies events, evaluates reports about once a second, and orders the
changes through the publisher, as far as the delivery queue allows.
"""

from __future__ import annotations

from collections.abc import Sequence

from kelpcourse.policy.actions import Action, LogMessage, SetTimer, WatchEndpoints
from kelpcourse.policy.admission import AdmissionControl, AdmissionInputs
from kelpcourse.policy.admission_orders import AdmissionOrders
from kelpcourse.policy.arithmetic import US_PER_S
from kelpcourse.policy.bindings import ProxyBindings
from kelpcourse.policy.budget import OrderCosts, max_delivery_us
from kelpcourse.policy.capacity import CapacityEstimate
from kelpcourse.policy.delivery import DeliveryTracker
from kelpcourse.policy.draining import Withdrawals
from kelpcourse.policy.endpoints import EndpointRegistry
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    EndpointStatus,
    Event,
    OrdersAccepted,
    OrdersAcknowledged,
    OrdersOutcomeUnknown,
    ProxyJoined,
    ProxyLeft,
    Started,
    TimerFired,
)
from kelpcourse.policy.list_watch import ListWatch
from kelpcourse.policy.load import LoadEstimate
from kelpcourse.policy.outliers import OutlierDetector
from kelpcourse.policy.overload import OverloadDetector
from kelpcourse.policy.publisher import Publisher
from kelpcourse.policy.relative_capacity import (
    learn_from_inherited_tables,
    learn_from_reports,
    shows_inherited_weights,
)
from kelpcourse.policy.reports import ReportWindow
from kelpcourse.policy.settings import EndpointId, ProxyId, Settings
from kelpcourse.policy.table_updates import TableUpdates
from kelpcourse.policy.tables import RoutingTables

TICK_US = 1_000_000
TICK_TIMER = "tick"


class RoutingPolicy:
    """The decisions of a controller as a function of settings and events.

    The policy reads no clock and does no input or output itself.
    """

    def __init__(self, settings: Settings) -> None:
        """Builds the components of the policy, without any endpoint, proxy or load."""
        self.registry = EndpointRegistry(settings)
        self.tables = RoutingTables(settings)
        self.bindings = ProxyBindings(settings)
        self.load = LoadEstimate(settings)
        self.capacity = CapacityEstimate()
        self.overload = OverloadDetector(self.load, self.capacity)
        self.admission = AdmissionControl(settings, self.registry)
        self.delivery = DeliveryTracker(
            max_delivery_us(settings),
            settings.delivery_entries_per_s / US_PER_S,
            settings.max_messages_per_proxy,
            settings.message_window_us,
            settings.max_transit_us,
        )
        costs = OrderCosts(settings, self.tables, self.bindings)
        self.withdrawals = Withdrawals(settings, self.registry, self.tables, self.bindings, costs)
        admission_orders = AdmissionOrders(
            settings, self.tables, self.bindings, self.load, self.admission
        )
        updates = TableUpdates(
            settings, self.registry, self.tables, self.bindings, self.withdrawals, costs
        )
        self.publisher = Publisher(
            settings,
            self.tables,
            self.bindings,
            self.withdrawals,
            costs,
            admission_orders,
            updates,
            self.delivery,
        )
        self._window = ReportWindow(len(settings.classes))
        self._outliers = OutlierDetector(self.registry)
        self._list_watch = ListWatch(settings)

    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Applies events and returns the resulting actions, in order.

        Args:
            now_us: Time of the step, in microseconds; it never decreases.
            events: Events since the last step, oldest first.
        """
        actions: list[Action] = []
        for event in events:
            self._apply(now_us, event, actions)
        if self.load.is_due(now_us, self._window):
            self._evaluate(now_us, actions)
        if self._list_watch.start_if_due(now_us):
            actions.append(WatchEndpoints(True))
        self.publisher.publish(now_us, actions)
        return actions

    def _apply(self, now_us: int, event: Event, actions: list[Action]) -> None:
        match event:  # the most frequent events are first
            case EndpointReport():
                self._add_endpoint_report(now_us, event)
            case DemandReport():
                self._window.add_demand_report(event)
            case Started() | TimerFired():
                self._schedule_tick(now_us, event, actions)
            case EndpointList():
                self._apply_list(now_us, event)
            case ProxyJoined():
                self._add_proxy(now_us, event)
            case ProxyLeft(proxy):
                self._remove_proxy(proxy)
            case OrdersAcknowledged(proxy, number, _):
                self.delivery.acknowledged(proxy, number, now_us)
            case OrdersAccepted(number):
                self.delivery.accepted(number, now_us)
            case OrdersOutcomeUnknown(numbers):
                self.delivery.outcome_unknown(numbers)

    def _schedule_tick(
        self, now_us: int, event: Started | TimerFired, actions: list[Action]
    ) -> None:
        """Sets the timer of the next tick, unless the event is the timer of delayed orders."""
        if isinstance(event, Started) or event.name == TICK_TIMER:
            actions.append(SetTimer(TICK_TIMER, now_us + TICK_US))

    def _apply_list(self, now_us: int, event: EndpointList) -> None:
        if event.kind is EndpointListKind.UNAVAILABLE:
            self._list_watch.failed(now_us)
            return
        self._list_watch.succeeded()
        if event.kind is not EndpointListKind.CHANGES:
            self._apply_complete_list(now_us, event.endpoints)
        for endpoint in event.endpoints:
            self._apply_endpoint(now_us, endpoint)
        self.registry.update_mean_weight()
        self._scale_capacity(now_us)
        self._update_admission(now_us)

    def _apply_complete_list(self, now_us: int, endpoints: Sequence[Endpoint]) -> None:
        """Lays out the tables unless they are in use, and drains the endpoints that the list lacks."""
        if self.tables.is_unused():
            self.tables.lay_out(len(endpoints))
        for missing in self.registry.missing_from(endpoints):
            self._drain(now_us, missing)

    def _apply_endpoint(self, now_us: int, endpoint: Endpoint) -> None:
        if endpoint.status is not EndpointStatus.READY:
            self._drain(now_us, endpoint.id)
            return
        is_new = self.registry.update(now_us, endpoint)
        if not is_new:
            return
        self.withdrawals.cancel(endpoint.id)
        state = self.registry.endpoints[endpoint.id]
        if self.registry.is_warming_up(state, now_us):
            # Inherited tables give the endpoint its full weight.
            self.bindings.inherited_tables_usable = False
            if self.tables.has_entry(endpoint.id):
                self.publisher.urgent = True

    def _drain(self, now_us: int, endpoint: EndpointId) -> None:
        self.registry.remove(endpoint)
        self.withdrawals.drain(now_us, endpoint)
        # Inherited tables may have an entry of the endpoint.
        self.bindings.inherited_tables_usable = False

    def _add_proxy(self, now_us: int, event: ProxyJoined) -> None:
        may_be_bound = self.bindings.join(now_us, event)
        if not may_be_bound:
            self.tables.unbind(event.proxy)
        self.delivery.proxy_joined(event.proxy, now_us)

    def _remove_proxy(self, proxy: ProxyId) -> None:
        if proxy not in self.bindings:
            return
        self.load.remove_proxy(len(self.bindings))
        self.bindings.remove(proxy)
        self.tables.unbind(proxy)
        self.delivery.proxy_left(proxy)

    def _add_endpoint_report(self, now_us: int, event: EndpointReport) -> None:
        self._window.add_endpoint_report(event)
        state = self.registry.endpoints.get(event.endpoint)
        if state is not None:
            state.record(now_us, event)

    def _evaluate(self, now_us: int, actions: list[Action]) -> None:
        """Evaluates the reports since the last evaluation."""
        span_s = self.load.evaluate(now_us, self._window, self.admission.history)
        outliers = self._outliers.evaluate(now_us, self._window, self.load.settling_time_us())
        if outliers.ejected:
            self.publisher.urgent = True
        self._learn_relative_capacity(now_us)
        self._window.clear()
        self._scale_capacity(now_us)
        self.load.decay_backlog(span_s)
        message = self.overload.evaluate(now_us, outliers.failure_ratio, span_s)
        if message is not None:
            actions.append(LogMessage(message))
        self._update_admission(now_us)

    def _learn_relative_capacity(self, now_us: int) -> None:
        if self.bindings.inherited_tables_usable and shows_inherited_weights(self.registry):
            self.bindings.inherited_tables_usable = False
            if self.bindings.mostly_inherited():
                learn_from_inherited_tables(self.registry)
        learn_from_reports(
            now_us,
            self.registry,
            self._window,
            self.load.completed_per_s,
            self.load.report_span_us,
        )

    def _scale_capacity(self, now_us: int) -> None:
        self.capacity.scale_to_fleet(
            self.registry.reachable_capacity(now_us), self.bindings.usual_rate()
        )

    def _update_admission(self, now_us: int) -> None:
        inputs = AdmissionInputs(
            self.load.offered_per_s,
            self.capacity.requests_per_s,
            self.load.backlog,
            self.load.mean_latency_objective_us(),
            self.load.feedback_delay_us,
        )
        self.admission.update(now_us, inputs, self.overload.shedding_load)

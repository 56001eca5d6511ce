"""The facade, which turns reports into events and the policy's actions into work."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from kelpcourse.facade.timers import TimerQueue
from kelpcourse.facade.translation import OrderTranslator
from kelpcourse.facade.validation import (
    InvalidReportError,
    Load,
    ReportValidator,
    to_microseconds,
    validate_count,
    validate_load,
    validate_rate,
)
from kelpcourse.facade.work import HealthCheckRequest, Work
from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import EndpointRegistry, ListedEndpoint
from kelpcourse.policy.actions import (
    Action,
    CheckHealth,
    Checkpoint,
    FetchEndpoints,
    LogMessage,
    ResendOrders,
    SendToPeer,
    SetTimer,
    WatchEndpoints,
)
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    Event,
    HealthCheckCompleted,
    HealthCheckStatus,
    OrdersAccepted,
    OrdersAcknowledged,
    OrdersOutcomeUnknown,
    ProxyJoined,
    ProxyLeft,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import Settings


class Policy(Protocol):
    """A policy that decides on actions."""

    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Processes events and returns the actions to be carried out."""
        ...


class Facade:
    """Turns reports into events of the next step, and collects the work that steps request.

    Every `report_` method raises InvalidReportError, and reports nothing, if a value is unknown or out of range.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        limits: Limits,
        policy_factory: Callable[[Settings], Policy] = RoutingPolicy,
    ) -> None:
        """Constructs the policy; no step runs before `start`.

        Args:
            settings: Settings of the policy.
            seed: Seed that the policy receives in its first event.
            limits: Sizes and times that are not decisions of the policy.
            policy_factory: Constructs the policy from the settings.
        """
        self._settings = settings
        self._limits = limits
        self._policy = policy_factory(settings)
        self._validate = ReportValidator(settings, limits)
        self._endpoints = EndpointRegistry(limits.max_endpoint_names)
        self._translator = OrderTranslator(settings, self._endpoints)
        self._timers = TimerQueue(limits.max_timers)
        self._events: list[Event] = [Started(seed)]
        # Time at which the pending events are passed to the policy; None if not determined yet.
        self._step_due_us: int | None = None
        self._work = Work()
        self._may_resend = False
        self._checkpoints: dict[int, None] = {}  # numbers of ordered checkpoints, oldest first
        self._now_us = 0

    # Reports

    def report_cached_list(self, endpoints: Sequence[ListedEndpoint], version: int) -> None:
        """Reports the endpoint list that was last received before this controller started."""
        self._report_endpoints(EndpointListKind.RESTORED, endpoints, version)

    def report_list(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        """Reports the complete endpoint list or changes to it."""
        kind = EndpointListKind.FULL if complete else EndpointListKind.CHANGES
        self._report_endpoints(kind, endpoints, version)

    def report_list_unavailable(self) -> None:
        """Reports that a watch of the endpoint list or a call for it has failed."""
        self._events.append(EndpointList(EndpointListKind.UNAVAILABLE, 0, ()))

    def has_zone(self, zone: str) -> bool:
        """Returns whether a zone is in the settings."""
        return zone in self._settings.zones

    def report_proxy_joined(
        self, proxy: int, zone: str, request_rate_per_s: float, has_no_table: bool
    ) -> None:
        """Reports that a proxy has joined."""
        self._events.append(
            ProxyJoined(
                self._validate.proxy(proxy),
                self._validate.zone(zone),
                validate_rate(request_rate_per_s),
                has_no_table,
            )
        )

    def report_proxy_left(self, proxy: int) -> None:
        """Reports that a proxy has left."""
        self._events.append(ProxyLeft(self._validate.proxy(proxy)))

    def report_acknowledged(self, proxy: int, checkpoint_id: int, lag_ms: float) -> None:
        """Reports that a proxy has applied every order up to a checkpoint."""
        if checkpoint_id not in self._checkpoints:
            raise InvalidReportError(f"checkpoint {checkpoint_id}", "was never ordered")
        self._events.append(
            OrdersAcknowledged(self._validate.proxy(proxy), checkpoint_id, to_microseconds(lag_ms))
        )

    def report_accepted(self, checkpoint_id: int) -> None:
        """Reports that the relay has accepted the call that ends in this checkpoint."""
        self._events.append(OrdersAccepted(checkpoint_id))

    def report_outcome_unknown(self, checkpoint_ids: tuple[int, ...]) -> None:
        """Reports that a call failed which may have been carried out.

        Its orders must not be resent until the policy allows it.
        """
        self._may_resend = False
        self._events.append(OrdersOutcomeUnknown(checkpoint_ids))

    def may_resend(self) -> bool:
        """Returns whether the policy has allowed orders to be resent since the last unknown outcome was reported."""
        return self._may_resend

    def report_attempts(
        self,
        endpoint: str,
        zone: str,
        attempts: int,
        failed: int,
        window_ms: float,
        mean_ms: float | None,
        load: Load,
    ) -> None:
        """Reports what the proxies of a zone measured at an endpoint; `mean_ms` is None if no attempt succeeded."""
        window_us = self._validate.window_us(window_ms)
        successes = self._validate.count_within(attempts, window_us) - validate_count(failed)
        if successes < 0:
            raise InvalidReportError(f"{failed} failed of {attempts} attempts", "is out of range")
        mean_us = self._validate.mean_us(mean_ms, successes)
        self._events.append(
            EndpointReport(
                self._number_of(endpoint),
                self._validate.zone(zone),
                attempts,
                failed,
                window_us,
                mean_us,
                validate_load(load),
            )
        )

    def report_demand(
        self, proxy: int, class_name: str, arrivals: int, unanswered: int, window_ms: float
    ) -> None:
        """Reports the requests of a class that reached a proxy."""
        class_index = self._validate.class_index(class_name)
        window_us = self._validate.window_us(window_ms)
        self._events.append(
            DemandReport(
                self._validate.proxy(proxy),
                class_index,
                self._validate.count_within(arrivals, window_us),
                self._validate.count_within(unanswered, window_us),
                window_us,
            )
        )

    def report_health_check(self, endpoint: str, status: str, latency_us: int, load: Load) -> None:
        """Reports the outcome of a health check; `status` is the value of a `HealthCheckStatus`."""
        self._events.append(
            HealthCheckCompleted(
                self._number_of(endpoint),
                HealthCheckStatus(status),
                latency_us,
                validate_load(load),
            )
        )

    def _report_endpoints(
        self, kind: EndpointListKind, endpoints: Sequence[ListedEndpoint], version: int
    ) -> None:
        self._endpoints.update(endpoints, kind is not EndpointListKind.CHANGES)
        listed = tuple(self._policy_endpoint(endpoint) for endpoint in endpoints)
        self._events.append(EndpointList(kind, version, listed))

    def _policy_endpoint(self, endpoint: ListedEndpoint) -> Endpoint:
        return Endpoint(
            self._number_of(endpoint.name),
            endpoint.zone,
            endpoint.kind,
            endpoint.cell,
            endpoint.weight,
            endpoint.status,
            to_microseconds(endpoint.started_ms),
        )

    def _number_of(self, endpoint: str) -> int:
        number = self._endpoints.number_of(endpoint)
        if number is None:
            raise InvalidReportError(f"endpoint {endpoint!r:.60}", "was never listed")
        return number

    # Steps

    def next_due_us(self) -> int | None:
        """Returns the time at which the next step is due, or None if no event or timer is pending."""
        timer_due_us = self._timers.next_due_us()
        if not self._events:
            return timer_due_us
        step_due_us = self._step_due_us if self._step_due_us is not None else 0
        return step_due_us if timer_due_us is None else min(timer_due_us, step_due_us)

    def start(self, now_us: int) -> None:
        """Runs the first step immediately, so that the policy has the cached list before any client is served."""
        self._step_due_us = now_us
        self.tick(now_us)

    def tick(self, now_us: int) -> bool:
        """Runs a step if one is due, and returns whether it did. Reports that arrive together share one step.

        Exceptions of the policy are propagated. The timers that fired in the failed step are then set again, because
        the policy would stop without them.
        """
        now_us = max(now_us, self._now_us)
        self._now_us = now_us
        if self._events and self._step_due_us is None:
            self._step_due_us = now_us + self._limits.step_batching_us
        if not self._is_due(now_us):
            return False
        fired = self._timers.pop_due(now_us)
        events = [*self._events, *map(TimerFired, fired)]
        self._events = []
        self._step_due_us = None
        try:
            actions = self._policy.step(now_us, events)
        except Exception:
            for name in fired:
                self._set_timer(name, now_us + self._limits.coroutine_restart_us)
            raise
        self._work.steps += 1
        for action in actions:
            self._carry_out(action)
        return True

    def _is_due(self, now_us: int) -> bool:
        timer_due_us = self._timers.next_due_us()
        if timer_due_us is not None and timer_due_us <= now_us:
            return True
        return self._step_due_us is not None and self._step_due_us <= now_us

    def pick(self) -> Work:
        """Returns the work that steps have requested since the last call of this method."""
        work = self._work
        self._work = Work()
        return work

    # Actions

    def _carry_out(self, action: Action) -> None:
        match action:
            case SetTimer(name, due_us):
                self._set_timer(name, due_us)
            case WatchEndpoints(enabled):
                self._work.watch = enabled
            case FetchEndpoints():
                self._work.fetches += 1
            case ResendOrders():
                self._may_resend = True
            case CheckHealth(endpoint):
                self._check_health(endpoint)
            case LogMessage(text):
                self._work.log_messages.append(text)
            case SendToPeer():
                self._work.undeliverable += 1  # this controller has no connection for it
            case _:
                self._add_order(action)

    def _set_timer(self, name: str, due_us: int) -> None:
        if not self._timers.add(name, due_us):
            self._work.undeliverable += 1

    def _check_health(self, endpoint: int) -> None:
        name = self._endpoints.name_of(endpoint)
        address = self._endpoints.address_of(name) if name is not None else None
        if name is None or address is None:
            self._work.undeliverable += 1
        else:
            self._work.health_checks.append(HealthCheckRequest(name, address))

    def _add_order(self, action: Action) -> None:
        if isinstance(action, Checkpoint):
            self._record_checkpoint(action.checkpoint_id)
        order = self._translator.order_of(action)
        if order is None:
            self._work.undeliverable += 1
        else:
            self._work.orders.append(order)

    def _record_checkpoint(self, checkpoint_id: int) -> None:
        self._checkpoints.pop(checkpoint_id, None)
        self._checkpoints[checkpoint_id] = None
        if len(self._checkpoints) > self._limits.max_checkpoints:
            del self._checkpoints[next(iter(self._checkpoints))]

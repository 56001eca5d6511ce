"""Tests of one controller that takes over 1,600 proxies, 200 endpoints and 8 zones, by an independent simulation."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson
import pytest

from kelpcourse.facade import Facade
from kelpcourse.limits import Limits
from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.policy import controller
from kelpcourse.policy.budget import OrderBatch
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.delivery import DeliveryTracker
from kelpcourse.policy.draining import Withdrawals
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.policy.settings import Settings
from kelpcourse.wire.loop import Coroutine, Signal
from kelpcourse.wire.relay_calls import RelayCalls
from tests.delivery_simulation import (
    Bind,
    DeliveryHarness,
    DeliverySimulation,
    LimitAdmission,
    LimitExceededError,
    Order,
    Restore,
    SetEntry,
    Synchronise,
    Withdraw,
)
from tests.fleet import SECOND, SETTINGS, UnboundedTables, full_list, list_changes, make_endpoint
from tests.standins import MS, Bench, HttpConnection, HttpServer, member

ZONES = tuple(f"z{k}" for k in range(8))
ENDPOINTS = [make_endpoint(1_000 + k, ZONES[k % 8]) for k in range(200)]
RECONNECT_STORM = replace(
    SETTINGS,
    zones=ZONES,
    proxy_count=1_600,
    min_endpoint_connections=424.0,
    delivery_entries_per_s=3_400.0,
    max_backlog_entries=37_700.0,
    drain_grace_us=13_700_000,
    mean_transit_us=453_000,
    max_transit_us=1_132_500,
    max_messages_per_proxy=12,
    max_unserved_us=23 * SECOND,
)


def inherited_endpoints(seed: int) -> Callable[[int], list[int]]:
    """Returns a function that draws the table of a proxy of another controller: a seventh of the endpoints."""
    rng = random.Random(seed)
    return lambda _: [endpoint.id for endpoint in rng.sample(ENDPOINTS, 28)]


def run_policy_takeover(
    seed: int, policy_factory: Callable[[Settings], RoutingPolicy] = RoutingPolicy
) -> DeliveryHarness:
    """Lets four in five controllers fail right after endpoints start to drain.

    More endpoints drain while the proxies of the failed controllers join, and again after that; then some streams break
    and are opened again.

    Raises:
        LimitExceededError: A limit is exceeded, or a proxy may send to a drained endpoint.
    """
    harness = DeliveryHarness(policy_factory, RECONNECT_STORM, ENDPOINTS)
    gone = random.Random(seed).sample([endpoint.id for endpoint in ENDPOINTS], 90)
    harness.step(full_list(ENDPOINTS))
    harness.join(
        range(320), lambda _: [endpoint.id for endpoint in ENDPOINTS[:5]], 0.5, has_no_table=True
    )
    harness.run(6)
    harness.step(list_changes(harness.drain(gone[:30]), 2))
    harness.run(0.5)
    harness.join(range(320, 900), inherited_endpoints(seed), 0.4)
    harness.step(list_changes(harness.drain(gone[30:60]), 3))
    harness.join(range(900, 1_600), inherited_endpoints(seed + 1), 0.7)
    harness.run(2)
    harness.step(list_changes(harness.drain(gone[60:]), 4))
    harness.run(2)
    harness.leave(range(1_000, 1_300))
    harness.run(0.3)
    harness.join(range(1_000, 1_300), inherited_endpoints(seed + 2), 0.5)
    harness.run(16)
    return harness


@pytest.mark.parametrize("policy_factory", [RoutingPolicy, UnboundedTables])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_controller_that_takes_over_the_fleet_keeps_backlog_limit_and_drain_grace_periods(
    seed: int, policy_factory: Callable[[Settings], RoutingPolicy]
) -> None:
    harness = run_policy_takeover(seed, policy_factory)
    assert (
        RECONNECT_STORM.max_backlog_entries * 0.5
        < harness.simulation.max_backlog_entries
        <= RECONNECT_STORM.max_backlog_entries
    )
    assert len(harness.policy.bindings) == 1_600


def return_no_late_joiners(withdrawals: Withdrawals, now_us: int) -> dict[int, int]:
    """Disregards withdrawals that were ordered before a proxy joined, to disable that safeguard."""
    return {}


def ignore_late_joiners(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Withdrawals, "late_joiners", return_no_late_joiners)


def delay_withdrawals_until_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """Delays withdrawals until all proxies are bound, to disable the rule that withdrawals are ordered first."""
    withdraw_pending = Withdrawals.withdraw_pending

    def withdraw_if_all_are_bound(withdrawals: Withdrawals, now_us: int, batch: OrderBatch) -> None:
        if not withdrawals._bindings.unbound_since_us:
            withdraw_pending(withdrawals, now_us, batch)

    monkeypatch.setattr(Withdrawals, "withdraw_pending", withdraw_if_all_are_bound)


class OrderIgnoringTracker(DeliveryTracker):
    """A tracker that counts only unacknowledged messages and disregards the order of the queue."""

    def backlog_entries(self, now_us: int) -> float:
        return super().backlog_entries(now_us) - sum(
            delivery.unconfirmed_entries for delivery in self._deliveries
        )


def ignore_queue_order(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(controller, "DeliveryTracker", OrderIgnoringTracker)


@pytest.mark.parametrize(
    "disable_safeguard", [ignore_late_joiners, delay_withdrawals_until_bound, ignore_queue_order]
)
def test_the_simulation_detects_a_disabled_safeguard(
    disable_safeguard: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    disable_safeguard(monkeypatch)
    with pytest.raises(LimitExceededError):
        run_policy_takeover(1, UnboundedTables)


# Facade, order queue and relay calls, over a socket to a relay that loses some responses


class ControllerHarness:
    """Runs facade, order queue and relay calls against a relay that loses some of its responses.

    Attributes:
        simulation: Simulation of the delivery queue and of the proxies.
        bench: Event loop, clock and counters of the test.
        facade: The facade with the policy under test.
        order_queue: Orders that wait for a call to the relay.
        orders_queued: Signal that the order queue has new orders.
        lost_fraction: Fraction of calls that the relay executes without a response.
        rng: Random numbers that decide which responses are lost.
        members_by_name: Endpoints as discovery lists them, by name.
    """

    def __init__(
        self,
        lost_fraction: float,
        policy_factory: Callable[[Settings], RoutingPolicy] = RoutingPolicy,
        seed: int = 1,
    ) -> None:
        limits = Limits().for_fleet(RECONNECT_STORM.proxy_count)
        self.simulation = DeliverySimulation(RECONNECT_STORM)
        self.bench = Bench(limits, RECONNECT_STORM)
        self.facade = self.bench.facade = Facade(RECONNECT_STORM, 7, limits, policy_factory)
        runtime = replace(self.bench.runtime, facade=self.facade)
        self.order_queue = OrderQueue(limits.max_queued_orders, limits.max_superseded_checkpoints)
        self.orders_queued = Signal()
        self.lost_fraction = lost_fraction
        self.rng = random.Random(seed)
        relay = HttpServer(self.bench.loop, self._serve)
        self.bench.loop.start(
            "calls", RelayCalls(runtime, relay.address, self.order_queue, self.orders_queued).run()
        )
        self.members_by_name = {
            f"s-{endpoint.id}": member(f"s-{endpoint.id}") for endpoint in ENDPOINTS
        }
        self.members_by_name = {
            n: replace(m, zone=ZONES[k % 8])
            for k, (n, m) in enumerate(self.members_by_name.items())
        }
        self.facade.report_cached_list(list(self.members_by_name.values()), 1)
        self.facade.start(self.bench.clock.now)

    def _serve(self, connection: HttpConnection) -> Coroutine[None]:
        while (call := (yield from connection.read_request())) is not None:
            orders = orjson.loads(call[1])["orders"]
            self.simulation.order(self.bench.clock.now, [decode_order(order) for order in orders])
            if self.rng.random() < self.lost_fraction:
                yield from connection.wait_for_close()
                return
            yield from connection.respond(200, b'{"ok_count":%d}' % len(orders))

    def run(self, ms: int) -> None:
        until_us = self.bench.clock.now + ms * MS
        while self.bench.clock.now < until_us:
            self.bench.run_round()
            work = self.facade.pick()
            if work.orders:
                assert self.order_queue.add(work.orders) == 0
                self.orders_queued.set()
            now = self.bench.clock.now
            if now % (10 * MS) == 0:
                for proxy, checkpoint_id in self.simulation.advance(now):
                    self.order_queue.acknowledge(checkpoint_id)
                    for superseded in self.order_queue.covered_checkpoints(checkpoint_id):
                        self.facade.report_acknowledged(proxy, superseded, 1.0)
                self.simulation.check(now)

    def join(self, proxies: range, has_no_table: bool, per_ms: int) -> None:
        """Lets proxies join, `per_ms` of them in each millisecond."""
        rng = random.Random(proxies.start)
        for position, proxy in enumerate(proxies):
            names = (
                sorted(self.members_by_name)
                if not has_no_table
                else sorted(self.members_by_name)[:5]
            )
            self.simulation.join(
                self.bench.clock.now, proxy, rng.sample(names, 5 if has_no_table else 28)
            )
            self.facade.report_proxy_joined(proxy, ZONES[proxy % 8], 2.0, has_no_table)
            if position % per_ms == 0:
                self.run(1)

    def drain(self, names: list[str], version: int) -> None:
        self.simulation.drain(self.bench.clock.now, names)
        self.facade.report_list(
            [replace(self.members_by_name[n], status=EndpointStatus.DRAINING) for n in names],
            version,
            False,
        )


def decode_order(order: dict[str, Any]) -> Order:
    match order["verb"]:
        case "SET":
            return SetEntry(order["cluster"], order["host"], order["share"])
        case "USE":
            return Bind(order["sidecar"], order["cluster"])
        case "LIMIT":
            return LimitAdmission(order["cluster"])
        case "SYNC":
            return Synchronise(order["stamp"])
        case "OUT":
            return Withdraw(order["host"])
    return Restore(order["host"])


def run_controller_takeover(harness: ControllerHarness) -> ControllerHarness:
    """Lets most proxies move to this controller while endpoints drain.

    Raises:
        LimitExceededError: A limit is exceeded, or a proxy may send to a drained endpoint.
    """
    harness.join(range(320), True, 1)
    harness.run(3_000)
    gone = random.Random(1).sample(sorted(harness.members_by_name), 60)
    harness.drain(gone[:30], 2)
    harness.run(500)
    harness.join(range(320, 1_000), False, 2)
    harness.drain(gone[30:], 3)
    harness.join(range(1_000, 1_600), False, 2)
    harness.run(15_000)
    return harness


@pytest.mark.parametrize("seed", [1, 4])
def test_facade_and_relay_calls_keep_the_limits_when_responses_are_lost(
    seed: int,
) -> None:
    """A call that was executed without a response must not be resent while both copies exceed the backlog limit.

    With seed 4 a withdrawal of 23,285 entries was in the delivery queue twice: 46,570 entries, where the limit is
    37,700.
    """
    harness = run_controller_takeover(ControllerHarness(0.15, seed=seed))
    assert harness.bench.counters["relay_calls_failed"] >= 3
    assert len(harness.simulation.withdrawn) == 60
    harness.bench.close()


def test_the_simulation_detects_a_disabled_safeguard_through_facade_and_relay_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ignore_late_joiners(monkeypatch)
    harness = ControllerHarness(0, UnboundedTables)
    with pytest.raises(LimitExceededError):
        run_controller_takeover(harness)
    harness.bench.close()

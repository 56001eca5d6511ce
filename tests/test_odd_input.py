"""Valid but unusual input raises no error: long random sequences of events under many settings."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace
from itertools import product

import pytest

from kelpcourse.policy.actions import SetAdmission, SetWeight
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import (
    DemandReport,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    HealthCheckStatus,
    OrdersAcknowledged,
    PeerMessage,
    ProxyJoined,
    ProxyLeft,
    SliceDemand,
    SliceLeased,
    SliceWeight,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import AdmissionMode
from tests.fleet import READ, SETTINGS, WRITE, actions_of_type, make_endpoint

CLASSES = {
    "plain": (READ, WRITE),
    "bound": (
        replace(READ, same_zone_only=True),
        replace(WRITE, allowed_zones=frozenset({"west"})),
    ),
    "closed": (
        replace(READ, allowed_kinds=frozenset({"none"})),
        replace(WRITE, allowed_kinds=frozenset({"std"})),
    ),
}
VARIANTS = [
    replace(
        SETTINGS,
        classes=CLASSES[kind],
        admission_mode=admission,
        discovery_is_polled=polled,
        max_messages_per_proxy=max_messages,
        slice_count=slices,
        load_reports_inline=True,
    )
    for kind, admission, (polled, max_messages, slices) in product(
        CLASSES, AdmissionMode, ((False, 0, 0), (True, 12, 0), (False, 10, 8))
    )
]


@dataclass(frozen=True)
class Figures:
    """Values that the fields of events are drawn from."""

    weights: tuple[float, ...] = (0.0, 1.0, 4.0)
    rates_per_s: tuple[float, ...] = (0.0, 9.0)
    counts: tuple[int, ...] = (0, 1, 40)
    loads: tuple[tuple[tuple[str, float], ...], ...] = (
        (),
        (("util", 0.0),),
        (("util", 0.9), ("qps", 0.0)),
    )


TINY, SMALL, LARGE, HUGE = 5e-324, 1e-300, 1e300, 1.7e308
EXTREME = Figures(
    (0.0, 1.0, TINY, SMALL, LARGE, HUGE),
    (0.0, 9.0, TINY, LARGE, HUGE),
    (0, 1, 40, (1 << 53) - 1),
    tuple(
        (("util", utilization), ("qps", rate))
        for utilization in (0.5, TINY, LARGE, HUGE)
        for rate in (9.0, TINY, LARGE, HUGE)
    ),
)


def unusual_event(rng: random.Random, now_us: int, figures: Figures) -> Event:
    endpoint, proxy, zone = (
        rng.randrange(1, 9),
        rng.randrange(4),
        rng.choice(("east", "west", "elsewhere")),
    )
    count, span_us = rng.choice(figures.counts), rng.choice((0, 1, 1_000_000, 5_000_000))
    listed = tuple(
        make_endpoint(
            rng.randrange(1, 9),
            zone,
            rng.choice(list(EndpointStatus)),
            rng.choice((0, now_us - 1, now_us + 9)),
            weight=rng.choice(figures.weights),
        )
        for _ in range(rng.randrange(4))
    )
    return rng.choice(
        (
            EndpointList(rng.choice(list(EndpointListKind)), 1, listed),
            ProxyJoined(
                proxy,
                zone if zone != "elsewhere" else "east",
                rng.choice(figures.rates_per_s),
                True,
            ),
            ProxyLeft(proxy),
            OrdersAcknowledged(proxy, rng.randrange(9), 5),
            EndpointReport(
                endpoint,
                zone,
                count,
                rng.randrange(count + 1),
                span_us,
                rng.choice((0, 3_000_000)),
                rng.choice(figures.loads),
            ),
            DemandReport(proxy, rng.randrange(2), count, 0, span_us),
            SliceDemand(1, 0, count, 0, span_us),
            HealthCheckCompleted(endpoint, rng.choice(list(HealthCheckStatus)), 1, ()),
            SliceLeased(1, rng.random() < 0.5),
            SliceWeight(1, endpoint, 1.0),
            PeerMessage(1, b""),
            TimerFired("other"),
        )
    )


@pytest.mark.parametrize("figures", [Figures(), EXTREME], ids=["usual", "extreme"])
@pytest.mark.parametrize("variant", range(len(VARIANTS)))
def test_unusual_events_raise_no_error_and_yield_valid_orders(
    variant: int, figures: Figures
) -> None:
    """Guards against finite figures that end a step, with which all its events are lost."""
    rng = random.Random(variant)
    policy, now_us = RoutingPolicy(VARIANTS[variant]), 10_000_000
    policy.step(now_us, [Started(1), EndpointList(EndpointListKind.RESTORED, 0, ())])
    for _ in range(1500):
        now_us += rng.choice((0, 2_000, 700_000))
        events = [unusual_event(rng, now_us, figures) for _ in range(rng.randrange(5))]
        actions = policy.step(now_us, events)
        assert all(
            math.isfinite(a.weight) and a.weight >= 0 and 1 <= a.endpoint < 9
            for a in actions_of_type(actions, SetWeight)
        )
        assert all(a.limit >= 0 for a in actions_of_type(actions, SetAdmission))

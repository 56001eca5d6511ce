"""Legal but odd input is served: long made-up days under many settings, none of which may raise."""

from __future__ import annotations

import random
from dataclasses import replace
from itertools import product

import pytest

from kelpcourse.decide import Director
from kelpcourse.interface import (
    Admission,
    DemandReport,
    Event,
    HostList,
    HostReport,
    HostState,
    ListKind,
    OrdersApplied,
    PeerMessage,
    ProbeAnswered,
    ProbeStatus,
    ProxyJoined,
    ProxyLeft,
    SetLevel,
    SetLine,
    SliceDemand,
    SliceLeased,
    SliceLine,
    Started,
    TimerFired,
)
from tests.fleet import READ, SETTINGS, WRITE, host, only

CLASSES = {
    "plain": (READ, WRITE),
    "bound": (replace(READ, zone_bound=True), replace(WRITE, only_zones=frozenset({"west"}))),
    "closed": (
        replace(READ, only_kinds=frozenset({"none"})),
        replace(WRITE, only_kinds=frozenset({"std"})),
    ),
}
SITES = [
    replace(
        SETTINGS,
        classes=CLASSES[kind],
        admission=admission,
        must_ask=ask,
        messages_most=most,
        slices=slices,
        load_inline=True,
    )
    for kind, admission, (ask, most, slices) in product(
        CLASSES, Admission, ((False, 0, 0), (True, 12, 0), (False, 10, 8))
    )
]


def odd_event(rng: random.Random, now: int) -> Event:
    number, proxy, zone = (
        rng.randrange(1, 9),
        rng.randrange(4),
        rng.choice(("east", "west", "elsewhere")),
    )
    count, span = rng.choice((0, 1, 40)), rng.choice((0, 1, 1_000_000, 5_000_000))
    listed = tuple(
        host(
            rng.randrange(1, 9),
            zone,
            rng.choice(list(HostState)),
            rng.choice((0, now - 1, now + 9)),
            weight=rng.choice((0.0, 1.0, 4.0)),
        )
        for _ in range(rng.randrange(4))
    )
    return rng.choice(
        (
            HostList(rng.choice(list(ListKind)), 1, listed),
            ProxyJoined(
                proxy, zone if zone != "elsewhere" else "east", rng.choice((0.0, 9.0)), True
            ),
            ProxyLeft(proxy),
            OrdersApplied(proxy, rng.randrange(9), 5),
            HostReport(
                number,
                zone,
                count,
                rng.randrange(count + 1),
                span,
                rng.choice((0, 3_000_000)),
                rng.choice(((), (("util", 0.0),), (("util", 0.9), ("qps", 0.0)))),
            ),
            DemandReport(proxy, rng.randrange(2), count, 0, span),
            SliceDemand(1, 0, count, 0, span),
            ProbeAnswered(number, rng.choice(list(ProbeStatus)), 1, ()),
            SliceLeased(1, rng.random() < 0.5),
            SliceLine(1, number, 1.0),
            PeerMessage(1, b""),
            TimerFired("other"),
        )
    )


@pytest.mark.parametrize("site", range(len(SITES)))
def test_nothing_raises_and_orders_stay_legal(site: int) -> None:
    rng = random.Random(site)
    director, now = Director(SITES[site]), 10_000_000
    director.step(now, [Started(1), HostList(ListKind.RESTORED, 0, ())])
    for _ in range(1500):
        now += rng.choice((0, 2_000, 700_000))
        actions = director.step(now, [odd_event(rng, now) for _ in range(rng.randrange(5))])
        assert all(a.weight >= 0 and 1 <= a.host < 9 for a in only(actions, SetLine))
        assert all(a.level >= 0 for a in only(actions, SetLevel))

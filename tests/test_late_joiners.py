"""Proxies that join after a withdrawal are bound first or notified again."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    WithdrawEndpoint,
)
from kelpcourse.policy.events import (
    EndpointStatus,
    OrdersAcknowledged,
    ProxyJoined,
)
from tests.fleet import LARGE, SECOND, Day, changes, endpoint_orders, host, hosts, only


def takeover(before: int, after: int) -> tuple[Day, list[Action]]:
    """A host is withdrawn while so many proxies are joined and not all bound; then others join."""
    settings = replace(LARGE, drain_grace_us=12 * SECOND, proxy_count=before + after)
    day = Day(settings=settings, listed=hosts(80), proxies=before, answers=False)
    first = host(100, state=EndpointStatus.GONE)
    assert endpoint_orders(day.send(changes([first]))) == [WithdrawEndpoint(100)]
    day.until(day.now + 3 * SECOND // 2)
    return day, day.send(
        *(ProxyJoined(p, "east", 10.0, False) for p in range(before, before + after))
    )


def test_few_late_joiners_are_bound_ahead_of_those_that_wait() -> None:
    """Four in five directors died.

    Of those that came 0.3 s after a withdrawal one waited 14 s behind the rest to be bound, and
    sent to the host all along.
    """
    day, out = takeover(66, 2)
    assert {b.proxy for b in only(out, BindProxy)} == {66, 67}
    assert 0 < len(day.policy.bindings.unbound_since_us) < 66


def test_nobody_is_bound_while_a_withdrawal_waits_or_beside_it() -> None:
    """Bound in one step with it, 213 proxies held it up for 2 s: messages leave one after another."""
    day, _ = takeover(66, 2)
    day.send(changes([host(k, state=EndpointStatus.GONE) for k in range(101, 140)]))
    assert day.policy.withdrawals.draining  # the channel has to have room
    assert not only(day.send(ProxyJoined(66, "east", 10.0, False)), BindProxy)
    steps = [
        day.send(
            *(
                OrdersAcknowledged(p, n, 1)
                for p in range(68)
                for n in range(day.policy.publisher.checkpoint_id + 1)
            )
        )
    ]
    steps += [day.until(day.now + SECOND // 4) for _ in range(20)]
    first = next(step for step in steps if endpoint_orders(step))
    assert len(endpoint_orders(first)) == 39
    assert not only(first, BindProxy)
    assert any(only(step, BindProxy) for step in steps)


def test_many_late_joiners_are_notified_with_the_next_withdrawal() -> None:
    """1,250 proxies that came from dead directors had 13.4 s to leave 30 hosts withdrawn before.

    At 40 lines a binding the channel takes 15 s for them, and 105 tries reached these hosts.
    """
    day, out = takeover(10, 60)
    assert not endpoint_orders(out)
    told = endpoint_orders(day.send(changes([host(101, state=EndpointStatus.GONE)])))
    assert sorted(told, key=lambda w: w.endpoint) == [WithdrawEndpoint(100), WithdrawEndpoint(101)]
    assert not endpoint_orders(day.send(changes([host(102, state=EndpointStatus.GONE)])))[
        1:
    ]  # they know it now


def test_many_late_joiners_are_notified_in_time_if_no_withdrawal_follows() -> None:
    day, _ = takeover(10, 60)
    out = day.until(day.now + 2 * SECOND)
    assert not endpoint_orders(out)
    assert WithdrawEndpoint(100) in day.until(day.now + 3 * SECOND)
    assert not endpoint_orders(day.until(day.now + 5 * SECOND))


def test_an_endpoint_that_is_back_is_not_withdrawn_again() -> None:
    day, _ = takeover(10, 60)
    day.send(changes([host(100, started=day.now)]))
    assert WithdrawEndpoint(100) not in day.until(day.now + 6 * SECOND)

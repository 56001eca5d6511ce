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
from tests.fleet import (
    LARGE_FLEET,
    SECOND,
    PolicyHarness,
    actions_of_type,
    endpoint_orders,
    list_changes,
    make_endpoint,
    make_endpoints,
)


def takeover(before: int, after: int) -> tuple[PolicyHarness, list[Action]]:
    """An endpoint is withdrawn while so many proxies are joined and not all bound; then others join."""
    settings = replace(LARGE_FLEET, drain_grace_us=12 * SECOND, proxy_count=before + after)
    harness = PolicyHarness(
        settings=settings, listed=make_endpoints(80), proxies=before, acknowledges=False
    )
    first = make_endpoint(100, status=EndpointStatus.GONE)
    assert endpoint_orders(harness.send(list_changes([first]))) == [WithdrawEndpoint(100)]
    harness.run_until(harness.now_us + 3 * SECOND // 2)
    return harness, harness.send(
        *(ProxyJoined(p, "east", 10.0, False) for p in range(before, before + after))
    )


def test_few_late_joiners_are_bound_before_other_unbound_proxies() -> None:
    """Four in five controllers failed.

    Of those that came 0.3 s after a withdrawal one waited 14 s behind the rest to be bound, and
    sent to the endpoint all along.
    """
    harness, out = takeover(66, 2)
    assert {b.proxy for b in actions_of_type(out, BindProxy)} == {66, 67}
    assert 0 < len(harness.policy.bindings.unbound_since_us) < 66


def test_no_proxy_is_bound_while_a_withdrawal_is_pending_or_in_its_step() -> None:
    """Bound in one step with it, 213 proxies held it up for 2 s: messages leave one after another."""
    harness, _ = takeover(66, 2)
    harness.send(
        list_changes([make_endpoint(k, status=EndpointStatus.GONE) for k in range(101, 140)])
    )
    assert harness.policy.withdrawals.draining  # the channel has to have room
    assert not actions_of_type(harness.send(ProxyJoined(66, "east", 10.0, False)), BindProxy)
    steps = [
        harness.send(
            *(
                OrdersAcknowledged(p, n, 1)
                for p in range(68)
                for n in range(harness.policy.publisher.checkpoint_id + 1)
            )
        )
    ]
    steps += [harness.run_until(harness.now_us + SECOND // 4) for _ in range(20)]
    first = next(step for step in steps if endpoint_orders(step))
    assert len(endpoint_orders(first)) == 39
    assert not actions_of_type(first, BindProxy)
    assert any(actions_of_type(step, BindProxy) for step in steps)


def test_many_late_joiners_are_notified_with_the_next_withdrawal() -> None:
    """1,250 proxies that came from failed controllers had 13.4 s to leave 30 endpoints withdrawn before.

    At 40 entries a binding the channel takes 15 s for them, and 105 attempts reached these endpoints.
    """
    harness, out = takeover(10, 60)
    assert not endpoint_orders(out)
    told = endpoint_orders(
        harness.send(list_changes([make_endpoint(101, status=EndpointStatus.GONE)]))
    )
    assert sorted(told, key=lambda w: w.endpoint) == [WithdrawEndpoint(100), WithdrawEndpoint(101)]
    assert not endpoint_orders(
        harness.send(list_changes([make_endpoint(102, status=EndpointStatus.GONE)]))
    )[1:]  # they know it now


def test_many_late_joiners_are_notified_in_time_if_no_withdrawal_follows() -> None:
    harness, _ = takeover(10, 60)
    out = harness.run_until(harness.now_us + 2 * SECOND)
    assert not endpoint_orders(out)
    assert WithdrawEndpoint(100) in harness.run_until(harness.now_us + 3 * SECOND)
    assert not endpoint_orders(harness.run_until(harness.now_us + 5 * SECOND))


def test_a_restored_endpoint_is_not_withdrawn_again() -> None:
    harness, _ = takeover(10, 60)
    harness.send(list_changes([make_endpoint(100, started_us=harness.now_us)]))
    assert WithdrawEndpoint(100) not in harness.run_until(harness.now_us + 6 * SECOND)

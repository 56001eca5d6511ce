"""Orders stay within the limits of messages and backlog."""

from __future__ import annotations

from dataclasses import replace

from kelpcourse.policy.actions import (
    Action,
    Checkpoint,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.policy.events import (
    EndpointStatus,
    OrdersAccepted,
    OrdersAcknowledged,
    ProxyJoined,
    ProxyLeft,
)
from tests.fleet import (
    LARGE_BACKLOG_ENTRIES,
    LARGE_FLEET,
    SECOND,
    SETTINGS,
    PolicyHarness,
    actions_of_type,
    endpoint_orders,
    list_changes,
    make_endpoint,
    make_endpoints,
)


def test_messages_to_a_proxy_stay_under_the_limit() -> None:
    listed = make_endpoints(10)
    harness = PolicyHarness(replace(SETTINGS, max_messages_per_proxy=12), listed=listed)
    for k in range(60):
        state = EndpointStatus.DRAINING if k % 2 else EndpointStatus.READY
        harness.run_until(harness.now_us + SECOND // 3)
        harness.send(
            list_changes([make_endpoint(100 + k % 10, status=state, started_us=harness.now_us)])
        )
    sent = [t for t, a in harness.log if isinstance(a, Checkpoint)][1:]  # the first went to nobody
    assert len(sent) > 12
    assert all(len([t for t in sent if now - 10 * SECOND < t <= now]) <= 12 for now in sent)


def test_messages_that_waited_for_the_relay_count_from_when_it_accepted_them() -> None:
    listed = make_endpoints(10)
    harness = PolicyHarness(replace(SETTINGS, max_messages_per_proxy=12), listed=listed)
    written: list[int] = []
    waits: list[tuple[int, int]] = []  # when the relay takes it, checkpoint
    for k in range(150):
        out = harness.run_until(harness.now_us + SECOND // 5)
        due = [(at, number) for at, number in waits if at <= harness.now_us]
        waits = [w for w in waits if w not in due]
        written += [harness.now_us for _ in due]
        state = EndpointStatus.DRAINING if k % 2 else EndpointStatus.READY
        out += harness.send(
            *(OrdersAccepted(number) for _, number in due),
            list_changes([make_endpoint(100 + k % 10, status=state, started_us=harness.now_us)]),
        )
        back_us = (
            harness.now_us + SECOND - k % 60 * SECOND // 5
        )  # now and then the relay is out of reach for a second
        waits += [
            (max(harness.now_us, back_us), a.checkpoint_id)
            for a in actions_of_type(out, Checkpoint)
        ]
    assert len(written) > 24
    written = written[1:]  # the first went to nobody
    assert all(len([t for t in written if now - 10 * SECOND < t <= now]) <= 12 for now in written)


def test_ordinary_orders_wait_while_the_channel_is_slow() -> None:
    listed = make_endpoints(10)
    harness = PolicyHarness(
        replace(SETTINGS, max_backlog_entries=300.0), listed=listed, acknowledges=False
    )
    uneven = {endpoint.id: 100_000 * (1 + k) for k, endpoint in enumerate(listed)}
    entries = [
        len(actions_of_type(harness.run_second(listed, mean_times_us=uneven), SetWeight))
        for _ in range(12)
    ]
    assert sum(entries[4:]) == 0


def test_a_drain_is_ordered_even_where_ordinary_orders_wait() -> None:
    harness = PolicyHarness(
        replace(SETTINGS, max_backlog_entries=300.0), listed=make_endpoints(10), acknowledges=False
    )
    harness.run_until(harness.now_us + 10 * SECOND)
    assert endpoint_orders(
        harness.send(list_changes([make_endpoint(100, status=EndpointStatus.GONE)]))
    ) == [WithdrawEndpoint(100)]


def test_acknowledgements_free_the_channel_when_checkpoint_numbers_start_over() -> None:
    listed = make_endpoints(10)
    harness = PolicyHarness(replace(SETTINGS, max_backlog_entries=300.0), listed=listed)
    harness.policy.publisher.checkpoint_id = 65530
    uneven = {endpoint.id: 100_000 * (1 + k) for k, endpoint in enumerate(listed)}
    entries = [
        len(actions_of_type(harness.run_second(listed, mean_times_us=uneven), SetWeight))
        for _ in range(40)
    ]
    numbers = [a.checkpoint_id for _, a in harness.log if isinstance(a, Checkpoint)]
    assert min(numbers) == 0
    assert sum(entries[numbers.index(0) :]) > 0


def test_an_acknowledgement_of_an_earlier_stream_is_disregarded() -> None:
    harness = PolicyHarness(listed=make_endpoints(4), proxies=1)
    harness.run_until(harness.now_us + 2 * SECOND)
    harness.send(ProxyLeft(0))
    assert endpoint_orders(harness.send(OrdersAcknowledged(0, 1, 5))) == []
    harness.send(ProxyJoined(0, "east", 10.0, False), OrdersAcknowledged(0, 999, 5))
    assert harness.policy.delivery.backlog_entries(harness.now_us) > 0


def entries_at_a_holder(before: list[tuple[int, Action]], log: list[tuple[int, Action]]) -> int:
    """Entries at a proxy bound to the one table; a withdrawal is one only if the table holds the endpoint."""
    held, entries = set[int](), 0
    for at, (_, action) in enumerate([*before, *log]):
        if isinstance(action, SetWeight):
            (held.add if action.weight > 0 else held.discard)(action.endpoint)
        if at >= len(before):
            entries += isinstance(action, SetWeight | SetAdmission) or (
                isinstance(action, WithdrawEndpoint | RestoreEndpoint) and action.endpoint in held
            )
    return entries


def test_admission_orders_and_restored_endpoints_wait_while_the_channel_is_stalled() -> None:
    """Nothing is applied any more while endpoints go and come back warming up and admission ratios fall each second."""
    harness = PolicyHarness(settings=LARGE_FLEET, listed=make_endpoints(80), proxies=70)
    for _ in range(4):
        harness.run_second(make_endpoints(80), demand=(20, 5))
    harness.acknowledges = False
    before = len(harness.log)
    for k in range(12):
        gone = make_endpoints(80)[3 * k : 3 * k + 3]
        harness.send(
            list_changes(
                [replace(endpoint, status=type(endpoint.status).GONE) for endpoint in gone]
            )
        )
        harness.send(
            list_changes(
                [
                    make_endpoint(endpoint.id, endpoint.zone, started_us=harness.now_us)
                    for endpoint in make_endpoints(80)[3 * k - 6 : 3 * k - 3]
                ]
            )
        )
        harness.run_second(make_endpoints(80), mean_time_us=900_000, demand=(20 + 20 * k, 5))
    messages = sum(isinstance(a, Checkpoint) for _, a in harness.log[before:])
    ordered = entries_at_a_holder(harness.log[:before], harness.log[before:])
    assert (
        0
        < 70 * (ordered + messages * (SETTINGS.message_overhead_entries + 1))
        <= LARGE_BACKLOG_ENTRIES
    )

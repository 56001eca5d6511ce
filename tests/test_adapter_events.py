"""Tests of the adapter: lines of the simulator are decoded into events of the policy."""

from __future__ import annotations

import pytest

from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
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
from tests.simulator_input import LIST, START, AdapterHarness, batch


def test_start_and_endpoint_list_are_passed_to_the_policy_in_order(
    adapter_harness: AdapterHarness,
) -> None:
    adapter_harness.run_batches(batch(1, *START))
    started, listed = adapter_harness.policies[0].steps[0][1]
    assert started == Started(1167071214265485)
    assert isinstance(listed, EndpointList)
    assert listed.kind is EndpointListKind.RESTORED
    assert listed.endpoints[0] == Endpoint(
        51530247, "room-a", "large", 0, 1.0, EndpointStatus.READY, 0
    )
    assert listed.endpoints[1].started_us == 6100000


@pytest.mark.parametrize(
    ("line", "event"),
    [
        ("timeout_fired director_id=3 name=sweep", TimerFired("sweep")),
        (
            "subscribed director_id=3 client_lb=41 az=room-a heft=6.5 set=1",
            ProxyJoined(41, "room-a", 6.5, True),
        ),
        ("detached director_id=3 client_lb=41", ProxyLeft(41)),
        (
            "acked director_id=3 client_lb=41 number=7 wait_time_us=300",
            OrdersAcknowledged(41, 7, 300),
        ),
        (
            "stats director_id=3 az=room-a number=14 failed=1 elapsed_us=1000000 wait_time_us=48250"
            " host=51530247 usage=inflight:7,util:0.5",
            EndpointReport(
                51530247, "room-a", 14, 1, 1_000_000, 48250, (("inflight", 7.0), ("util", 0.5))
            ),
        ),
        (
            "stats director_id=3 az=room-a number=0 failed=0 elapsed_us=1 wait_time_us=0 host=1",
            EndpointReport(1, "room-a", 0, 0, 1, 0, ()),
        ),
        (
            "traffic director_id=3 failed=2 cls=move-submit client_lb=41 elapsed_us=2000000 number=9",
            DemandReport(41, 1, 9, 2, 2_000_000),
        ),
        (
            "slice_load director_id=3 cls=board-read route_table=5 failed=0 elapsed_us=9 number=4",
            SliceDemand(5, 0, 4, 0, 9),
        ),
        (
            "echo director_id=3 wait_time_us=9 state_code=QueueFull host=51530247",
            HealthCheckCompleted(51530247, HealthCheckStatus.FULL, 9, ()),
        ),
        ("datagram director_id=3 who=2 payload=68692037", PeerMessage(2, b"hi 7")),
        ("datagram director_id=3 who=2 payload=-", PeerMessage(2, b"")),
        ("leased director_id=3 route_table=5 set=1", SliceLeased(5, True)),
        (
            "in_store director_id=3 route_table=5 host=51530247 heft=0.5",
            SliceWeight(5, 51530247, 0.5),
        ),
        (
            "members director_id=3 scope=unavailable number=0 roster_id=0",
            EndpointList(EndpointListKind.UNAVAILABLE, 0, ()),
        ),
    ],
)
def test_every_event_is_decoded(adapter_harness: AdapterHarness, line: str, event: Event) -> None:
    assert adapter_harness.events_of(line) == [event]


def test_a_list_number_reused_within_a_batch_is_resolved_in_order(
    adapter_harness: AdapterHarness,
) -> None:
    events = adapter_harness.events_of(
        *LIST,
        "members director_id=3 scope=replace number=42 roster_id=0",
        "sheet roster_id=0 members=0",
        "members director_id=3 scope=replace number=43 roster_id=0",
    )
    assert [len(e.endpoints) for e in events if isinstance(e, EndpointList)] == [2, 0]

"""Limits grow with the fleet in the settings and shrink with what the machine grants."""

from __future__ import annotations

import pytest

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import EndpointRegistry, ListedEndpoint
from kelpcourse.policy.events import EndpointStatus

LISTS = (
    "max_endpoint_names",
    "max_checkpoints",
    "max_queued_orders",
    "max_buffered_events",
    "max_peer_connections",
    "max_queued_peer_messages",
    "max_connections",
    "listen_backlog",
    "max_queued_health_checks",
)


@pytest.mark.parametrize("name", LISTS)
def test_no_list_of_endpoints_proxies_or_controllers_is_capped_below_a_thousand(name: str) -> None:
    assert getattr(Limits(), name) >= 1_024


def test_queues_grow_with_the_proxies_that_may_join() -> None:
    """With 5,000 proxies two event streams may be a reconnect storm, as many acknowledgements and leaves apart."""
    limits = Limits().for_fleet(5_000)
    assert limits.max_buffered_events >= 3 * 5_000
    assert limits.max_queued_orders >= 5_000 + 5_000
    assert Limits().for_fleet(60) == Limits()


def test_limits_of_reports_follow_the_report_period() -> None:
    """With a report period of two minutes all reports were rejected, and collectors closed in between."""
    assert Limits().for_fleet(60, 2_000_000) == Limits()
    patient = Limits().for_fleet(60, 120_000_000)
    assert min(patient.max_report_window_us, patient.collector_idle_us) == 480_000_000


def test_descriptors_and_memory_of_the_machine_bound_connections_and_buffers() -> None:
    limits = Limits().for_machine(256, 32)
    assert limits.max_connections == 128
    assert limits.max_concurrent_health_checks == 16
    assert limits.max_read_buffers_bytes == 8 << 20
    assert Limits().for_machine(65_536, 8_192).max_connections == 1_024


def test_listed_endpoints_are_remembered_whatever_the_limit() -> None:
    endpoints = EndpointRegistry(10)
    endpoints.update(
        [
            ListedEndpoint(f"h{k}", ("127.0.0.1", 1), "a", "m", 0, EndpointStatus.READY, 1.0, 0.0)
            for k in range(2_000)
        ],
        True,
    )
    assert all(endpoints.number_of(f"h{k}") is not None for k in range(2_000))

"""Limits grow with the fleet that the settings tell of and shrink with what the machine grants."""

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
def test_no_list_of_hosts_proxies_or_directors_is_capped_below_a_thousand(name: str) -> None:
    assert getattr(Limits(), name) >= 1_024


def test_what_waits_grows_with_the_proxies_that_may_come() -> None:
    """With 5,000 proxies two streams of news may be a mass join, as many answers and as many leavings apart."""
    limits = Limits().for_fleet(5_000)
    assert limits.max_buffered_events >= 3 * 5_000
    assert limits.max_queued_orders >= 5_000 + 5_000
    assert Limits().for_fleet(60) == Limits()


def test_limits_of_reports_follow_how_often_they_come() -> None:
    """A customer whose reports tell of two minutes each had them all refused, and its collectors ended in between."""
    assert Limits().for_fleet(60, 2_000_000) == Limits()
    patient = Limits().for_fleet(60, 120_000_000)
    assert min(patient.max_report_window_us, patient.collector_idle_us) == 480_000_000


def test_descriptors_and_memory_granted_bound_what_is_open_and_held() -> None:
    limits = Limits().for_machine(256, 32)
    assert limits.max_connections == 128
    assert limits.max_concurrent_health_checks == 16
    assert limits.max_read_buffers_bytes == 8 << 20
    assert Limits().for_machine(65_536, 8_192).max_connections == 1_024


def test_hosts_that_are_listed_are_remembered_whatever_the_limit() -> None:
    hosts = EndpointRegistry(10)
    hosts.take(
        [
            ListedEndpoint(f"h{k}", ("127.0.0.1", 1), "a", "m", 0, EndpointStatus.READY, 1.0, 0.0)
            for k in range(2_000)
        ],
        True,
    )
    assert all(hosts.number(f"h{k}") is not None for k in range(2_000))

"""Tests that limits grow with the fleet of the settings and shrink with the descriptors and memory of the machine."""

from __future__ import annotations

import pytest

from kelpcourse.limits import Limits
from kelpcourse.memory.endpoints import EndpointRegistry, ListedEndpoint
from kelpcourse.policy.events import EndpointStatus

COUNT_LIMITS = (
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


@pytest.mark.parametrize("name", COUNT_LIMITS)
def test_limits_of_endpoints_proxies_and_controllers_allow_a_thousand(name: str) -> None:
    assert getattr(Limits(), name) >= 1_024


def test_queue_limits_grow_with_the_proxy_count() -> None:
    """With 5,000 proxies one event stream may be ahead of the other by a whole reconnect storm.

    That is a joined, an applied and a left event for every proxy.
    """
    limits = Limits().for_fleet(5_000)
    assert limits.max_buffered_events >= 3 * 5_000
    assert limits.max_queued_orders >= 5_000 + 5_000
    assert Limits().for_fleet(60) == Limits()


def test_report_limits_grow_with_the_report_period() -> None:
    """With a report period of two minutes all reports were rejected, and connections of collectors timed out."""
    assert Limits().for_fleet(60, 2_000_000) == Limits()
    raised = Limits().for_fleet(60, 120_000_000)
    assert min(raised.max_report_window_us, raised.collector_idle_us) == 480_000_000


def test_descriptors_and_memory_limit_connections_and_buffers() -> None:
    limits = Limits().for_machine(256, 32)
    assert limits.max_connections == 128
    assert limits.max_concurrent_health_checks == 16
    assert limits.max_read_buffers_bytes == 8 << 20
    assert Limits().for_machine(65_536, 8_192).max_connections == 1_024


def test_listed_endpoints_are_remembered_beyond_the_limit() -> None:
    endpoints = EndpointRegistry(10)
    endpoints.update(
        [
            ListedEndpoint(f"h{k}", ("127.0.0.1", 1), "a", "m", 0, EndpointStatus.READY, 1.0, 0.0)
            for k in range(2_000)
        ],
        True,
    )
    assert all(endpoints.number_of(f"h{k}") is not None for k in range(2_000))

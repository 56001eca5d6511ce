"""Fixtures that are shared by several test files."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from kelpcourse.facade import Facade
from kelpcourse.policy.events import EndpointStatus
from tests.deployment import Deployment
from tests.fleet import SETTINGS
from tests.known_red import known_red_tests, mark_known_red
from tests.listening import ListenerRig
from tests.loop_rig import SocketPair
from tests.simulator_input import AdapterHarness
from tests.standins import FAST_LIMITS, SHORT_IDLE_LIMITS, Bench, ScriptedPolicy, member
from tests.zonerig import World


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    is_whole_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    mark_known_red(items, is_whole_run and not config.getoption("keyword"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test in known_red_tests():
        terminalreporter.write_line(f"known red: {test}")


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Loop, facade, counters and log for a component under test, with a clock that the test controls."""
    test_bench = Bench()
    yield test_bench
    test_bench.close()


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """A relay, discovery and the configuration of a controller that runs in a separate process."""
    test_deployment = Deployment(tmp_path)
    test_deployment.config()
    yield test_deployment
    test_deployment.close()


@pytest.fixture
def listener_rig(bench: Bench) -> Iterator[ListenerRig]:
    """A listener on the loopback interface."""
    rig = ListenerRig(bench)
    yield rig
    rig.close()


@pytest.fixture
def short_timeout_listener_rig() -> Iterator[ListenerRig]:
    """A listener on the loopback interface with short timeouts."""
    bench = Bench(SHORT_IDLE_LIMITS)
    rig = ListenerRig(bench)
    yield rig
    rig.close()
    bench.close()


@pytest.fixture
def policy() -> ScriptedPolicy:
    """A policy that follows a script."""
    return ScriptedPolicy(SETTINGS)


@pytest.fixture
def facade(policy: ScriptedPolicy) -> Facade:
    """A facade that has run its first step, with a cached list of two endpoints."""
    started_facade = Facade(SETTINGS, 7, FAST_LIMITS, lambda _: policy)
    started_facade.report_cached_list([member("h1"), member("h2", EndpointStatus.DRAINING)], 41)
    started_facade.start(1000)
    return started_facade


@pytest.fixture
def pair() -> Iterator[SocketPair]:
    """Two connected sockets."""
    first, second = socket.socketpair()
    yield first, second
    first.close()
    second.close()


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """Running zone services in one loop, with a clock that the test controls."""
    zone_world = World(tmp_path)
    yield zone_world
    zone_world.close()


@pytest.fixture
def adapter_harness() -> AdapterHarness:
    """The simulator's adapter with policies that record their events."""
    return AdapterHarness()

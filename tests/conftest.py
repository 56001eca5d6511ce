"""Fixtures that several test files use."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from kelpcourse.facade import Facade
from kelpcourse.policy.events import EndpointStatus
from tests.deployment import Deployment
from tests.fleet import SETTINGS
from tests.listening import ListenerRig
from tests.loop_rig import SocketPair
from tests.simulator_input import AdapterHarness
from tests.standins import FAST_LIMITS, SHORT_IDLE_LIMITS, Bench, ScriptedPolicy, member
from tests.zonerig import World


@pytest.fixture
def bench() -> Iterator[Bench]:
    """The loop, facade, counters and log that a component is handed, on a clock of the test's own."""
    made = Bench()
    yield made
    made.close()


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """A relay, discovery and the configuration of a controller that runs as a process of its own."""
    made = Deployment(tmp_path)
    made.config()
    yield made
    made.close()


@pytest.fixture
def listener_rig(bench: Bench) -> Iterator[ListenerRig]:
    """A listener on loopback."""
    made = ListenerRig(bench)
    yield made
    made.close()


@pytest.fixture
def short_timeout_listener_rig() -> Iterator[ListenerRig]:
    """A listener on loopback with short timeouts."""
    bench = Bench(SHORT_IDLE_LIMITS)
    made = ListenerRig(bench)
    yield made
    made.close()
    bench.close()


@pytest.fixture
def policy() -> ScriptedPolicy:
    """A policy that follows a script."""
    return ScriptedPolicy(SETTINGS)


@pytest.fixture
def facade(policy: ScriptedPolicy) -> Facade:
    """A facade that has taken its first step, with a cached list of two endpoints."""
    made = Facade(SETTINGS, 7, FAST_LIMITS, lambda _: policy)
    made.report_cached_list([member("h1"), member("h2", EndpointStatus.DRAINING)], 41)
    made.start(1000)
    return made


@pytest.fixture
def pair() -> Iterator[SocketPair]:
    """Two connected sockets."""
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """Running zone services in one loop, on a clock of the test's own."""
    made = World(tmp_path)
    yield made
    made.close()


@pytest.fixture
def adapter_harness() -> AdapterHarness:
    """The simulator's adapter, with policies that record their events."""
    return AdapterHarness()

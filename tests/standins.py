"""A controller's runtime on a fake clock, with a scripted policy, and messages as the protocol page specifies them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import orjson

from kelpcourse.facade import Facade
from kelpcourse.lab.http import HttpConnection, HttpServer
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.actions import Action, Checkpoint, ResendOrders
from kelpcourse.policy.events import EndpointStatus, Event, OrdersOutcomeUnknown
from kelpcourse.policy.settings import Settings
from kelpcourse.wire.loop import Loop
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address
from tests.fleet import SETTINGS

MS = 1000  # microseconds per millisecond
FAST_LIMITS = replace(
    Limits(),
    step_batching_us=2 * MS,
    connect_timeout_us=60 * MS,
    send_timeout_us=60 * MS,
    min_backoff_us=5 * MS,
    max_backoff_us=10 * MS,
    call_timeout_us=40 * MS,
    throttled_retry_us=5 * MS,
    idle_connection_us=50 * MS,
    event_stream_silence_us=80 * MS,
    event_snapshot_timeout_us=40 * MS,
    list_timeout_us=80 * MS,
    watch_silence_us=80 * MS,
    watch_retry_us=10 * MS,
    health_check_timeout_us=40 * MS,
    accept_retry_us=5 * MS,
    bind_retry_us=5 * MS,
)
SHORT_IDLE_LIMITS = replace(
    FAST_LIMITS,
    handshake_timeout_us=40 * MS,
    ping_client_idle_us=80 * MS,
    collector_idle_us=160 * MS,
)  # for tests of idle timeouts


class FakeClock:
    def __init__(self) -> None:
        self.now = 1_000_000

    def __call__(self) -> int:
        return self.now


class RecordingLog:
    """A log that records its events."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def event(self, name: str, **fields: object) -> None:
        self.lines.append((name, fields))

    always = event

    def named(self, name: str) -> list[dict[str, object]]:
        return [fields for event, fields in self.lines if event == name]


class ScriptedPolicy:
    """A policy that records the events of each step and returns prepared actions."""

    def __init__(self, _: Settings) -> None:
        self.steps: list[list[Event]] = []
        self.scripted_actions: list[list[Action]] = []
        self.allows_resend = True  # whether orders of unknown outcome may be resent immediately

    def step(self, _now_us: int, events: Sequence[Event]) -> list[Action]:
        self.steps.append(list(events))
        actions = self.scripted_actions.pop(0) if self.scripted_actions else []
        if not self.allows_resend:
            return list(actions)
        unknown = [event for event in events if isinstance(event, OrdersOutcomeUnknown)]
        return [*actions, *(ResendOrders() for _ in unknown)]

    @property
    def events(self) -> list[Event]:
        return [event for step in self.steps for event in step]


class Bench:
    """The runtime of a controller on a fake clock, which advances by 1 ms in each round that wakes no task."""

    def __init__(self, limits: Limits = FAST_LIMITS, settings: Settings = SETTINGS) -> None:
        self.clock = FakeClock()
        self.log = RecordingLog()
        self.unexpected_errors: list[Exception] = []
        self.loop = Loop(self.clock, lambda _, error: self.unexpected_errors.append(error))
        self.policy = ScriptedPolicy(settings)
        self.facade = Facade(settings, 7, limits, lambda _: self.policy)
        self.counters = Counters()
        self.runtime = Runtime(self.facade, limits, self.counters, self.log, self.loop)

    def until(self, condition: Callable[[], object], max_rounds: int = 4000) -> None:
        for _ in range(max_rounds):
            if condition():
                return
            self.run_round()
        raise AssertionError(
            f"condition not met; log: {self.log.lines[-5:]}, unexpected errors: {self.unexpected_errors}"
        )

    def run_round(self) -> None:
        if not self.loop.run_once(self.clock.now + MS):
            self.clock.now += MS
        self.facade.tick(self.clock.now)

    def run_for_us(self, span_us: int) -> None:
        until_us = self.clock.now + span_us
        self.until(lambda: self.clock.now >= until_us)

    def order_checkpoints(self, *checkpoint_ids: int) -> None:
        """Makes the policy order these checkpoints."""
        self.policy.scripted_actions.append([Checkpoint(each, False) for each in checkpoint_ids])
        self.facade.start(self.clock.now)
        self.facade.pick()

    def close(self) -> None:
        self.loop.close()
        if self.unexpected_errors:
            raise self.unexpected_errors[0]


def member(
    name: str, phase: EndpointStatus = EndpointStatus.READY, address: Address = ("127.0.0.1", 9)
) -> ListedEndpoint:
    return ListedEndpoint(name, address, "east", "std", 0, phase, 1.0, 0.0)


def entry(
    name: str, phase: str = "ready", address: Address = ("127.0.0.1", 9), up_since_ms: float = 0
) -> dict[str, object]:
    return {
        "id": name,
        "host_port": f"{address[0]}:{address[1]}",
        "locality": "east",
        "flavor": "std",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


def listed(version: int, *members: dict[str, object], complete: bool = True) -> bytes:
    return orjson.dumps({"revision": version, "complete": complete, "members": list(members)})


__all__ = [
    "FAST_LIMITS",
    "MS",
    "SHORT_IDLE_LIMITS",
    "Bench",
    "FakeClock",
    "HttpConnection",
    "HttpServer",
    "RecordingLog",
    "ScriptedPolicy",
    "entry",
    "listed",
    "member",
]

"""A scripted discovery service on the loop of a test."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.policy.events import EndpointList
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.loop import Coroutine, Wait
from tests.standins import FAST_LIMITS, Bench, Caller, StandIn


class DiscoveryService:
    """Handles each connection by the next function of a script, and records the requested paths."""

    def __init__(self, bench: Bench, *script: Callable[[Caller], Coroutine[None]]) -> None:
        self.targets: list[str] = []
        self._script = list(script)
        self.stand_in = StandIn(bench.loop, self._serve)

    def _serve(self, caller: Caller) -> Coroutine[None]:
        call = yield from caller.request()
        assert call is not None
        self.targets.append(call[0])
        yield from self._script.pop(0)(caller)


def watch_stream(
    bench: Bench, *lines: bytes, then_silent: bool = True
) -> Callable[[Caller], Coroutine[None]]:
    def serve(caller: Caller) -> Coroutine[None]:
        yield from caller.open_body()
        for line in lines:
            yield from caller.line(line)
        while not then_silent:
            yield Wait(bench.clock() + FAST_LIMITS.watch_silence_us // 2)
            yield from caller.line(b"")
        yield from caller.silence()

    return serve


def response_body(text: bytes) -> Callable[[Caller], Coroutine[None]]:
    def serve(caller: Caller) -> Coroutine[None]:
        yield from caller.answer(200, text)

    return serve


def unavailable(caller: Caller) -> Coroutine[None]:
    yield from caller.answer(503, b"")


def reset(caller: Caller) -> Coroutine[None]:
    caller.reset()
    yield from ()


def silent(caller: Caller) -> Coroutine[None]:
    yield from caller.silence()


def incomplete_line(caller: Caller) -> Coroutine[None]:
    yield from caller.open_body()
    yield from caller.line(b'{"revision":4')


def reported_lists(bench: Bench) -> list[EndpointList]:
    return [event for event in bench.policy.events if isinstance(event, EndpointList)]


def discovery_client_for(
    bench: Bench, service: DiscoveryService, version: int = 41
) -> DiscoveryClient:
    return DiscoveryClient(bench.runtime, service.stand_in.address, version)

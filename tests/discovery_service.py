"""A scripted discovery service on the loop of a test."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.policy.events import EndpointList
from kelpcourse.wire.discovery import DiscoveryClient
from kelpcourse.wire.loop import Coroutine, Wait
from tests.standins import FAST_LIMITS, Bench, HttpConnection, HttpServer


class DiscoveryService:
    """Handles each connection by the next function of a script, and records the requested paths."""

    def __init__(self, bench: Bench, *script: Callable[[HttpConnection], Coroutine[None]]) -> None:
        self.targets: list[str] = []
        self._script = list(script)
        self.server = HttpServer(bench.loop, self._serve)

    def _serve(self, http_connection: HttpConnection) -> Coroutine[None]:
        call = yield from http_connection.read_request()
        assert call is not None
        self.targets.append(call[0])
        yield from self._script.pop(0)(http_connection)


def watch_stream(
    bench: Bench, *lines: bytes, then_silent: bool = True
) -> Callable[[HttpConnection], Coroutine[None]]:
    def serve(http_connection: HttpConnection) -> Coroutine[None]:
        yield from http_connection.start_chunked_response()
        for line in lines:
            yield from http_connection.send_line(line)
        while not then_silent:
            yield Wait(bench.clock() + FAST_LIMITS.watch_silence_us // 2)
            yield from http_connection.send_line(b"")
        yield from http_connection.wait_for_close()

    return serve


def response_body(text: bytes) -> Callable[[HttpConnection], Coroutine[None]]:
    def serve(http_connection: HttpConnection) -> Coroutine[None]:
        yield from http_connection.respond(200, text)

    return serve


def unavailable(http_connection: HttpConnection) -> Coroutine[None]:
    yield from http_connection.respond(503, b"")


def reset(http_connection: HttpConnection) -> Coroutine[None]:
    http_connection.reset()
    yield from ()


def silent(http_connection: HttpConnection) -> Coroutine[None]:
    yield from http_connection.wait_for_close()


def incomplete_line(http_connection: HttpConnection) -> Coroutine[None]:
    yield from http_connection.start_chunked_response()
    yield from http_connection.send_line(b'{"revision":4')


def reported_lists(bench: Bench) -> list[EndpointList]:
    return [event for event in bench.policy.events if isinstance(event, EndpointList)]


def discovery_client_for(
    bench: Bench, service: DiscoveryService, version: int = 41
) -> DiscoveryClient:
    return DiscoveryClient(bench.runtime, service.server.address, version)

"""The surroundings of a controller in one process, on loopback and the real clock.

Endpoints and requests are simulated; every message to and from the controller crosses a socket.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from kelpcourse.lab.config import (
    DRAIN_GRACE_US,
    MAX_WITHOUT_ENDPOINT_US,
    READ,
    SUBMIT,
    SUBMIT_ROOM,
    node_config,
    room_of,
)
from kelpcourse.lab.controller_process import ControllerProcess
from kelpcourse.lab.discovery import Discovery
from kelpcourse.lab.http import HttpConnection, HttpServer
from kelpcourse.lab.loopback import free_address, now_us
from kelpcourse.lab.proxy import Proxy
from kelpcourse.lab.relay import Relay
from kelpcourse.lab.rules import RuleChecker
from kelpcourse.lab.traffic import REQUESTS_PER_S, Traffic
from kelpcourse.wire.loop import Coroutine, Loop
from kelpcourse.wire.stream import Address

TURN_US = 20_000
DEFAULT_PATIENCE_S = 60.0
STOP_PATIENCE_S = 5.0
LAST_TURNS = 10  # of the loop after the controller has ended, for its last lines


class Lab:
    """A relay with proxies, discovery, endpoints, and at most one controller."""

    def __init__(
        self,
        folder: Path,
        proxy_count: int,
        seed: int = 1,
        drain_grace_us: int = DRAIN_GRACE_US,
        max_without_endpoint_us: int = MAX_WITHOUT_ENDPOINT_US,
    ) -> None:
        """Listens as relay and discovery at once.

        Args:
            folder: for the controller's configuration.
            proxy_count: proxies, in both rooms in turn.
            seed: of the requests.
            drain_grace_us: of the rule checker.
            max_without_endpoint_us: of the rule checker.
        """
        self.errors: list[Exception] = []  # unexpected ones
        self.loop = Loop(now_us, lambda _, error: self.errors.append(error))
        self.checker = RuleChecker(drain_grace_us, max_without_endpoint_us)
        self.proxies = [
            Proxy(number, room_of(number), (READ, SUBMIT)) for number in range(proxy_count)
        ]
        self.endpoints: dict[str, Address] = {}
        self.rooms: dict[str, str] = {}
        self.relay = Relay(self.loop, self.proxies, self.checker, REQUESTS_PER_S)
        self.discovery = Discovery(self.loop)
        self.listen = free_address()  # of the controller
        self.traffic = Traffic(self.proxies, self.checker, self.listen, self.serving, seed)
        self.controller: ControllerProcess | None = None
        self._folder = folder

    def add_endpoint(self, name: str, room: str) -> Address:
        """An endpoint that answers health checks at an address of its own."""
        server = HttpServer(self.loop, _answer_health_checks)
        self.endpoints[name] = server.address
        self.rooms[name] = room
        return server.address

    def serving(self, request_class: str) -> set[str]:
        """The endpoints that serve a class; no other part knows."""
        return {
            name
            for name, room in self.rooms.items()
            if request_class != SUBMIT or room == SUBMIT_ROOM
        }

    def start_controller(self, zones: Path) -> ControllerProcess:
        """Starts a controller with settings for DNS zones, and the requests."""
        config = self._folder / "config.json"
        config.write_bytes(
            node_config(self.listen, self.discovery.address, self.relay.address, len(self.proxies))
        )
        self.controller = ControllerProcess(self.loop, config, zones)
        self.loop.start("requests", self.traffic.run())
        return self.controller

    def run_until(
        self, condition: Callable[[], object], patience_s: float = DEFAULT_PATIENCE_S
    ) -> bool:
        """Runs the loop until a condition holds; false: the controller ended or patience did."""
        deadline_us = now_us() + round(patience_s * 1e6)
        while not condition():
            controller_ended = self.controller is not None and not self.controller.is_running
            if controller_ended or now_us() > deadline_us:
                return False
            self.loop.run_once(now_us() + TURN_US)
        return True

    def run_for(self, seconds: float) -> None:
        """Runs the loop for a time."""
        end_us = now_us() + round(seconds * 1e6)
        self.run_until(lambda: now_us() >= end_us, seconds + 1)

    def stop_controller(self, controller: ControllerProcess) -> int:
        """The controller's exit code after SIGTERM; its last lines are in its log."""
        controller.terminate()
        self.run_until(lambda: not controller.is_running, STOP_PATIENCE_S)
        for _ in range(LAST_TURNS):
            self.loop.run_once(now_us())
        return controller.exit_code()

    def close(self) -> None:
        """Ends the controller and everything else."""
        if self.controller is not None:
            self.controller.kill()
        self.traffic.close()
        self.loop.close()
        if self.controller is not None:
            self.controller.close()


def _answer_health_checks(connection: HttpConnection) -> Coroutine[None]:
    while (yield from connection.read_request()) is not None:
        yield from connection.respond(200, b"")

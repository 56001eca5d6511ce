"""The simulated environment of a controller in one process, on loopback and the real clock.

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

MAX_TURN_US = 20_000  # Maximum wait in a turn of the loop.
DEFAULT_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 5.0
# Number of turns of the loop after the controller has ended, in which its last log lines are read.
FINAL_TURNS = 10


class Lab:
    """A relay with proxies, discovery, endpoints, and at most one controller.

    Attributes:
        errors: Unexpected exceptions in the event loop.
        loop: Event loop that runs everything but the controller.
        checker: Checker of all picks.
        proxies: All proxies.
        endpoints: Address by endpoint.
        rooms: Room by endpoint.
        relay: The relay.
        discovery: The discovery server.
        listen: Address on which the controller listens.
        traffic: Simulated requests.
        controller: The controller, once it was started.
    """

    def __init__(
        self,
        folder: Path,
        proxy_count: int,
        seed: int = 1,
        drain_grace_us: int = DRAIN_GRACE_US,
        max_without_endpoint_us: int = MAX_WITHOUT_ENDPOINT_US,
    ) -> None:
        """Starts the relay and discovery.

        Args:
            folder: Folder for the controller's configuration.
            proxy_count: Number of proxies, alternating between the rooms.
            seed: Seed of the simulated requests.
            drain_grace_us: Grace period of the rule checker after a drain, in microseconds.
            max_without_endpoint_us: Time in microseconds for which the rule checker allows a proxy to have no endpoint.
        """
        self.errors: list[Exception] = []
        self.loop = Loop(now_us, lambda _, error: self.errors.append(error))
        self.checker = RuleChecker(drain_grace_us, max_without_endpoint_us)
        self.proxies = [
            Proxy(number, room_of(number), (READ, SUBMIT)) for number in range(proxy_count)
        ]
        self.endpoints: dict[str, Address] = {}
        self.rooms: dict[str, str] = {}
        self.relay = Relay(self.loop, self.proxies, self.checker, REQUESTS_PER_S)
        self.discovery = Discovery(self.loop)
        self.listen = free_address()
        self.traffic = Traffic(self.proxies, self.checker, self.listen, self.serving, seed)
        self.controller: ControllerProcess | None = None
        self._folder = folder

    def add_endpoint(self, name: str, room: str) -> Address:
        """Starts an endpoint that answers health checks; returns its address."""
        server = HttpServer(self.loop, _answer_health_checks)
        self.endpoints[name] = server.address
        self.rooms[name] = room
        return server.address

    def serving(self, request_class: str) -> set[str]:
        """Returns the endpoints that serve a class. Only the lab has this knowledge."""
        return {
            name
            for name, room in self.rooms.items()
            if request_class != SUBMIT or room == SUBMIT_ROOM
        }

    def start_controller(self, zones: Path) -> ControllerProcess:
        """Starts a controller with a settings file for DNS zones, and the simulated requests."""
        config = self._folder / "config.json"
        config.write_bytes(
            node_config(self.listen, self.discovery.address, self.relay.address, len(self.proxies))
        )
        self.controller = ControllerProcess(self.loop, config, zones)
        self.loop.start("requests", self.traffic.run())
        return self.controller

    def run_until(
        self, condition: Callable[[], object], timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> bool:
        """Runs the loop until a condition is true.

        Returns False if the controller ends or the timeout expires first.
        """
        deadline_us = now_us() + round(timeout_s * 1e6)
        while not condition():
            controller_ended = self.controller is not None and not self.controller.is_running
            if controller_ended or now_us() > deadline_us:
                return False
            self.loop.run_once(now_us() + MAX_TURN_US)
        return True

    def run_for(self, seconds: float) -> None:
        """Runs the loop for a number of seconds."""
        end_us = now_us() + round(seconds * 1e6)
        self.run_until(lambda: now_us() >= end_us, seconds + 1)

    def stop_controller(self, controller: ControllerProcess) -> int:
        """Stops the controller with SIGTERM, reads the rest of its log and returns its exit code."""
        controller.terminate()
        self.run_until(lambda: not controller.is_running, STOP_TIMEOUT_S)
        for _ in range(FINAL_TURNS):
            self.loop.run_once(now_us())
        return controller.exit_code()

    def close(self) -> None:
        """Stops the controller and closes everything else."""
        if self.controller is not None:
            self.controller.kill()
        self.traffic.close()
        self.loop.close()
        if self.controller is not None:
            self.controller.close()


def _answer_health_checks(connection: HttpConnection) -> Coroutine[None]:
    while (yield from connection.read_request()) is not None:
        yield from connection.respond(200, b"")

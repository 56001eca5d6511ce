"""Simulated requests of the proxies, and report collectors that send their totals to the controller."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable, Sequence

from kelpcourse.lab.config import READ, ROOMS, SUBMIT, room_of
from kelpcourse.lab.loopback import now_us
from kelpcourse.lab.proxy import Proxy
from kelpcourse.lab.rules import RuleChecker
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.wire.stream import Address

ROUND_US = 100_000
REQUESTS_PER_ROUND = 20  # Requests of each proxy in a round.
REQUESTS_PER_SUBMIT = 4  # Number of requests of which one is of the class SUBMIT.
REQUESTS_PER_S = REQUESTS_PER_ROUND * 1e6 / ROUND_US
REPORT_INTERVAL_US = 1_000_000
MEAN_LATENCY_MS = 40.0
CONNECT_TIMEOUT_S = 0.2


class Traffic:
    """Simulates requests by picking endpoints from the proxies' tables; nothing is sent to an endpoint.

    Attributes:
        served: Number of requests by endpoint.
    """

    def __init__(
        self,
        proxies: Sequence[Proxy],
        checker: RuleChecker,
        controller: Address,
        serving: Callable[[str], set[str]],
        seed: int,
    ) -> None:
        """Initializes the traffic; `run` generates the requests.

        Args:
            proxies: Proxies that receive the requests.
            checker: Checker that every pick is reported to.
            controller: Address that reports are sent to.
            serving: Returns the endpoints that serve a request class.
            seed: Seed of the random number generator.
        """
        self.served: Counter[str] = Counter()
        self._proxies = proxies
        self._checker = checker
        self._controller = controller
        self._serving = serving
        self._rng = random.Random(seed)
        self._collectors: dict[str, socket.socket] = {}
        # Number of attempts since the last report, by zone and endpoint.
        self._attempts: Counter[tuple[str, str]] = Counter()
        # Number of requests since the last report, admitted or not, by proxy and request class.
        self._offered: Counter[tuple[int, str]] = Counter()

    def run(self) -> Coroutine[None]:
        """Generates requests of both classes for each proxy and reports the totals once a second."""
        reported_us = now_us()
        while True:
            yield Wait(now_us() + ROUND_US)
            for proxy in self._proxies:
                for index in range(REQUESTS_PER_ROUND):
                    self._request(proxy, SUBMIT if index % REQUESTS_PER_SUBMIT == 0 else READ)
            if now_us() - reported_us >= REPORT_INTERVAL_US:
                self._report((now_us() - reported_us) / 1000)
                reported_us = now_us()

    def _request(self, proxy: Proxy, request_class: str) -> None:
        if not proxy.bound:  # The proxy has not received a table from a controller yet.
            return
        self._offered[proxy.number, request_class] += 1
        if self._rng.random() >= proxy.admission_ratio(request_class):
            return
        endpoint = proxy.pick(request_class, self._rng)
        serving = self._serving(request_class)
        self._checker.picked(proxy.number, request_class, endpoint, now_us(), serving)
        if endpoint is not None:
            self.served[endpoint] += 1
            self._attempts[proxy.zone, endpoint] += 1

    def _report(self, window_ms: float) -> None:
        lines = {zone: [f"collector az={zone}"] for zone in ROOMS}
        for (zone, endpoint), count in self._attempts.items():
            lines[zone].append(
                f"heard az={zone} host={endpoint} n={count} bad=0 avg={MEAN_LATENCY_MS}"
                f" window={window_ms:.1f}"
            )
        for (proxy, request_class), count in self._offered.items():
            lines[room_of(proxy)].append(
                f"usage sidecar={proxy} kind={request_class} n={count} bad=0 window={window_ms:.1f}"
            )
        self._attempts.clear()
        self._offered.clear()
        for zone, zone_lines in lines.items():
            self._send(zone, "".join(f"{line}\r\n" for line in zone_lines).encode())

    def _send(self, zone: str, data: bytes) -> None:
        """Sends the lines of a collector.

        If the controller is unreachable, the totals are lost, as with real collectors.
        """
        try:
            if zone not in self._collectors:
                connection = socket.create_connection(self._controller, CONNECT_TIMEOUT_S)
                self._collectors[zone] = connection
            self._collectors[zone].sendall(data)
        except OSError:
            broken = self._collectors.pop(zone, None)
            if broken is not None:
                broken.close()

    def close(self) -> None:
        """Closes the collectors' connections."""
        for connection in self._collectors.values():
            connection.close()

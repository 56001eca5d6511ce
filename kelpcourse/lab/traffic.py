"""Simulated requests of the proxies, and the report collectors that send their sums to the controller."""

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
REQUESTS_A_ROUND = 20  # of each proxy
SUBMIT_EVERY = 4  # of which one in so many is a submit
REQUESTS_PER_S = REQUESTS_A_ROUND * 1e6 / ROUND_US
REPORT_US = 1_000_000
ANSWER_MS = 40.0
CONNECT_TIMEOUT_S = 0.2


class Traffic:
    """Picks by the proxies' tables; nothing is sent to an endpoint."""

    def __init__(
        self,
        proxies: Sequence[Proxy],
        checker: RuleChecker,
        controller: Address,
        serving: Callable[[str], set[str]],
        seed: int,
    ) -> None:
        """Starts without any request.

        Args:
            proxies: that requests come to.
            checker: is told of every pick.
            controller: where reports go.
            serving: the endpoints that serve a class.
            seed: of all draws.
        """
        self.served: Counter[str] = Counter()  # requests by endpoint
        self._proxies = proxies
        self._checker = checker
        self._controller = controller
        self._serving = serving
        self._draw = random.Random(seed)
        self._collectors: dict[str, socket.socket] = {}
        self._attempts: Counter[tuple[str, str]] = Counter()  # by zone and endpoint
        self._offered: Counter[tuple[int, str]] = Counter()  # by proxy and class

    def run(self) -> Coroutine[None]:
        """Each proxy picks for requests of both classes; once a second the collectors report the sums."""
        reported_us = now_us()
        while True:
            yield Wait(now_us() + ROUND_US)
            for proxy in self._proxies:
                for index in range(REQUESTS_A_ROUND):
                    self._request(proxy, SUBMIT if index % SUBMIT_EVERY == 0 else READ)
            if now_us() - reported_us >= REPORT_US:
                self._report((now_us() - reported_us) / 1000)
                reported_us = now_us()

    def _request(self, proxy: Proxy, request_class: str) -> None:
        if not proxy.bound:  # no controller has steered it yet
            return
        self._offered[proxy.number, request_class] += 1
        if self._draw.random() >= proxy.admission_ratio(request_class):
            return
        endpoint = proxy.pick(request_class, self._draw)
        serving = self._serving(request_class)
        self._checker.picked(proxy.number, request_class, endpoint, now_us(), serving)
        if endpoint is not None:
            self.served[endpoint] += 1
            self._attempts[proxy.zone, endpoint] += 1

    def _report(self, window_ms: float) -> None:
        lines = {zone: [f"collector az={zone}"] for zone in ROOMS}
        for (zone, endpoint), count in self._attempts.items():
            lines[zone].append(
                f"heard az={zone} host={endpoint} n={count} bad=0 avg={ANSWER_MS}"
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
        """Sends a collector's lines; a controller that is away loses these sums, as real ones do."""
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

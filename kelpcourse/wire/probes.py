"""Probes: one short call to a host, and what came of it."""

from __future__ import annotations

from collections import deque

from kelpcourse.facade import InvalidReportError
from kelpcourse.wire.fields import BadMessage, json_object, number
from kelpcourse.wire.http import dial
from kelpcourse.wire.loop import Routine
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Act, Address, Broken, Refused, Silent

LOAD = "/metrics/load"
OUTCOMES = {200: "ok", 503: "full"}  # any other status is an error
Load = tuple[tuple[str, float], ...]


def read_load(body: memoryview) -> Load:
    """A load report; figures that are none are left out."""
    if not body:  # the deployment has no reports
        return ()
    fields = json_object(body)
    pairs = []
    for name in fields:
        try:
            pairs.append((name, number(fields, name)))
        except BadMessage:
            continue
    return tuple(pairs)


class Probes:
    def __init__(self, parts: Runtime) -> None:
        self._parts = parts
        self._running = 0
        self._waiting: deque[tuple[str, Address]] = deque()

    def probe(self, host: str, address: Address) -> None:
        """Each probe is answered to the module, also one that there was no room for."""
        if len(self._waiting) >= self._parts.limits.max_queued_health_checks:
            self._answer(host, "cancelled", 0, ())
            return
        self._waiting.append((host, address))
        self._start_next()

    def _start_next(self) -> None:
        while self._waiting and self._running < self._parts.limits.max_concurrent_health_checks:
            host, address = self._waiting.popleft()
            self._running += 1
            self._parts.loop.start("probe", self._run(host, address))

    def _run(self, host: str, address: Address) -> Routine:
        """A probe that ends by a defect is answered too, and the next one has its turn: the module awaits both."""
        began_us = self._parts.clock()
        try:
            outcome, load = yield from self._ask(
                address, began_us + self._parts.limits.health_check_timeout_us
            )
        except Exception:
            self._end(host, "error", began_us, ())
            raise
        self._end(host, outcome, began_us, load)

    def _end(self, host: str, outcome: str, began_us: int, load: Load) -> None:
        self._running -= 1
        self._answer(host, outcome, self._parts.clock() - began_us, load)
        self._start_next()

    def _ask(self, address: Address, until_us: int) -> Act[tuple[str, Load]]:
        self._parts.counters.add("health_checks")
        try:
            client = yield from dial(address, self._parts.limits, until_us)
        except Refused:
            return "connect_failed", ()
        try:
            yield from client.request("GET", LOAD, None)
            status = yield from client.status(until_us)
            body = yield from client.whole_body(until_us)
            return OUTCOMES.get(status, "error"), read_load(body)
        except Silent:
            return "timeout", ()
        except Broken:
            return "reset", ()
        except BadMessage as error:
            self._parts.bad_message("health_check", error)
            return "error", ()
        finally:
            client.close()

    def _answer(self, host: str, outcome: str, took_us: int, load: Load) -> None:
        self._parts.counters.add(f"health_checks_{outcome}")
        try:
            self._parts.facade.report_probe(host, outcome, took_us, load)
        except InvalidReportError as error:
            self._parts.bad_message("health_check", error)

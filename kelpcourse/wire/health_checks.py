"""Active health checks, each of which is one short HTTP request to an endpoint.

HTTP statuses map to outcomes: 200 is `ok`, 503 is `full`, and any other is `error`. The body is the endpoint's load
report, a JSON object of numbers, if the deployment uses load reports.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from kelpcourse.facade import InvalidReportError
from kelpcourse.wire.errors import (
    ConnectError,
    InvalidMessageError,
    StreamError,
    StreamTimeoutError,
)
from kelpcourse.wire.fields import parse_json_object, require_number
from kelpcourse.wire.http import HttpClient, connect_http
from kelpcourse.wire.loop import Coroutine
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address

LOAD_PATH = "/metrics/load"
OUTCOME_OF_STATUS = {200: "ok", 503: "full"}
LoadReport = tuple[tuple[str, float], ...]


@dataclass(frozen=True)
class HealthCheckResult:
    """The result of a health check.

    Attributes:
        outcome: Name of a `HealthCheckStatus`.
        load: Load report of the endpoint; empty if it sent none.
    """

    outcome: str
    load: LoadReport = ()


def decode_load_report(body: memoryview) -> LoadReport:
    """Decodes a load report; values that are not valid numbers are left out.

    Raises:
        NotJsonError: The body is not a JSON object.
    """
    if not body:  # the deployment does not use load reports
        return ()
    fields = parse_json_object(body)
    pairs: list[tuple[str, float]] = []
    for name in fields:
        try:
            pairs.append((name, require_number(fields, name)))
        except InvalidMessageError:
            continue
    return tuple(pairs)


class HealthChecker:
    """Runs a limited number of health checks at a time and reports the result of each."""

    def __init__(self, runtime: Runtime) -> None:
        """Initializes a checker without running or queued checks."""
        self._runtime = runtime
        self._running = 0
        self._queued: deque[tuple[str, Address]] = deque()

    def check(self, endpoint: str, address: Address) -> None:
        """Starts a check or queues it.

        The result of each check is reported, including a check that is cancelled because the queue is full.
        """
        if len(self._queued) >= self._runtime.limits.max_queued_health_checks:
            self._report(endpoint, HealthCheckResult("cancelled"), 0)
            return
        self._queued.append((endpoint, address))
        self._start_next()

    def _start_next(self) -> None:
        while self._queued and self._running < self._runtime.limits.max_concurrent_health_checks:
            endpoint, address = self._queued.popleft()
            self._running += 1
            self._runtime.loop.start("health check", self._run(endpoint, address))

    def _run(self, endpoint: str, address: Address) -> Coroutine[None]:
        """Runs one check and reports its result, even if it ends with an unexpected error."""
        started_us = self._runtime.clock()
        try:
            result = yield from self._check(
                address, started_us + self._runtime.limits.health_check_timeout_us
            )
        except Exception:
            self._finish(endpoint, HealthCheckResult("error"), started_us)
            raise
        self._finish(endpoint, result, started_us)

    def _finish(self, endpoint: str, result: HealthCheckResult, started_us: int) -> None:
        self._running -= 1
        self._report(endpoint, result, self._runtime.clock() - started_us)
        self._start_next()

    def _check(self, address: Address, deadline_us: int) -> Coroutine[HealthCheckResult]:
        self._runtime.counters.add("health_checks")
        try:
            client = yield from connect_http(address, self._runtime.limits, deadline_us)
        except ConnectError:
            return HealthCheckResult("connect_failed")
        try:
            with client:
                return (yield from self._request_load(client, deadline_us))
        except StreamTimeoutError:
            return HealthCheckResult("timeout")
        except StreamError:
            return HealthCheckResult("reset")
        except InvalidMessageError as error:
            self._runtime.reject_message("health_check", error)
            return HealthCheckResult("error")

    def _request_load(self, client: HttpClient, deadline_us: int) -> Coroutine[HealthCheckResult]:
        yield from client.send_request("GET", LOAD_PATH, None, deadline_us)
        status = yield from client.read_status(deadline_us)
        body = yield from client.read_body(deadline_us)
        load = decode_load_report(body)
        return HealthCheckResult(OUTCOME_OF_STATUS.get(status, "error"), load)

    def _report(self, endpoint: str, result: HealthCheckResult, duration_us: int) -> None:
        self._runtime.counters.add(f"health_checks_{result.outcome}")
        try:
            self._runtime.facade.report_health_check(
                endpoint, result.outcome, duration_us, result.load
            )
        except InvalidReportError as error:
            self._runtime.reject_message("health_check", error)

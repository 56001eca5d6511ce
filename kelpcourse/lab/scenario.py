"""The demo's scenario: a controller follows a DNS zone from which an update removes a room, which is then restored."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dns.rcode
import dns.update

from kelpcourse.lab.config import READ, SUBMIT, SUBMIT_ROOM, room_of
from kelpcourse.lab.loopback import free_address, now_us
from kelpcourse.lab.primary import KEY_NAME, ORIGIN, SERVICE, Primary, write_settings
from kelpcourse.lab.proxy import mean_shares
from kelpcourse.lab.world import Lab
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.memory.orders import Order, RestoreEndpoint, WithdrawEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.restore import RestoreResult
from kelpcourse.zones.settings import format_address

FIRST_SERIAL = 1
PrintLine = Callable[[str], None]


@dataclass
class Summary:
    """The results of a scenario.

    Attributes:
        pick_count: Number of picks by proxies.
        removed: Endpoints that the update removed.
        withdrawn_ms: Time from the response to the update until no proxy uses a removed endpoint, in milliseconds.
        restored_ms: Time from the restore until every proxy can use all endpoints again, in milliseconds.
        alarms: Request classes without a ready endpoint, as logged at each change; empty once every class has one.
        violations: Descriptions of rule violations.
        failure: Reason why the scenario failed, or empty.
        exit_code: Exit code of the controller.
    """

    pick_count: int = 0
    removed: list[str] = field(default_factory=list)
    withdrawn_ms: float = 0.0
    restored_ms: float = 0.0
    alarms: list[list[str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    failure: str = ""
    exit_code: int = 0

    @property
    def passed(self) -> bool:
        """Whether the scenario completed without a rule violation and the controller exited with 0."""
        return not (self.failure or self.violations or self.exit_code)


@dataclass(frozen=True)
class EndpointRow:
    """A row of the terminal's table, for one endpoint."""

    name: str
    room: str
    state: str
    read_share: float
    submit_share: float
    served: int


def alarm_text(classes: Sequence[str]) -> str:
    """Returns the line about classes without a ready endpoint, or about the end of that alarm if there are none."""
    if not classes:
        return "alarm  over: each class has a ready endpoint"
    return f"alarm  no ready endpoint for: {', '.join(classes)}"


class ScenarioError(Exception):
    """Raised when a step of the scenario fails or is not completed in time."""


class Scenario:
    """One run of the demo.

    Attributes:
        lab: The simulated environment.
        summary: Results so far.
        primary: The DNS primary.
    """

    def __init__(
        self,
        folder: Path,
        proxy_count: int,
        endpoint_count: int,
        print_line: PrintLine,
        pause_s: float,
        on_turn: Callable[[Scenario], None] = lambda _: None,
    ) -> None:
        """Sets up everything but the controller.

        Args:
            folder: Folder for settings and state.
            proxy_count: Number of proxies.
            endpoint_count: Number of endpoints, alternating between the rooms.
            print_line: Prints a line about each event.
            pause_s: Pause between two steps, in seconds.
            on_turn: Called in each turn of the loop.
        """
        self.lab = Lab(folder, proxy_count)
        self.summary = Summary()
        self._print_line = print_line
        self._pause_s = pause_s
        self._on_turn = on_turn
        rooms = {f"s-{index}": room_of(index) for index in range(endpoint_count)}
        self._removed = [name for name, room in rooms.items() if room == SUBMIT_ROOM]
        entries = [(name, room, self.lab.add_endpoint(name, room)) for name, room in rooms.items()]
        dns_address = free_address()
        notify_address = free_address()
        self.primary = Primary(
            self.lab.loop, folder, dns_address, entries, notify_address, self._on_endpoints
        )
        source = f'primary "{format_address(dns_address)}" key="{KEY_NAME}"'
        self._zones = write_settings(folder, "controller", notify_address, source)
        self.lab.relay.on_order = self._on_order

    def _on_endpoints(self, endpoints: Sequence[ListedEndpoint]) -> None:
        now = now_us()
        for endpoint in endpoints:
            if endpoint.status is EndpointStatus.READY:
                self.lab.checker.endpoint_ready(endpoint.name, now)
            else:
                self.lab.checker.endpoint_stopped(endpoint.name, now)

    def _on_order(self, order: Order) -> None:
        match order:
            case WithdrawEndpoint(endpoint):
                self._print_line(f"order  withdraw {endpoint}")
            case RestoreEndpoint(endpoint):
                self._print_line(f"order  restore {endpoint}")

    def _on_log(self, line: Mapping[str, Any]) -> None:
        match line["event"]:
            case "zone_classes_without_endpoints":
                self.summary.alarms.append(line["classes"])
                self._print_line(alarm_text(line["classes"]))
            case "zone_updated":
                serial = line["serial"]
                self._print_line(
                    f"zone   {line['zone']} serial {serial}, {line['hosts']} endpoints"
                )
            case "unexpected_error":
                self.summary.failure = f"unexpected error in the controller: {line['error']}"

    def run(self) -> Summary:
        """Runs the scenario, stops everything that it started and returns the results."""
        try:
            self._run_steps()
        except ScenarioError as error:
            self.summary.failure = str(error)
        finally:
            controller = self.lab.controller
            if controller is not None and controller.is_running:
                self.summary.exit_code = self.lab.stop_controller(controller)
            self.summary.pick_count = self.lab.checker.pick_count
            self.summary.violations = list(self.lab.checker.violations)
            self.lab.close()
            self.primary.close()
        return self.summary

    def _wait_until(self, condition: Callable[[], object], description: str) -> None:
        def check_condition() -> object:
            self._on_turn(self)
            return condition()

        if not self.lab.run_until(check_condition):
            raise ScenarioError(f"condition not reached: {description}")

    def _pause(self) -> None:
        end_us = now_us() + round(self._pause_s * 1e6)
        self._wait_until(lambda: now_us() >= end_us, "the pause ends")

    def _run_steps(self) -> None:
        lab = self.lab
        self.primary.start()
        self._wait_until(lambda: self.primary.ready, "the primary accepts updates")
        self._print_line(
            f"start  DNS primary for {ORIGIN}, controller as its secondary,"
            f" {len(lab.proxies)} proxies"
        )
        lab.start_controller(self._zones).on_log = self._on_log
        self._wait_until(
            lambda: all(proxy.weights(READ) and proxy.weights(SUBMIT) for proxy in lab.proxies),
            "all proxies have tables",
        )
        self._pause()
        self._remove_room()
        self._pause()
        self._restore_room()
        self._pause()

    def _remove_room(self) -> None:
        """Removes all of room-a by one update; `move-submit` has no endpoint elsewhere."""
        rcodes: list[dns.rcode.Rcode] = []

        def prepare(message: dns.update.UpdateMessage) -> None:
            message.delete(f"{SERVICE}.{SUBMIT_ROOM}")
            for name in self._removed:
                message.delete(name)

        self._print_line(f"update remove all records of {SUBMIT_ROOM}")
        self.primary.update(prepare, rcodes.append)
        self._wait_until(lambda: rcodes, "the update is answered")
        self._print_line(f"result {dns.rcode.to_text(rcodes[0])}, serial {self.primary.serial}")
        began_us = now_us()
        self.summary.removed = list(self._removed)
        removed = set(self._removed)
        self._wait_until(
            lambda: all(removed.isdisjoint(proxy.weights(READ)) for proxy in self.lab.proxies),
            f"no proxy uses an endpoint of {SUBMIT_ROOM}",
        )
        self.summary.withdrawn_ms = (now_us() - began_us) / 1000
        self._print_line(
            f"done   no proxy uses an endpoint of {SUBMIT_ROOM},"
            f" {self.summary.withdrawn_ms:.0f} ms after the response"
        )

    def _restore_room(self) -> None:
        results: list[RestoreResult] = []
        self._print_line(f"restore the zone to the version with serial {FIRST_SERIAL}")
        began_us = now_us()
        self.primary.restore(FIRST_SERIAL, results.append)
        self._wait_until(lambda: results, "the restore is completed")
        if results[0].error:
            raise ScenarioError(results[0].error)
        removed = set(self._removed)
        self._wait_until(
            lambda: all(
                removed.issubset(proxy.weights(READ)) and proxy.weights(SUBMIT)
                for proxy in self.lab.proxies
            ),
            f"every proxy uses {SUBMIT_ROOM} again",
        )
        self.summary.restored_ms = (now_us() - began_us) / 1000
        self._print_line(
            f"done   every proxy uses {SUBMIT_ROOM} again,"
            f" {self.summary.restored_ms:.0f} ms after the restore"
        )

    def rows(self) -> list[EndpointRow]:
        """Returns a row for each endpoint in its current state, sorted by name."""
        reads = mean_shares(self.lab.proxies, READ)
        submits = mean_shares(self.lab.proxies, SUBMIT)
        return [
            EndpointRow(
                name,
                room,
                self._state_of(name),
                reads.get(name, 0.0),
                submits.get(name, 0.0),
                self.lab.traffic.served[name],
            )
            for name, room in sorted(self.lab.rooms.items())
        ]

    def _state_of(self, endpoint: str) -> str:
        state = "ready" if endpoint in self.lab.checker.ready_since_us else "gone"
        withdrawn_at = sum(endpoint in proxy.withdrawn for proxy in self.lab.proxies)
        return f"{state}, withdrawn at {withdrawn_at} proxies" if withdrawn_at else state


def run_scenario(
    print_line: PrintLine,
    proxy_count: int = 8,
    endpoint_count: int = 6,
    pause_s: float = 4.0,
    on_turn: Callable[[Scenario], None] = lambda _: None,
) -> Summary:
    """Runs the scenario in a temporary folder and returns its results."""
    with tempfile.TemporaryDirectory(prefix="kelpcourse-") as folder:
        return Scenario(
            Path(folder), proxy_count, endpoint_count, print_line, pause_s, on_turn
        ).run()

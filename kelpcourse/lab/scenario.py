"""The demo's scenario: a controller on a DNS zone, a room removed by one update, and the room restored."""

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
Say = Callable[[str], None]


@dataclass
class Summary:
    """What came of a scenario. Times in milliseconds."""

    pick_count: int = 0
    removed: list[str] = field(default_factory=list)
    withdrawn_ms: float = 0.0  # from the update's answer until no proxy uses a removed endpoint
    restored_ms: float = 0.0  # from the restore until every proxy may use all endpoints again
    alarms: list[list[str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    failure: str = ""
    exit_code: int = 0

    @property
    def passed(self) -> bool:
        """Whether everything came about and no rule broke."""
        return not (self.failure or self.violations or self.exit_code)


@dataclass(frozen=True)
class EndpointRow:
    """One endpoint as the terminal shows it."""

    name: str
    room: str
    state: str
    read_share: float
    submit_share: float
    served: int


class ScenarioError(Exception):
    """Something did not come about."""


class Scenario:
    """One play of the demo."""

    def __init__(
        self,
        folder: Path,
        proxy_count: int,
        endpoint_count: int,
        say: Say,
        calm_s: float,
        on_turn: Callable[[Scenario], None] = lambda _: None,
    ) -> None:
        """Sets everything up but the controller.

        Args:
            folder: for settings and state.
            proxy_count: proxies.
            endpoint_count: endpoints, in both rooms in turn.
            say: is told what happens, a line each.
            calm_s: between two steps.
            on_turn: is called in each turn of the loop.
        """
        self.lab = Lab(folder, proxy_count)
        self.summary = Summary()
        self._say = say
        self._calm_s = calm_s
        self._on_turn = on_turn
        rooms = {f"s-{index}": room_of(index) for index in range(endpoint_count)}
        self._removed = [name for name, room in rooms.items() if room == SUBMIT_ROOM]
        entries = [(name, room, self.lab.add_endpoint(name, room)) for name, room in rooms.items()]
        dns_address = free_address()
        notify_address = free_address()
        self.primary = Primary(
            self.lab.loop, folder, dns_address, entries, notify_address, self._announced
        )
        source = f'primary "{format_address(dns_address)}" key="{KEY_NAME}"'
        self._zones = write_settings(folder, "controller", notify_address, source)
        self.lab.relay.on_order = self._ordered

    def _announced(self, endpoints: Sequence[ListedEndpoint]) -> None:
        now = now_us()
        for endpoint in endpoints:
            if endpoint.status is EndpointStatus.READY:
                self.lab.checker.endpoint_ready(endpoint.name, now)
            else:
                self.lab.checker.endpoint_stopped(endpoint.name, now)

    def _ordered(self, order: Order) -> None:
        match order:
            case WithdrawEndpoint(endpoint):
                self._say(f"order  OUT {endpoint}")
            case RestoreEndpoint(endpoint):
                self._say(f"order  IN  {endpoint}")

    def _logged(self, line: Mapping[str, Any]) -> None:
        match line["event"]:
            case "zone_classes_without_endpoints":
                self.summary.alarms.append(line["classes"])
                classes = ", ".join(line["classes"]) or "none"
                self._say(f"alarm  no ready endpoint for: {classes}")
            case "zone_updated":
                serial = line["serial"]
                self._say(f"zone   {line['zone']} serial {serial}, {line['hosts']} endpoints")
            case "unexpected_error":
                self.summary.failure = f"an unexpected error in the controller: {line['error']}"

    def run(self) -> Summary:
        """Plays it, and ends what it started."""
        try:
            self._play()
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
        def checked() -> object:
            self._on_turn(self)
            return condition()

        if not self.lab.run_until(checked):
            raise ScenarioError(f"did not come about: {description}")

    def _calm(self) -> None:
        end_us = now_us() + round(self._calm_s * 1e6)
        self._wait_until(lambda: now_us() >= end_us, "time passes")

    def _play(self) -> None:
        lab = self.lab
        self.primary.start()
        self._wait_until(lambda: self.primary.ready, "the primary keeps its state")
        self._say(
            f"start  a DNS primary for {ORIGIN}, a controller that follows it,"
            f" {len(lab.proxies)} proxies"
        )
        lab.start_controller(self._zones).on_log = self._logged
        self._wait_until(
            lambda: all(proxy.weights(READ) and proxy.weights(SUBMIT) for proxy in lab.proxies),
            "all proxies have tables",
        )
        self._calm()
        self._remove_room()
        self._calm()
        self._restore_room()
        self._calm()

    def _remove_room(self) -> None:
        """Removes all of room-a by one update; `move-submit` has no endpoint anywhere else."""
        rcodes: list[dns.rcode.Rcode] = []

        def prepare(message: dns.update.UpdateMessage) -> None:
            message.delete(f"{SERVICE}.{SUBMIT_ROOM}")
            for name in self._removed:
                message.delete(name)

        self._say(f"update removes every record of {SUBMIT_ROOM}")
        self.primary.update(prepare, rcodes.append)
        self._wait_until(lambda: rcodes, "the update is answered")
        self._say(f"answer {dns.rcode.to_text(rcodes[0])}, serial {self.primary.serial}")
        began_us = now_us()
        self.summary.removed = list(self._removed)
        removed = set(self._removed)
        self._wait_until(
            lambda: all(removed.isdisjoint(proxy.weights(READ)) for proxy in self.lab.proxies),
            f"every proxy leaves {SUBMIT_ROOM}",
        )
        self.summary.withdrawn_ms = (now_us() - began_us) / 1000
        self._say(
            f"done   no proxy uses an endpoint of {SUBMIT_ROOM},"
            f" {self.summary.withdrawn_ms:.0f} ms after the answer"
        )

    def _restore_room(self) -> None:
        answers: list[RestoreResult] = []
        self._say(f"restore puts the zone back as it was at serial {FIRST_SERIAL}")
        began_us = now_us()
        self.primary.restore(FIRST_SERIAL, answers.append)
        self._wait_until(lambda: answers, "the restore is answered")
        if answers[0].error:
            raise ScenarioError(answers[0].error)
        removed = set(self._removed)
        self._wait_until(
            lambda: all(
                removed.issubset(proxy.weights(READ)) and proxy.weights(SUBMIT)
                for proxy in self.lab.proxies
            ),
            f"every proxy may use {SUBMIT_ROOM} again",
        )
        self.summary.restored_ms = (now_us() - began_us) / 1000
        self._say(
            f"done   {SUBMIT_ROOM} is back at every proxy,"
            f" {self.summary.restored_ms:.0f} ms after the restore"
        )

    def rows(self) -> list[EndpointRow]:
        """All endpoints by name, as they are now."""
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
        return f"{state}, out at {withdrawn_at}" if withdrawn_at else state


def play(
    say: Say,
    proxy_count: int = 8,
    endpoint_count: int = 6,
    calm_s: float = 4.0,
    on_turn: Callable[[Scenario], None] = lambda _: None,
) -> Summary:
    """Plays the scenario in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="kelpcourse-") as folder:
        return Scenario(Path(folder), proxy_count, endpoint_count, say, calm_s, on_turn).run()

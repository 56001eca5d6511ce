"""What the demo plays: a director on a zone, a room removed by one update, and the room put back."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dns.rcode
import dns.update

from kelpcourse.lab.config import READ, SUBMIT
from kelpcourse.lab.forwarder import shares
from kelpcourse.lab.primary import ORIGIN, SERVICE, Primary, write_settings
from kelpcourse.lab.world import Lab, free_address, now_us
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.service import Restored
from kelpcourse.zones.settings import format_address

Say = Callable[[str], None]


@dataclass
class Summary:
    """What came of it. Times in milliseconds."""

    picks: int = 0
    removed: list[str] = field(default_factory=list)
    out_ms: float = 0.0  # from the update's answer until no forwarder holds a removed host
    back_ms: float = 0.0  # from the restore until every forwarder may use all hosts again
    alarms: list[list[str]] = field(default_factory=list)
    breaks: list[str] = field(default_factory=list)
    failed: str = ""
    exit_code: int = 0

    @property
    def good(self) -> bool:
        return not (self.failed or self.breaks or self.exit_code)


class Story:
    def __init__(
        self,
        folder: Path,
        forwarders: int,
        hosts: int,
        say: Say,
        calm_s: float,
        on_turn: Callable[[Story], None] = lambda _: None,
    ) -> None:
        self.lab = Lab(folder, forwarders)
        self.summary = Summary()
        self._say = say
        self._calm_s = calm_s
        self._on_turn = on_turn
        known = [(f"s-{k}", f"room-{'ab'[k % 2]}") for k in range(hosts)]
        self._room_a = [name for name, room in known if room == "room-a"]
        entries = [(name, room, self.lab.add_host(name, room)) for name, room in known]
        dns_listen, notify = free_address(), free_address()
        self.primary = Primary(self.lab.loop, folder, dns_listen, entries, notify, self._announced)
        self._zones = write_settings(
            folder,
            "director",
            notify,
            f'primary "{format_address(dns_listen)}" key="staff.games.example.org."',
        )
        self.lab.on_order = self._ordered
        self.lab.on_log = self._logged

    def _announced(self, members: Sequence[ListedEndpoint]) -> None:
        now = now_us()
        for member in members:
            if member.status is EndpointStatus.READY:
                self.lab.checker.announced(member.name, now)
            else:
                self.lab.checker.stopped(member.name, now)

    def _ordered(self, order: Mapping[str, Any]) -> None:
        if order["verb"] in ("OUT", "IN"):
            self._say(f"order  {order['verb']:<3} {order['host']}")

    def _logged(self, line: Mapping[str, Any]) -> None:
        if line["event"] == "zone_classes_without_endpoints":
            self.summary.alarms.append(line["classes"])
            self._say(f"alarm  no ready host for: {', '.join(line['classes']) or 'none'}")
        elif line["event"] == "zone_updated":
            self._say(f"zone   {line['zone']} serial {line['serial']}, {line['hosts']} hosts")
        elif line["event"] == "unexpected_error":
            self.summary.failed = f"a defect in the director: {line['error']}"

    def run(self) -> Summary:
        try:
            self._play()
        except _Stuck as error:
            self.summary.failed = str(error)
        finally:
            if self.lab.running:
                self.summary.exit_code = self.lab.stop_director()
            self.summary.picks = self.lab.checker.picks
            self.summary.breaks = list(self.lab.checker.breaks)
            self.lab.close()
            self.primary.close()
        return self.summary

    def _until(self, what: Callable[[], object], that: str) -> None:
        def turned() -> object:
            self._on_turn(self)
            return what()

        if not self.lab.until(turned):
            raise _Stuck(f"did not come about: {that}")

    def _calm(self) -> None:
        ends = now_us() + round(self._calm_s * 1e6)
        self._until(lambda: now_us() >= ends, "time passes")

    def _play(self) -> None:
        lab, primary = self.lab, self.primary
        primary.start()
        self._until(lambda: primary.ready, "the primary keeps its state")
        self._say(
            f"start  a DNS primary for {ORIGIN}, a director that follows it, {len(lab.forwarders)} forwarders"
        )
        lab.start_director(self._zones)
        self._until(
            lambda: all(f.lines(READ) and f.lines(SUBMIT) for f in lab.forwarders),
            "all are steered",
        )
        self._calm()
        self._remove()
        self._calm()
        self._put_back()
        self._calm()

    def _remove(self) -> None:
        """The whole of room-a, by one update; `move-submit` has no host anywhere else."""
        rcodes: list[dns.rcode.Rcode] = []

        def prepare(message: dns.update.UpdateMessage) -> None:
            message.delete(f"{SERVICE}.room-a")
            for name in self._room_a:
                message.delete(name)

        self._say("update removes every record of room-a")
        self.primary.update(prepare, rcodes.append)
        self._until(lambda: rcodes, "the update is answered")
        self._say(f"answer {dns.rcode.to_text(rcodes[0])}, serial {self.primary.serial}")
        began = now_us()
        self.summary.removed = list(self._room_a)
        self._until(
            lambda: all(not set(f.lines(READ)) & set(self._room_a) for f in self.lab.forwarders),
            "every forwarder leaves room-a",
        )
        self.summary.out_ms = (now_us() - began) / 1000
        self._say(
            f"done   no forwarder holds a host of room-a, {self.summary.out_ms:.0f} ms after the answer"
        )

    def _put_back(self) -> None:
        answers: list[Restored] = []
        self._say("restore puts the zone back as it was at serial 1")
        began = now_us()
        self.primary.restore(1, answers.append)
        self._until(lambda: answers, "the restore is answered")
        if answers[0].error:
            raise _Stuck(answers[0].error)
        self._until(
            lambda: all(
                set(self._room_a) <= set(f.lines(READ)) and f.lines(SUBMIT)
                for f in self.lab.forwarders
            ),
            "every forwarder may use room-a again",
        )
        self.summary.back_ms = (now_us() - began) / 1000
        self._say(
            f"done   room-a is back at every forwarder, {self.summary.back_ms:.0f} ms after the restore"
        )

    def table(self) -> list[tuple[str, str, str, float, float, int]]:
        """Host, room, state, mean shares of both classes, requests served."""
        rows = []
        reads, submits = (shares(self.lab.forwarders, cls) for cls in (READ, SUBMIT))
        for name, room in sorted(self.lab.rooms.items()):
            held = sum(name in f.out for f in self.lab.forwarders)
            state = "ready" if name in self.lab.checker.ready_us else "gone"
            rows.append(
                (
                    name,
                    room,
                    f"{state}, out at {held}" if held else state,
                    reads.get(name, 0.0),
                    submits.get(name, 0.0),
                    self.lab.served.get(name, 0),
                )
            )
        return rows


class _Stuck(Exception):
    pass


def play(
    say: Say,
    forwarders: int = 8,
    hosts: int = 6,
    calm_s: float = 4.0,
    on_turn: Callable[[Story], None] = lambda _: None,
) -> Summary:
    with tempfile.TemporaryDirectory(prefix="kelpcourse-") as folder:
        return Story(Path(folder), forwarders, hosts, say, calm_s, on_turn).run()

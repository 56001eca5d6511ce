"""Groups steered under leases: three controllers on one fleet, each message over a socket; one dies or errs."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from kelpcourse.fields import Fields
from kelpcourse.lab.config import READ, settings
from kelpcourse.lab.loopback import LISTEN_HOST, free_address, now_us
from kelpcourse.lab.world import Lab
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.orders import WithdrawEndpoint
from kelpcourse.settings import read_settings
from kelpcourse.shared.controller_events import ControllerOptions
from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.group_controller import GroupContext, GroupControllers
from kelpcourse.shared.lease_timing import LeaseTiming
from kelpcourse.shared.member import FleetMember, MemberSettings
from kelpcourse.shared.raft.options import RaftOptions
from kelpcourse.wire.http import connect_http
from kelpcourse.wire.loop import Coroutine, Task
from kelpcourse.wire.storage import StorageThread
from kelpcourse.zones.settings import format_address
from tests.standins import RecordingLog

MS = 1000
GROUPS, FORWARDERS = 6, 6


class Fleet:
    """Three controllers with directors behind them, a relay that fences, six forwarders, discovery, four hosts."""

    def __init__(self, folder: Path) -> None:
        self.lab = Lab(folder, FORWARDERS, drain_grace_us=1 << 40, max_without_endpoint_us=1 << 40)
        self.lab.relay.group_count = GROUPS
        self.folder = folder
        self.log = RecordingLog()
        self.addresses = {f"n{k}": free_address(LISTEN_HOST) for k in range(3)}
        self.members: dict[str, FleetMember] = {}
        self.group_controllers: dict[str, GroupControllers] = {}
        self.tasks: dict[str, list[Task]] = {}
        for k in range(4):
            self.lab.add_endpoint(f"s-{k}", f"room-{'ab'[k % 2]}")
            self.lab.checker.endpoint_ready(f"s-{k}", 0)
        self.lab.discovery.publish([self.entry(f"s-{k}") for k in range(4)])
        self.lab.loop.start("requests", self.lab.traffic.run())
        for name in self.addresses:
            self.start(name)

    def entry(self, host: str, phase: str = "ready") -> dict[str, object]:
        return {
            "id": host,
            "host_port": format_address(self.lab.endpoints[host]),
            "locality": self.lab.rooms[host],
            "flavor": "m2",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def start(self, name: str) -> None:
        settings_of_member = MemberSettings(
            name,
            self.addresses[name],
            {n: a for n, a in self.addresses.items() if n != name},
            self.folder / name,
            name == "n0",
            lambda: None,
        )
        options = ControllerOptions(
            GROUPS,
            RaftOptions(20 * MS, 150 * MS),
            LeaseTiming(400 * MS, 0.05, 60 * MS, 250 * MS, 4),
        )
        group_controllers = self.group_controllers
        member = FleetMember(
            self.lab.loop,
            Limits(),
            Counters(),
            self.log,
            settings_of_member,
            options,
            StorageThread(),
            lambda event: (
                group_controllers[name].on_event(event) if name in group_controllers else None
            ),
        )
        context = GroupContext(
            self.lab.loop,
            Limits(),
            Counters(),
            self.log,
            read_settings(Fields.from_nested(settings(FORWARDERS))),
            self.lab.relay.address,
            self.lab.discovery.address,
            7,
            lambda: time.time_ns() // 1_000_000,
            member.epoch,
            member.submit,
        )
        group_controllers[name] = GroupControllers(context)
        self.tasks[name] = []
        member.start(lambda _, make: self.tasks[name].append(self.lab.loop.start(name, make())))
        self.members[name] = member

    def kill(self, name: str) -> None:
        for task in self.tasks.pop(name):
            self.lab.loop.stop(task)
        self.group_controllers.pop(name).close()
        self.members.pop(name).close()

    def until(self, what: str, done: object) -> None:
        assert callable(done)
        assert self.lab.run_until(done), (what, self.log.lines[-5:], self.lab.errors)
        assert not self.lab.errors, self.lab.errors

    def grow(self) -> None:
        for name in ("n1", "n2"):
            for _ in range(2):
                self.until(f"{name} is added", lambda name=name: self._add(name))
        self.until("all are held", lambda: sum(map(len, self.held().values())) == GROUPS)
        self.until("each holds one", lambda: all(self.held().values()))

    def _add(self, name: str) -> bool:
        for member in self.members.values():
            try:
                return bool(member.add(name))
            except RequestRejectedError:
                continue
        return False

    def held(self) -> dict[str, list[int]]:
        return {
            name: [g for g in range(GROUPS) if m.epoch(g) is not None]
            for name, m in self.members.items()
        }

    def steered(self) -> bool:
        return all(set(f.weights(READ)) == {"s-0", "s-1", "s-2", "s-3"} for f in self.lab.proxies)

    def left(self, host: str) -> bool:
        return all(host in f.withdrawn and host not in f.weights(READ) for f in self.lab.proxies)

    def close(self) -> None:
        self.lab.close()
        for member in self.members.values():
            member.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    yield made
    made.close()


def test_each_group_is_controlled_by_its_holder_and_a_drain_survives_a_takeover(
    fleet: Fleet,
) -> None:
    fleet.grow()
    fleet.until("all are steered", fleet.steered)
    assert {group for group, _ in fleet.lab.relay.calls} == set(range(GROUPS))
    leader = next(n for n, m in fleet.members.items() if m.status()["role"] == "leader")
    group = fleet.held()[leader][0]
    epoch_before = fleet.members[leader].epoch(group) or 0
    # The holder learns of the drain, and dies before its relay has heard a word of it.
    fleet.lab.discovery.publish([fleet.entry("s-1", "draining")], complete=False)
    other = next(m for n, m in fleet.members.items() if n != leader)
    fleet.until("the fleet knows", lambda: other.status()["withdrawn"] == ["s-1"])
    fleet.kill(leader)
    fleet.lab.checker.endpoint_stopped("s-1", now_us())
    fleet.until("every forwarder has left the host", lambda: fleet.left("s-1"))
    fleet.until(
        "the group has a holder", lambda: any(group in groups for groups in fleet.held().values())
    )
    fleet.until("its holder orders it", lambda: (group, epoch_before + 1) in fleet.lab.relay.calls)
    highest: dict[int | None, int] = {}
    for (
        called,
        epoch,
    ) in fleet.lab.relay.calls:  # no forwarder ever acted on a lower epoch after a higher one
        assert epoch >= highest.get(called, 0)
        highest[called] = epoch
    assert fleet.lab.checker.violations == []
    assert fleet.lab.checker.pick_count > 0


def test_a_holder_that_wakes_late_is_fenced(fleet: Fleet) -> None:
    """What it had half written before it stood still arrives under its old epoch."""
    fleet.grow()
    fleet.until("all are steered", fleet.steered)
    held = fleet.held()
    victim = next(n for n, m in fleet.members.items() if m.status()["role"] != "leader")
    group = held[victim][0]
    epoch = fleet.members[victim].epoch(group) or 0
    fleet.kill(victim)
    fleet.until("another orders it", lambda: (group, epoch + 1) in fleet.lab.relay.calls)
    before, answers = len(fleet.lab.relay.orders), list[int]()

    def wake() -> Coroutine[None]:
        client = yield from connect_http(fleet.lab.relay.address, Limits(), now_us() + 1_000 * MS)
        body = b'{"orders":[{"verb":"OUT","host":"s-0"},{"verb":"OUT","host":"s-2"}]}'
        yield from client.send_request("POST", f"/v3/kv/groups/{group}/orders?epoch={epoch}", body)
        answers.append((yield from client.read_status(now_us() + 1_000 * MS)))
        client.close()

    fleet.lab.loop.start("a late holder", wake())
    fleet.until("it is answered", lambda: answers)
    assert answers == [409]
    assert fleet.lab.relay.fenced_count == 1
    assert not any(isinstance(o, WithdrawEndpoint) for o in fleet.lab.relay.orders[before:])
    assert all("s-0" not in f.withdrawn for f in fleet.lab.proxies)


def test_a_controller_that_loses_its_majority_stops_ordering(fleet: Fleet) -> None:
    fleet.grow()
    fleet.until("all are steered", fleet.steered)
    alone, *others = fleet.members
    for name in others:
        fleet.kill(name)
    fleet.until("its leases are over", lambda: fleet.held() == {alone: []})
    fleet.until("its directors are gone", lambda: fleet.group_controllers[alone].groups == {})
    calls = len(fleet.lab.relay.calls)
    fleet.lab.discovery.publish([fleet.entry("s-1", "draining")], complete=False)
    fleet.lab.run_for(0.3)
    assert len(fleet.lab.relay.calls) == calls
    assert fleet.steered()  # proxies go on with what they hold

"""Members that run in one loop, with real sockets and files."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from kelpcourse.lab.loopback import LISTEN_HOST, free_address
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared import certificates
from kelpcourse.shared.controller_events import ControllerOptions
from kelpcourse.shared.errors import (
    RequestRejectedError,
)
from kelpcourse.shared.lease_timing import LeaseTiming
from kelpcourse.shared.member import FleetMember, MemberSettings
from kelpcourse.shared.peer_identity import TlsContexts
from kelpcourse.shared.raft.options import RaftOptions
from kelpcourse.wire.loop import Loop
from kelpcourse.wire.storage import StorageThread
from tests.standins import RecordingLog

MS = 1000  # microseconds per millisecond


class MemberRig:
    """Members in one loop on the real clock, so tests wait for conditions and make no assertions about durations."""

    def __init__(self, folder: Path, count: int, tls: bool) -> None:
        self.folder = folder
        self.unexpected_errors: list[Exception] = []
        self.loop = Loop(
            lambda: time.monotonic_ns() // 1000,
            lambda _, error: self.unexpected_errors.append(error),
        )
        self.log = RecordingLog()
        self.names = [f"n{k}" for k in range(count)]
        self.addresses = {name: free_address(LISTEN_HOST) for name in self.names}
        self.members: dict[str, FleetMember] = {}
        self.tasks: dict[str, list[object]] = {}
        self.tls = tls
        if tls:
            certificates.create_authority(folder)
            for name in self.names:
                certificates.create_member_certificate(folder, name)

    def contexts(self, name: str) -> TlsContexts | None:
        files = self.folder / "ca.pem", self.folder / f"{name}.pem", self.folder / f"{name}.key"
        return (
            TlsContexts(
                certificates.tls_context(True, *files), certificates.tls_context(False, *files)
            )
            if self.tls
            else None
        )

    def start(self, name: str, certificate: str = "") -> FleetMember:
        tls = self.contexts(certificate or name)
        settings = MemberSettings(
            name,
            self.addresses[name],
            {n: a for n, a in self.addresses.items() if n != name},
            self.folder / f"state-{name}",
            name == "n0",
            lambda: tls,
        )
        options = ControllerOptions(
            6, RaftOptions(20 * MS, 150 * MS), LeaseTiming(400 * MS, 0.05, 60 * MS, 250 * MS, 4)
        )
        member = FleetMember(
            self.loop,
            Limits(),
            Counters(),
            self.log,
            settings,
            options,
            StorageThread(),
            lambda _: None,
        )
        self.tasks[name] = []
        member.start(
            lambda task_name, factory: self.tasks[name].append(
                self.loop.start(task_name, factory())
            )
        )
        self.members[name] = member
        return member

    def kill(self, name: str) -> None:
        for task in self.tasks.pop(name):
            self.loop.stop(task)  # type: ignore[arg-type]
        self.members.pop(name).close()

    def run_until(self, condition: Callable[[], object]) -> None:
        deadline_s = time.monotonic() + 60
        while not condition():
            assert time.monotonic() < deadline_s, (self.unexpected_errors, self.log.lines[-6:])
            self.loop.run_once(time.monotonic_ns() // 1000 + 5 * MS)
            assert not self.unexpected_errors, self.unexpected_errors

    def leader(self) -> FleetMember | None:
        leaders = [m for m in self.members.values() if m.status().get("role") == "leader"]
        return leaders[0] if leaders else None

    def add_all_voters(self) -> None:
        """Makes all members voters: the first call of `add` adds a learner, the second promotes it."""
        for name in self.names[1:]:
            for _ in range(2):
                self.run_until(lambda name=name: self._try_add(name))  # type: ignore[misc]

    def _try_add(self, name: str) -> bool:
        leader = self.leader()
        try:
            return leader is not None and bool(leader.add(name))
        except RequestRejectedError:
            return False

    def holders(self) -> dict[int, str]:
        return {
            g: name for name, m in self.members.items() for g in range(6) if m.epoch(g) is not None
        }

    def close(self) -> None:
        self.loop.close()
        for member in self.members.values():
            member.close()

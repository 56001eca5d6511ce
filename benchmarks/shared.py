"""Compares placements of proxy groups by several hashes and measures the duration of takeovers.

Run it with `python -m benchmarks.shared`. Takeovers run on controllers with loopback sockets and state on disk, in one
process. The lease holder that is killed is also the leader, which is the worst case. The controllers do not run group
controllers yet: the time is measured from the kill until every group has a lease holder again.
"""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.hashing import place_by_jump, place_by_ring
from kelpcourse.lab.loopback import free_address
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.shared.controller_events import ControllerOptions
from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.lease_timing import LeaseTiming
from kelpcourse.shared.member import FleetMember, MemberSettings
from kelpcourse.shared.placement import count_moved, place
from kelpcourse.wire.loop import Loop, Task
from kelpcourse.wire.storage import StorageThread

GROUPS = 240
TAKEOVER_GROUPS = 24
TIMEOUT_S = 30
LEASE_MS = 1_200


def placement() -> None:
    """Prints how evenly each method places groups, and how many groups move when the members change."""
    print(f"## {GROUPS} groups on five controllers, one of which leaves and rejoins\n")
    print(
        "| method | most on one (even: 48) | least | moved when one of five leaves | moved when it rejoins |"
    )
    print("| --- | ---: | ---: | ---: | ---: |")
    names = [f"n{k}" for k in range(5)]
    methods = {
        "rendezvous, bounded, current holder preferred": place,
        "ring, 64 points": place_by_ring,
        "jump": place_by_jump,
    }
    for name, method in methods.items():
        keeps_current = method is place
        initial = method(range(GROUPS), names)
        rows = []
        for leaving in names:
            rest = [n for n in names if n != leaving]
            without = (
                place(range(GROUPS), rest, initial)
                if keeps_current
                else method(range(GROUPS), rest)
            )
            rejoined = (
                place(range(GROUPS), names, without)
                if keeps_current
                else method(range(GROUPS), names)
            )
            rows.append((count_moved(initial, without), count_moved(without, rejoined)))
        loads = [list(initial.values()).count(n) for n in names]
        print(
            f"| {name} | {max(loads)} | {min(loads)} | {statistics.mean(r[0] for r in rows):.0f} "
            f"| {statistics.mean(r[1] for r in rows):.0f} |"
        )


class NullEventLog:
    """A log that discards all events."""

    def event(self, name: str, **fields: object) -> None:
        """Discards an event."""

    def always(self, name: str, **fields: object) -> None:
        """Discards an event."""


class Fleet:
    """Members of a fleet on loopback, in one process.

    Attributes:
        loop: Event loop that runs all members.
        folder: Folder that contains the state folder of each member.
        addresses: Address by member.
        members: Running members by name.
        tasks: Tasks of each running member.
    """

    def __init__(self, folder: Path, count: int) -> None:
        """Starts `count` members and waits until every group has a lease holder."""
        self.loop = Loop(
            lambda: time.monotonic_ns() // 1000,
            lambda _, error: sys.exit(f"unexpected error: {error!r}"),
        )
        self.folder = folder
        self.addresses = {f"n{k}": free_address() for k in range(count)}
        self.members: dict[str, FleetMember] = {}
        self.tasks: dict[str, list[Task]] = {}
        for name in self.addresses:
            self.start(name)
        for name in list(self.addresses)[1:]:
            for _ in range(2):
                self.run_until(lambda name=name: self._add(name))  # type: ignore[misc]
        self.run_until(self.are_all_groups_held)

    def start(self, name: str) -> None:
        """Starts a member from its state on disk."""
        others = {n: at for n, at in self.addresses.items() if n != name}
        settings = MemberSettings(
            name, self.addresses[name], others, self.folder / name, name == "n0", lambda: None
        )
        member = FleetMember(
            self.loop,
            Limits(),
            Counters(),
            NullEventLog(),
            settings,
            ControllerOptions(
                TAKEOVER_GROUPS,
                lease=LeaseTiming(LEASE_MS * 1000, 0.05, LEASE_MS * 250, LEASE_MS * 750),
            ),
            StorageThread(),
            lambda _: None,
        )
        self.tasks[name] = []
        member.start(lambda _, make: self.tasks[name].append(self.loop.start("member", make())))
        self.members[name] = member

    def kill(self, name: str) -> None:
        """Stops a member abruptly, like a killed process."""
        for task in self.tasks.pop(name):
            self.loop.stop(task)
        self.members.pop(name).close()

    def leader(self) -> str | None:
        """Returns the name of a member that is the leader, or None if there is none."""
        return next(
            (n for n, m in self.members.items() if m.status().get("role") == "leader"), None
        )

    def are_all_groups_held(self) -> bool:
        """Returns whether every group has a lease holder."""
        epochs = [
            member.epoch(group)
            for member in self.members.values()
            for group in range(TAKEOVER_GROUPS)
        ]
        return sum(epoch is not None for epoch in epochs) == TAKEOVER_GROUPS

    def _add(self, name: str) -> bool:
        leader = self.leader()
        try:
            return leader is not None and bool(self.members[leader].add(name))
        except RequestRejectedError:
            return False

    def run_until(self, condition: Callable[[], object]) -> None:
        """Runs the loop until a condition is true; exits the program at the timeout."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                sys.exit("timed out waiting for a condition")
            self.loop.run_once(time.monotonic_ns() // 1000 + 2_000)

    def close(self) -> None:
        """Stops all members."""
        self.loop.close()
        for member in self.members.values():
            member.close()


def takeovers(rounds: int = 20) -> None:
    """Prints how long groups have no lease holder after the leader is killed."""
    print(
        f"\n## Seconds from the kill of the leader until every group is held again, lease {LEASE_MS} ms\n"
    )
    print("| controllers | kills | median | 99th percentile | worst |")
    print("| ---: | ---: | ---: | ---: | ---: |")
    for count in (3, 5):
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder), count)
            times_s = []
            for _ in range(rounds):
                fleet.run_until(lambda fleet=fleet: fleet.leader() and fleet.are_all_groups_held())  # type: ignore[misc]
                killed = fleet.leader()
                assert killed is not None
                fleet.kill(killed)
                start_s = time.monotonic()
                fleet.run_until(fleet.are_all_groups_held)
                times_s.append(time.monotonic() - start_s)
                fleet.start(killed)
            fleet.close()
        times_s.sort()
        print(
            f"| {count} | {rounds} | {statistics.median(times_s):.2f} | {times_s[int(0.99 * (rounds - 1))]:.2f} "
            f"| {times_s[-1]:.2f} |",
            flush=True,
        )


def main() -> None:
    """Prints both tables; the optional argument is the number of kills."""
    placement()
    takeovers(int(sys.argv[1]) if len(sys.argv) > 1 else 20)


if __name__ == "__main__":
    main()

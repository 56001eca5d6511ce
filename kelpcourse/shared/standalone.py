"""A controller as a process of its own, and what operators say to it."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from kelpcourse.kdl import BadSettings
from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.service.clock import Clock
from kelpcourse.service.logs import Log
from kelpcourse.service.signals import signal_routine
from kelpcourse.shared.member import FleetMember, Place
from kelpcourse.shared.peers import Tls
from kelpcourse.shared.raft import Refused
from kelpcourse.shared.settings import WARN_DAYS, SharedSettings, read_settings
from kelpcourse.store.spool import ask, commands, write_whole
from kelpcourse.wire.loop import Loop, Routine, Wait
from kelpcourse.wire.storage import Thread
from kelpcourse.zones.standalone import kept

DAY_US = 86_400_000_000


class Host:
    """The loop, log, signals and commands round a member."""

    def __init__(self, path: Path, settings: SharedSettings, limits: Limits) -> None:
        clock = Clock()
        self._path = path
        self._settings = settings
        self._limits = limits
        self.counters = Counters()
        self.log = Log(clock, limits, self.counters, settings.me)
        self.loop = Loop(clock, self._defect)
        self._tls = settings.tls
        self._stop = 0
        place = Place(settings.me, settings.addresses[settings.me], settings.others, settings.state, settings.begins,
                      self._current_tls)
        self.member = FleetMember(self.loop, limits, self.counters, self.log, place, settings.shape, Thread(),
                                  lambda _: None)

    def _current_tls(self) -> Tls | None:
        return self._tls

    def _keep(self, name: str, make: Callable[[], Routine]) -> None:
        self.loop.start(name, kept(self.loop, self._limits, name, make, self._defect))

    def run(self) -> int:
        self.log.always("start", pid=os.getpid(), hosts=0, proxies=0)
        self.loop.start("signals", signal_routine(self._on_signal))
        self.member.start(self._keep)
        self._keep("shared commands", self._run_commands)
        self._keep("certificate", self._watch_certificate)
        while not self._stop:
            self.loop.turn(None)
        self.member.close()
        self.log.always("stop", signal=self._stop, counters=self.counters.snapshot())
        return 0

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.always("counters", counters=self.counters.snapshot())
        elif number == signal.SIGHUP:
            self._renew()
        else:
            self._stop = number

    def _renew(self) -> None:
        """Certificates are read again; lines that are made from now on show them, those that stand go on."""
        try:
            new = read_settings(self._path)
        except BadSettings as error:
            self.log.always("reload_failed", reason=str(error))
            return
        self._tls, self._settings = new.tls, new
        self.log.always("reload", moved=["tls"], wait_for_restart=[])

    def _watch_certificate(self) -> Routine:
        while True:
            left = self._settings.days_left
            if left is not None and left < WARN_DAYS:
                self.log.always("certificate_ends", days=round(left, 1))
            yield Wait(self.loop.clock() + DAY_US)

    def _run_commands(self) -> Routine:
        while True:
            yield Wait(self.loop.clock() + self._limits.zone_command_us)
            for path, data in commands(self._settings.state):
                write_whole(path, orjson.dumps(self._carry_out(data)))

    def _carry_out(self, data: bytes) -> dict[str, object]:
        member = self.member
        known: dict[str, Callable[[str], str]] = {
            "add": member.add, "remove": member.remove, "transfer": member.transfer, "drain": member.drain,
            "undrain": lambda name: member.drain(name, False)}
        try:
            asked = orjson.loads(data)
            word, name = str(asked["command"]), str(asked["member"])
            if word == "status":
                return member.status()
            done = known[word](name)
        except Refused as error:
            return {"error": str(error)}
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            return {"error": f"a command that can't be read: {error!r}"}
        self.log.always("shared_command", command=word, done=done)
        return {"done": done}

    def _defect(self, routine: str, error: Exception) -> None:
        self.counters.add("defects")
        self.log.always("defect", routine=routine, error="".join(traceback.format_exception(error))[-3000:])


def serve(path: Path, settings: SharedSettings) -> int:
    os.set_blocking(sys.stdout.fileno(), False)
    return Host(path, settings, Limits()).run()


def command(state: Path, word: str, member: str) -> dict[str, Any]:
    """Raises NoAnswer or OSError."""
    told: dict[str, Any] = orjson.loads(ask(state, orjson.dumps({"command": word, "member": member})))
    return told


def status_lines(told: dict[str, Any]) -> list[str]:
    if "role" not in told:
        return [f"{told['member']} has no part: {told['halted'] or 'starting'}"]
    lines = [f"{told['member']} {told['role']} of term {told['term']}, leader {told['leader'] or 'unknown'},"
             f" committed {told['committed']}"]
    for member in told["voters"] + told["learners"]:
        lag = told["lags"].get(member)
        lines.append(f"{'voter' if member in told['voters'] else 'learner':<8}{member}"
                     + (f" lag {lag}" if lag is not None else ""))
    for group in told["groups"]:
        left = f" lease left {group['left_ms']} ms" if group["left_ms"] is not None else ""
        lines.append(f"group {group['group']:>4} epoch {group['epoch']:>4} {group['holder'] or '-'}{left}")
    return lines + [f"withdrawn {host}" for host in told["withdrawn"]]

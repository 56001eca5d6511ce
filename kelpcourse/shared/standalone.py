"""A controller as a process of its own, and what operators say to it."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from kelpcourse.kdl import BadSettings
from kelpcourse.limits import Limits
from kelpcourse.service.process import Process
from kelpcourse.shared.member import FleetMember, Place
from kelpcourse.shared.peers import Tls
from kelpcourse.shared.raft import Refused
from kelpcourse.shared.settings import WARN_DAYS, SharedSettings, read_settings
from kelpcourse.store.spool import ask, commands, write_whole
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.wire.storage import StorageThread

DAY_US = 86_400_000_000


class Host:
    """The loop, log, signals and commands round a member."""

    def __init__(self, path: Path, settings: SharedSettings, limits: Limits) -> None:
        self._process = Process(settings.me, limits)
        self._path = path
        self._settings = settings
        self._limits = limits
        self.loop, self.log = self._process.loop, self._process.log
        self._tls = settings.tls
        place = Place(
            settings.me,
            settings.addresses[settings.me],
            settings.others,
            settings.state,
            settings.begins,
            self._current_tls,
        )
        self.member = FleetMember(
            self.loop,
            limits,
            self._process.counters,
            self.log,
            place,
            settings.shape,
            StorageThread(),
            lambda _: None,
        )

    def _current_tls(self) -> Tls | None:
        return self._tls

    def run(self) -> int:
        return self._process.run(self._start, self.member.close, self._renew)

    def _start(self) -> None:
        self.member.start(self._process.supervise)
        self._process.supervise("shared commands", self._run_commands)
        self._process.supervise("certificate", self._watch_certificate)

    def _renew(self) -> None:
        """Certificates are read again; lines that are made from now on show them, those that stand go on."""
        try:
            new = read_settings(self._path)
        except BadSettings as error:
            self.log.always("configuration_reload_failed", reason=str(error))
            return
        self._tls, self._settings = new.tls, new
        self.log.always("configuration_reloaded", changed=["tls"], requires_restart=[])

    def _watch_certificate(self) -> Coroutine[None]:
        while True:
            left = self._settings.days_left
            if left is not None and left < WARN_DAYS:
                self.log.always("certificate_expiring", days=round(left, 1))
            yield Wait(self.loop.clock() + DAY_US)

    def _run_commands(self) -> Coroutine[None]:
        while True:
            yield Wait(self.loop.clock() + self._limits.zone_command_poll_us)
            for path, data in commands(self._settings.state):
                write_whole(path, orjson.dumps(self._carry_out(data)))

    def _carry_out(self, data: bytes) -> dict[str, object]:
        member = self.member
        known: dict[str, Callable[[str], str]] = {
            "add": member.add,
            "remove": member.remove,
            "transfer": member.transfer,
            "drain": member.drain,
            "undrain": lambda name: member.drain(name, False),
        }
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
        self.log.always("member_command_completed", command=word, succeeded=done)
        return {"done": done}


def serve(path: Path, settings: SharedSettings) -> int:
    os.set_blocking(sys.stdout.fileno(), False)
    return Host(path, settings, Limits()).run()


def command(state: Path, word: str, member: str) -> dict[str, Any]:
    """Raises NoAnswer or OSError."""
    told: dict[str, Any] = orjson.loads(
        ask(state, orjson.dumps({"command": word, "member": member}))
    )
    return told


def status_lines(told: dict[str, Any]) -> list[str]:
    if "role" not in told:
        return [f"{told['member']} has no part: {told['halted'] or 'starting'}"]
    lines = [
        f"{told['member']} {told['role']} of term {told['term']}, leader {told['leader'] or 'unknown'},"
        f" committed {told['committed']}"
    ]
    for member in told["voters"] + told["learners"]:
        lag = told["lags"].get(member)
        lines.append(
            f"{'voter' if member in told['voters'] else 'learner':<8}{member}"
            + (f" lag {lag}" if lag is not None else "")
        )
    for group in told["groups"]:
        left = f" lease left {group['left_ms']} ms" if group["left_ms"] is not None else ""
        lines.append(
            f"group {group['group']:>4} epoch {group['epoch']:>4} {group['holder'] or '-'}{left}"
        )
    lines += [f"drained {member}" for member in told["drained"]]
    return lines + [f"withdrawn {host}" for host in told["withdrawn"]]

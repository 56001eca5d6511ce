"""A controller that runs as a process of its own, and the operators' commands to it."""

from __future__ import annotations

import datetime
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from kelpcourse.kdl import SettingsError
from kelpcourse.limits import Limits
from kelpcourse.service.process import Process
from kelpcourse.shared.errors import RequestRejectedError
from kelpcourse.shared.member import FleetMember, MemberSettings
from kelpcourse.shared.peer_identity import TlsContexts
from kelpcourse.shared.settings import EXPIRY_WARNING_DAYS, SharedSettings, read_settings
from kelpcourse.store.spool import send_command, take_commands, write_atomically
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.wire.storage import StorageThread

US_PER_DAY = 86_400_000_000


class ControllerProcess:
    """A process that runs a member, with loop, log, signals and commands."""

    def __init__(self, path: Path, settings: SharedSettings, limits: Limits) -> None:
        """Initializes the process and its member.

        Raises:
            StateLostError: The state folder lacks state that the member has acknowledged.
            FolderInUseError: Another process uses the state folder.
            OSError: The state folder or the address can't be used.
        """
        self._process = Process(settings.name, limits)
        self._path = path
        self._settings = settings
        self._limits = limits
        self._loop = self._process.loop
        self._log = self._process.log
        member_settings = MemberSettings(
            name=settings.name,
            address=settings.addresses[settings.name],
            peer_addresses=settings.peer_addresses,
            state_folder=settings.state_folder,
            bootstrap=settings.bootstrap,
            tls=self._current_tls,
        )
        self._member = FleetMember(
            self._loop,
            limits,
            self._process.counters,
            self._log,
            member_settings,
            settings.options,
            StorageThread(),
            lambda _: None,
        )

    def _current_tls(self) -> TlsContexts | None:
        return self._settings.tls

    def run(self) -> int:
        """Runs until a signal ends the process, and returns the exit code."""
        return self._process.run(self._start, self._member.close, self._reload)

    def _start(self) -> None:
        self._member.start(self._process.supervise)
        self._process.supervise("shared commands", self._run_commands)
        self._process.supervise("certificate", self._watch_certificate)

    def _reload(self) -> None:
        """Reloads the settings; only new certificates take effect, on connections that are opened later."""
        try:
            self._settings = read_settings(self._path)
        except SettingsError as error:
            self._log.always("configuration_reload_failed", reason=str(error))
            return
        self._log.always("configuration_reloaded", changed=["tls"], requires_restart=[])

    def _watch_certificate(self) -> Coroutine[None]:
        while True:
            now = datetime.datetime.now(datetime.UTC)
            days_left = self._settings.days_until_certificate_expires(now)
            if days_left is not None and days_left < EXPIRY_WARNING_DAYS:
                self._log.always("certificate_expiring", days=round(days_left, 1))
            yield Wait(self._loop.clock() + US_PER_DAY)

    def _run_commands(self) -> Coroutine[None]:
        while True:
            yield Wait(self._loop.clock() + self._limits.zone_command_poll_us)
            for path, data in take_commands(self._settings.state_folder):
                write_atomically(path, orjson.dumps(self._run_command(data)))

    def _run_command(self, data: bytes) -> dict[str, object]:
        member = self._member
        handlers: dict[str, Callable[[str], str]] = {
            "add": member.add,
            "remove": member.remove,
            "transfer": member.transfer,
            "drain": member.drain,
            "undrain": lambda name: member.drain(name, False),
        }
        try:
            request = orjson.loads(data)
            command_name = str(request["command"])
            member_name = str(request["member"])
            if command_name == "status":
                return member.status()
            outcome = handlers[command_name](member_name)
        except RequestRejectedError as error:
            return {"error": str(error)}
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            return {"error": f"command can't be read: {error!r}"}
        self._log.always("member_command_completed", command=command_name, succeeded=outcome)
        return {"done": outcome}


def serve(path: Path, settings: SharedSettings) -> int:
    """Runs the controller of a settings file and returns the exit code.

    Raises:
        StateLostError: The state folder lacks state that the member has acknowledged.
        FolderInUseError: Another process uses the state folder.
        OSError: The state folder or the address can't be used.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    return ControllerProcess(path, settings, Limits()).run()


def run_command(state_folder: Path, command_name: str, member: str) -> dict[str, Any]:
    """Sends a command to a running controller and returns its reply.

    Raises:
        NoAnswerError: The controller did not reply before the timeout.
        OSError: The state folder can't be read or written.
    """
    request = orjson.dumps({"command": command_name, "member": member})
    reply: dict[str, Any] = orjson.loads(send_command(state_folder, request))
    return reply

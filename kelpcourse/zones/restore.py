"""Restores a former version of a zone, on commands from the state folder's spool or from the same process.

Only the owner of the folder can write to it, so commands need no further authentication. The JSON names of commands
and results are part of the file format: `origin`, `serial`, `hosts` (number of endpoints) and `error`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path

import msgspec

from kelpcourse.store.spool import take_commands, write_atomically
from kelpcourse.wire.loop import Coroutine, Wait
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.handler_context import PendingUpdate
from kelpcourse.zones.history import restore_version
from kelpcourse.zones.runtime import ZoneRuntime
from kelpcourse.zones.settings import ZoneSettings
from kelpcourse.zones.update_policy import UpdateGrant
from kelpcourse.zones.zone_state import ZoneState

UNLIMITED_GRANT = UpdateGrant("")


class RestoreCommand(msgspec.Struct, frozen=True):
    """A command to restore a former version of a zone.

    Attributes:
        origin: Origin of the zone.
        serial: Serial of the former version.
    """

    origin: str
    serial: int


class RestoreResult(msgspec.Struct, frozen=True):
    """The result of a restore command.

    Attributes:
        serial: Serial of the new version.
        endpoint_count: Number of endpoints that the new version announces.
        error: Why the zone was not restored; empty if it was restored.
    """

    serial: int = 0
    endpoint_count: int = msgspec.field(default=0, name="hosts")
    error: str = ""


OnResult = Callable[[RestoreResult], None]


class ZoneRestorer:
    """Creates a new version with the records of a former version."""

    def __init__(
        self,
        settings: Mapping[str, ZoneSettings],
        zone_states: Mapping[str, ZoneState],
        runtime: ZoneRuntime,
        stage: Callable[[PendingUpdate], bool],
    ) -> None:
        """Initializes the restorer.

        Args:
            settings: Settings of the zones, by origin.
            zone_states: Zones by origin.
            runtime: Parts that the components of the service share.
            stage: Function that queues an update and returns whether it was queued.
        """
        self._settings = settings
        self._zone_states = zone_states
        self._runtime = runtime
        self._stage = stage

    def restore(self, command: RestoreCommand, on_result: OnResult) -> None:
        """Restores a zone; `on_result` is called once the new version is durable or has failed."""
        zone = self._zone_states.get(command.origin)
        if zone is None:
            on_result(RestoreResult(error=f"zone {command.origin} is not in the settings"))
            return
        rejection = self._rejection_of(zone)
        if rejection:
            on_result(RestoreResult(error=rejection))
            return
        try:
            difference = restore_version(
                zone.zone, zone.history, command.serial, self._runtime.unix_ms()
            )
        except ZoneError as error:
            on_result(RestoreResult(error=str(error)))
            return
        on_settled = partial(self._settled, zone, command.serial, on_result)
        zone.stage_update(difference, UNLIMITED_GRANT, (), self._runtime.now_us())
        if not self._stage(PendingUpdate(zone, difference, on_settled)):
            zone.undo_update(difference)
            on_settled(False)

    def _rejection_of(self, zone: ZoneState) -> str:
        if self._settings[zone.origin].primaries:
            return f"{zone.origin} is transferred from a primary: restore it there"
        if zone.staged_updates:
            return "updates are in progress: try again"
        return ""

    def _settled(
        self, zone: ZoneState, restored_serial: int, on_result: OnResult, durable: bool
    ) -> None:
        if not durable:
            on_result(RestoreResult(error="the state folder cannot be written"))
            return
        endpoint_count = len(zone.extractor.endpoints)
        self._runtime.counters.add("zone_restores")
        self._runtime.log.always(
            "zone_restored",
            zone=zone.origin,
            restored_serial=restored_serial,
            serial=zone.zone.serial,
            endpoints=endpoint_count,
        )
        on_result(RestoreResult(zone.zone.serial, endpoint_count))


class CommandReader:
    """Reads commands from the spool and writes their results to it."""

    def __init__(self, folder: Path, runtime: ZoneRuntime, restorer: ZoneRestorer) -> None:
        """Initializes a reader of the spool in the state folder; `run` is its coroutine."""
        self._folder = folder
        self._runtime = runtime
        self._restorer = restorer

    def run(self) -> Coroutine[None]:
        """Checks for commands after each poll interval."""
        while True:
            yield Wait(self._runtime.now_us() + self._runtime.limits.zone_command_poll_us)
            for path, data in take_commands(self._folder):
                self._handle(path, data)

    def _handle(self, path: Path, data: bytes) -> None:
        def write_result(result: RestoreResult) -> None:
            write_atomically(path, msgspec.json.encode(result))

        try:
            command = msgspec.json.decode(data, type=RestoreCommand)
        except msgspec.DecodeError as error:
            write_result(RestoreResult(error=f"the command cannot be decoded: {error}"))
            return
        self._restorer.restore(command, write_result)

"""Operations on zones for commands, without a server or through the server that uses the same state folder."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.service.clock import Clock
from kelpcourse.service.process import supervised
from kelpcourse.store.errors import FolderInUseError
from kelpcourse.store.folder import Folder
from kelpcourse.store.recovery import Recovered, recover
from kelpcourse.store.spool import send_command
from kelpcourse.wire.loop import Loop
from kelpcourse.zones.errors import NoStateFolderError
from kelpcourse.zones.merged_list import MergedEndpointList
from kelpcourse.zones.names import read_name
from kelpcourse.zones.persistence import ZoneReplay
from kelpcourse.zones.restore import RestoreCommand, RestoreResult
from kelpcourse.zones.runtime import CoroutineFactory, ZoneRuntime
from kelpcourse.zones.service import ZoneService
from kelpcourse.zones.settings import ZonesSettings, format_address
from kelpcourse.zones.zone_state import ZoneState
from kelpcourse.zones.zonefile import read_zone_file

MAX_READ_ATTEMPTS = 5  # a running server may replace the files while they are read
MAX_REMEMBERED_NAMES = 1 << 20


@dataclass(frozen=True)
class CheckedFile:
    """The result of checking a zone file.

    Attributes:
        endpoints: Endpoints that the file announces, sorted by name.
        problems: Problems of the records that cannot be used, each with the path of the file.
    """

    endpoints: list[ListedEndpoint]
    problems: list[str]


def check_file(path: Path, origin: str, service: str, limits: Limits) -> CheckedFile:
    """Checks a zone file and returns its endpoints and the problems of its records.

    Raises:
        ZoneError: The file as a whole cannot be used.
    """
    zone = ZoneState(read_name(origin, "origin"), service, limits)
    version = read_zone_file(path, zone.origin, limits)
    zone.apply(zone.difference_to(version, 0), 0)
    return CheckedFile(
        sorted(zone.extractor.endpoints.values(), key=_endpoint_name),
        [f"{path}: {problem}" for problem in zone.extractor.problems()],
    )


def read_state(settings: ZonesSettings, state: Path, limits: Limits) -> ZoneReplay:
    """Replays a state folder without locking it, because a running server may be writing to it.

    Raises:
        OSError: The folder cannot be read.
    """
    found = _recover(state)
    replay = ZoneReplay([zone.origin for zone in settings.zones], settings.service, limits)
    replay.run(found.snapshot, (record.payload for record in found.records))
    return replay


def merged_endpoints(zones: Iterable[ZoneState]) -> list[ListedEndpoint]:
    """Returns the merged endpoint list that the routing policy would receive, sorted by name."""
    zone_list = list(zones)
    merged = MergedEndpointList([zone.origin for zone in zone_list], 0, MAX_REMEMBERED_NAMES)
    for zone in zone_list:
        merged.update(zone.origin, dict(zone.extractor.endpoints), 0)
    return sorted(merged.endpoints.values(), key=_endpoint_name)


def discovery_entry(endpoint: ListedEndpoint) -> dict[str, object]:
    """Returns an endpoint in the JSON form of the discovery protocol.

    JSON name to internal name: id = name, host_port = address, locality = zone, flavor = kind, phase = status,
    size = weight, up_since_ms = started_ms.
    """
    started_ms: float = endpoint.started_ms
    return {
        "id": endpoint.name,
        "host_port": format_address(endpoint.address),
        "locality": endpoint.zone,
        "flavor": endpoint.kind,
        "cell": endpoint.cell,
        "phase": endpoint.status.value,
        "size": endpoint.weight,
        "up_since_ms": int(started_ms) if started_ms.is_integer() else started_ms,
    }


def restore(settings: ZonesSettings, origin: str, serial: int) -> RestoreResult:
    """Restores a zone through the server that uses the state folder, or in this process if no server does.

    Raises:
        ZoneError: The settings name no state folder, or the origin is not a domain name.
        OSError: The state folder cannot be read or written.
    """
    if settings.state is None:
        raise NoStateFolderError
    command = RestoreCommand(read_name(origin, "ORIGIN"), serial)
    folder = Folder(settings.state)
    try:
        folder.lock()
    except FolderInUseError:
        return _restore_by_server(settings.state, command)
    folder.close()
    return _restore_in_process(settings, command)


def _endpoint_name(endpoint: ListedEndpoint) -> str:
    return endpoint.name


def _recover(state: Path) -> Recovered:
    folder = Folder(state)
    for _ in range(MAX_READ_ATTEMPTS - 1):
        try:
            return recover(folder.names(), folder.read)
        except FileNotFoundError:
            if not state.is_dir():
                raise
    return recover(folder.names(), folder.read)


def _restore_by_server(state: Path, command: RestoreCommand) -> RestoreResult:
    result = send_command(state, msgspec.json.encode(command))
    return msgspec.json.decode(result, type=RestoreResult)


class _Discard:
    """Implements the log and the endpoint list listener, and discards everything."""

    def event(self, name: str, **fields: object) -> None:
        pass

    def always(self, name: str, **fields: object) -> None:
        pass

    def list_changed(
        self, endpoints: Sequence[ListedEndpoint], version: int, complete: bool
    ) -> None:
        pass

    def list_unavailable(self) -> None:
        pass


def _start_nothing(name: str, factory: CoroutineFactory) -> None:
    """Ignores a coroutine that the service does not need for a single command."""


def _restore_in_process(settings: ZonesSettings, command: RestoreCommand) -> RestoreResult:
    """Runs the service with only its store until the command is complete."""
    errors: list[Exception] = []
    results: list[RestoreResult] = []
    limits = Limits()

    def on_error(name: str, error: Exception) -> None:
        errors.append(error)

    loop = Loop(Clock(), on_error)
    discard = _Discard()
    runtime = ZoneRuntime(loop, limits, Counters(), discard, _start_nothing)
    service = ZoneService(replace(settings, listen=None), runtime, discard)

    def start_coroutine(name: str, factory: CoroutineFactory) -> None:
        loop.start(name, supervised(loop, limits, name, factory, on_error))

    try:
        service.start_store(start_coroutine)
        while service.store.is_recovering:
            loop.run_once(None)
        service.restore(command, results.append)
        while not results and not errors:
            loop.run_once(None)
    finally:
        loop.close()
        service.close()
    if errors:
        raise errors[0]
    return results[0]

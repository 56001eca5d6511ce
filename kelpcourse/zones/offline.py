"""What commands do with zones when no server runs, or by a word to the one that does."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.service.clock import Clock
from kelpcourse.service.process import supervised
from kelpcourse.store.errors import FolderInUseError
from kelpcourse.store.folder import Folder
from kelpcourse.store.recovery import recover
from kelpcourse.store.spool import send_command
from kelpcourse.wire.loop import Loop
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.merged_list import MergedEndpointList
from kelpcourse.zones.names import read_name
from kelpcourse.zones.persistence import ZoneReplay
from kelpcourse.zones.service import Around, Restore, Restored, Zones
from kelpcourse.zones.settings import ZonesSettings, format_address
from kelpcourse.zones.zone_state import ZoneState
from kelpcourse.zones.zonefile import read_zone_file

READ_TRIES = 5  # of a folder that a server compacts meanwhile


@dataclass(frozen=True)
class Checked:
    hosts: list[ListedEndpoint]
    problems: list[str]


def check_file(path: Path, origin: str, service: str, limits: Limits) -> Checked:
    """The hosts that a zone file announces, and each record that can't be used. Raises ZoneError if none can."""
    held = ZoneState(read_name(origin, "origin"), service, limits)
    held.apply(held.difference_to(read_zone_file(path, held.origin, limits), 0), 0)
    return Checked(
        sorted(held.extractor.endpoints.values(), key=lambda m: m.name),
        [f"{path}: {problem}" for problem in held.extractor.problems()],
    )


def read_state(settings: ZonesSettings, state: Path, limits: Limits) -> ZoneReplay:
    """What the folder holds, read beside a server that may be writing there. Raises ZoneError or OSError."""
    folder = Folder(state)
    for attempt in range(READ_TRIES):
        try:
            found = recover(folder.names(), folder.read)
            break
        except FileNotFoundError:
            if attempt == READ_TRIES - 1 or not state.is_dir():
                raise
    replay = ZoneReplay([zone.origin for zone in settings.zones], settings.service, limits)
    replay.run(found.snapshot, (record.payload for record in found.records))
    return replay


def hosts_of(zones: Iterable[ZoneState]) -> list[ListedEndpoint]:
    """The list as the decision module would be told it."""
    known = list(zones)
    union = MergedEndpointList([zone.origin for zone in known], 0, 1 << 20)
    for zone in known:
        union.update(zone.origin, dict(zone.extractor.endpoints), 0, 0)
    return sorted(union.endpoints.values(), key=lambda m: m.name)


def entry(member: ListedEndpoint) -> dict[str, object]:
    """As discovery has it."""
    since = int(member.started_ms) if member.started_ms.is_integer() else member.started_ms
    return {
        "id": member.name,
        "host_port": format_address(member.address),
        "locality": member.zone,
        "flavor": member.kind,
        "cell": member.cell,
        "phase": member.status.value,
        "size": member.weight,
        "up_since_ms": since,
    }


def restore(settings: ZonesSettings, origin: str, serial: int) -> Restored:
    """By the server that runs on this state, or, if none does, here. Raises ZoneError or OSError."""
    if settings.state is None:
        raise ZoneError("the settings name no state: no former version is kept")
    command = Restore(read_name(origin, "ORIGIN"), serial)
    folder = Folder(settings.state)
    try:
        folder.lock()
    except FolderInUseError:
        return _by_server(settings.state, command)
    folder.close()
    return _by_ourselves(settings, command)


def _by_server(state: Path, command: Restore) -> Restored:
    return msgspec.json.decode(send_command(state, msgspec.json.encode(command)), type=Restored)


class _Quiet:
    """A log and a reader of lists for a short-lived service."""

    def event(self, name: str, **fields: object) -> None:
        pass

    always = event

    def listed(self, members: Sequence[ListedEndpoint], version: int, whole: bool) -> None:
        pass

    def lost(self) -> None:
        pass


def _by_ourselves(settings: ZonesSettings, command: Restore) -> Restored:
    """The service itself, without listening and asking, until the command is carried out."""
    alone = ZonesSettings(
        settings.path, None, settings.state, settings.service, settings.keys, settings.zones
    )
    quiet, limits, failed = _Quiet(), Limits(), list[Exception]()
    loop = Loop(Clock(), lambda _, error: failed.append(error))
    around = Around(loop, limits, Counters(), quiet, lambda name, make: None)
    zones = Zones(alone, around, quiet)
    answers: list[Restored] = []
    try:
        zones.start_store(
            lambda name, make: loop.start(
                name, supervised(loop, limits, name, make, lambda _, error: failed.append(error))
            )
        )
        while zones.settling:
            loop.run_once(None)
        zones.restore(command, answers.append)
        while not answers and not failed:
            loop.run_once(None)
    finally:
        loop.close()
        zones.close()
    if failed:
        raise failed[0]
    return answers[0]

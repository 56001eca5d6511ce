"""Zone files as a source of versions: they are read at startup, and again whenever they change."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path

from kelpcourse.wire.loop import Coroutine, Signal, Wait
from kelpcourse.wire.worker import run_in_thread
from kelpcourse.zones.errors import RejectedFileVersionError, ZoneError
from kelpcourse.zones.history import version_at
from kelpcourse.zones.reconciliation import Contradiction, Verdict, Version
from kelpcourse.zones.records import SOA
from kelpcourse.zones.runtime import ZoneRuntime
from kelpcourse.zones.versions import Difference, Zone
from kelpcourse.zones.zone_state import ZoneState
from kelpcourse.zones.zonefile import read_zone_file

FILE_SOURCE = "file"  # name of the source in version reconciliation

OnVersion = Callable[[ZoneState, Difference, str], None]


class ZoneFileWatcher:
    """Polls the zone files and passes newer versions to a callback."""

    def __init__(
        self,
        paths: Mapping[str, Path],
        zone_states: Mapping[str, ZoneState],
        runtime: ZoneRuntime,
        on_version: OnVersion,
    ) -> None:
        """Initializes a watcher; `run` is its coroutine.

        Args:
            paths: Paths of the files, by the origins of their zones.
            zone_states: Zones by origin.
            runtime: Parts that the components of the service share.
            on_version: Function that is called with the zone, the difference and the path of a newer version.
        """
        self._paths = dict(paths)
        self._zone_states = zone_states
        self._runtime = runtime
        self._on_version = on_version
        # Fingerprint of each file when it was last read, by origin.
        self._fingerprints: dict[str, tuple[int, ...]] = {}
        self._reload_requested = Signal()

    def read_at_start(self, origin: str) -> None:
        """Reads the file of a zone, if it has one, synchronously before the loop runs."""
        path = self._paths.get(origin)
        if path is None:
            return
        self._has_changed(origin, path)
        try:
            version = read_zone_file(path, origin, self._runtime.limits)
        except ZoneError as error:
            self._reject(origin, error)
            return
        self._offer(origin, path, version)

    def reload(self) -> None:
        """Requests that all files are read now, whether they changed or not."""
        self._fingerprints.clear()
        self._reload_requested.set()

    def run(self) -> Coroutine[None]:
        """Checks all files for changes after each poll interval and on `reload`."""
        while True:
            deadline_us = self._runtime.now_us() + self._runtime.limits.zone_file_poll_us
            yield Wait(deadline_us, signal=self._reload_requested)
            self._reload_requested.clear()
            for origin, path in self._paths.items():
                if self._has_changed(origin, path):
                    yield from self._read(origin, path)

    def _read(self, origin: str, path: Path) -> Coroutine[None]:
        """Reads a file in a thread, and offers its version after the pending updates have been settled."""
        try:
            version = yield from run_in_thread(
                partial(read_zone_file, path, origin, self._runtime.limits)
            )
        except ZoneError as error:
            self._reject(origin, error)
            return
        while self._zone_states[origin].staged_updates:
            yield Wait(self._runtime.now_us() + self._runtime.limits.zone_command_poll_us)
        self._offer(origin, path, version)

    def _has_changed(self, origin: str, path: Path) -> bool:
        """Updates the fingerprint of a file and returns whether the file has changed since the last call."""
        fingerprint = _fingerprint(path)
        has_changed = fingerprint != self._fingerprints.get(origin)
        self._fingerprints[origin] = fingerprint
        return has_changed

    def _offer(self, origin: str, path: Path, version: Zone) -> None:
        zone = self._zone_states[origin]
        verdict, contradictions = zone.reconciler.offer(
            FILE_SOURCE, Version(version.serial, version.soa_data)
        )
        if verdict is Verdict.NEWER:
            self._on_version(zone, zone.difference_to(version, 0), str(path))
        elif not _is_known(zone, version, verdict):
            self._report_contradiction(zone, path, version, verdict, contradictions)

    def _report_contradiction(
        self,
        zone: ZoneState,
        path: Path,
        version: Zone,
        verdict: Verdict,
        contradictions: list[Contradiction],
    ) -> None:
        if verdict is Verdict.SAME:
            reason = "the records differ although the serial is the same"
        elif contradictions:
            reason = verdict.value
        else:
            return  # the contradiction has already been reported
        error = RejectedFileVersionError(str(path), version.serial, zone.zone.serial, reason)
        self._reject(zone.origin, error)

    def _reject(self, origin: str, error: ZoneError) -> None:
        """Reports a rejected file; the zone keeps its current version."""
        self._runtime.counters.add("zone_files_rejected")
        self._runtime.log.always("zone_file_rejected", zone=origin, reason=str(error))


def _is_known(zone: ZoneState, version: Zone, verdict: Verdict) -> bool:
    """Reports whether the file has the current version, or a former version that updates have replaced."""
    if verdict is Verdict.SAME:
        return _has_same_records(zone.zone, version)
    if verdict is not Verdict.BEHIND:
        return False
    former = version_at(zone.zone, zone.history, version.serial)
    return former is not None and _has_same_records(former, version)


def _has_same_records(first: Zone, second: Zone) -> bool:
    """Reports whether two versions have the same records except for the SOA record."""
    return _records_without_soa(first) == _records_without_soa(second)


def _records_without_soa(zone: Zone) -> set[object]:
    return {record for record in zone.records() if record.type != SOA}


def _fingerprint(path: Path) -> tuple[int, ...]:
    """Returns metadata that changes whenever the file is written; empty if the file cannot be accessed."""
    try:
        stat = path.stat()
    except OSError:
        return ()
    return stat.st_mtime_ns, stat.st_size, stat.st_ino

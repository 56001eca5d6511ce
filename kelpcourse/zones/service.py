"""The zone service: connects the store, DNS server, followers and zone files to one published endpoint list."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kelpcourse.wire.stream import Address
from kelpcourse.zones.applied_updates import AppliedUpdate
from kelpcourse.zones.dns_client import DnsClient
from kelpcourse.zones.file_watcher import ZoneFileWatcher
from kelpcourse.zones.follower import ZoneFollower
from kelpcourse.zones.handler_context import OnSettled, PendingUpdate
from kelpcourse.zones.merged_list import MergedEndpointList
from kelpcourse.zones.notifier import Notifier
from kelpcourse.zones.persistence import ZoneChanged, ZoneConfirmed
from kelpcourse.zones.publisher import EndpointPublisher
from kelpcourse.zones.request_handler import DnsRequestHandler
from kelpcourse.zones.restore import CommandReader, OnResult, RestoreCommand, ZoneRestorer
from kelpcourse.zones.runtime import EndpointListListener, StartCoroutine, ZoneRuntime
from kelpcourse.zones.server import DnsServer
from kelpcourse.zones.settings import ZoneSettings, ZonesSettings, format_address
from kelpcourse.zones.update_policy import EndpointClass
from kelpcourse.zones.versions import Difference
from kelpcourse.zones.zone_state import EndpointChanges, ZoneState
from kelpcourse.zones.zone_store import ZoneStore


class ZoneService:
    """Runs all zones of the settings.

    The service is the context of the request handlers and the listener of the followers.
    """

    def __init__(
        self,
        settings: ZonesSettings,
        runtime: ZoneRuntime,
        listener: EndpointListListener,
        classes: tuple[EndpointClass, ...] = (),
        grace_us: int = 0,
    ) -> None:
        """Opens the store; no coroutine runs before `start`.

        Args:
            settings: Settings of the zones.
            runtime: Parts that the components of the service share.
            listener: Listener for changes of the merged endpoint list.
            classes: Request classes, for the removal limit of updates.
            grace_us: Time, in microseconds, for which proxies may still use an endpoint after its removal.

        Raises:
            FolderInUseError: Another process has the state folder open.
            OSError: The state folder cannot be read or written.
        """
        self.settings = settings
        self.classes = classes
        self._runtime = runtime
        self._settings_by_origin = {zone.origin: zone for zone in settings.zones}
        self.merged_list = MergedEndpointList(
            [zone.origin for zone in settings.zones], grace_us, runtime.limits.max_endpoint_names
        )
        self.store = ZoneStore(settings, runtime, self._publish, self.merged_list.update)
        self.zone_states = self.store.zone_states
        self._publisher = EndpointPublisher(self.merged_list, classes, runtime, listener)
        # Loop time at which a confirmation of each zone was last saved, in microseconds, by origin.
        self._saved_confirmation_us: dict[str, int] = {}
        self._followers: dict[str, ZoneFollower] = {}
        self._notifiers: dict[str, list[Notifier]] = {origin: [] for origin in self.zone_states}
        paths = {zone.origin: zone.file for zone in settings.zones if zone.file is not None}
        self._file_watcher = ZoneFileWatcher(
            paths, self.zone_states, runtime, self.version_received
        )
        self._restorer = ZoneRestorer(
            self._settings_by_origin, self.zone_states, runtime, self.stage
        )
        self._server: DnsServer | None = None

    @property
    def server_address(self) -> Address | None:
        """The address of the DNS server; None if it does not run."""
        return self._server.address if self._server is not None else None

    def start(self) -> None:
        """Publishes the zones of the store and the files, and starts to respond to requests.

        Raises:
            OSError: The address of the server cannot be bound.
        """
        runtime = self._runtime
        self._start_notifiers()
        self._publisher.report_replayed_conflicts()
        for zone in self.zone_states.values():
            if zone.zone.exists:
                self._publish(zone, dict(zone.extractor.endpoints), zone.confirmed_ms)
        for origin, zone_settings in self._settings_by_origin.items():
            self._file_watcher.read_at_start(origin)
            if zone_settings.primaries:
                self._start_follower(origin, zone_settings)
        self.start_store(runtime.start_coroutine)
        if self.settings.state is not None:
            reader = CommandReader(self.settings.state, runtime, self._restorer)
            runtime.start_coroutine("zone commands", reader.run)
        if any(zone.file is not None for zone in self.settings.zones):
            runtime.start_coroutine("zone files", self._file_watcher.run)
        if self.settings.listen is not None:
            self._start_server(self.settings.listen)

    def start_store(self, start_coroutine: StartCoroutine) -> None:
        """Starts only the store, for a command that runs without a server."""
        self.store.start(start_coroutine)

    def close(self) -> None:
        """Closes the server's sockets and the files of the store."""
        if self._server is not None:
            self._server.close()
        self.store.close()

    def reload(self) -> None:
        """Reads the zone files now, whether they changed or not."""
        self._file_watcher.reload()

    def restore(self, command: RestoreCommand, on_result: OnResult) -> None:
        """Restores a former version of a zone; `on_result` is called once it is durable or has failed."""
        self._restorer.restore(command, on_result)

    # Methods that the request handlers call (HandlerContext).

    def applied_updates(self) -> Iterable[AppliedUpdate]:
        """Returns the updates that were applied before the start and may be sent again, oldest first."""
        return self.store.applied_updates

    def now_us(self) -> int:
        """Returns the time of the loop's monotonic clock, in microseconds."""
        return self._runtime.now_us()

    def unix_ms(self) -> int:
        """Returns the Unix time, in milliseconds."""
        return self._runtime.unix_ms()

    def stage(self, update: PendingUpdate) -> bool:
        """Queues an update to be made durable; returns False if the update cannot be queued now."""
        return self.store.stage(update)

    def when_head_durable(self, zone: ZoneState, on_settled: OnSettled) -> bool:
        """Reports, once it is known, whether every update in the head of a zone has become durable."""
        return self.store.when_head_durable(zone, on_settled)

    def notify_received(self, origin: str) -> None:
        """Requests that the follower of a zone queries its primaries."""
        self._followers[origin].notify()

    # Methods that the followers call (FollowerListener).

    def version_received(self, zone: ZoneState, difference: Difference, source: str) -> None:
        """Makes a version current before it is durable, because it can be fetched from its source again."""
        difference = msgspec.structs.replace(difference, accepted_ms=self.unix_ms())
        changes = zone.apply(difference, self.now_us())
        zone.discard_head()
        zone.confirmed_ms = self.unix_ms()
        self._runtime.log.always(
            "zone_updated",
            zone=zone.origin,
            serial=zone.zone.serial,
            source=source,
            records=len(zone.zone),
            hosts=len(zone.extractor.endpoints),
        )
        self._publish(zone, changes, difference.accepted_ms)
        self.store.save(zone, ZoneChanged(zone.origin, difference))

    def zone_confirmed(self, zone: ZoneState) -> None:
        """Records that a primary has the current version, and saves this at a minimum interval."""
        now_us = self.now_us()
        zone.confirmed_ms = self.unix_ms()
        self._publisher.zone_confirmed(zone.origin)
        saved_us = self._saved_confirmation_us.get(zone.origin)
        interval_us = self._runtime.limits.zone_confirmation_interval_us
        if saved_us is None or now_us - saved_us >= interval_us:
            self._saved_confirmation_us[zone.origin] = now_us
            self.store.save(zone, ZoneConfirmed(zone.origin, zone.confirmed_ms))

    def zone_expired(self, zone: ZoneState) -> None:
        """Reports a zone that no primary confirmed within the SOA's expire time."""
        self._runtime.counters.add("zone_expiries")
        self._runtime.log.always(
            "zone_expired",
            zone=zone.origin,
            serial=zone.zone.serial,
            endpoints=len(zone.extractor.endpoints),
        )
        self._publisher.zone_expired(zone.origin)

    def _publish(self, zone: ZoneState, changes: EndpointChanges, accepted_ms: int) -> None:
        for notifier in self._notifiers[zone.origin]:
            notifier.zone_changed()
        self._publisher.publish(zone, changes, accepted_ms)

    def _new_client(self) -> DnsClient:
        runtime = self._runtime
        return DnsClient(runtime.loop, runtime.limits, runtime.counters, runtime.log)

    def _start_notifiers(self) -> None:
        for origin, zone_settings in self._settings_by_origin.items():
            for secondary in zone_settings.notify:
                notifier = Notifier(self._new_client(), self.zone_states[origin], secondary)
                self._notifiers[origin].append(notifier)
                self._runtime.start_coroutine("zone notify", notifier.run)

    def _start_follower(self, origin: str, zone_settings: ZoneSettings) -> None:
        zone = self.zone_states[origin]
        since_confirmed_ms = max(0, self.unix_ms() - zone.confirmed_ms)
        follower = ZoneFollower(
            self._new_client(),
            zone,
            zone_settings.primaries,
            self.now_us() - since_confirmed_ms * 1000,
            self,
        )
        self._followers[origin] = follower
        self._runtime.start_coroutine("zone follow", follower.run)

    def _start_server(self, listen_address: Address) -> None:
        runtime = self._runtime
        handler = DnsRequestHandler(
            self.zone_states,
            self._settings_by_origin,
            self.settings.keys,
            runtime.limits,
            runtime.counters,
            runtime.log,
            self,
        )
        self._server = DnsServer(
            runtime.loop, runtime.limits, runtime.counters, runtime.log, handler, listen_address
        )
        for run in self._server.udp_coroutines():
            runtime.start_coroutine("dns udp", run)
        runtime.start_coroutine("dns tcp", self._server.run_tcp)
        runtime.log.always("dns_ready", listen=format_address(self._server.address))

"""Publishes the endpoints of the zones as one list, and reports problems of the records and zones."""

from __future__ import annotations

from collections.abc import Iterable

from kelpcourse.zones.merged_list import EndpointConflict, MergedEndpointList
from kelpcourse.zones.runtime import EndpointListListener, ZoneRuntime
from kelpcourse.zones.update_policy import EndpointClass, classes_without_endpoints
from kelpcourse.zones.zone_state import EndpointChanges, ZoneState


class EndpointPublisher:
    """Merges changes of the zones into one list and passes them to its listener."""

    def __init__(
        self,
        merged_list: MergedEndpointList,
        classes: tuple[EndpointClass, ...],
        runtime: ZoneRuntime,
        listener: EndpointListListener,
    ) -> None:
        """Initializes a publisher.

        Args:
            merged_list: Merged endpoint list, which has no zone loaded.
            classes: Request classes that are reported if they have no endpoint.
            runtime: Parts that the components of the service share.
            listener: Listener for changes of the list.
        """
        self.merged_list = merged_list
        self._classes = classes
        self._runtime = runtime
        self._listener = listener
        self._classes_without_endpoints: set[str] = set()

    def publish(self, zone: ZoneState, changes: EndpointChanges, accepted_ms: int) -> None:
        """Publishes the endpoint changes of one version of a zone as one change of the list.

        Args:
            zone: State of the zone.
            changes: Changed endpoints, by name; None for an endpoint that was removed.
            accepted_ms: Unix time at which the version was accepted, in milliseconds.
        """
        merged = self.merged_list
        changed, conflicts = merged.update(zone.origin, changes, accepted_ms)
        became_complete = merged.zone_loaded(zone.origin)
        self._report_conflicts(conflicts)
        self._report_problems(zone)
        self._runtime.counters.add("zone_changes")
        if became_complete:
            self._listener.list_changed(list(merged.endpoints.values()), merged.version, True)
        elif changed:
            self._listener.list_changed(changed, merged.version, False)
        self._check_classes()

    def report_replayed_conflicts(self) -> None:
        """Reports the conflicts of the versions that were replayed at the start."""
        self._report_conflicts(self.merged_list.conflicts())

    def zone_confirmed(self, origin: str) -> None:
        """Handles the confirmation of a zone; publishes the whole list if it was unavailable before."""
        merged = self.merged_list
        was_available = merged.is_available
        merged.zone_loaded(origin)
        if not was_available:
            self._listener.list_changed(
                list(merged.endpoints.values()), merged.version, merged.is_complete
            )

    def zone_expired(self, origin: str) -> None:
        """Handles the expiry of a zone; reports the list as unavailable if it was the last available zone."""
        was_available = self.merged_list.is_available
        self.merged_list.zone_expired(origin)
        if was_available and not self.merged_list.is_available:
            self._listener.list_unavailable()

    def _report_conflicts(self, conflicts: Iterable[EndpointConflict]) -> None:
        for conflict in conflicts:
            self._runtime.log.event(
                "zone_conflict" if conflict.begins else "zone_conflict_resolved",
                endpoint=conflict.endpoint,
                zones=conflict.zones,
            )

    def _report_problems(self, zone: ZoneState) -> None:
        problems = zone.extractor.problems()
        if not problems:
            return
        logged = problems[: self._runtime.limits.max_logged_zone_problems]
        self._runtime.log.event(
            "zone_records_skipped",
            zone=zone.origin,
            count=len(problems),
            problems=[str(problem) for problem in logged],
        )

    def _check_classes(self) -> None:
        """Reports changes in the set of classes without an endpoint; this never prevents publishing."""
        without_endpoints = set(
            classes_without_endpoints(self._classes, self.merged_list.endpoints.values())
        )
        if without_endpoints == self._classes_without_endpoints:
            return
        self._runtime.log.always(
            "zone_classes_without_endpoints",
            classes=sorted(without_endpoints),
            were=sorted(self._classes_without_endpoints),
        )
        self._classes_without_endpoints = without_endpoints

"""Update policy: which records a key may change, and how many endpoints an update may remove. Has no I/O.

An update removes an endpoint if the endpoint was ready before and is gone or draining afterwards. An update that
removes more than the granted fraction of the ready endpoints, of the zone or of one request class, is rejected
completely. If the grant has a window, endpoints that earlier updates removed within the window count too, so that many
small updates cannot remove together what a single update may not remove.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import dns.rdatatype

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.zones.errors import InvalidGrantError
from kelpcourse.zones.names import is_under, labels, read_name
from kelpcourse.zones.records import SOA, type_name
from kelpcourse.zones.versions import Difference


@dataclass(frozen=True)
class EndpointClass:
    """A request class and the conditions that an endpoint has to meet to serve it.

    Attributes:
        name: Name of the request class.
        zones: Zones of the endpoints that may serve the class, not DNS zones; empty for all.
        kinds: Kinds of the endpoints that may serve the class; empty for all.
    """

    name: str
    zones: frozenset[str]
    kinds: frozenset[str]

    def includes(self, endpoint: ListedEndpoint) -> bool:
        """Returns whether the endpoint may serve the class."""
        zone_allowed = not self.zones or endpoint.zone in self.zones
        kind_allowed = not self.kinds or endpoint.kind in self.kinds
        return zone_allowed and kind_allowed


ALL_ENDPOINTS = EndpointClass("", frozenset(), frozenset())


@dataclass(frozen=True)
class UpdateGrant:
    """The permission of one key to update one zone.

    Attributes:
        key: Name of the key.
        names: Patterns of the owners that the key may change, as absolute names; empty for all owners. A pattern whose
            first label is `*` matches all names below the rest of the pattern.
        types: Numbers of the record types that the key may change; empty for all types.
        max_removed_fraction: Maximum fraction of the ready endpoints, of the zone and of each request class, that may
            be removed.
        window_us: Length of the window, in microseconds, in which removals by earlier updates are counted too; 0 if
            they are not counted.
    """

    key: str
    names: tuple[str, ...] = ()
    types: tuple[int, ...] = ()
    max_removed_fraction: float = 1.0
    window_us: int = 0

    def allows_record(self, owner: str, type_: int) -> bool:
        """Returns whether the key may add or remove records of this owner and type."""
        if type_ == SOA:  # each change of the zone also changes the serial in the SOA record
            return True
        type_allowed = not self.types or type_ in self.types
        return type_allowed and (
            not self.names or any(name_matches(pattern, owner) for pattern in self.names)
        )


def name_matches(pattern: str, owner: str) -> bool:
    """Returns whether a name equals a pattern or, if the pattern starts with `*.`, is below the rest of the pattern."""
    if pattern.startswith("*."):
        return len(labels(owner)) >= len(labels(pattern)) and is_under(owner, pattern[2:])
    return pattern == owner


def read_grant(
    key: str,
    origin: str,
    names: Iterable[str],
    types: Iterable[str],
    max_removed_fraction: float,
    window_us: int,
) -> UpdateGrant:
    """Creates a grant from its values in the settings.

    Names are relative to the origin unless they end in a dot.

    Raises:
        ZoneError: A name is malformed or outside the zone, or a type is unknown.
    """
    return UpdateGrant(
        key,
        tuple(_absolute_name(name, origin) for name in names),
        tuple(_type_number(type_) for type_ in types),
        max_removed_fraction,
        window_us,
    )


def _absolute_name(name: str, origin: str) -> str:
    if name == "@":
        text = origin
    elif name.endswith("."):
        text = name
    else:
        text = f"{name}.{origin}"
    absolute = read_name(text, "name")
    if not is_under(absolute, origin):
        raise InvalidGrantError("name", name, f"is not in {origin}")
    return absolute


def _type_number(type_: str) -> int:
    try:
        return int(dns.rdatatype.from_text(type_))
    except (dns.rdatatype.UnknownRdatatype, ValueError) as error:
        raise InvalidGrantError("type", type_, "is not a record type") from error


# The time at which an endpoint stopped being ready, in microseconds, and the endpoint before that.
Removal = tuple[int, ListedEndpoint]
RemovalChanges = Mapping[str, Removal | None]  # by name; None for an endpoint that was not removed


class RemovalHistory:
    """Endpoints of a zone that recently stopped being ready."""

    def __init__(self, window_us: int) -> None:
        """Initializes an empty history that keeps each removal for `window_us` microseconds."""
        self._window_us = window_us
        # For each name the time at which the endpoint stopped being ready, and the endpoint before that; oldest first.
        self._removed: dict[str, Removal] = {}

    def record(
        self,
        previous: Mapping[str, ListedEndpoint | None],
        changes: Mapping[str, ListedEndpoint | None],
        now_us: int,
    ) -> RemovalChanges:
        """Records the removals of a change, given the endpoints before and after it by name.

        Returns:
            What was recorded of the changed endpoints before, for `restore`.
        """
        replaced = {name: self._removed.get(name) for name in changes}
        for name, endpoint in changes.items():
            before = previous.get(name)
            if is_ready(endpoint):
                self._removed.pop(name, None)
            elif before is not None and is_ready(before):
                self._removed[name] = now_us, before
        self._forget_before(now_us - self._window_us)
        return replaced

    def restore(self, replaced: RemovalChanges) -> None:
        """Undoes a call of `record`, given what it returned; later calls must have been undone before."""
        for name, removal in replaced.items():
            if removal is None:
                self._removed.pop(name, None)
            else:
                self._removed[name] = removal

    def removed_since(self, since_us: int) -> dict[str, ListedEndpoint]:
        """Returns the endpoints that were removed at or after `since_us`, in their state before removal, by name."""
        return {
            name: endpoint
            for name, (removed_us, endpoint) in self._removed.items()
            if removed_us >= since_us
        }

    def _forget_before(self, oldest_us: int) -> None:
        while self._removed:
            name, (removed_us, _) = next(iter(self._removed.items()))
            if removed_us >= oldest_us:
                break
            del self._removed[name]


def is_ready(endpoint: ListedEndpoint | None) -> bool:
    """Returns whether the endpoint exists and is neither draining nor gone."""
    return endpoint is not None and endpoint.status is EndpointStatus.READY


def rejection_reason(
    grant: UpdateGrant,
    difference: Difference,
    endpoints: Mapping[str, ListedEndpoint],
    changes: Mapping[str, ListedEndpoint | None],
    removals: RemovalHistory,
    classes: Sequence[EndpointClass],
    now_us: int,
) -> str:
    """Returns the reason for which the policy rejects an update; empty if the policy allows it.

    Args:
        grant: Permission of the key with which the update is signed.
        difference: Records that the update removes and adds.
        endpoints: Endpoints before the update, by name.
        changes: Endpoints that the update changes, after it, by name; None for an endpoint that is gone.
        removals: Endpoints that earlier updates removed from the zone.
        classes: Request classes, for each of which the granted fraction is checked.
        now_us: Unix time of the update, in microseconds.
    """
    reason = _record_rejection(grant, difference)
    if reason or grant.max_removed_fraction >= 1:
        return reason
    removed = _removed_by(endpoints, changes)
    if not removed:  # an update that removes no endpoint is allowed, whatever was removed before
        return ""
    earlier = removals.removed_since(now_us - grant.window_us) if grant.window_us else {}
    removed = {**earlier, **removed}
    for name, endpoint in changes.items():
        if is_ready(endpoint):
            removed.pop(name, None)
    ready = {name: endpoint for name, endpoint in endpoints.items() if is_ready(endpoint)}
    ready = {**earlier, **ready}
    for endpoint_class in (ALL_ENDPOINTS, *classes):
        reason = _removal_rejection(
            endpoint_class, removed.values(), ready.values(), grant.max_removed_fraction
        )
        if reason:
            return reason
    return ""


def _record_rejection(grant: UpdateGrant, difference: Difference) -> str:
    for record in (*difference.removed, *difference.added):
        if not grant.allows_record(record.owner, record.type):
            return (
                f"key {grant.key} may not change {type_name(record.type)} records of {record.owner}"
            )
    return ""


def _removed_by(
    endpoints: Mapping[str, ListedEndpoint], changes: Mapping[str, ListedEndpoint | None]
) -> dict[str, ListedEndpoint]:
    """Returns the endpoints that are ready before the changes and not ready after them, by name."""
    return {
        name: endpoints[name]
        for name, endpoint in changes.items()
        if name in endpoints and is_ready(endpoints[name]) and not is_ready(endpoint)
    }


def _removal_rejection(
    endpoint_class: EndpointClass,
    removed: Iterable[ListedEndpoint],
    ready: Iterable[ListedEndpoint],
    max_removed_fraction: float,
) -> str:
    ready_count = sum(1 for endpoint in ready if endpoint_class.includes(endpoint))
    removed_count = sum(1 for endpoint in removed if endpoint_class.includes(endpoint))
    if removed_count <= max_removed_fraction * ready_count:
        return ""
    place = f"class {endpoint_class.name}" if endpoint_class.name else "the zone"
    return (
        f"removes {removed_count} of {ready_count} ready endpoints of {place},"
        f" the allowed fraction is {max_removed_fraction:g}"
    )


def classes_without_endpoints(
    classes: Sequence[EndpointClass], endpoints: Iterable[ListedEndpoint]
) -> list[str]:
    """Returns the names of the request classes that have no ready endpoint."""
    ready = [endpoint for endpoint in endpoints if is_ready(endpoint)]
    return [
        endpoint_class.name
        for endpoint_class in classes
        if not any(endpoint_class.includes(endpoint) for endpoint in ready)
    ]

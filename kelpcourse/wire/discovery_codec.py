"""Codec of discovery's responses: the endpoint list, complete or as changes.

Names on the wire and in the program:

| on the wire | in the program |
| --- | --- |
| `revision` | `version` |
| `complete` | `complete`; false means changes since the previous version |
| `members` | `endpoints` |
| `id` | `name` |
| `host_port` | `address` |
| `locality` | `zone` |
| `flavor` | `kind` |
| `cell` | `cell` |
| `phase` `ready`, `draining`, `gone` | `EndpointStatus` |
| `size` | relative capacity of the endpoint |
| `up_since_ms` | time of the endpoint's last start, Unix time in milliseconds |
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from kelpcourse.memory.endpoints import ListedEndpoint
from kelpcourse.policy.events import EndpointStatus
from kelpcourse.wire.errors import InvalidMessageError
from kelpcourse.wire.fields import (
    parse_address,
    require_count,
    require_flag,
    require_number,
    require_text,
)

LIST_PATH = "/discovery/hosts"
MAX_TIME_MS = 1e15  # limit of the policy's clock
STATUS_OF_PHASE = {
    "ready": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.GONE,
}


@dataclass(frozen=True)
class EndpointListMessage:
    """A complete endpoint list, or changes to one.

    Attributes:
        version: Version of the list, which increases with each change.
        complete: Whether the message lists all endpoints, not only those that changed.
        endpoints: Entries of the message.
    """

    version: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


def watch_path(version: int) -> str:
    """Returns the request target of a watch for the changes after a version."""
    return f"{LIST_PATH}?stream=1&index={version}"


def decode_endpoint_list(
    fields: Mapping[str, object], on_invalid_entry: Callable[[InvalidMessageError], None]
) -> EndpointListMessage:
    """Decodes a list and leaves out invalid entries.

    One invalid entry must not prevent updates of the other endpoints.

    Args:
        fields: The message as a JSON object.
        on_invalid_entry: Called with the error of each entry that is left out.

    Raises:
        InvalidMessageError: A field of the message itself is missing or invalid.
    """
    entries = fields.get("members")
    if not isinstance(entries, list):
        raise InvalidMessageError("field 'members' is not a list")
    endpoints: list[ListedEndpoint] = []
    for entry in entries:
        try:
            endpoints.append(_decode_entry(entry))
        except InvalidMessageError as error:
            on_invalid_entry(error)
    version = require_count(fields, "revision")
    return EndpointListMessage(version, require_flag(fields, "complete"), tuple(endpoints))


def _decode_entry(entry: object) -> ListedEndpoint:
    if not isinstance(entry, dict):
        raise InvalidMessageError("an entry of 'members' is not an object")
    phase = require_text(entry, "phase")
    if phase not in STATUS_OF_PHASE:
        raise InvalidMessageError(f"field 'phase' has an unknown value: {phase!r:.60}")
    up_since_ms = 0.0
    if entry.get("up_since_ms") is not None:
        up_since_ms = require_number(entry, "up_since_ms")
    if up_since_ms >= MAX_TIME_MS:
        raise InvalidMessageError(f"field 'up_since_ms' is not a valid time: {up_since_ms}")
    return ListedEndpoint(
        require_text(entry, "id"),
        parse_address(require_text(entry, "host_port"), "host_port"),
        require_text(entry, "locality"),
        require_text(entry, "flavor"),
        require_count(entry, "cell"),
        STATUS_OF_PHASE[phase],
        require_number(entry, "size"),
        up_since_ms,
    )

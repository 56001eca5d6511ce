"""Codec of discovery's answers: the endpoint list, complete or as changes.

Names on the wire and in the program:

| on the wire | in the program |
| --- | --- |
| `revision` | `version` |
| `complete` | `complete`; false means changes since the version before |
| `members` | `endpoints` |
| `id` | `name` |
| `host_port` | `address` |
| `locality` | `zone` |
| `flavor` | `kind` |
| `cell` | `cell` |
| `phase` `ready`, `draining`, `gone` | `EndpointStatus` |
| `size` | relative capacity |
| `up_since_ms` | time of its last start, Unix time in milliseconds |
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
MAX_TIME_MS = 1e15  # what the policy's clock holds
STATUS_OF_PHASE = {
    "ready": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.GONE,
}


@dataclass(frozen=True)
class EndpointListMessage:
    """An endpoint list, or changes of one.

    Attributes:
        version: Grows with each change.
        complete: Whether these are all endpoints, not only those that changed.
        endpoints: The entries.
    """

    version: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


def watch_path(version: int) -> str:
    """Give the target of a watch that starts after a version."""
    return f"{LIST_PATH}?stream=1&index={version}"


def decode_endpoint_list(
    fields: Mapping[str, object], on_invalid_entry: Callable[[InvalidMessageError], None]
) -> EndpointListMessage:
    """Decode a list without the entries that can't be used.

    One invalid entry must not hold up the news of all the others.

    Args:
        fields: The JSON object.
        on_invalid_entry: Called for each entry that is left out.

    Raises:
        InvalidMessageError: The message itself can't be used.
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
        raise InvalidMessageError(f"field 'phase' has no such value: {phase!r:.60}")
    up_since_ms = 0.0
    if entry.get("up_since_ms") is not None:
        up_since_ms = require_number(entry, "up_since_ms")
    if up_since_ms >= MAX_TIME_MS:
        raise InvalidMessageError(f"field 'up_since_ms' is no time: {up_since_ms}")
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

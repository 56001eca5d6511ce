"""Memory of the signed updates that were applied, by which one that is sent again is recognised. Has no I/O.

A signed message is identified by its MAC. A signature is valid from its time minus the fudge to its time plus the fudge
(RFC 8945, section 5.2.3), so an update is remembered for at least that long.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

FUDGE_MS = 300_000  # recommended fudge (RFC 8945, section 10), in milliseconds
RETENTION_MS = 2 * FUDGE_MS  # the fudge before and after the time signed


class AppliedUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update that was applied. The order of the fields is the stored format.

    Attributes:
        mac: MAC of the message.
        accepted_ms: Unix time at which the update was accepted, in milliseconds.
    """

    mac: bytes
    accepted_ms: int


class AppliedUpdates:
    """The updates that were applied recently, oldest first."""

    def __init__(self, max_updates: int) -> None:
        """Initializes an empty memory that keeps the latest `max_updates` updates."""
        self._max_updates = max_updates
        self._accepted_ms: dict[bytes, int] = {}

    def __len__(self) -> int:
        """Returns the number of remembered updates."""
        return len(self._accepted_ms)

    def __iter__(self) -> Iterator[AppliedUpdate]:
        """Yields the remembered updates, oldest first."""
        for mac, accepted_ms in self._accepted_ms.items():
            yield AppliedUpdate(mac, accepted_ms)

    def add(self, update: AppliedUpdate) -> None:
        """Remembers an update, and forgets those that are too old by then or too many."""
        self._accepted_ms[update.mac] = update.accepted_ms
        self.forget_before(update.accepted_ms - RETENTION_MS)
        while len(self._accepted_ms) > self._max_updates:
            del self._accepted_ms[next(iter(self._accepted_ms))]

    def forget_before(self, oldest_ms: int) -> None:
        """Forgets the updates that were accepted before a Unix time in milliseconds."""
        while self._accepted_ms:
            mac, accepted_ms = next(iter(self._accepted_ms.items()))
            if accepted_ms >= oldest_ms:
                return
            del self._accepted_ms[mac]

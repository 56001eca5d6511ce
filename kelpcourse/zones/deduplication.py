"""Update deduplication: an update that a client sends again takes effect once. Pure.

A signed message is identified by its MAC. The signature is valid for the fudge around its time (RFC 8945, section
5.2.3), so the MAC is remembered for at least that long. Whoever sends the message again, be it the client or somebody
who recorded it, gets the response to the first one and changes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import dns.rcode

FUDGE_US = 300 * 1_000_000  # the usual value (RFC 8945, section 10)
RETENTION_US = 2 * FUDGE_US  # before and after the time signed
SendResponse = Callable[[dns.rcode.Rcode], None]


class UpdateDeduplicator:
    """Responses to recent updates, and the clients that wait for a pending one."""

    def __init__(self, max_responses: int) -> None:
        """Remembers at most `max_responses` responses, the latest ones."""
        self._max_responses = max_responses
        self._responses: OrderedDict[bytes, tuple[int, dns.rcode.Rcode]] = OrderedDict()
        self._pending: dict[bytes, list[SendResponse]] = {}

    def __len__(self) -> int:
        """Returns the number of remembered and pending updates."""
        return len(self._responses) + len(self._pending)

    def register(self, mac: bytes, now_us: int, send_response: SendResponse) -> bool:
        """Returns whether the update is new and so must be carried out.

        Either way `send_response` is called with the response to the first such message, now or
        once there is one.
        """
        self._forget_old(now_us)
        if mac in self._pending:
            self._pending[mac].append(send_response)
            return False
        if mac in self._responses:
            _, rcode = self._responses[mac]
            send_response(rcode)
            return False
        self._pending[mac] = [send_response]
        return True

    def complete(self, mac: bytes, rcode: dns.rcode.Rcode, now_us: int) -> None:
        """Responds to every client that sent the update.

        SERVFAIL is not remembered, so that the update may be retried.
        """
        waiting = self._pending.pop(mac)
        if rcode != dns.rcode.SERVFAIL:
            self._responses[mac] = now_us, rcode
        for send_response in waiting:
            send_response(rcode)

    def _forget_old(self, now_us: int) -> None:
        while self._responses:
            oldest_mac, (completed_us, _) = next(iter(self._responses.items()))
            is_recent = completed_us > now_us - RETENTION_US
            if is_recent and len(self._responses) <= self._max_responses:
                break
            del self._responses[oldest_mac]

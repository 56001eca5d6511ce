"""Deduplication of updates: an update that is received more than once takes effect once. Has no I/O.

A signed message is identified by its MAC, which is kept for as long as its signature may be valid. A repeated message,
whether it is a retry of the client or a replay by an attacker, changes nothing and gets the response to the first one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

import dns.rcode

from kelpcourse.zones.applied_updates import RETENTION_MS, AppliedUpdate
from kelpcourse.zones.runtime import US_PER_MS

RETENTION_US = RETENTION_MS * US_PER_MS
SendResponse = Callable[[dns.rcode.Rcode], None]


class UpdateDeduplicator:
    """Tracks the responses to recent updates, and the requests whose update is pending."""

    def __init__(
        self,
        max_responses: int,
        max_waiting_repetitions: int,
        applied: Iterable[AppliedUpdate] = (),
    ) -> None:
        """Initializes a deduplicator.

        Args:
            max_responses: Maximum number of responses that are kept, the latest ones.
            max_waiting_repetitions: Maximum number of repetitions that wait for the outcome of one update.
            applied: Updates that were applied before a restart, oldest first.
        """
        self._max_responses = max_responses
        self._max_waiting_repetitions = max_waiting_repetitions
        self._responses: OrderedDict[bytes, tuple[int, dns.rcode.Rcode]] = OrderedDict(
            (update.mac, (update.accepted_ms * US_PER_MS, dns.rcode.NOERROR)) for update in applied
        )
        self._pending: dict[bytes, list[SendResponse]] = {}

    def __len__(self) -> int:
        """Returns the number of pending updates and of completed ones whose response is kept."""
        return len(self._responses) + len(self._pending)

    def register(self, mac: bytes, now_us: int, send_response: SendResponse) -> bool:
        """Registers a request and returns whether its update is new and therefore to be applied.

        In both cases `send_response` is called with the response to the first request that has this MAC: immediately
        if there is one already, otherwise on completion of the update. A repetition beyond the limit of those that wait
        gets SERVFAIL.
        """
        self._forget_old(now_us)
        if mac in self._pending:
            if len(self._pending[mac]) > self._max_waiting_repetitions:
                send_response(dns.rcode.SERVFAIL)
            else:
                self._pending[mac].append(send_response)
            return False
        if mac in self._responses:
            _, rcode = self._responses[mac]
            send_response(rcode)
            return False
        self._pending[mac] = [send_response]
        return True

    def complete(self, mac: bytes, rcode: dns.rcode.Rcode, now_us: int) -> None:
        """Completes an update: sends the response to each request for it, and keeps the response.

        SERVFAIL is not kept, so that the client can retry the update.
        """
        response_senders = self._pending.pop(mac)
        if rcode != dns.rcode.SERVFAIL:
            self._responses[mac] = now_us, rcode
        for send_response in response_senders:
            send_response(rcode)

    def _forget_old(self, now_us: int) -> None:
        while self._responses:
            oldest_mac, (completed_us, _) = next(iter(self._responses.items()))
            is_recent = completed_us > now_us - RETENTION_US
            if is_recent and len(self._responses) <= self._max_responses:
                break
            del self._responses[oldest_mac]

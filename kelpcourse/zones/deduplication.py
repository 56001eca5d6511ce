"""Updates that come twice, as clients repeat what got no answer, take effect once. Pure.

A signed message is known by its MAC. Its signature is good for the fudge of its time (RFC 8945, 5.2.3), so it is
remembered for at least that long; whoever sends it again, be it the client or somebody who recorded it, gets
the answer that the first one got and changes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import dns.rcode

REMEMBER_US = 2 * 300 * 1_000_000  # the usual fudge, before and after the time signed
Told = Callable[[dns.rcode.Rcode], None]


class UpdateDeduplicator:
    def __init__(self, most: int) -> None:
        self._most = most
        self._answers: OrderedDict[bytes, tuple[int, dns.rcode.Rcode]] = OrderedDict()
        self._pending: dict[bytes, list[Told]] = {}

    def __len__(self) -> int:
        return len(self._answers) + len(self._pending)

    def meet(self, mac: bytes, now_us: int, tell: Told) -> bool:
        """Whether this one is new, and so to be carried out. If not, `tell` hears the first one's answer, now
        or once there is one."""
        while self._answers:
            first = next(iter(self._answers))
            if len(self._answers) <= self._most and self._answers[first][0] > now_us - REMEMBER_US:
                break
            del self._answers[first]
        if mac in self._pending:
            self._pending[mac].append(tell)
            return False
        if mac in self._answers:
            tell(self._answers[mac][1])
            return False
        self._pending[mac] = [tell]
        return True

    def answered(self, mac: bytes, rcode: dns.rcode.Rcode, now_us: int) -> None:
        """What came of it, for all who asked. A failure of ours is forgotten, so that it may be tried again."""
        waiting = self._pending.pop(mac)
        if rcode != dns.rcode.SERVFAIL:
            self._answers[mac] = now_us, rcode
        for tell in waiting:
            tell(rcode)

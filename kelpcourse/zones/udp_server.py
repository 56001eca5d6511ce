"""Server of DNS requests over UDP: reads datagrams and sends the responses of the request handler."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterable
from functools import partial

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.loop import READ, Coroutine, Wait
from kelpcourse.wire.stream import Address
from kelpcourse.zones.dns_request import MAX_MESSAGE_BYTES
from kelpcourse.zones.request_handler import DnsRequestHandler


class UdpServer:
    """Serves requests on one UDP socket."""

    def __init__(
        self, sock: socket.socket, limits: Limits, counters: Counters, handler: DnsRequestHandler
    ) -> None:
        """Initializes a server that owns the bound socket."""
        self._socket = sock
        self._limits = limits
        self._counters = counters
        self._handler = handler

    def run(self) -> Coroutine[None]:
        """Serves requests; other coroutines run after a limited number of them."""
        while True:
            yield Wait(fd=self._socket.fileno(), event_mask=READ)
            self._handle_pending()

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _handle_pending(self) -> None:
        for _ in range(self._limits.max_dns_datagrams_per_read):
            try:
                wire, peer = self._socket.recvfrom(MAX_MESSAGE_BYTES)
            except BlockingIOError:
                return
            except OSError:  # ICMP error caused by an earlier response
                continue
            self._handler.handle(wire, peer[:2], False, partial(self._send_first, peer))

    def _send_first(self, peer: Address, messages: Iterable[bytes]) -> None:
        """Sends the first message; it is lost if the socket buffer is full, and then the client retries its query."""
        for message in messages:
            with contextlib.suppress(OSError):
                self._socket.sendto(message, peer)
                return
            self._counters.add("dns_answers_lost")

"""Server of DNS requests over UDP: reads datagrams and sends the responses of the request handler."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterable
from functools import partial

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.loop import READ, Coroutine, Wait
from kelpcourse.wire.stream import Address
from kelpcourse.zones.datagram_queue import Datagram, DatagramQueue
from kelpcourse.zones.dns_request import MAX_MESSAGE_BYTES
from kelpcourse.zones.request_handler import DnsRequestHandler


class UdpServer:
    """Serves requests on one UDP socket, those of all clients in turn."""

    def __init__(
        self,
        sock: socket.socket,
        clock: Callable[[], int],
        limits: Limits,
        counters: Counters,
        handler: DnsRequestHandler,
    ) -> None:
        """Initializes a server that owns the bound socket.

        Args:
            sock: Bound socket.
            clock: Function that returns the time in microseconds.
            limits: Limits on queued datagrams, and on what is done before other coroutines run.
            counters: Counters of lost datagrams and responses.
            handler: Handler of the requests.
        """
        self._socket = sock
        self._clock = clock
        self._limits = limits
        self._counters = counters
        self._handler = handler
        self._queue = DatagramQueue(limits.max_queued_dns_datagrams, limits.max_queued_dns_bytes)

    def run(self) -> Coroutine[None]:
        """Serves requests; other coroutines run after a limited number of them or a limited time."""
        while True:
            if self._queue:
                yield Wait(0)
            else:
                yield Wait(fd=self._socket.fileno(), event_mask=READ)
            self._handle_pending()

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _handle_pending(self) -> None:
        end_us = self._clock() + self._limits.dns_turn_us
        has_more = True
        for _ in range(self._limits.max_dns_requests_per_turn):
            # The system drops datagrams of all clients while the socket's buffer is full, so that is emptied first.
            if has_more:
                has_more = self._receive()
            if not self._queue:
                return
            datagram = self._queue.take()
            send = partial(self._send_first, datagram.peer)
            self._handler.handle(datagram.wire, datagram.peer[:2], False, send)
            if self._clock() >= end_us:
                return

    def _receive(self) -> bool:
        """Moves datagrams from the socket to the queue; returns whether there may be more."""
        for _ in range(self._limits.max_dns_datagrams_per_read):
            try:
                datagram = Datagram(*self._socket.recvfrom(MAX_MESSAGE_BYTES))
            except BlockingIOError:
                return False
            except OSError:  # ICMP error caused by an earlier response
                continue
            if dropped := self._queue.put(datagram):
                self._counters.add("dns_datagrams_dropped", dropped)
        return True

    def _send_first(self, peer: Address, messages: Iterable[bytes]) -> None:
        """Sends the first message; it is lost if the socket buffer is full, and then the client retries its query."""
        for message in messages:
            with contextlib.suppress(OSError):
                self._socket.sendto(message, peer)
                return
            self._counters.add("dns_answers_lost")

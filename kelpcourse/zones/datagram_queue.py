"""Queue of received datagrams that serves all clients in turn, so that one client can't keep the others waiting."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpcourse.wire.stream import Address

# Parts of the queue that the datagrams of one client may take.
CLIENT_SHARE_DIVISOR = 32


class Datagram(NamedTuple):
    """A received datagram and the address of its sender."""

    wire: bytes
    peer: Address


@dataclass
class _Client:
    """The queued datagrams of one client, oldest first, and their total size."""

    datagrams: deque[bytes] = field(default_factory=deque)
    size_bytes: int = 0


class DatagramQueue:
    """Datagrams by client, limited in number and size for each client and for all together."""

    def __init__(self, max_datagrams: int, max_bytes: int) -> None:
        """Initializes an empty queue.

        Args:
            max_datagrams: Maximum number of datagrams of all clients.
            max_bytes: Maximum size, in bytes, of the datagrams of all clients.
        """
        self._max_datagrams = max_datagrams
        self._max_bytes = max_bytes
        self._max_client_datagrams = max(1, max_datagrams // CLIENT_SHARE_DIVISOR)
        self._max_client_bytes = max(1, max_bytes // CLIENT_SHARE_DIVISOR)
        self._clients: OrderedDict[Address, _Client] = OrderedDict()  # next client first
        self._count = 0
        self._size_bytes = 0

    def __len__(self) -> int:
        """Returns the number of queued datagrams."""
        return self._count

    def put(self, datagram: Datagram) -> int:
        """Adds a datagram and returns the number of datagrams that were dropped.

        A client that has used up its part of the queue loses its oldest datagrams. If the queue is full, the new
        datagram is dropped.
        """
        size_bytes = len(datagram.wire)
        dropped = 0
        while self._is_over_share(datagram):
            self._remove(datagram.peer)
            dropped += 1
        if self._count >= self._max_datagrams or self._size_bytes + size_bytes > self._max_bytes:
            return dropped + 1
        client = self._clients.setdefault(datagram.peer, _Client())
        client.datagrams.append(datagram.wire)
        client.size_bytes += size_bytes
        self._count += 1
        self._size_bytes += size_bytes
        return dropped

    def take(self) -> Datagram:
        """Removes and returns the oldest datagram of the next client; there must be one."""
        peer = next(iter(self._clients))
        wire = self._remove(peer)
        if peer in self._clients:
            self._clients.move_to_end(peer)
        return Datagram(wire, peer)

    def _is_over_share(self, datagram: Datagram) -> bool:
        """Returns whether a client with queued datagrams has no room for one more in its part of the queue."""
        client = self._clients.get(datagram.peer)
        if client is None:
            return False
        if len(client.datagrams) >= self._max_client_datagrams:
            return True
        return client.size_bytes + len(datagram.wire) > self._max_client_bytes

    def _remove(self, peer: Address) -> bytes:
        """Removes the oldest datagram of a client."""
        client = self._clients[peer]
        wire = client.datagrams.popleft()
        client.size_bytes -= len(wire)
        if not client.datagrams:
            del self._clients[peer]
        self._count -= 1
        self._size_bytes -= len(wire)
        return wire

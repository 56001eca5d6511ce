"""Sockets of a DNS server, which are bound to the same address for UDP and TCP."""

from __future__ import annotations

import socket

from kelpcourse.wire.stream import Address, address_family, listen

MAX_PORT_ATTEMPTS = 16  # maximum number of attempts to find a port that is free for UDP and TCP


def bind_udp(address: Address) -> socket.socket:
    """Opens a UDP socket that is bound to a local address.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = socket.socket(address_family(address), socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def bind_udp_and_tcp(address: Address, backlog: int) -> tuple[socket.socket, socket.socket]:
    """Opens a UDP and a TCP socket that are bound to the same address; port 0 means any port that is free for both.

    Raises:
        OSError: The address cannot be bound.
    """
    for _ in range(MAX_PORT_ATTEMPTS):
        tcp = listen(address, backlog)
        try:
            return bind_udp((address[0], tcp.getsockname()[1])), tcp
        except OSError:
            tcp.close()
            if address[1]:
                raise
    raise OSError("no port is free for both UDP and TCP")

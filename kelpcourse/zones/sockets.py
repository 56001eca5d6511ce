"""The listening sockets of a DNS server: UDP and TCP at one address."""

from __future__ import annotations

import socket

from kelpcourse.wire.stream import Address, address_family, listen

MAX_PORT_ATTEMPTS = 16


def bind_udp(address: Address) -> socket.socket:
    """Returns a socket for datagrams at an address of this machine.

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
    """Returns a UDP and a TCP socket at one address; port 0 means any that is free for both.

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

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


def bind_udp_group(address: Address, count: int) -> list[socket.socket]:
    """Opens several UDP sockets that share a local address.

    The system assigns each client to one of them, by the client's address and port. A client that sends at full speed
    therefore fills the buffer of one socket only.

    Raises:
        OSError: The address cannot be bound, or another process has bound it.
    """
    bind_udp(address).close()  # fails if another process shares the address
    sockets: list[socket.socket] = []
    try:
        for _ in range(count):
            sock = socket.socket(address_family(address), socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            sockets.append(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
    except OSError:
        for sock in sockets:
            sock.close()
        raise
    return sockets


def bind_udp_and_tcp(
    address: Address, backlog: int, udp_count: int = 1
) -> tuple[list[socket.socket], socket.socket]:
    """Opens UDP sockets and a TCP socket that are bound to the same address.

    Args:
        address: Address to bind; port 0 means any port that is free for both.
        backlog: Maximum number of connections that the system queues until they are accepted.
        udp_count: Number of UDP sockets.

    Raises:
        OSError: The address cannot be bound.
    """
    for _ in range(MAX_PORT_ATTEMPTS):
        tcp = listen(address, backlog)
        try:
            return bind_udp_group((address[0], tcp.getsockname()[1]), udp_count), tcp
        except OSError:
            tcp.close()
            if address[1]:
                raise
    raise OSError("no port is free for both UDP and TCP")

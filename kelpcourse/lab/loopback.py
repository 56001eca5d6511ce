"""The clock and the loopback addresses of the lab."""

from __future__ import annotations

import socket
import time

from kelpcourse.wire.stream import Address

# Outgoing connections use 127.0.0.1, so they can't take a port that is free on this address.
LISTEN_HOST = "127.0.0.2"


def now_us() -> int:
    """Returns the time of the monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


def free_address(host: str = "127.0.0.1") -> Address:
    """Returns an address with a free port.

    On LISTEN_HOST the port stays free until a listener binds it; elsewhere an outgoing connection may take it.
    """
    with socket.create_server((host, 0)) as sock:
        address: Address = sock.getsockname()
        return address

"""The clock and the loopback addresses of the lab."""

from __future__ import annotations

import socket
import time

from kelpcourse.wire.stream import Address

# Connections go out from 127.0.0.1, so none can take a port that is free here.
LISTEN_HOST = "127.0.0.2"


def now_us() -> int:
    """The monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


def free_address(host: str = "127.0.0.1") -> Address:
    """An address with a port that is free now; on LISTEN_HOST it stays so until a listener takes it."""
    with socket.create_server((host, 0)) as sock:
        address: Address = sock.getsockname()
        return address

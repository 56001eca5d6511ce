"""DNS server on the event loop, which passes requests over UDP and TCP at one address to one request handler."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.loop import Coroutine, Loop
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import Address
from kelpcourse.zones.request_handler import DnsRequestHandler
from kelpcourse.zones.sockets import bind_udp_and_tcp
from kelpcourse.zones.tcp_server import TcpServer
from kelpcourse.zones.udp_server import UdpServer


class DnsServer:
    """Serves DNS requests over UDP and TCP at one address."""

    def __init__(
        self,
        loop: Loop,
        limits: Limits,
        counters: Counters,
        log: EventLog,
        handler: DnsRequestHandler,
        listen_address: Address,
    ) -> None:
        """Binds the sockets, of which there are several for UDP.

        Raises:
            OSError: The address cannot be bound.
        """
        udp_sockets, tcp_socket = bind_udp_and_tcp(
            listen_address, limits.listen_backlog, limits.dns_udp_sockets
        )
        self._udp = [UdpServer(sock, loop.clock, limits, counters, handler) for sock in udp_sockets]
        self._tcp = TcpServer(tcp_socket, loop, limits, counters, log, handler)

    @property
    def address(self) -> Address:
        """The address at which all sockets are bound."""
        return self._tcp.address

    def udp_coroutines(self) -> list[Callable[[], Coroutine[None]]]:
        """Returns the functions that serve requests over UDP, one for each socket."""
        return [server.run for server in self._udp]

    def run_tcp(self) -> Coroutine[None]:
        """Serves requests over TCP."""
        return self._tcp.run()

    def close(self) -> None:
        """Closes the listening sockets."""
        for server in self._udp:
            server.close()
        self._tcp.close()

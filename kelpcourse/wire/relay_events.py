"""The relay's event stream, which reports proxies that join, leave or have applied orders."""

from __future__ import annotations

from collections.abc import Iterable

from kelpcourse.facade import InvalidReportError
from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.proxies import Applied, Joined, Left, ProxyEvent, ProxyRegistry
from kelpcourse.wire.errors import (
    InvalidMessageError,
    NotJsonError,
    StreamError,
)
from kelpcourse.wire.http import HttpClient, connect_http
from kelpcourse.wire.loop import Coroutine, Signal, Wait
from kelpcourse.wire.relay_codec import EVENTS_PATH, decode_event
from kelpcourse.wire.runtime import Backoff, Runtime
from kelpcourse.wire.stream import Address


class RelayEventStreams:
    """Keeps several redundant event streams open and reports each event once.

    While one stream is reopened, another one continues, so that no proxy can leave and rejoin undetected.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        orders: OrderQueue,
        reachable: Signal,
        target: str = EVENTS_PATH,
    ) -> None:
        """Initializes the streams; `run` is the coroutine of each one.

        Args:
            runtime: Clock, limits, counters, log, loop and facade.
            address: Address of the relay.
            orders: Queue whose checkpoints are acknowledged by proxies.
            reachable: Signal that is set when a stream has been opened.
            target: Path of the event stream.
        """
        self._runtime = runtime
        self._address = address
        self._orders = orders
        self._reachable = reachable
        self._target = target
        limits = runtime.limits
        self._proxies = ProxyRegistry(limits.max_buffered_events, limits.event_stream_overlap_us)
        # Streams with lower numbers are connected to a previous address and end once they are replaced.
        self._first_stream = 0

    def streams(self) -> range:
        """Returns the numbers of the streams at the current address."""
        return range(self._first_stream, self._first_stream + self._runtime.limits.event_streams)

    def reconnect_to(self, address: Address) -> None:
        """Assigns new stream numbers, which `streams` returns, to a new address; the caller runs these streams.

        Streams to the previous address continue until one to the new address is synchronised.
        """
        self._first_stream += self._runtime.limits.event_streams
        self._address = address

    def run(self, stream: int) -> Coroutine[None]:
        """Keeps one stream open until it is replaced."""
        backoff = Backoff(self._runtime.limits)
        address = self._address
        while stream >= self._first_stream:
            try:
                yield from self._follow(stream, address, backoff)
                reason = "stream closed by the relay"
            except (StreamError, NotJsonError) as error:
                reason = str(error)
            finally:
                self._report_all(self._proxies.stream_lost(stream))
            self._runtime.counters.add("event_streams_lost")
            self._runtime.log.event(
                "event_stream_lost",
                stream=stream,
                reason=reason,
                synchronised=self._proxies.synchronised,
                joined_proxies=len(self._proxies),
            )
            yield Wait(self._runtime.clock() + backoff.next_us())

    def _follow(self, stream: int, address: Address, backoff: Backoff) -> Coroutine[None]:
        """Opens a stream and reports its events until it ends."""
        limits = self._runtime.limits
        connect_deadline_us = self._runtime.clock() + limits.connect_timeout_us
        client = yield from connect_http(address, limits, connect_deadline_us)
        with client:
            yield from self._open(stream, client)
            last_line_us = self._runtime.clock()
            while True:
                lines = yield from client.read_lines(last_line_us + limits.event_stream_silence_us)
                if lines is None:
                    return
                for line in lines:
                    self._handle_line(stream, line)
                    last_line_us = self._runtime.clock()
                    backoff.reset()
                if self._is_replaced(stream):
                    raise StreamError("moved")

    def _open(self, stream: int, client: HttpClient) -> Coroutine[None]:
        limits = self._runtime.limits
        yield from client.send_request("GET", self._target, None, self._runtime.send_deadline_us())
        yield from client.expect_ok(self._runtime.clock() + limits.event_stream_silence_us)
        now_us = self._runtime.clock()
        self._proxies.stream_opened(stream, now_us, now_us + limits.event_snapshot_timeout_us)
        self._runtime.counters.add("event_streams_opened")
        self._runtime.log.event("event_stream_opened", stream=stream)
        self._reachable.set()

    def _is_replaced(self, stream: int) -> bool:
        return stream < self._first_stream and self._proxies.any_synchronised(self.streams())

    def _handle_line(self, stream: int, line: memoryview) -> None:
        if not line:
            return
        try:
            event = decode_event(line)
            self._report_all(self._proxies.receive(stream, event, self._runtime.clock()))
        except NotJsonError:
            raise  # the event is lost, and only a new snapshot can replace it
        except InvalidMessageError as error:
            self._runtime.reject_message("relay", error)

    def _report_all(self, events: Iterable[ProxyEvent]) -> None:
        for event in events:
            try:
                self._report(event)
            except InvalidReportError as error:
                self._runtime.reject_message("relay", error)

    def _report(self, event: ProxyEvent) -> None:
        facade = self._runtime.facade
        counters = self._runtime.counters
        match event:
            case Joined(proxy, zone, request_rate, has_no_table):
                counters.add("relay_proxies_joined")
                facade.report_proxy_joined(proxy, zone, request_rate, has_no_table)
            case Left(proxy):
                counters.add("relay_proxies_left")
                self._orders.drop_bindings(proxy)
                facade.report_proxy_left(proxy)
            case Applied(proxy, checkpoint_id, lag_ms):
                counters.add("relay_acknowledgements")
                self._orders.acknowledge(checkpoint_id)
                for acknowledged_id in self._orders.covered_checkpoints(checkpoint_id):
                    facade.report_acknowledged(proxy, acknowledged_id, lag_ms)

"""The relay's event stream: which proxies join, leave and have applied their orders."""

from __future__ import annotations

from collections.abc import Iterable

from kelpcourse.facade import InvalidReportError
from kelpcourse.memory.order_queue import OrderQueue
from kelpcourse.memory.proxies import Applied, Joined, Left, News, Proxies
from kelpcourse.wire.fields import BadMessage, NotJson
from kelpcourse.wire.http import dial
from kelpcourse.wire.loop import Routine, Signal, Wait
from kelpcourse.wire.relay_codec import EVENTS_PATH, read_event
from kelpcourse.wire.runtime import Backoff, Runtime
from kelpcourse.wire.stream import Act, Address, Broken


class EventStreams:
    """Keeps several event streams open and reports their events once. While one stream breaks and is opened again,
    another goes on, so no proxy can leave and come back unseen."""

    def __init__(
        self,
        parts: Runtime,
        address: Address,
        outbox: OrderQueue,
        reachable: Signal,
        target: str = EVENTS_PATH,
    ) -> None:
        """`reachable`: raised when a stream opens."""
        self._parts = parts
        self._address = address
        self._outbox = outbox
        self._reachable = reachable
        self._target = target
        self._proxies = Proxies(
            parts.limits.max_buffered_events, parts.limits.event_stream_overlap_us
        )
        self._first = 0  # stream at the address of now; those before it are on their way out

    def streams(self) -> range:
        return range(self._first, self._first + self._parts.limits.event_streams)

    def move(self, address: Address) -> None:
        """Streams are to run at another address. Those that are open tell on until one there is in step."""
        self._first += self._parts.limits.event_streams
        self._address = address

    def run(self, stream: int) -> Routine:
        backoff = Backoff(self._parts.limits)
        address = self._address
        while stream >= self._first:
            try:
                yield from self._follow(stream, address, backoff)
                reason = "ended"
            except (Broken, NotJson) as error:
                reason = str(error)
            finally:
                self._report(self._proxies.lost(stream))
            self._parts.counters.add("event_streams_lost")
            self._parts.log.event(
                "event_stream_lost",
                stream=stream,
                reason=reason,
                synchronised=self._proxies.steady,
                joined_proxies=len(self._proxies),
            )
            yield Wait(self._parts.clock() + backoff.next_us())

    def _replaced(self, stream: int) -> bool:
        return stream < self._first and self._proxies.in_step(self.streams())

    def _follow(self, stream: int, address: Address, backoff: Backoff) -> Act[None]:
        limits = self._parts.limits
        client = yield from dial(address, limits, self._parts.clock() + limits.connect_timeout_us)
        try:
            yield from client.request("GET", self._target, None)
            status = yield from client.status(self._parts.clock() + limits.event_stream_silence_us)
            if status != 200:
                raise Broken(f"answered {status}")
            now_us = self._parts.clock()
            self._proxies.opened(stream, now_us, now_us + limits.event_snapshot_timeout_us)
            self._parts.counters.add("event_streams_opened")
            self._parts.log.event("event_stream_opened", stream=stream)
            self._reachable.raise_()
            heard_us = self._parts.clock()
            while True:
                lines = yield from client.some_lines(heard_us + limits.event_stream_silence_us)
                if lines is None:
                    return
                for line in lines:
                    self._take(stream, line)
                    heard_us = self._parts.clock()
                    backoff.reset()
                if self._replaced(stream):
                    raise Broken("moved")
        finally:
            client.close()

    def _take(self, stream: int, line: memoryview) -> None:
        if not line:
            return
        try:
            self._report(self._proxies.told(stream, read_event(line), self._parts.clock()))
        except NotJson:
            raise  # what it should have told is lost: only a fresh snapshot mends that
        except BadMessage as error:
            self._parts.bad_message("relay", error)

    def _report(self, changes: Iterable[News]) -> None:
        for event in changes:
            try:
                self._report_one(event)
            except InvalidReportError as error:
                self._parts.bad_message("relay", error)

    def _report_one(self, event: News) -> None:
        facade, counters = self._parts.facade, self._parts.counters
        match event:
            case Joined(proxy, zone, share, standing):
                counters.add("relay_proxies_joined")
                facade.report_joined(proxy, zone, share, standing)
            case Left(proxy):
                counters.add("relay_proxies_left")
                self._outbox.forget_proxy(proxy)
                facade.report_left(proxy)
            case Applied(proxy, stamp, lag_ms):
                counters.add("relay_acknowledgements")
                self._outbox.answered(stamp)
                for answered in self._outbox.stamps(stamp):
                    facade.report_applied(proxy, answered, lag_ms)

"""The director's own address: collectors hand on reports, and anyone may ask whether it is there."""

from __future__ import annotations

import contextlib
import errno
import os
import socket

from kelpcourse.facade import InvalidReportError
from kelpcourse.limits import Limits
from kelpcourse.wire.buffers import Buffer, TooLong
from kelpcourse.wire.fields import BadMessage
from kelpcourse.wire.loop import READ, Routine, Task, Wait
from kelpcourse.wire.runtime import Runtime
from kelpcourse.wire.stream import Address, Broken, Silent, Stream, family
from kelpcourse.wire.text import (
    PONG,
    REFUSED,
    Collector,
    Heard,
    Message,
    Ping,
    Unreadable,
    Usage,
    check_beginning,
    parse,
)


class Guest:
    """A connection that came in."""

    def __init__(self, stream: Stream, buffer: Buffer, now_us: int) -> None:
        self.stream = stream
        self.buffer = buffer
        self.zone = ""  # of a collector; empty: a stranger so far
        self.came_us = now_us
        self.heard_us = now_us  # when a message could last be read
        self.half_us: int | None = None  # since when a stranger's message is not whole
        self.asked = False  # for a sign of life
        self.task: Task | None = None

    def until_us(self, limits: Limits) -> int:
        """When it is let go. A stranger's time runs from its connecting, or from the start of a message,
        and never from its last byte: else a slow drip would hold a place for good."""
        if self.zone:
            return self.heard_us + limits.collector_idle_us
        if not self.asked:
            return self.came_us + limits.handshake_timeout_us
        if self.half_us is not None:
            return self.half_us + limits.handshake_timeout_us
        return self.heard_us + limits.ping_client_idle_us


class Stranger(Broken):
    """Someone who did not join and has no business here: told so, and let go."""


def listen(address: Address, queue: int) -> socket.socket:
    sock = socket.socket(family(address), socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(queue)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    def __init__(self, parts: Runtime, address: Address, sock: socket.socket | None = None) -> None:
        """`sock`: listens there already."""
        self._sock = sock
        self._parts = parts
        self._address = address
        self._guests: dict[Guest, None] = {}
        self._spare = os.open(os.devnull, os.O_RDONLY)

    def run(self) -> Routine:
        sock, self._sock = self._sock, None  # started anew after a defect it is closed
        while sock is None and (sock := self._listen()) is None:
            yield Wait(self._parts.clock() + self._parts.limits.bind_retry_us)
        self._parts.log.always("ready", listen=f"{self._address[0]}:{self._address[1]}")
        try:
            while True:
                yield Wait(fd=sock.fileno(), mask=READ)
                if not self._accept(sock):
                    yield Wait(self._parts.clock() + self._parts.limits.accept_retry_us)
        finally:
            sock.close()

    def _listen(self) -> socket.socket | None:
        """None: the process before this one still holds the address, which passes."""
        try:
            return listen(self._address, self._parts.limits.listen_backlog)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self._parts.log.event("address_in_use", reason=str(error))
            return None

    def _accept(self, sock: socket.socket) -> bool:
        """Takes in whoever waits; false if descriptors ran out."""
        while True:
            try:
                connection, _ = sock.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue  # it was reset before it was taken
            except OSError as error:  # as a rule: no descriptor is left
                self._parts.log.event(
                    "descriptors_exhausted", reason=str(error), connections=len(self._guests)
                )
                self._make_way(sock)
                return False
            self._welcome(Stream(connection))
            while len(self._guests) > self._parts.limits.max_connections:
                if not self._shed_quietest():
                    return False

    def _make_way(self, sock: socket.socket) -> None:
        """The quietest guest goes, so that silent strangers can't shut a collector out. Without guests nobody
        can even be turned away: the spare descriptor is given up for that."""
        if self._guests:
            self._shed_quietest()
            return
        self._parts.counters.add("connections_evicted")
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1
        with contextlib.suppress(OSError):
            sock.accept()[0].close()
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY)

    def _welcome(self, stream: Stream) -> None:
        limits = self._parts.limits
        with contextlib.suppress(
            OSError
        ):  # nothing but pongs is ever written: the system need not hold many
            stream.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, limits.max_unauthenticated_bytes
            )
        buffer = Buffer(limits.max_unauthenticated_bytes, limits.max_unauthenticated_bytes)
        guest = Guest(stream, buffer, self._parts.clock())
        self._guests[guest] = None
        self._parts.counters.add("connections")
        guest.task = self._parts.loop.start("guest", self._serve(guest))

    def _shed_quietest(self) -> bool:
        """Strangers go first, then whoever said nothing for longest. One that has just come is waited for: it
        may be a collector in a crowd, whose first line is on its way. Tells whether there is room again."""
        quietest = min(self._guests, key=lambda g: (bool(g.zone), g.asked, g.heard_us))
        if self._parts.clock() - quietest.came_us < self._parts.limits.accept_retry_us:
            return False
        self._parts.counters.add("connections_evicted")
        self._parts.log.event(
            "connection_evicted", zone=quietest.zone, connections=len(self._guests)
        )
        if quietest.task is not None:
            self._parts.loop.stop(quietest.task)
        return True

    def _serve(self, guest: Guest) -> Routine:
        try:
            while True:
                room = guest.buffer.space()
                count = yield from guest.stream.recv_into(room, guest.until_us(self._parts.limits))
                if not count:
                    return
                self._parts.counters.add("bytes_in", count)
                guest.buffer.filled(count)
                self._take_lines(guest)
                if self._over_memory(guest):
                    raise Broken("read buffers are over their limit together")
                if count == len(room):
                    yield Wait(0)  # one that sends without end must not keep the others waiting
        except (Stranger, Unreadable, TooLong, Silent) as error:
            self._turn_away(guest, error)
        except Broken as error:
            self._parts.counters.add("connections_broken")
            self._parts.log.event("connection_broken", zone=guest.zone, reason=str(error))
        finally:
            self._end(guest)

    def _take_lines(self, guest: Guest) -> None:
        for line in guest.buffer.lines():
            self._take(guest, line)
        rest = guest.buffer.rest()
        check_beginning(rest)
        if guest.zone:
            return
        now_us = self._parts.clock()
        guest.half_us = (guest.half_us or now_us) if rest else None
        if now_us > guest.until_us(
            self._parts.limits
        ):  # bytes that keep coming hide the time limit
            raise Stranger("its time is over")

    def _turn_away(self, guest: Guest, error: Exception) -> None:
        """A stranger hears that it is refused. A collector does not: nothing is ever written to it, and once
        its line can't be read, only coming anew helps it."""
        reason = str(error) or "a message over its limit"
        if guest.zone:
            self._parts.counters.add("collectors_disconnected")
            self._parts.log.event("collector_disconnected", zone=guest.zone, reason=reason)
            return
        self._parts.counters.add("clients_rejected")
        self._parts.log.event("client_rejected", reason=reason, request=guest.asked)
        with contextlib.suppress(OSError):
            guest.stream.sock.send(REFUSED)

    def _over_memory(self, guest: Guest) -> bool:
        """Half lines of up to a limit each are fine on a few connections, not on hundreds: whoever grows a
        buffer past what all may hold together is shed."""
        held = sum(other.buffer.size for other in self._guests)
        self._parts.counters.most("max_read_buffer_bytes", held)
        return (
            held > self._parts.limits.max_read_buffers_bytes
            and guest.buffer.size > self._parts.limits.initial_read_buffer_bytes
        )

    def _end(self, guest: Guest) -> None:
        del self._guests[guest]
        guest.stream.close()

    def _take(self, guest: Guest, line: memoryview) -> None:
        """A collector's message that can't be used is skipped, as its neighbours are good; what is no message
        at all ends its connection. From strangers nothing but a ping or a joining is taken."""
        try:
            message = parse(line)
            if guest.zone:
                self._report(guest, message)
            else:
                self._meet(guest, message)
            guest.heard_us = self._parts.clock()
        except Unreadable:
            raise
        except (BadMessage, InvalidReportError) as error:
            if not guest.zone:
                raise Stranger(str(error)) from None
            self._parts.bad_message("collector", error)

    def _meet(self, guest: Guest, message: Message | None) -> None:
        match message:
            case Ping():
                guest.asked = True
                self._pong(guest)
            case Collector(zone) if self._parts.facade.is_zone(zone):
                guest.zone = zone
                guest.buffer.widen(
                    self._parts.limits.initial_read_buffer_bytes, self._parts.limits.max_line_bytes
                )
                self._parts.log.event("collector_connected", zone=zone)
            case Collector(zone):
                raise Stranger(f"no zone {zone!r:.60}")
            case _:
                raise Stranger("a message before a joining")

    def _report(self, guest: Guest, message: Message | None) -> None:
        match message:
            case Heard(zone, host, tries, failed, mean_ms, window_ms, load):
                if zone != guest.zone:
                    raise BadMessage(
                        f"zone {zone!r:.60} through the collector of {guest.zone!r:.60}"
                    )
                self._parts.counters.add("endpoint_reports")
                self._parts.facade.report_tries(host, zone, tries, failed, window_ms, mean_ms, load)
            case Usage(proxy, kind, arrived, unanswered, window_ms):
                self._parts.counters.add("demand_reports")
                self._parts.facade.report_usage(proxy, kind, arrived, unanswered, window_ms)
            case Collector(zone) if zone != guest.zone:
                raise BadMessage(f"the collector of {guest.zone!r:.60} is not that of {zone!r:.60}")
            case Ping():
                self._pong(guest)

    def _pong(self, guest: Guest) -> None:
        self._parts.counters.add("pings")
        try:
            sent = guest.stream.sock.send(PONG)
        except OSError:
            sent = 0
        if sent < len(
            PONG
        ):  # it does not read its answers; half a line must not be followed by another
            with contextlib.suppress(OSError):
                guest.stream.sock.shutdown(socket.SHUT_RDWR)

"""The director's own address: collectors hand on reports, and anyone may ask whether it is there."""

from __future__ import annotations

import contextlib
import errno
import os
import socket

from kelpcourse.facade import Unknown
from kelpcourse.wire.buffers import Buffer, TooLong
from kelpcourse.wire.fields import BadMessage
from kelpcourse.wire.loop import READ, Routine, Task, Wait
from kelpcourse.wire.parts import Parts
from kelpcourse.wire.stream import Address, Broken, Stream
from kelpcourse.wire.text import PONG, Collector, Heard, Message, Ping, Usage, parse


BACKLOG = 128  # connections that the system holds until they are taken


class Guest:
    """A connection that came in."""

    def __init__(self, stream: Stream, buffer: Buffer, now_us: int) -> None:
        self.stream = stream
        self.buffer = buffer
        self.zone = ""  # empty: a stranger so far
        self.heard_us = now_us
        self.bad = 0  # messages that could not be used
        self.task: Task | None = None


def listen(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    def __init__(self, parts: Parts, address: Address) -> None:
        self._parts = parts
        self._address = address
        self._guests: dict[Guest, None] = {}
        self._spare = os.open(os.devnull, os.O_RDONLY)

    def run(self) -> Routine:
        while (sock := self._listen()) is None:
            yield Wait(self._parts.clock() + self._parts.limits.bind_wait_us)
        self._parts.log.always("ready", listen=f"{self._address[0]}:{self._address[1]}")
        try:
            while True:
                yield Wait(fd=sock.fileno(), mask=READ)
                if not self._accept(sock):
                    yield Wait(self._parts.clock() + self._parts.limits.accept_wait_us)
        finally:
            sock.close()

    def _listen(self) -> socket.socket | None:
        """None: the process before this one still holds the address, which passes."""
        try:
            return listen(self._address)
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
                self._parts.log.event("descriptors_used_up", reason=str(error), connections=len(self._guests))
                self._make_way(sock)
                return False
            self._welcome(Stream(connection))

    def _make_way(self, sock: socket.socket) -> None:
        """The quietest guest goes, so that silent strangers can't shut a collector out. Without guests nobody
        can even be turned away: the spare descriptor is given up for that."""
        if self._guests:
            self._shed_quietest()
            return
        self._parts.counters.add("connections_shed")
        if self._spare >= 0:
            os.close(self._spare)
            self._spare = -1
        with contextlib.suppress(OSError):
            sock.accept()[0].close()
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY)

    def _welcome(self, stream: Stream) -> None:
        if len(self._guests) >= self._parts.limits.connections:
            self._shed_quietest()
        limits = self._parts.limits
        guest = Guest(stream, Buffer(limits.read_bytes, limits.line_bytes), self._parts.clock())
        self._guests[guest] = None
        self._parts.counters.add("connections")
        guest.task = self._parts.loop.start("guest", self._serve(guest))

    def _shed_quietest(self) -> None:
        """Strangers go first, then whoever said nothing for longest."""
        quietest = min(self._guests, key=lambda g: (bool(g.zone), g.heard_us))
        self._parts.counters.add("connections_shed")
        self._parts.log.event("connection_shed", zone=quietest.zone, connections=len(self._guests))
        if quietest.task is not None:
            self._parts.loop.stop(quietest.task)

    def _serve(self, guest: Guest) -> Routine:
        limits = self._parts.limits
        try:
            while True:
                limit_us = limits.collector_us if guest.zone else limits.stranger_us
                room = guest.buffer.space()
                count = yield from guest.stream.recv_into(room, guest.heard_us + limit_us)
                if not count:
                    return
                self._parts.counters.add("bytes_in", count)
                guest.buffer.filled(count)
                for line in guest.buffer.lines():
                    self._take(guest, line)
                if not guest.zone and guest.bad > limits.stranger_bad:
                    raise Broken("a stranger that makes no sense")
                if self._over_memory(guest):
                    raise Broken("read buffers are over their limit together")
                if count == len(room):
                    yield Wait(0)  # one that sends without end must not keep the others waiting
        except TooLong:
            self._parts.bad_message("guest", BadMessage("a line over its limit"))
        except Broken as error:
            self._parts.counters.add("connections_broken")
            self._parts.log.event("connection_ended", zone=guest.zone, reason=str(error))
        finally:
            self._end(guest)

    def _over_memory(self, guest: Guest) -> bool:
        """Half lines of up to a limit each are fine on a few connections, not on hundreds: whoever grows a
        buffer past what all may hold together is shed."""
        held = sum(other.buffer.size for other in self._guests)
        self._parts.counters.most("read_buffers_most", held)
        return held > self._parts.limits.held_bytes and guest.buffer.size > self._parts.limits.read_bytes

    def _end(self, guest: Guest) -> None:
        del self._guests[guest]
        guest.stream.close()

    def _take(self, guest: Guest, line: memoryview) -> None:
        try:
            message = parse(line)
            if message is not None:
                self._report(guest, message)
                guest.heard_us = self._parts.clock()
        except (BadMessage, Unknown) as error:
            guest.bad += 1
            self._parts.bad_message("guest", error)

    def _report(self, guest: Guest, message: Message) -> None:
        match message:
            case Heard(zone, host, tries, failed, mean_ms, window_ms, load):
                self._parts.counters.add("heard")
                self._parts.facade.report_tries(host, zone, tries, failed, window_ms, mean_ms, load)
            case Usage(proxy, kind, arrived, unanswered, window_ms):
                self._parts.counters.add("usage")
                self._parts.facade.report_usage(proxy, kind, arrived, unanswered, window_ms)
            case Collector(zone):
                guest.zone = zone
                self._parts.log.event("collector", zone=zone)
            case Ping():
                self._pong(guest)

    def _pong(self, guest: Guest) -> None:
        self._parts.counters.add("pings")
        try:
            sent = guest.stream.sock.send(PONG)
        except OSError:
            sent = 0
        if sent < len(PONG):  # it does not read its answers; half a line must not be followed by another
            with contextlib.suppress(OSError):
                guest.stream.sock.shutdown(socket.SHUT_RDWR)



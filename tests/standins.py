"""Small stand-ins for the outside systems, written from the protocol page, on the test's own loop."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from dataclasses import replace

import h11
import orjson

from kelpcourse.facade import Facade
from kelpcourse.interface import Action, Checkpoint, Event, Settings
from kelpcourse.memory.counters import Counters
from kelpcourse.memory.hosts import Member, Phase
from kelpcourse.limits import Limits
from kelpcourse.wire.loop import READ, Loop, Routine, Wait
from kelpcourse.wire.parts import Parts
from kelpcourse.wire.stream import Act, Address, Broken, Stream
from tests.fleet import SETTINGS

MS = 1000
QUICK = replace(
    Limits(), gather_us=2 * MS, connect_us=60 * MS, send_us=60 * MS, backoff_least_us=5 * MS,
    backoff_most_us=10 * MS, answer_us=40 * MS, throttled_us=5 * MS, idle_us=50 * MS,
    news_silence_us=80 * MS, news_settle_us=40 * MS, list_us=80 * MS, watch_silence_us=80 * MS,
    probe_us=40 * MS, accept_wait_us=5 * MS, bind_wait_us=5 * MS,
)
HASTY = replace(QUICK, join_us=40 * MS, pinger_us=80 * MS, collector_us=160 * MS)  # to test silence


class FakeClock:
    def __init__(self) -> None:
        self.now = 1_000_000

    def __call__(self) -> int:
        return self.now


class Records:
    """A log that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def event(self, name: str, **fields: object) -> None:
        self.lines.append((name, fields))

    always = event

    def named(self, name: str) -> list[dict[str, object]]:
        return [fields for at, fields in self.lines if at == name]


class Script:
    """Stands in for the module: keeps the events of each step, answers with what is laid ready."""

    def __init__(self, _: Settings) -> None:
        self.steps: list[list[Event]] = []
        self.ready: list[list[Action]] = []

    def step(self, _now_us: int, events: Iterable[Event]) -> list[Action]:
        self.steps.append(list(events))
        return self.ready.pop(0) if self.ready else []

    @property
    def events(self) -> list[Event]:
        return [event for step in self.steps for event in step]


class Bench:
    """The parts of a director on a fake clock: time passes only while no byte is under way."""

    def __init__(self, limits: Limits = QUICK, settings: Settings = SETTINGS) -> None:
        self.clock = FakeClock()
        self.log = Records()
        self.defects: list[Exception] = []
        self.loop = Loop(self.clock, lambda _, error: self.defects.append(error))
        self.module = Script(settings)
        self.facade = Facade(settings, 7, limits, lambda _: self.module)
        self.counters = Counters()
        self.parts = Parts(self.facade, limits, self.counters, self.log, self.loop)

    def until(self, what: Callable[[], object], most: int = 4000) -> None:
        for _ in range(most):
            if what():
                return
            self.turn()
        raise AssertionError(f"did not come about; log: {self.log.lines[-5:]}, defects: {self.defects}")

    def turn(self) -> None:
        if not self.loop.turn(self.clock.now + MS):
            self.clock.now += MS
        self.facade.tick(self.clock.now)

    def pass_us(self, span_us: int) -> None:
        until_us = self.clock.now + span_us
        self.until(lambda: self.clock.now >= until_us)

    def asked(self, *stamps: int) -> None:
        """The module has ordered these marks."""
        self.module.ready.append([Checkpoint(stamp, False) for stamp in stamps])
        self.facade.start(self.clock.now)
        self.facade.pick()

    def close(self) -> None:
        self.loop.close()
        if self.defects:
            raise self.defects[0]


def member(name: str, phase: Phase = Phase.READY, address: Address = ("127.0.0.1", 9)) -> Member:
    return Member(name, address, "east", "std", 0, phase, 1.0, 0.0)


def entry(name: str, phase: str = "ready", address: Address = ("127.0.0.1", 9),
          since: float = 0) -> dict[str, object]:
    return {"id": name, "host_port": f"{address[0]}:{address[1]}", "locality": "east", "flavor": "std",
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": since}


def listed(version: int, *members: dict[str, object], whole: bool = True) -> bytes:
    return orjson.dumps({"revision": version, "complete": whole, "members": list(members)})


class Caller:
    """The stand-in's side of one HTTP connection."""

    def __init__(self, stream: Stream, loop: Loop) -> None:
        self.stream = stream
        self._loop = loop
        self._parser = h11.Connection(h11.SERVER)

    def _far(self) -> int:
        return self._loop.clock() + 3_600_000_000

    def event(self) -> Act[object]:
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            room = memoryview(bytearray(65536))
            count = yield from self.stream.recv_into(room, self._far())
            self._parser.receive_data(bytes(room[:count]))
        return event

    def request(self) -> Act[tuple[str, bytes] | None]:
        """The target and body of the next call; None: the connection has ended."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        head = yield from self.event()
        if not isinstance(head, h11.Request):
            return None
        body = b""
        while isinstance(event := (yield from self.event()), h11.Data):
            body += event.data
        return head.target.decode(), body

    def say(self, *events: h11.Event) -> Act[None]:
        data = b"".join(self._parser.send(event) or b"" for event in events)
        yield from self.stream.send(data, self._far())

    def answer(self, status: int, body: bytes) -> Act[None]:
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
        yield from self.say(head, h11.Data(data=body), h11.EndOfMessage())

    def open_body(self) -> Act[None]:
        yield from self.say(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))

    def line(self, text: bytes) -> Act[None]:
        yield from self.say(h11.Data(data=text + b"\n"))

    def silence(self) -> Act[None]:
        """Says nothing until the other side closes."""
        room = memoryview(bytearray(4096))
        while (yield from self.stream.recv_into(room, self._far())):
            pass

    def reset(self) -> None:
        """Ends as a process that dies does."""
        self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.stream.close()


Serve = Callable[[Caller], Act[None]]


class StandIn:
    """A server on an ephemeral loopback port; what it does on each connection is up to the test."""

    def __init__(self, loop: Loop, serve: Serve) -> None:
        self._loop = loop
        self._serve = serve
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()
        self.connections = 0
        self._accepting = loop.start("stand-in", self._accept())

    def _accept(self) -> Routine:
        while True:
            yield Wait(fd=self._sock.fileno(), mask=READ)
            connection, _ = self._sock.accept()
            self.connections += 1
            self._loop.start("stand-in caller", self._guarded(Caller(Stream(connection), self._loop)))

    def _guarded(self, caller: Caller) -> Routine:
        try:
            yield from self._serve(caller)
        except (Broken, h11.RemoteProtocolError):
            pass
        finally:
            caller.stream.close()

    def close(self) -> None:
        self._loop.stop(self._accepting)
        self._sock.close()



"""The real program on loopback: it serves stand-ins, publishes tables, follows a drain, ends at SIGTERM."""

from __future__ import annotations

import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import pytest

from kelpcourse.wire.loop import Loop, Wait
from kelpcourse.wire.stream import Act
from tests.relays import joined
from tests.standins import Caller, StandIn, entry, listed
from tests.test_config import ROOT

PATIENCE_S = 60.0  # far beyond what anything here takes: only a director that is stuck meets it
HOSTS = [{**entry(f"s-{k}"), "locality": "room-a" if k % 2 else "room-b"} for k in range(4)]


class World:
    """What is around a director: a relay with news and calls, discovery, and its own process."""

    def __init__(self, folder: Path) -> None:
        self.defects: list[Exception] = []
        self.loop = Loop(now_us, lambda _, error: self.defects.append(error))
        self.orders: list[dict[str, Any]] = []
        self.news: list[bytes] = []
        self.lists: list[bytes] = [listed(41, *HOSTS)]
        self.relay = StandIn(self.loop, self._serve_relay)
        self.discovery = StandIn(self.loop, self._serve_discovery)
        self.mute = False  # the relay answers no call
        self.listen = free_address()
        self.path = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None

    def config(self, **changes: object) -> None:
        root = {
            **ROOT,
            "name": "n3",
            "listen": text(self.listen),
            "discovery": text(self.discovery.address),
            "registry": {"address": text(self.relay.address)},
            "known": {"revision": 40, "complete": True, "members": HOSTS},
            **changes,
        }
        self.path.write_bytes(orjson.dumps(root))

    def start(self, descriptors: int = 0, program: str = "") -> subprocess.Popen[bytes]:
        environment = {
            **os.environ,
            "NODE_CONFIG": str(self.path),
            "NODE_LISTEN": text(self.listen),
        }
        command = [sys.executable, *(("-c", program) if program else ("-m", "kelpcourse"))]
        if descriptors:
            command = [
                "/bin/sh",
                "-c",
                f"ulimit -n {descriptors}; exec {sys.executable} -m kelpcourse",
            ]
        self.process = subprocess.Popen(
            command,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            cwd=Path(__file__).parent.parent,
        )
        return self.process

    def until(self, what: Callable[[], object]) -> None:
        end = time.monotonic() + PATIENCE_S
        while not what():
            assert time.monotonic() < end, (self.orders[-5:], self.defects)
            assert self.process is None or self.process.poll() is None, self.process.communicate()
            self.loop.turn(now_us() + 5000)

    def ping(self) -> bool:
        try:
            with socket.create_connection(self.listen, PATIENCE_S) as peer:
                peer.sendall(b"ping\r\n")
                return peer.recv(64) == b"pong\r\n"
        except OSError:
            return False

    def _serve_relay(self, caller: Caller) -> Act[None]:
        while (call := (yield from caller.request())) is not None:
            if call[0] == "/v3/kv/events":
                yield from self._feed(caller, self.news)
                return
            orders = orjson.loads(call[1])["orders"]
            self.orders += orders
            if self.mute:
                yield from caller.silence()
                return
            yield from caller.answer(200, b'{"ok_count":%d}' % len(orders))

    def _serve_discovery(self, caller: Caller) -> Act[None]:
        yield from caller.request()
        yield from self._feed(caller, self.lists)

    def _feed(self, caller: Caller, source: list[bytes]) -> Act[None]:
        """What there is already, then whatever the test adds, with signs of life between."""
        yield from caller.open_body()
        told = 0
        while True:
            for line in source[told:]:
                yield from caller.line(line)
            told = len(source)
            yield from caller.line(b"{}" if source is self.news else b"")
            yield Wait(now_us() + 20_000)

    def ordered(self, **fields: object) -> bool:
        return any(fields.items() <= order.items() for order in self.orders)

    def move(self, **changes: object) -> None:
        """Relay and discovery go on at other addresses, which the file tells."""
        self.relay = StandIn(self.loop, self._serve_relay)
        self.discovery = StandIn(self.loop, self._serve_discovery)
        self.config(**changes)
        self.hang_up()

    def hang_up(self) -> None:
        assert self.process is not None
        os.kill(self.process.pid, signal.SIGHUP)

    def signal(self, *numbers: int) -> None:
        assert self.process is not None
        for number in numbers:
            os.kill(self.process.pid, number)

    def ended(self) -> list[dict[str, Any]]:
        """What it logged until it ended by itself, without an error."""
        assert self.process is not None
        output, errors = self.process.communicate(timeout=PATIENCE_S)
        assert (self.process.returncode, errors) == (0, b"")
        return log_lines(output)

    def logged(self, event: str) -> dict[str, Any]:
        """The next line of an event."""
        assert self.process is not None
        assert self.process.stdout is not None
        while True:
            assert select.select([self.process.stdout], [], [], PATIENCE_S)[0]
            line: dict[str, Any] = orjson.loads(self.process.stdout.readline())
            if line["event"] == event:
                return line

    def close(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.communicate()
        self.loop.close()


def now_us() -> int:
    return time.monotonic_ns() // 1000


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address: tuple[str, int] = sock.getsockname()
        return address


def text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def log_lines(output: bytes) -> list[dict[str, Any]]:
    return [orjson.loads(line) for line in output.splitlines()]


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    made.config()
    yield made
    made.close()


def test_a_director_publishes_tables_follows_a_drain_and_ends_cleanly(world: World) -> None:
    process = world.start()
    world.until(world.ping)
    world.news += [joined(0).replace(b"east", b"room-a"), joined(1).replace(b"east", b"room-b")]
    world.until(
        lambda: world.ordered(verb="USE", sidecar=0) and world.ordered(verb="USE", sidecar=1)
    )
    assert {o["host"] for o in world.orders if o["verb"] == "SET"} == {f"s-{k}" for k in range(4)}
    assert not world.ordered(verb="OUT")
    world.lists.append(listed(42, {**HOSTS[2], "phase": "draining"}, whole=False))
    world.until(lambda: world.ordered(verb="OUT", host="s-2"))
    os.kill(process.pid, signal.SIGTERM)
    output, errors = process.communicate(timeout=PATIENCE_S)
    assert process.returncode == 0
    assert errors == b""
    lines = log_lines(output)
    assert [line["event"] for line in lines][:2] == ["started", "ready"]
    assert lines[-1]["event"] == "stopped"
    assert lines[-1]["counters"]["relay_orders_taken"] == len(world.orders)
    assert lines[-1]["counters"].get("defects", 0) == 0


def test_counters_are_printed_on_request(world: World) -> None:
    process = world.start()
    world.until(world.ping)
    os.kill(process.pid, signal.SIGUSR1)
    assert process.stdout is not None
    line: dict[str, Any] = {}
    while line.get("event") != "counters":
        assert select.select([process.stdout], [], [], PATIENCE_S)[0]
        line = orjson.loads(process.stdout.readline())
    assert line["counters"]["pings"] >= 1
    assert world.ping()


def test_it_starts_again_at_once_after_a_kill_with_the_same_address(world: World) -> None:
    process = world.start()
    world.until(world.ping)
    held = socket.create_connection(world.listen)
    process.kill()
    process.communicate()
    world.start()
    world.until(world.ping)
    held.close()


def test_it_answers_with_discovery_and_relay_down(tmp_path: Path) -> None:
    world = World(tmp_path)
    world.config(discovery=text(free_address()), registry={"address": text(free_address())})
    world.start()
    world.until(world.ping)
    world.close()


def test_a_crowd_of_strangers_does_not_keep_it_from_its_work(world: World) -> None:
    """More connections than it has descriptors for: it answers and orders all the same."""
    world.start(descriptors=48)
    world.until(world.ping)
    crowd = [socket.create_connection(world.listen) for _ in range(100)]
    world.until(world.ping)
    world.news += [joined(0).replace(b"east", b"room-a")]
    world.until(lambda: world.ordered(verb="USE", sidecar=0))
    world.until(world.ping)
    for stranger in crowd:
        stranger.close()


def test_a_new_configuration_moves_it_and_binds_nobody_anew(world: World) -> None:
    world.start()
    world.until(world.ping)
    world.news += [joined(0).replace(b"east", b"room-a")]
    world.until(lambda: world.ordered(verb="USE", sidecar=0))
    for version in (42, 43):
        old = (world.relay, world.discovery)
        world.move()
        world.until(lambda: world.relay.connections >= 2 and world.discovery.connections)
        for stand_in in old:
            stand_in.close()
        drains = HOSTS[version - 41]
        world.lists.append(listed(version, {**drains, "phase": "draining"}, whole=False))
        world.until(partial(world.ordered, verb="OUT", host=drains["id"]))
    world.news += [joined(1).replace(b"east", b"room-b")]
    world.until(lambda: world.ordered(verb="USE", sidecar=1))
    bound = [o["cluster"] for o in world.orders if o["verb"] == "USE" and o["sidecar"] == 0]
    assert len(bound) == len(set(bound))
    assert world.ping()


def test_a_file_that_can_not_be_used_changes_nothing(world: World) -> None:
    world.start()
    world.until(world.ping)
    unusable: list[tuple[dict[str, object], str]] = [
        ({"seed": "xyz"}, "field 'seed' is not hex digits: 'xyz'"),
        ({"registry": {}}, "field 'registry.address' is missing or not a text"),
    ]
    for changes, reason in unusable:
        world.config(**changes)
        world.hang_up()
        while (
            world.logged("configuration_reload_failed")["reason"] != reason
        ):  # the one before is still being tried again
            pass
    world.path.write_bytes(b'{"name": ')
    world.hang_up()
    while "not JSON" not in world.logged("configuration_reload_failed")["reason"]:
        pass
    world.news += [joined(0).replace(b"east", b"room-a")]
    world.until(lambda: world.ordered(verb="USE", sidecar=0))


def test_what_a_reload_does_not_follow_is_named(world: World) -> None:
    world.start()
    world.until(world.ping)
    world.config(limits={"memory_mb": 33, "sockets": 512})
    world.hang_up()
    line = world.logged("configuration_reloaded")
    assert (line["changed"], line["requires_restart"]) == ([], ["sockets", "memory_mb"])
    world.move()
    assert world.logged("configuration_reloaded")["changed"] == ["discovery", "relay"]


def test_a_bad_configuration_is_one_plain_message(world: World) -> None:
    for changes, message in [
        ({"seed": "xyz"}, b"kelpcourse: field 'seed' is not hex digits: 'xyz'\n"),
        (
            {"listen": "192.0.2.1:5000"},
            b"kelpcourse: variable NODE_LISTEN and field 'listen' differ",
        ),
    ]:
        world.config(**changes)
        output, errors = world.start().communicate(timeout=PATIENCE_S)
        assert world.process is not None
        assert world.process.returncode == 2
        assert output == b""
        assert errors.startswith(message)
        assert errors.count(b"\n") == 1


def test_an_address_that_is_not_this_machines_is_a_mistake(world: World) -> None:
    world.listen = ("192.0.2.1", 5000)
    world.config()
    _, errors = world.start().communicate(timeout=PATIENCE_S)
    assert world.process is not None
    assert world.process.returncode == 2
    assert errors.startswith(b"kelpcourse: field 'listen': 192.0.2.1:5000: ")


# Signals at any time


@pytest.mark.parametrize("early", [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM])
def test_a_signal_that_comes_before_the_configuration_is_read_is_heard(
    world: World, early: signal.Signals
) -> None:
    """Handlers were set when the loop began: a SIGHUP before that ended the process."""
    whole = world.path.read_bytes()
    world.path.unlink()
    os.mkfifo(world.path)
    world.start()
    with world.path.open("wb") as pipe:  # opens once it reads there, and has caught signals by then
        world.signal(early)
        world.path.unlink()
        world.path.write_bytes(whole)  # for the reload
        pipe.write(whole)
    if early == signal.SIGTERM:
        assert world.ended()[-1]["event"] == "stopped"
        return
    assert world.logged("configuration_reloaded" if early == signal.SIGHUP else "counters")
    world.until(world.ping)


def test_signals_that_come_together_are_all_heard_and_twice_is_once(world: World) -> None:
    world.start()
    world.until(world.ping)
    world.signal(
        signal.SIGSTOP,
        signal.SIGTERM,
        signal.SIGUSR1,
        signal.SIGHUP,
        signal.SIGTERM,
        signal.SIGCONT,
    )
    events = [line["event"] for line in world.ended()]
    assert {"configuration_reloaded", "counters", "stopped"} <= set(events)
    assert events.count("stopped") == 1


FAILING = """
import os, sys
from kelpcourse.service.director import main
class Source:
    def start(self): pass
    def close(self): pass
    def reread(self): raise KeyError("unforeseen")
    def watch(self, on): pass
    def fetch(self): pass
    def move(self, address): pass
sys.exit(main(os.environ, lambda parts, settings, keep: Source()))
"""


def test_a_defect_in_a_reload_does_not_deafen_it(world: World) -> None:
    """It ended the routine that hears signals: no later SIGTERM was heard."""
    world.start(program=FAILING)
    world.until(world.ping)
    world.hang_up()
    assert "unforeseen" in world.logged("unexpected_error")["error"]
    world.hang_up()
    assert "unforeseen" in world.logged("unexpected_error")["error"]
    world.signal(signal.SIGTERM)
    assert world.ended()[-1]["event"] == "stopped"


def test_a_configuration_that_is_being_replaced_is_read_once_it_is_whole(world: World) -> None:
    """A director that met half of it stayed at addresses that were about to close."""
    world.start()
    world.until(world.ping)
    world.path.write_bytes(world.path.read_bytes()[:200])
    world.hang_up()
    assert world.logged("configuration_reload_failed")["will_retry"] is True
    world.discovery = StandIn(world.loop, world._serve_discovery)
    world.config()
    assert world.logged("configuration_reloaded")["changed"] == ["discovery"]
    world.until(lambda: world.discovery.connections)


def test_it_ends_at_once_while_a_call_is_unanswered(world: World) -> None:
    """What the outbox holds is lost: from SIGTERM on proxies go elsewhere, and are told there."""
    world.mute = True
    world.start()
    world.until(world.ping)
    world.news += [joined(0).replace(b"east", b"room-a")]
    world.until(lambda: world.orders)
    world.signal(signal.SIGTERM)
    assert world.ended()[-1]["counters"].get("relay_orders_taken", 0) == 0


def test_it_ends_at_once_while_its_address_is_still_in_use(world: World) -> None:
    with socket.create_server(world.listen):
        world.start()
        assert world.logged("address_in_use")
        world.signal(signal.SIGTERM)
        assert world.ended()[-1]["event"] == "stopped"


def test_a_successor_starts_while_connections_of_the_one_before_end(world: World) -> None:
    world.start()
    world.until(world.ping)
    held = [socket.create_connection(world.listen) for _ in range(20)]
    for peer in held[:10]:
        peer.sendall(b"collector az=room-a\r\nheard az=room")  # half a line
    world.signal(signal.SIGTERM)
    assert world.ended()
    world.start()
    world.until(world.ping)
    for peer in held:
        peer.close()
